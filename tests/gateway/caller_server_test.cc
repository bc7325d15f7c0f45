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

/// Records requests; the test responds to them.
class RequestRecorder : public CallerEvents {
 public:
  void OnRequest(ExchangeId exchange, HttpMessage request, TimePoint) override {
    exchanges.push_back(exchange);
    requests.push_back(std::move(request));
  }
  void OnDisconnected(ExchangeId exchange) override { disconnected.push_back(exchange); }

  std::vector<ExchangeId> exchanges;
  std::vector<HttpMessage> requests;
  std::vector<ExchangeId> disconnected;
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

  void WaitForRequests(std::size_t count) {
    REQUIRE(RunUntil(io, [&] { return recorder.requests.size() >= count; }));
  }
  void WaitForReceived(const std::string& text) {
    CAPTURE(text);
    REQUIRE(RunUntil(io, [&] { return caller.received.find(text) != std::string::npos; }));
  }

  asio::io_context io;
  RequestRecorder recorder;
  CallerServer server;
  TestCaller caller;
  std::uint16_t port = 0;
};

TEST_CASE_FIXTURE(Fixture, "pipelined requests are answered in order") {
  caller.Write("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  WaitForRequests(2);
  server.Respond(recorder.exchanges[1], kOk, "second");
  RunFor(io, milliseconds(20));
  CHECK(caller.received.empty());
  server.Respond(recorder.exchanges[0], kOk, "first!");
  WaitForReceived("second");
  CHECK(caller.received.find("first!") < caller.received.find("second"));
  CHECK(caller.received.find("Connection: close") == std::string::npos);
}

TEST_CASE_FIXTURE(Fixture, "a disconnect of the caller is detected while its request is pending") {
  caller.Write("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  WaitForRequests(1);
  caller.Close();
  REQUIRE(RunUntil(io, [&] { return recorder.disconnected == recorder.exchanges; }));
  server.Respond(recorder.exchanges[0], kOk, "too late");
  CHECK(server.pending_requests() == 0);
}

TEST_CASE_FIXTURE(Fixture,
                  "requests after a response that closes the connection are not processed") {
  caller.Write(
      "GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  WaitForRequests(1);
  RunFor(io, milliseconds(20));
  CHECK(recorder.requests.size() == 1);
  server.Respond(recorder.exchanges[0], kOk, "one");
  REQUIRE(RunUntil(io, [&] { return caller.ended; }));
  CHECK(caller.received.find("Connection: close") != std::string::npos);
}

TEST_CASE_FIXTURE(Fixture, "while draining, every response closes its connection and says so") {
  caller.Write("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  WaitForRequests(1);
  server.SetDraining();
  server.Respond(recorder.exchanges[0], kOk, "whole body");
  REQUIRE(RunUntil(io, [&] { return caller.ended; }));
  CHECK(caller.received.find("Connection: close") != std::string::npos);
  CHECK(caller.received.find("whole body") != std::string::npos);
}

TEST_CASE_FIXTURE(Fixture, "input over a limit is rejected with the status for that limit") {
  SUBCASE("head") {
    caller.Write("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(2000, 'a') + "\r\n\r\n");
    WaitForReceived("431");
  }
  SUBCASE("body") {
    caller.Write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n");
    WaitForReceived("413");
  }
  SUBCASE("malformed") {
    caller.Write("GET / HTTP/1.1\r\nHost : h\r\n\r\n");
    WaitForReceived("400");
  }
  SUBCASE("slow head") {
    caller.Write("GET / HTTP/1.1\r\nHo");
    RunFor(io, milliseconds(70));
    server.Sweep(MonotonicClock::now());
    WaitForReceived("408");
  }
  CHECK(recorder.requests.empty());
}

TEST_CASE_FIXTURE(Fixture, "an idle connection is kept open for the idle timeout, then closed") {
  RunFor(io, milliseconds(60));
  server.Sweep(MonotonicClock::now());
  CHECK(server.connections() == 1);
  RunFor(io, milliseconds(60));
  server.Sweep(MonotonicClock::now());
  CHECK(server.connections() == 0);
}

TEST_CASE_FIXTURE(Fixture, "100 Continue is sent when the caller expects it before the body") {
  caller.Write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n");
  WaitForReceived("100 Continue");
  caller.Write("abc");
  WaitForRequests(1);
  CHECK(recorder.requests[0].body == "abc");
}

TEST_CASE_FIXTURE(Fixture,
                  "the pending requests of a caller that does not read responses are bounded") {
  std::string many;
  for (int i = 0; i < 64; ++i) many += "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";
  caller.Write(many);
  RunFor(io, milliseconds(50));
  CHECK(recorder.requests.size() <= 16);
}

}  // namespace
}  // namespace mulberry::gateway
