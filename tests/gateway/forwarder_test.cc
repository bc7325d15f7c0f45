#include "libgateway/forwarder.h"

#include <doctest/doctest.h>

#include <map>
#include <set>

#include "fake_adapter.h"
#include "scripted_server.h"
#include "test_caller.h"

namespace mulberry::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceName search_service("search");

/// A gateway's forwarding with two scripted servers behind it.
struct Fixture {
  Fixture()
      : pool({.data_centre = DataCentreName("here")}),
        first(io),
        second(io),
        forwarder({io,
                   adapter,
                   config,
                   pool,
                   metrics,
                   {.ratio = 0.2, .window = seconds(10), .slack = 1000}}),
        server(io, forwarder),
        caller(io) {
    Config offered;
    offered.version = ConfigVersion(1);
    for (const bool idempotent : {true, false}) {
      Route route;
      route.name = idempotent ? "read" : "write";
      route.host = "h.example";
      route.path_prefix = idempotent ? "/read/" : "/write/";
      route.idempotent = idempotent;
      route.timeout = milliseconds(600);
      route.latency_target = milliseconds(300);
      route.max_attempts = 2;
      route.shares = {{search_service, 1}};
      offered.routes.push_back(route);
    }
    offered.services[search_service] = {.name = search_service, .health_path = "/health"};
    pool.SetServices(offered.services);
    REQUIRE(config.Update(std::move(offered)));
    AddServer("a", first.address());
    AddServer("b", second.address());
    forwarder.SetServer(&server);
    forwarder.SetSlackShare(1);
    const std::uint16_t port = FreePort(io);
    REQUIRE(server.Open("127.0.0.1", port));
    caller.Connect(port);
  }

  void AddServer(const std::string& id, const std::string& address) {
    ServerEntry entry;
    entry.id = ServerName(id);
    entry.service = search_service;
    entry.address = address;
    entry.data_centre = DataCentreName("here");
    entry.slots = 4;
    pool.Put(entry, MonotonicClock::now());
  }

  void Ask(const std::string& method, const std::string& path, const std::string& extra = "") {
    caller.Write(method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nId: 7\r\n" + extra +
                 "\r\n");
  }

  /// Waits for the next request at either server, and returns its connection.
  std::shared_ptr<ScriptedServer::Connection> NextAtServer() {
    std::shared_ptr<ScriptedServer::Connection> found;
    const bool came = RunUntil(io, [&] {
      for (ScriptedServer* one : {&first, &second}) {
        for (const auto& connection : one->connections) {
          if (connection->received.find("\r\n\r\n") == std::string::npos) continue;
          if (!seen.insert(connection.get()).second) continue;
          found = connection;
          return true;
        }
      }
      return false;
    });
    REQUIRE(came);
    return found;
  }

  void WaitReceived(const std::string& text) {
    CAPTURE(text);
    CAPTURE(caller.received);
    REQUIRE(RunUntil(io, [&] { return caller.received.find(text) != std::string::npos; }));
  }

  std::size_t RequestsAtServers() const {
    std::size_t count = 0;
    for (const ScriptedServer* one : {&first, &second}) {
      for (const auto& connection : one->connections) {
        if (!connection->received.empty()) ++count;
      }
    }
    return count;
  }

  static std::string Answer(int status, const std::string& body, const std::string& extra = "") {
    return "HTTP/1.1 " + std::to_string(status) + " Text\r\nId: 7\r\nSignature: s1\r\n" + extra +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  asio::io_context io;
  FakeAdapter adapter;
  ActiveConfig config;
  ServerPool pool;
  GatewayMetrics metrics;
  ScriptedServer first;
  ScriptedServer second;
  Forwarder forwarder;
  CallerServer server;
  TestCaller caller;
  std::set<const void*> seen;
};

TEST_CASE_FIXTURE(Fixture,
                  "a request reaches a server with its identity and the time that is left") {
  Ask("POST", "/write/1?x=2",
      "Left: 500\r\nContent-Length: 3\r\nConnection: X-Hop\r\nX-Hop: 1\r\n"
      "X-End: 2\r\n");
  caller.Write("abc");
  const auto at = NextAtServer();
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
  WaitReceived("made");
  CHECK(caller.received.starts_with("HTTP/1.1 201 Text\r\n"));
  CHECK(caller.received.find("Signature: s1") != std::string::npos);
}

TEST_CASE_FIXTURE(Fixture, "an idempotent request is sent once more after a broken answer") {
  Ask("GET", "/read/1");
  const auto at = NextAtServer();
  at->Write("HTTP/1.1 200 OK\r\nId: 7\r\nSignature: s\r\nContent-Length: 9\r\n\r\nhalf");
  RunFor(io, milliseconds(5));
  at->Close();
  const auto again = NextAtServer();
  again->Write(Answer(200, "whole"));
  WaitReceived("whole");
  CHECK(caller.received.find("half") == std::string::npos);
}

TEST_CASE_FIXTURE(Fixture, "a non-idempotent request whose answer was lost is not sent again") {
  Ask("POST", "/write/1", "Content-Length: 0\r\n");
  const auto at = NextAtServer();
  SUBCASE("reset") { at->Reset(); }
  SUBCASE("closed") { at->Close(); }
  SUBCASE("no answer at all") { at->Write("garbage\r\n\r\n"); }
  SUBCASE("without the signature") {
    at->Write("HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 0\r\n\r\n");
  }
  SUBCASE("a status that promises that it has not run") { at->Write(Answer(503, "")); }
  WaitReceived("502");
  RunFor(io, milliseconds(50));
  CHECK(RequestsAtServers() == 1);
}

TEST_CASE_FIXTURE(Fixture,
                  "a non-idempotent request that provably did not run goes to another server") {
  Ask("POST", "/write/1", "Content-Length: 0\r\n");
  const auto at = NextAtServer();
  SUBCASE("shed") {
    at->Write("HTTP/1.1 503 Busy\r\nId: 7\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
  }
  SUBCASE("misdirected") { at->Write("HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n"); }
  const auto again = NextAtServer();
  again->Write(Answer(200, "done"));
  WaitReceived("done");
}

TEST_CASE_FIXTURE(Fixture,
                  "all servers shed: the caller is told that it has not run, and when to "
                  "come back") {
  Ask("POST", "/write/1", "Content-Length: 0\r\n");
  for (int i = 0; i < 2; ++i) {
    NextAtServer()->Write("HTTP/1.1 503 Busy\r\nId: 7\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
  }
  WaitReceived("HTTP/1.1 503 ");
  CHECK(caller.received.find("Retry-After: ") != std::string::npos);
}

TEST_CASE_FIXTURE(Fixture, "a slow idempotent request is sent to a second server, once") {
  Ask("GET", "/read/1");
  const auto slow = NextAtServer();
  const auto fast = NextAtServer();
  fast->Write(Answer(200, "fast"));
  WaitReceived("fast");
  // The slow answer goes nowhere, and its connection is used again.
  slow->Write(Answer(200, "slow"));
  RunFor(io, milliseconds(20));
  CHECK(caller.received.find("slow") == std::string::npos);
  CHECK(forwarder.calls() == 0);
}

TEST_CASE_FIXTURE(Fixture,
                  "a slow non-idempotent request is answered at the route's timeout and "
                  "never told not to have run") {
  Ask("POST", "/write/1", "Content-Length: 0\r\n");
  const TimePoint asked = MonotonicClock::now();
  (void)NextAtServer();
  WaitReceived("HTTP/1.1 504 ");
  const Duration took = MonotonicClock::now() - asked;
  CHECK(took >= milliseconds(590));
  CHECK(took < milliseconds(850));
  CHECK(RequestsAtServers() == 1);
}

TEST_CASE_FIXTURE(Fixture, "when the caller leaves, the server's connection is closed") {
  Ask("POST", "/write/1", "Content-Length: 0\r\n");
  const auto at = NextAtServer();
  caller.Close();
  CHECK(RunUntil(io, [&] { return at->ended; }));
  CHECK(forwarder.calls() == 0);
}

TEST_CASE_FIXTURE(Fixture, "a server's failure is passed on when no time is left for another try") {
  Ask("GET", "/read/1", "Left: 40\r\n");
  const auto at = NextAtServer();
  RunFor(io, milliseconds(30));
  at->Write(Answer(504, "over"));
  WaitReceived("over");
  CHECK(caller.received.find("Signature: s1") != std::string::npos);
}

TEST_CASE_FIXTURE(Fixture, "an unknown path is 404, and a request without a host is 400") {
  SUBCASE("path") {
    Ask("GET", "/elsewhere/1");
    WaitReceived("HTTP/1.1 404 ");
  }
  SUBCASE("host") {
    caller.Write("GET /read/1 HTTP/1.1\r\nId: 7\r\n\r\n");
    WaitReceived("HTTP/1.1 400 ");
  }
  CHECK(RequestsAtServers() == 0);
}

TEST_CASE_FIXTURE(Fixture, "without a server that takes requests the caller is told at once") {
  pool.Remove(ServerName("a"));
  pool.Remove(ServerName("b"));
  const TimePoint asked = MonotonicClock::now();
  Ask("POST", "/write/1", "Content-Length: 0\r\n");
  WaitReceived("HTTP/1.1 503 ");
  CHECK(MonotonicClock::now() - asked < milliseconds(100));
}

TEST_CASE("before a configuration is known, nothing is denied for good") {
  asio::io_context io;
  FakeAdapter adapter;
  ActiveConfig config;
  ServerPool pool{PoolOptions{}};
  GatewayMetrics metrics;
  Forwarder forwarder({io, adapter, config, pool, metrics, {}});
  CallerServer server(io, forwarder);
  forwarder.SetServer(&server);
  TestCaller caller(io);
  const std::uint16_t port = FreePort(io);
  REQUIRE(server.Open("127.0.0.1", port));
  caller.Connect(port);
  caller.Write("GET /read/1 HTTP/1.1\r\nHost: h.example\r\nId: 7\r\n\r\n");
  CHECK(RunUntil(io, [&] { return caller.received.find("HTTP/1.1 503 ") == 0; }));
}

}  // namespace
}  // namespace mulberry::gateway
