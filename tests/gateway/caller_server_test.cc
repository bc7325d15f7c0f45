#include "libgateway/caller_server.h"

#include <doctest/doctest.h>

#include <map>
#include <optional>
#include <vector>

#include "scripted_server.h"
#include "test_caller.h"

namespace mulberry::gateway {
namespace {

using std::chrono::milliseconds;

constexpr char kOk[] = "HTTP/1.1 200 OK\r\n";

/// Notes requests and lets the test answer them.
class Recorder : public CallerEvents {
 public:
  void OnRequest(ExchangeId exchange, HttpMessage request, TimePoint) override {
    exchanges.push_back(exchange);
    requests.push_back(std::move(request));
  }
  void OnDisconnected(ExchangeId exchange) override { gone.push_back(exchange); }

  std::vector<ExchangeId> exchanges;
  std::vector<HttpMessage> requests;
  std::vector<ExchangeId> gone;
};

struct Fixture {
  Fixture() : server(io, recorder), caller(io) {
    CallerLimits limits;
    limits.max_head_bytes = 1000;
    limits.max_body_bytes = 1000;
    limits.head_timeout = milliseconds(50);
    limits.idle_timeout = milliseconds(100);
    server.SetLimits(limits);
    port = FreePort(io);
    REQUIRE(server.Open("127.0.0.1", port));
    caller.Connect(port);
  }

  void WaitRequests(std::size_t count) {
    REQUIRE(RunUntil(io, [&] { return recorder.requests.size() >= count; }));
  }
  void WaitReceived(const std::string& text) {
    CAPTURE(text);
    REQUIRE(RunUntil(io, [&] { return caller.received.find(text) != std::string::npos; }));
  }

  asio::io_context io;
  Recorder recorder;
  CallerServer server;
  TestCaller caller;
  std::uint16_t port = 0;
};

TEST_CASE_FIXTURE(Fixture, "pipelined requests are answered in their order") {
  caller.Write("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  WaitRequests(2);
  server.Respond(recorder.exchanges[1], kOk, "second");
  RunFor(io, milliseconds(20));
  CHECK(caller.received.empty());
  server.Respond(recorder.exchanges[0], kOk, "first!");
  WaitReceived("second");
  CHECK(caller.received.find("first!") < caller.received.find("second"));
  CHECK(caller.received.find("Connection: close") == std::string::npos);
}

TEST_CASE_FIXTURE(Fixture, "a caller that leaves is noticed while its request is in work") {
  caller.Write("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  WaitRequests(1);
  caller.Close();
  REQUIRE(RunUntil(io, [&] { return recorder.gone == recorder.exchanges; }));
  server.Respond(recorder.exchanges[0], kOk, "too late");
  CHECK(server.pending_requests() == 0);
}

TEST_CASE_FIXTURE(Fixture, "requests behind an answer that closes the connection are not run") {
  caller.Write(
      "GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  WaitRequests(1);
  RunFor(io, milliseconds(20));
  CHECK(recorder.requests.size() == 1);
  server.Respond(recorder.exchanges[0], kOk, "one");
  REQUIRE(RunUntil(io, [&] { return caller.ended; }));
  CHECK(caller.received.find("Connection: close") != std::string::npos);
}

TEST_CASE_FIXTURE(Fixture, "while closing, every answer says so and the connection ends after it") {
  caller.Write("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  WaitRequests(1);
  server.SetClosing();
  server.Respond(recorder.exchanges[0], kOk, "whole body");
  REQUIRE(RunUntil(io, [&] { return caller.ended; }));
  CHECK(caller.received.find("Connection: close") != std::string::npos);
  CHECK(caller.received.find("whole body") != std::string::npos);
}

TEST_CASE_FIXTURE(Fixture, "input over the limits is refused with its own status") {
  SUBCASE("head") {
    caller.Write("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(2000, 'a') + "\r\n\r\n");
    WaitReceived("431");
  }
  SUBCASE("body") {
    caller.Write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n");
    WaitReceived("413");
  }
  SUBCASE("malformed") {
    caller.Write("GET / HTTP/1.1\r\nHost : h\r\n\r\n");
    WaitReceived("400");
  }
  SUBCASE("slow head") {
    caller.Write("GET / HTTP/1.1\r\nHo");
    RunFor(io, milliseconds(70));
    server.Sweep(MonotonicClock::now());
    WaitReceived("408");
  }
  CHECK(recorder.requests.empty());
}

TEST_CASE_FIXTURE(Fixture,
                  "an idle connection is kept for the time that is promised, then closed") {
  RunFor(io, milliseconds(60));
  server.Sweep(MonotonicClock::now());
  CHECK(server.connections() == 1);
  RunFor(io, milliseconds(60));
  server.Sweep(MonotonicClock::now());
  CHECK(server.connections() == 0);
}

TEST_CASE_FIXTURE(Fixture, "a body is asked for when the caller waits for that") {
  caller.Write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n");
  WaitReceived("100 Continue");
  caller.Write("abc");
  WaitRequests(1);
  CHECK(recorder.requests[0].body == "abc");
}

TEST_CASE_FIXTURE(Fixture, "a caller that does not take its answers holds no more than its own") {
  std::string many;
  for (int i = 0; i < 64; ++i) many += "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";
  caller.Write(many);
  RunFor(io, milliseconds(50));
  CHECK(recorder.requests.size() <= 16);
}

}  // namespace
}  // namespace mulberry::gateway
