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

/// A forwarder with two scripted servers.
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
    Config initial;
    initial.version = ConfigVersion(1);
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
      initial.routes.push_back(route);
    }
    initial.services[search_service] = {.name = search_service, .health_path = "/health"};
    pool.SetServices(initial.services);
    REQUIRE(config.Update(std::move(initial)));
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

  void SendRequest(const std::string& method, const std::string& path,
                   const std::string& extra = "") {
    caller.Write(method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nId: 7\r\n" + extra +
                 "\r\n");
  }

  /// Waits for the next request at either server and returns its connection.
  std::shared_ptr<ScriptedServer::Connection> NextServerConnection() {
    std::shared_ptr<ScriptedServer::Connection> found;
    const bool came = RunUntil(io, [&] {
      for (ScriptedServer* scripted : {&first, &second}) {
        for (const auto& connection : scripted->connections) {
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

  void WaitForText(const std::string& text) {
    CAPTURE(text);
    CAPTURE(caller.received);
    REQUIRE(RunUntil(io, [&] { return caller.received.find(text) != std::string::npos; }));
  }

  std::size_t RequestsAtServers() const {
    std::size_t count = 0;
    for (const ScriptedServer* scripted : {&first, &second}) {
      for (const auto& connection : scripted->connections) {
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

TEST_CASE_FIXTURE(Fixture, "a request reaches a server with the target id and the remaining time") {
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

TEST_CASE_FIXTURE(Fixture, "an idempotent request is retried after a truncated response") {
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

TEST_CASE_FIXTURE(Fixture, "a non-idempotent request whose response was lost is not retried") {
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

TEST_CASE_FIXTURE(Fixture,
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

TEST_CASE_FIXTURE(Fixture,
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

TEST_CASE_FIXTURE(Fixture, "a slow idempotent request is sent to a second server, once") {
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

TEST_CASE_FIXTURE(Fixture,
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

TEST_CASE_FIXTURE(Fixture, "when the caller leaves, the server's connection is closed") {
  SendRequest("POST", "/write/1", "Content-Length: 0\r\n");
  const auto at = NextServerConnection();
  caller.Close();
  CHECK(RunUntil(io, [&] { return at->ended; }));
  CHECK(forwarder.calls() == 0);
}

TEST_CASE_FIXTURE(Fixture,
                  "a server's error response is relayed when no time is left for a retry") {
  SendRequest("GET", "/read/1", "Left: 40\r\n");
  const auto at = NextServerConnection();
  RunFor(io, milliseconds(30));
  at->Write(Answer(504, "over"));
  WaitForText("over");
  CHECK(caller.received.find("Signature: s1") != std::string::npos);
}

TEST_CASE_FIXTURE(Fixture, "an unknown path is 404, and a request without a host is 400") {
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

TEST_CASE_FIXTURE(Fixture, "without a server that accepts requests the caller gets 503 at once") {
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
