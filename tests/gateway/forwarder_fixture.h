#pragma once

#include <doctest/doctest.h>

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "fake_adapter.h"
#include "libgateway/forwarder.h"
#include "scripted_server.h"
#include "test_caller.h"

namespace mulberry::gateway {

inline const ServiceName search_service("search");

/// A forwarder with two scripted servers.
struct ForwarderFixture {
  ForwarderFixture()
      : pool({.data_centre = DataCentreName("here")}),
        first(io),
        second(io),
        forwarder({io,
                   adapter,
                   config,
                   pool,
                   metrics,
                   memory,
                   {.ratio = 0.2, .window = std::chrono::seconds(10), .slack = 1000}}),
        server(io, forwarder, &memory),
        caller(io) {
    Config initial = FirstConfig();
    pool.SetServices(initial.services);
    REQUIRE(config.Update(std::move(initial)));
    AddServer("a", first.address());
    AddServer("b", second.address());
    forwarder.SetServer(&server);
    forwarder.SetSlackShare(1);
    port = FreePort();
    REQUIRE(server.Open("127.0.0.1", port));
    caller.Connect(port);
  }

  /// The configuration in force at the start: an idempotent and a non-idempotent route.
  static Config FirstConfig() {
    Config initial;
    initial.version = ConfigVersion(1);
    for (const bool idempotent : {true, false}) {
      Route route;
      route.name = idempotent ? "read" : "write";
      route.host = "h.example";
      route.path_prefix = idempotent ? "/read/" : "/write/";
      route.idempotent = idempotent;
      route.timeout = std::chrono::milliseconds(600);
      route.latency_target = std::chrono::milliseconds(300);
      route.max_attempts = 2;
      route.shares = {{search_service, 1}};
      initial.routes.push_back(route);
    }
    initial.services[search_service] = {.name = search_service, .health_path = "/health"};
    return initial;
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
  MemoryBudget memory{8 << 20};
  ScriptedServer first;
  ScriptedServer second;
  Forwarder forwarder;
  CallerServer server;
  TestCaller caller;
  std::uint16_t port = 0;
  std::set<const void*> seen;
};

}  // namespace mulberry::gateway
