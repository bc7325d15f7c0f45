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

/// Memory that a body of `bytes` takes.
constexpr std::size_t BlockBytes(std::size_t bytes) {
  constexpr std::size_t kBlock = MemoryBudget::kBlockBytes;
  return (bytes + kBlock - 1) / kBlock * kBlock;
}
/// Memory that a head of a few short lines takes.
constexpr std::size_t kHeadBytes = 1024;

/// Records requests; the test responds to them.
class RequestRecorder : public CallerEvents {
 public:
  void OnRequest(ExchangeId exchange, HttpMessage request, TimePoint) override {
    exchanges.push_back(exchange);
    requests.push_back(std::move(request));
  }
  void OnDisconnected(ExchangeId exchange) override { disconnected.push_back(exchange); }
  void OnMemoryFull(ExchangeId exchange, const HttpMessage&) override {
    server->Respond(exchange, "HTTP/1.1 503 Service Unavailable\r\n", "");
  }

  CallerServer* server = nullptr;

  std::vector<ExchangeId> exchanges;
  std::vector<HttpMessage> requests;
  std::vector<ExchangeId> disconnected;
};

struct Fixture {
  Fixture() : server(io, recorder, &memory), caller(io) {
    recorder.server = &server;
    CallerLimits limits;
    limits.max_head_bytes = 1000;
    limits.max_body_bytes = 1000;
    limits.head_timeout = milliseconds(50);
    limits.idle_timeout = milliseconds(100);
    server.SetLimits(limits);
    port = FreePort();
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
  MemoryBudget memory{1 << 20};
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

TEST_CASE_FIXTURE(Fixture,
                  "while draining, a request behind another is answered before the close") {
  caller.Write("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
  caller.Write("POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
  WaitForRequests(2);
  server.SetDraining();
  server.Respond(recorder.exchanges[0], kOk, "first");
  RunFor(io, milliseconds(20));
  CHECK(recorder.disconnected.empty());
  CHECK_FALSE(caller.ended);
  // A request that comes after the stop has begun is not read; the close tells the caller so.
  caller.Write("POST /3 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
  RunFor(io, milliseconds(20));
  CHECK(recorder.requests.size() == 2);
  server.Respond(recorder.exchanges[1], kOk, "second");
  REQUIRE(RunUntil(io, [&] { return caller.ended; }));
  CHECK(caller.received.find("second") != std::string::npos);
  CHECK(caller.received.find("Connection: close") > caller.received.find("first"));
}

TEST_CASE_FIXTURE(Fixture, "a request that has arrived when idle connections are closed is read") {
  SUBCASE("on a kept connection") { RunFor(io, milliseconds(5)); }
  SUBCASE("on a connection that waits to be accepted") {}
  caller.Write("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  server.SetDraining();
  server.StopAccepting();
  server.CloseIdle();
  CHECK(server.pending_requests() == 1);
  WaitForRequests(1);
  server.Respond(recorder.exchanges[0], kOk, "answered");
  WaitForReceived("answered");
  REQUIRE(RunUntil(io, [&] { return caller.ended; }));
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

TEST_CASE_FIXTURE(Fixture, "a partial request is refused behind the response that is due, once") {
  caller.Write("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\nPOST /2 HTTP/1.1\r\nHo");
  WaitForRequests(1);
  std::string refusal;
  SUBCASE("at the time limit for a head") {
    refusal = "HTTP/1.1 408 ";
    for (int sweep = 0; sweep < 3; ++sweep) {
      RunFor(io, milliseconds(70));
      server.Sweep(MonotonicClock::now());
    }
  }
  SUBCASE("at the end of a stop") {
    refusal = "HTTP/1.1 503 ";
    server.RefuseIncomplete();
    server.RefuseIncomplete();
  }
  RunFor(io, milliseconds(20));
  CHECK(caller.received.empty());
  caller.Write("st: h\r\nContent-Length: 0\r\n\r\n");
  RunFor(io, milliseconds(20));
  server.Respond(recorder.exchanges[0], kOk, "first");
  REQUIRE(RunUntil(io, [&] { return caller.ended; }));
  CHECK(caller.received.starts_with("HTTP/1.1 200 "));
  const std::size_t refused_at = caller.received.find(refusal);
  CHECK(refused_at > caller.received.find("first"));
  CHECK(refused_at < caller.received.size());
  CHECK(caller.received.find(refusal, refused_at + 1) == std::string::npos);
  CHECK(recorder.requests.size() == 1);
}

TEST_CASE_FIXTURE(Fixture, "a body without memory is refused at once, and memory is given back") {
  CallerLimits limits;
  limits.max_body_bytes = 1 << 20;
  limits.idle_timeout = std::chrono::seconds(5);
  server.SetLimits(limits);
  const auto upload = [](const std::string& framing) {
    return "POST / HTTP/1.1\r\nHost: h\r\n" + framing + "\r\n\r\n";
  };
  TestCaller first(io);
  first.Connect(port);
  first.Write(upload("Content-Length: 500000"));
  REQUIRE(RunUntil(io, [&] { return memory.used() == BlockBytes(500000) + kHeadBytes; }));
  TestCaller second(io);
  second.Connect(port);
  SUBCASE("with a length, before the body comes") {
    second.Write(upload("Content-Length: 400000"));
  }
  SUBCASE("in chunks") {
    second.Write(upload("Transfer-Encoding: chunked"));
    const std::string chunk = "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
    for (int i = 0; i < 6; ++i) second.Write(chunk);
  }
  REQUIRE(RunUntil(io, [&] { return second.received.find("503") != std::string::npos; }));
  CHECK(second.received.find("Connection: close") != std::string::npos);
  REQUIRE(RunUntil(io, [&] { return second.ended; }));
  CHECK(memory.used() == BlockBytes(500000) + kHeadBytes);
  CHECK(recorder.requests.empty());
  first.Write(std::string(500000, 'x'));
  WaitForRequests(1);
  CHECK(recorder.requests[0].body.size() == 500000);
  recorder.requests.clear();
  CHECK(memory.used() == 0);
  const std::string response(100000, 'r');
  server.Respond(recorder.exchanges[0], kOk, response);
  REQUIRE(RunUntil(io, [&] { return first.received.size() > response.size(); }));
  CHECK(memory.used() == 0);
}

TEST_CASE_FIXTURE(Fixture, "a caller that leaves while it sends a body gives its memory back") {
  caller.Write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 900\r\n\r\nabc");
  REQUIRE(RunUntil(io, [&] { return memory.used() == BlockBytes(900) + kHeadBytes; }));
  caller.Close();
  CHECK(RunUntil(io, [&] { return memory.used() == 0; }));
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
