#pragma once

#include <doctest/doctest.h>

#include <asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fake_backend_server.h"
#include "fake_store.h"
#include "gateway/scripted_server.h"
#include "gateway/test_caller.h"
#include "libgateway/gateway.h"
#include "platform/platform.h"

namespace mulberry::platform {

/// A configuration with one route, `read`, to a service.
inline std::string ConfigText(int version, const std::string& service) {
  return R"({"Version":"r)" + std::to_string(version) + R"(","Resources":[
    {"ResourceType":"Routes","Metadata":{"Name":"read"},"Spec":{"Host":"h.example",
     "PathPrefix":"/read/","RouteType":"safe","TimeoutMs":800,"TargetLatencyMs":200,"Priority":2,
     "Service":")" +
         service + R"(","Attempts":2}},
    {"ResourceType":"Services","Metadata":{"Name":"s"},"Spec":{"HealthPath":"/health",
     "MaxConnections":220,"WarmupS":3.0,"WarmupPerS":15.0}},
    {"ResourceType":"Services","Metadata":{"Name":"t"},"Spec":{"HealthPath":"/health",
     "MaxConnections":220,"WarmupS":3.0,"WarmupPerS":15.0}},
    {"ResourceType":"Limits","Metadata":{},"Spec":{"MaxHeaderBytes":8000,"MaxBodyBytes":100000,
     "HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}]})";
}

/// The store entry of a backend server.
inline std::string EntryText(const std::string& service, const std::string& address,
                             const std::string& state = "ready",
                             const std::string& version = "v1") {
  return R"({"Service":")" + service + R"(","Address":")" + address +
         R"(","Zone":"here","Version":")" + version + R"(","Slots":8,"State":")" + state +
         R"(","WarmupLeftMs":0,"Seq":1,"born":1700000000123})";
}

/// Complete nodes, a store and one backend server for each of two services, in one thread.
struct NodeFixture {
  NodeFixture() : store(io), server_one(io, "i-1", "s"), server_two(io, "i-2", "t") {
    store_address = Open(store);
    store.Put("keyed.op", "config", ConfigText(1, "s"));
    store.Put("keyed.servers", "i-1", EntryText("s", Open(server_one)));
    store.Put("keyed.servers", "i-2", EntryText("t", Open(server_two)));
  }

  template <class Server>
  std::string Open(Server& server) {
    const std::uint16_t port = gateway::FreePort();
    REQUIRE(server.Open("127.0.0.1", port));
    return "127.0.0.1:" + std::to_string(port);
  }

  gateway::GatewayNode& AddNode(const std::string& data_centre = "here") {
    const std::string number = std::to_string(nodes.size() + 1);
    gateway::GatewaySettings node_settings;
    node_settings.host = HostName("host-" + number);
    node_settings.data_centre = DataCentreName(data_centre);
    node_settings.ip = "127.0.0." + number;
    node_settings.callers = node_settings.ip + ":" + std::to_string(gateway::FreePort());
    node_settings.readiness = node_settings.ip + ":" + std::to_string(gateway::FreePort());
    node_settings.directory = node_settings.ip + ":" + std::to_string(gateway::FreePort());
    node_settings.peer_port = gateway::FreePort();
    node_settings.metrics_port = gateway::FreePort();
    node_settings.store_address = store_address;
    node_settings.first_start = true;
    node_settings.leaving_bound = std::chrono::milliseconds(800);
    node_settings.grace = std::chrono::seconds(4);
    if (change_settings) change_settings(&node_settings);
    node_settings.caps = caps;
    node_settings.revocation = revocation;
    settings.push_back(node_settings);
    nodes.push_back(std::make_unique<gateway::GatewayNode>(io, node_settings, *adapter,
                                                           StartId(nodes.size() + 1)));
    REQUIRE(nodes.back()->Start());
    return *nodes.back();
  }

  /// Sends one request on a new connection and returns everything received until it closes.
  std::string Get(const std::string& address, const std::string& target) {
    gateway::TestCaller caller(io);
    caller.Connect(address);
    caller.Write("GET " + target + " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: q" +
                 std::to_string(++requests_sent) + "\r\nConnection: close\r\n\r\n");
    gateway::RunUntil(io, [&] { return caller.ended; });
    return caller.received;
  }
  bool IsReady(std::size_t node) {
    return Get(settings[node].readiness, "/readiness").starts_with("HTTP/1.1 200");
  }
  std::string Addresses(std::size_t node) {
    return Get(settings[node].directory, "/resolve?Name=h.example&Region=r&Zone=here");
  }
  bool Advertises(std::size_t queried_node, std::size_t advertised_node) {
    return Addresses(queried_node).find(settings[advertised_node].callers) != std::string::npos;
  }

  asio::io_context io;
  std::unique_ptr<gateway::PlatformAdapter> adapter = MakeAdapter();
  FakeStore store;
  FakeBackendServer server_one;
  FakeBackendServer server_two;
  std::string store_address;
  /// Called with the settings of each node before it starts.
  std::function<void(gateway::GatewaySettings*)> change_settings;
  workspace::CapLimits caps;  ///< Of the nodes that are added from now on.
  /// For nodes that are added from now on.
  workspace::RevocationLimits revocation;
  std::vector<gateway::GatewaySettings> settings;
  std::vector<std::unique_ptr<gateway::GatewayNode>> nodes;
  int requests_sent = 0;
};

}  // namespace mulberry::platform
