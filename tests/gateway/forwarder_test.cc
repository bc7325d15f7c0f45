#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <vector>

#include "allocation_counter.h"
#include "forwarder_fixture.h"

namespace mulberry::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A caller's connection that is not read.
struct SilentCaller {
  SilentCaller(asio::io_context& io, std::uint16_t port) : socket(io) {
    socket.connect({asio::ip::make_address_v4("127.0.0.1"), port});
  }
  asio::ip::tcp::socket socket;
};

TEST_CASE_FIXTURE(ForwarderFixture,
                  "a request reaches a server with the target id and the remaining time") {
  SendRequest("POST", "/write/1?x=2",
              "Left: 500\r\nContent-Length: 3\r\nConnection: X-Hop\r\nX-Hop: 1\r\n"
              "X-End: 2\r\n");
  caller.Write("abc");
  const auto at = NextServerConnection();
  REQUIRE(RunUntil(io, [&] { return at->received.size() > 3 && at->received.ends_with("abc"); }));
  CHECK(at->received.starts_with("POST /write/1?x=2 HTTP/1.1\r\n"));
  CHECK(at->received.find("X-End: 2") != std::string::npos);
  CHECK(at->received.find("X-Hop") == std::string::npos);
  CHECK(at->received.find("Target: ") != std::string::npos);
  const std::size_t left = at->received.find("Left: ");
  REQUIRE(left != std::string::npos);
  CHECK(std::stoi(at->received.substr(left + 6)) <= 500);
  CHECK(std::stoi(at->received.substr(left + 6)) > 300);
  at->Write(Answer(201, "made"));
  WaitForText("made");
  CHECK(caller.received.starts_with("HTTP/1.1 201 Text\r\n"));
  CHECK(caller.received.find("Signature: s1") != std::string::npos);
}

TEST_CASE_FIXTURE(ForwarderFixture, "an idempotent request is retried after a truncated response") {
  SendRequest("GET", "/read/1");
  const auto at = NextServerConnection();
  at->Write("HTTP/1.1 200 OK\r\nId: 7\r\nSignature: s\r\nContent-Length: 9\r\n\r\nhalf");
  RunFor(io, milliseconds(5));
  at->Close();
  const auto again = NextServerConnection();
  again->Write(Answer(200, "whole"));
  WaitForText("whole");
  CHECK(caller.received.find("half") == std::string::npos);
}

TEST_CASE_FIXTURE(ForwarderFixture,
                  "a non-idempotent request whose response was lost is not retried") {
  SendRequest("POST", "/write/1", "Content-Length: 0\r\n");
  const auto at = NextServerConnection();
  SUBCASE("reset") { at->Reset(); }
  SUBCASE("closed") { at->Close(); }
  SUBCASE("invalid response") { at->Write("garbage\r\n\r\n"); }
  SUBCASE("without the signature") {
    at->Write("HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 0\r\n\r\n");
  }
  SUBCASE("a status that promises that it has not run") { at->Write(Answer(503, "")); }
  WaitForText("502");
  RunFor(io, milliseconds(50));
  CHECK(RequestsAtServers() == 1);
}

TEST_CASE_FIXTURE(ForwarderFixture,
                  "a non-idempotent request that provably did not run goes to another server") {
  SendRequest("POST", "/write/1", "Content-Length: 0\r\n");
  const auto at = NextServerConnection();
  SUBCASE("shed") {
    at->Write("HTTP/1.1 503 Busy\r\nId: 7\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
  }
  SUBCASE("misdirected") { at->Write("HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n"); }
  const auto again = NextServerConnection();
  again->Write(Answer(200, "done"));
  WaitForText("done");
}

TEST_CASE_FIXTURE(ForwarderFixture,
                  "if all servers shed, the caller gets 503 and a time after which to "
                  "retry") {
  SendRequest("POST", "/write/1", "Content-Length: 0\r\n");
  for (int i = 0; i < 2; ++i) {
    NextServerConnection()->Write(
        "HTTP/1.1 503 Busy\r\nId: 7\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
  }
  WaitForText("HTTP/1.1 503 ");
  CHECK(caller.received.find("Retry-After: ") != std::string::npos);
}

TEST_CASE_FIXTURE(ForwarderFixture, "a late second response never reaches the next caller") {
  pool.Remove(ServerName("b"));
  SendRequest("POST", "/write/1", "Content-Length: 0\r\n");
  const auto at = NextServerConnection();
  at->Write(Answer(200, "first"));
  WaitForText("first");
  const auto requests_on_connection = [&] {
    std::size_t count = 0;
    for (std::size_t found = 0;
         (found = at->received.find("HTTP/1.1\r\n", found)) != std::string::npos; ++found) {
      ++count;
    }
    return count;
  };
  SUBCASE("when the next request has no id") {
    caller.Write("POST /write/2 HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(RunUntil(io, [&] { return requests_on_connection() == 2; }));
    at->Write(Answer(200, "stale"));
    RunFor(io, milliseconds(20));
    at->Write("HTTP/1.1 200 OK\r\nSignature: s2\r\nContent-Length: 3\r\n\r\nown");
    WaitForText("own");
  }
  SUBCASE("in pieces") {
    caller.Write("POST /write/2 HTTP/1.1\r\nHost: h.example\r\nId: 8\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(RunUntil(io, [&] { return requests_on_connection() == 2; }));
    const std::string stale = Answer(200, "stale");
    for (const char byte : stale) {
      at->Write(std::string(1, byte));
      RunFor(io, milliseconds(1));
    }
    at->Write("HTTP/1.1 200 OK\r\nId: 8\r\nSignature: s2\r\nContent-Length: 3\r\n\r\nown");
    WaitForText("own");
  }
  CHECK(caller.received.find("stale") == std::string::npos);
}

TEST_CASE_FIXTURE(ForwarderFixture, "a refusal without an id on a used connection proves nothing") {
  SendRequest("POST", "/write/1", "Content-Length: 0\r\n");
  const auto at = NextServerConnection();
  at->Write(Answer(200, "first"));
  WaitForText("first");
  pool.Remove(ServerName(first.connections.empty() ? "a" : "b"));
  caller.Write("POST /write/2 HTTP/1.1\r\nHost: h.example\r\nId: 8\r\nContent-Length: 0\r\n\r\n");
  REQUIRE(RunUntil(io, [&] { return at->received.find("/write/2") != std::string::npos; }));
  // The other server is there again, and could get the request.
  AddServer(first.connections.empty() ? "a" : "b",
            first.connections.empty() ? first.address() : second.address());
  SUBCASE("shed") { at->Write("HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"); }
  SUBCASE("misdirected") { at->Write("HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n"); }
  WaitForText("HTTP/1.1 502 ");
  CHECK(RequestsAtServers() == 1);
}

TEST_CASE_FIXTURE(ForwarderFixture,
                  "bytes without end that are no response end with the route's timeout") {
  SendRequest("POST", "/write/1", "Content-Length: 0\r\n");
  const auto at = NextServerConnection();
  std::string start;
  std::string repeated;
  milliseconds pause(0);
  SUBCASE("header lines") {
    start = "HTTP/1.1 200 OK\r\n";
    repeated = "X-Filler: " + std::string(1000, 'a') + "\r\n";
  }
  SUBCASE("one header line") {
    start = "HTTP/1.1 200 OK\r\nX-Filler: ";
    repeated = std::string(1000, 'a');
  }
  SUBCASE("a status line") {
    start = "HTTP/1.1 200 ";
    repeated = std::string(1000, 'a');
  }
  SUBCASE("folded lines") {
    start = "HTTP/1.1 200 OK\r\nX-Filler: a\r\n";
    repeated = " " + std::string(1000, 'a') + "\r\n";
  }
  SUBCASE("interim responses") { repeated = "HTTP/1.1 102 Processing\r\n\r\n"; }
  SUBCASE("a chunk extension") {
    start = "HTTP/1.1 200 OK\r\nId: 7\r\nTransfer-Encoding: chunked\r\n\r\n5;";
    repeated = std::string(1000, 'a');
  }
  SUBCASE("trailers") {
    start = "HTTP/1.1 200 OK\r\nId: 7\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
    repeated = "X-Filler: " + std::string(1000, 'a') + "\r\n";
  }
  SUBCASE("empty lines") { repeated = std::string(500, '\r') + std::string(500, '\n'); }
  SUBCASE("a body") {
    start = "HTTP/1.1 200 OK\r\nId: 7\r\nSignature: s\r\n\r\n";
    repeated = std::string(200'000, 'a');
  }
  SUBCASE("random bytes") { repeated = std::string("\x01\xff\x00\x7f", 4) + "no response"; }
  SUBCASE("a head of one byte at a time") {
    start = "HTTP/1.1 200 OK\r\nX-Filler: ";
    repeated = "a";
    pause = milliseconds(10);
  }
  SUBCASE("a body of one byte at a time") {
    start = "HTTP/1.1 200 OK\r\nId: 7\r\nSignature: s\r\n\r\n";
    repeated = "a";
    pause = milliseconds(10);
  }
  const TimePoint started = MonotonicClock::now();
  std::size_t written = start.size();
  at->Write(start);
  while (!at->ended && MonotonicClock::now() - started < seconds(2)) {
    at->Write(repeated);
    written += repeated.size();
    RunFor(io, std::max(pause, milliseconds(1)));
  }
  CHECK(at->ended);
  CHECK(MonotonicClock::now() - started < milliseconds(1000));
  // The socket buffers hold a few megabytes more.
  CHECK(written < 32 << 20);
  CHECK(memory.used() == 0);
  REQUIRE(RunUntil(io, [&] { return caller.received.find("HTTP/1.1 50") == 0; }));
  // It may have run, so the status does not deny that.
  CHECK(caller.received.find("HTTP/1.1 503") == std::string::npos);
  CHECK(RequestsAtServers() == 1);
  CHECK(forwarder.calls() == 0);
}

TEST_CASE_FIXTURE(ForwarderFixture,
                  "an upload arrives whole and once, or the caller learns the truth") {
  CallerLimits limits;
  limits.max_body_bytes = 4 << 20;
  server.SetLimits(limits);
  TestCaller uploader(io);
  uploader.Connect(port);
  std::string body(3 << 20, 'x');
  for (std::size_t i = 0; i < body.size(); i += 1000) body[i] = static_cast<char>('a' + i % 26);
  const std::string head =
      "POST /write/1 HTTP/1.1\r\nHost: h.example\r\nId: 7\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n";
  // In pieces, since the sockets' buffers may not hold a whole body.
  const auto send = [&](const std::string& bytes) {
    constexpr std::size_t kPiece = 64 * 1024;
    for (std::size_t at = 0; at < bytes.size(); at += kPiece) {
      uploader.Write(bytes.substr(at, kPiece));
      RunFor(io, milliseconds(1));
    }
  };
  SUBCASE("cut on the way here") {
    for (const std::size_t third : {0, 1, 2}) {
      TestCaller cut(io);
      cut.Connect(port);
      cut.Write(head + body.substr(0, third * body.size() / 3));
      RunFor(io, milliseconds(20));
      cut.Close();
      RunFor(io, milliseconds(20));
    }
    CHECK(RequestsAtServers() == 0);
  }
  SUBCASE("in pieces over a slow link") {
    uploader.Write(head);
    for (int third = 0; third < 3; ++third) {
      CHECK(RequestsAtServers() == 0);
      send(body.substr(third * body.size() / 3, body.size() / 3));
      RunFor(io, milliseconds(50));
    }
    const auto at = NextServerConnection();
    REQUIRE(RunUntil(io, [&] { return at->received.ends_with(body); }));
    at->Write(Answer(200, "stored"));
    REQUIRE(RunUntil(io, [&] { return uploader.received.find("stored") != std::string::npos; }));
    CHECK(RequestsAtServers() == 1);
  }
  SUBCASE("answered before the server has read it") {
    send(head + body);
    const auto at = NextServerConnection();
    at->Write(Answer(413, "too large"));
    REQUIRE(RunUntil(io, [&] { return uploader.received.find("too large") != std::string::npos; }));
    RunFor(io, milliseconds(50));
    // No other request may come where the rest of the body is due.
    CHECK(RunUntil(io, [&] { return at->ended || at->received.ends_with(body); }));
    CHECK(RequestsAtServers() == 1);
  }
  SUBCASE("the server dies while it reads") {
    send(head + body);
    const auto at = NextServerConnection();
    at->Reset();
    REQUIRE(RunUntil(io, [&] { return uploader.received.find("HTTP/1.1 502") == 0; }));
    RunFor(io, milliseconds(50));
    CHECK(RequestsAtServers() == 1);
  }
  SUBCASE("the caller leaves while the server reads") {
    send(head + body);
    const auto at = NextServerConnection();
    uploader.Close();
    REQUIRE(RunUntil(io, [&] { return at->ended; }));
    CHECK(RequestsAtServers() == 1);
  }
  SUBCASE("beside a planned stop") {
    send(head + body.substr(0, body.size() / 2));
    RunFor(io, milliseconds(20));
    server.SetDraining();
    server.StopAccepting();
    server.CloseIdle();
    send(body.substr(body.size() / 2));
    const auto at = NextServerConnection();
    REQUIRE(RunUntil(io, [&] { return at->received.ends_with(body); }));
    at->Write(Answer(200, "stored"));
    REQUIRE(RunUntil(io, [&] { return uploader.received.find("stored") != std::string::npos; }));
    REQUIRE(RunUntil(io, [&] { return uploader.ended; }));
  }
  SUBCASE("more of them than there is memory for") {
    std::vector<std::unique_ptr<TestCaller>> many;
    for (int i = 0; i < 100; ++i) {
      many.push_back(std::make_unique<TestCaller>(io));
      many.back()->Connect(port);
      many.back()->Write(head + body.substr(0, 1000));
      RunFor(io, milliseconds(1));
      CHECK(memory.used() <= 8 << 20);
    }
    RunFor(io, milliseconds(50));
    std::size_t refused = 0;
    for (const auto& sender : many) {
      if (sender->received.find("HTTP/1.1 503") == 0 &&
          sender->received.find("Retry-After: ") != std::string::npos) {
        ++refused;
      }
    }
    // A budget of 8 MiB, of which requests may use 70 %, holds one of 3 MiB.
    CHECK(refused == 99);
    CHECK(RequestsAtServers() == 0);
  }
  uploader.Close();
  CHECK(RunUntil(io, [&] { return memory.used() == 0; }));
}

TEST_CASE_FIXTURE(ForwarderFixture,
                  "a server that becomes silent or unlisted keeps its running request") {
  SendRequest("POST", "/write/1", "Content-Length: 0\r\n");
  const auto at = NextServerConnection();
  const ServerName id(first.connections.empty() ? "b" : "a");
  SUBCASE("its health checks fail") {
    for (int i = 0; i < 10; ++i) pool.OnHealthCheckEnd(id, false, MonotonicClock::now());
  }
  SUBCASE("its entry has expired") { pool.Remove(id); }
  SUBCASE("it is leaving") {
    ServerEntry entry;
    entry.id = id;
    entry.service = search_service;
    entry.address = first.connections.empty() ? second.address() : first.address();
    entry.data_centre = DataCentreName("here");
    entry.slots = 4;
    entry.leaving = true;
    pool.Put(entry, MonotonicClock::now());
  }
  forwarder.DispatchQueued();
  RunFor(io, milliseconds(300));
  CHECK_FALSE(at->ended);
  CHECK(RequestsAtServers() == 1);
  at->Write(Answer(200, "done"));
  WaitForText("done");
}

TEST_CASE_FIXTURE(ForwarderFixture, "a server with an unusable address costs no request") {
  SUBCASE("another server gets it") {
    pool.Remove(ServerName("a"));
    for (int i = 0; i < 3; ++i) AddServer("odd-" + std::to_string(i), "127.0.0.1:99999");
    SUBCASE("idempotent") { SendRequest("GET", "/read/1"); }
    SUBCASE("not idempotent") { SendRequest("POST", "/write/1", "Content-Length: 0\r\n"); }
    NextServerConnection()->Write(Answer(200, "served"));
  }
  SUBCASE("the first attempt goes on when the second has none") {
    pool.Remove(ServerName("b"));
    SendRequest("GET", "/read/1");
    const auto at = NextServerConnection();
    AddServer("odd", "127.0.0.1:99999");
    RunFor(io, milliseconds(150));
    at->Write(Answer(200, "served"));
  }
  WaitForText("served");
  CHECK(caller.received.starts_with("HTTP/1.1 200 "));
}

TEST_CASE_FIXTURE(ForwarderFixture, "a slow idempotent request is sent to a second server, once") {
  SendRequest("GET", "/read/1");
  const auto slow = NextServerConnection();
  const auto fast = NextServerConnection();
  fast->Write(Answer(200, "fast"));
  WaitForText("fast");
  // The slow response is discarded and its connection is reused.
  slow->Write(Answer(200, "slow"));
  RunFor(io, milliseconds(20));
  CHECK(caller.received.find("slow") == std::string::npos);
  CHECK(forwarder.calls() == 0);
}

TEST_CASE_FIXTURE(ForwarderFixture,
                  "a slow non-idempotent request gets 504 at the route's timeout, which "
                  "does not claim that it did not run") {
  SendRequest("POST", "/write/1", "Content-Length: 0\r\n");
  const TimePoint sent_at = MonotonicClock::now();
  (void)NextServerConnection();
  WaitForText("HTTP/1.1 504 ");
  const Duration took = MonotonicClock::now() - sent_at;
  CHECK(took >= milliseconds(590));
  CHECK(took < milliseconds(850));
  CHECK(RequestsAtServers() == 1);
}

TEST_CASE_FIXTURE(ForwarderFixture,
                  "at the exit, what may have run gets 504 and what waits gets 503") {
  constexpr std::size_t kSlots = 8;
  std::vector<std::unique_ptr<TestCaller>> callers;
  const auto send = [&] {
    callers.push_back(std::make_unique<TestCaller>(io));
    callers.back()->Connect(port);
    callers.back()->Write("POST /write/1 HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n\r\n");
  };
  for (std::size_t i = 0; i < kSlots; ++i) send();
  REQUIRE(RunUntil(io, [&] { return RequestsAtServers() == kSlots; }));
  for (int i = 0; i < 2; ++i) send();
  REQUIRE(RunUntil(io, [&] { return forwarder.calls() == kSlots + 2; }));
  forwarder.FailAll(MonotonicClock::now());
  CHECK(forwarder.calls() == 0);
  std::map<std::string, int> statuses;
  for (const auto& each : callers) {
    REQUIRE(RunUntil(io, [&] { return each->received.find("stopping") != std::string::npos; }));
    ++statuses[each->received.substr(std::string("HTTP/1.1 ").size(), 3)];
  }
  CHECK(statuses == std::map<std::string, int>{{"503", 2}, {"504", 8}});
  CHECK(RequestsAtServers() == kSlots);
  for (const ScriptedServer* scripted : {&first, &second}) {
    for (const auto& at : scripted->connections) CHECK(RunUntil(io, [&] { return at->ended; }));
  }
}

TEST_CASE_FIXTURE(ForwarderFixture, "when the caller leaves, the server's connection is closed") {
  SendRequest("POST", "/write/1", "Content-Length: 0\r\n");
  const auto at = NextServerConnection();
  caller.Close();
  CHECK(RunUntil(io, [&] { return at->ended; }));
  CHECK(forwarder.calls() == 0);
}

TEST_CASE_FIXTURE(ForwarderFixture,
                  "a server's error response is relayed when no time is left for a retry") {
  SendRequest("GET", "/read/1", "Left: 40\r\n");
  const auto at = NextServerConnection();
  RunFor(io, milliseconds(30));
  at->Write(Answer(504, "over"));
  WaitForText("over");
  CHECK(caller.received.find("Signature: s1") != std::string::npos);
}

TEST_CASE_FIXTURE(ForwarderFixture, "an unknown path is 404, and a request without a host is 400") {
  SUBCASE("path") {
    SendRequest("GET", "/elsewhere/1");
    WaitForText("HTTP/1.1 404 ");
  }
  SUBCASE("host") {
    caller.Write("GET /read/1 HTTP/1.1\r\nId: 7\r\n\r\n");
    WaitForText("HTTP/1.1 400 ");
  }
  CHECK(RequestsAtServers() == 0);
}

TEST_CASE_FIXTURE(ForwarderFixture,
                  "what a part of a split can't take is refused, not moved to another part") {
  Config split = config.config();
  split.version = ConfigVersion(2);
  const ServiceName other_service("other");
  split.services[other_service] = {.name = other_service, .health_path = "/health"};
  for (Route& route : split.routes) route.shares = {{search_service, 1}, {other_service, 1}};
  REQUIRE(config.Update(std::move(split)));
  // The service "other" has no server.
  constexpr std::size_t kRequests = 10;
  std::vector<std::unique_ptr<TestCaller>> callers;
  for (std::size_t i = 0; i < kRequests; ++i) {
    callers.push_back(std::make_unique<TestCaller>(io));
    callers.back()->Connect(port);
    callers.back()->Write("POST /write/1 HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n\r\n");
  }
  RunFor(io, milliseconds(100));
  const auto refused = std::count_if(callers.begin(), callers.end(), [](const auto& sender) {
    return sender->received.starts_with("HTTP/1.1 503 ");
  });
  CHECK(refused == kRequests / 2);
  CHECK(forwarder.calls() == kRequests / 2);
  CHECK(RequestsAtServers() == kRequests / 2);
}

TEST_CASE_FIXTURE(ForwarderFixture,
                  "without a server that accepts requests the caller gets 503 at once") {
  pool.Remove(ServerName("a"));
  pool.Remove(ServerName("b"));
  const TimePoint sent_at = MonotonicClock::now();
  SendRequest("POST", "/write/1", "Content-Length: 0\r\n");
  WaitForText("HTTP/1.1 503 ");
  CHECK(MonotonicClock::now() - sent_at < milliseconds(100));
}

TEST_CASE("without a configuration, requests get 503 rather than a final error") {
  asio::io_context io;
  FakeAdapter adapter;
  ActiveConfig config;
  ServerPool pool{PoolOptions{}};
  GatewayMetrics metrics;
  MemoryBudget memory(1 << 20);
  Forwarder forwarder({io, adapter, config, pool, metrics, memory, {}});
  CallerServer server(io, forwarder, &memory);
  forwarder.SetServer(&server);
  TestCaller caller(io);
  const std::uint16_t port = FreePort();
  REQUIRE(server.Open("127.0.0.1", port));
  caller.Connect(port);
  caller.Write("GET /read/1 HTTP/1.1\r\nHost: h.example\r\nId: 7\r\n\r\n");
  CHECK(RunUntil(io, [&] { return caller.received.find("HTTP/1.1 503 ") == 0; }));
}

TEST_CASE_FIXTURE(ForwarderFixture, "a response for a caller that does not read is held once") {
  constexpr std::size_t kPieceBytes = 64 * 1024;
  constexpr std::size_t kPieces = 96;
  constexpr std::size_t kSlack = 1 << 20;
  memory.SetLimit(4 * kPieces * kPieceBytes);
  SilentCaller silent(io, port);
  const std::string request = "GET /read/1 HTTP/1.1\r\nHost: h.example\r\nId: 7\r\n\r\n";
  asio::write(silent.socket, asio::buffer(request));
  const auto at = NextServerConnection();
  const std::string piece(kPieceBytes, 'r');
  const AllocationCounter allocations;
  SUBCASE("with a length") {
    at->Write("HTTP/1.1 200 OK\r\nId: 7\r\nSignature: s1\r\nContent-Length: " +
              std::to_string(kPieces * kPieceBytes) + "\r\n\r\n");
  }
  SUBCASE("without a length") {
    at->Write("HTTP/1.1 200 OK\r\nId: 7\r\nSignature: s1\r\nConnection: close\r\n\r\n");
  }
  for (std::size_t i = 0; i < kPieces; ++i) {
    at->Write(piece);
    RunFor(io, milliseconds(1));
  }
  at->Close();
  REQUIRE(RunUntil(io, [&] { return forwarder.calls() == 0; }));
  CHECK(allocations.peak() <= kPieces * kPieceBytes + kSlack);
  CHECK(memory.used() > 0);
  silent.socket.close();
  CHECK(RunUntil(io, [&] { return memory.used() == 0; }));
}

TEST_CASE_FIXTURE(ForwarderFixture,
                  "a body without an end does not cost other requests their responses") {
  constexpr std::size_t kPieceBytes = 16 * 1024;
  SendRequest("POST", "/write/1", "Content-Length: 0\r\n");
  const auto endless = NextServerConnection();
  TestCaller other(io);
  other.Connect(port);
  other.Write("POST /write/2 HTTP/1.1\r\nHost: h.example\r\nId: 7\r\nContent-Length: 0\r\n\r\n");
  const auto sound = NextServerConnection();
  endless->Write("HTTP/1.1 200 OK\r\nId: 7\r\nSignature: s1\r\n\r\n");
  const std::string piece(kPieceBytes, 'z');
  while (!endless->ended && memory.used() + 2 * kPieceBytes < 8 << 20) {
    endless->Write(piece);
    RunFor(io, milliseconds(1));
  }
  const std::string body(4 * kPieceBytes, 'b');
  sound->Write(Answer(200, body));
  RunUntil(io, [&] { return other.received.size() > body.size(); });
  CHECK(other.received.starts_with("HTTP/1.1 200"));
  CHECK(other.received.ends_with(body));
  endless->Close();
}

}  // namespace
}  // namespace mulberry::gateway
