#include <doctest/doctest.h>
#include <spdlog/spdlog.h>

#include <asio/io_context.hpp>
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
namespace {

using gateway::FreePort;
using gateway::GatewayNode;
using gateway::GatewaySettings;
using gateway::RunFor;
using gateway::RunUntil;
using gateway::TestCaller;
using std::chrono::milliseconds;
using std::chrono::seconds;

std::string ConfigText(int version, const std::string& service) {
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

std::string EntryText(const std::string& service, const std::string& address,
                      const std::string& state = "ready") {
  return R"({"Service":")" + service + R"(","Address":")" + address +
         R"(","Zone":"here","Version":"v1","Slots":8,"State":")" + state +
         R"(","WarmupLeftMs":0,"Seq":1,"born":1700000000123})";
}

/// Whole nodes, a store and one backend server for each of two services, in one thread.
struct Fixture {
  Fixture() : store(io), one(io, "i-1", "s"), two(io, "i-2", "t") {
    store_address = Open(store);
    store.Put("keyed.op", "config", ConfigText(1, "s"));
    store.Put("keyed.servers", "i-1", EntryText("s", Open(one)));
    store.Put("keyed.servers", "i-2", EntryText("t", Open(two)));
  }

  template <class StandIn>
  std::string Open(StandIn& stand_in) {
    const std::uint16_t port = FreePort(io);
    REQUIRE(stand_in.Open("127.0.0.1", port));
    return "127.0.0.1:" + std::to_string(port);
  }

  GatewayNode& AddNode(const std::string& data_centre = "here") {
    const std::string number = std::to_string(nodes.size() + 1);
    GatewaySettings own;
    own.host = HostName("host-" + number);
    own.data_centre = DataCentreName(data_centre);
    own.ip = "127.0.0." + number;
    own.callers = own.ip + ":" + std::to_string(FreePort(io));
    own.readiness = own.ip + ":" + std::to_string(FreePort(io));
    own.directory = own.ip + ":" + std::to_string(FreePort(io));
    own.peer_port = FreePort(io);
    own.metrics_port = FreePort(io);
    own.store_address = store_address;
    own.first_start = true;
    own.leaving_bound = milliseconds(800);
    own.grace = seconds(4);
    settings.push_back(own);
    nodes.push_back(std::make_unique<GatewayNode>(io, own, *adapter, StartId(nodes.size() + 1)));
    REQUIRE(nodes.back()->Start());
    return *nodes.back();
  }

  /// Sends one request on a new connection and returns what comes back until it closes.
  std::string Ask(const std::string& address, const std::string& target) {
    TestCaller caller(io);
    caller.Connect(address);
    caller.Write("GET " + target + " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: q" +
                 std::to_string(++asked) + "\r\nConnection: close\r\n\r\n");
    RunUntil(io, [&] { return caller.ended; });
    return caller.received;
  }
  bool IsReady(std::size_t node) {
    return Ask(settings[node].readiness, "/readiness").starts_with("HTTP/1.1 200");
  }
  std::string Addresses(std::size_t node) {
    return Ask(settings[node].directory, "/resolve?Name=h.example&Region=r&Zone=here");
  }
  bool Names(std::size_t asked_node, std::size_t named) {
    return Addresses(asked_node).find(settings[named].callers) != std::string::npos;
  }

  asio::io_context io;
  std::unique_ptr<gateway::PlatformAdapter> adapter = MakeAdapter();
  FakeStore store;
  FakeBackendServer one;
  FakeBackendServer two;
  std::string store_address;
  std::vector<GatewaySettings> settings;
  std::vector<std::unique_ptr<GatewayNode>> nodes;
  int asked = 0;
};

TEST_CASE_FIXTURE(Fixture, "a node that starts is ready once it has read the store, and serves") {
  AddNode();
  CHECK_FALSE(IsReady(0));
  CHECK(RunUntil(io, [&] { return IsReady(0); }));
  CHECK(Names(0, 0));
  const std::string answer = Ask(settings[0].callers, "/read/x");
  CHECK(answer.starts_with("HTTP/1.1 200"));
  CHECK(answer.find("X-Response-Signature: i-1.") != std::string::npos);
  CHECK(Ask(settings[0].callers, "/else/x").starts_with("HTTP/1.1 404"));
}

TEST_CASE_FIXTURE(Fixture, "a node that can't read the store refuses, and is ready soon after") {
  store.SetMode(StoreMode::kUnavailable);
  AddNode();
  RunFor(io, milliseconds(1500));
  CHECK_FALSE(IsReady(0));
  CHECK(Ask(settings[0].callers, "/read/x").starts_with("HTTP/1.1 503"));
  store.SetMode(StoreMode::kServing);
  const TimePoint returned = MonotonicClock::now();
  CHECK(RunUntil(io, [&] { return IsReady(0); }));
  CHECK(MonotonicClock::now() - returned < seconds(2));
}

TEST_CASE_FIXTURE(Fixture, "a store that loses answers is found again") {
  AddNode();
  REQUIRE(RunUntil(io, [&] { return IsReady(0); }));
  store.SetMode(StoreMode::kDropsResponses);
  RunFor(io, milliseconds(1500));
  store.SetMode(StoreMode::kServing);
  store.Put("keyed.op", "config", ConfigText(2, "t"));
  const TimePoint changed = MonotonicClock::now();
  CHECK(RunUntil(
      io, [&] { return Ask(settings[0].callers, "/read/x").find("i-2.") != std::string::npos; }));
  CHECK(MonotonicClock::now() - changed < seconds(3));
}

TEST_CASE_FIXTURE(Fixture, "a change of the configuration reaches nodes that do not read") {
  for (int i = 0; i < 4; ++i) AddNode();
  REQUIRE(RunUntil(io, [&] { return IsReady(0) && IsReady(3); }));
  RunFor(io, seconds(1));
  const std::uint64_t before = store.calls();
  store.Put("keyed.op", "config", ConfigText(2, "t"));
  RunFor(io, milliseconds(300));
  for (const GatewaySettings& node : settings) {
    CHECK(Ask(node.callers, "/read/x").find("i-2.") != std::string::npos);
  }
  // Two readers: each its read that was waiting, the next one, and reads of servers.
  CHECK(store.calls() - before <= 8);
}

TEST_CASE_FIXTURE(Fixture, "nodes that hear what others read make few calls") {
  for (int i = 0; i < 8; ++i) AddNode();
  REQUIRE(RunUntil(io, [&] { return IsReady(0) && IsReady(7); }));
  // Each start: own record, list of hosts, and the newest and next records of two topics.
  CHECK(store.calls() <= 8 * 6);
  RunFor(io, seconds(1));
  const std::uint64_t before = store.calls();
  RunFor(io, seconds(2));
  // Two readers, each with some 3.6 reads of servers and 0.5 of operators a second.
  CHECK(store.calls() - before <= 20);
}

TEST_CASE_FIXTURE(Fixture, "a store that refuses all is tried by few") {
  for (int i = 0; i < 8; ++i) AddNode();
  REQUIRE(RunUntil(io, [&] { return IsReady(0) && IsReady(7); }));
  RunFor(io, seconds(1));
  store.SetMode(StoreMode::kUnavailable);
  const std::uint64_t before = store.calls();
  RunFor(io, seconds(4));
  // Each host finds out once in each topic; then two go on trying after 0.75 to 1.5 s, and the
  // others after 2 to 4 s.
  CHECK(store.calls() - before <= 8 * 2 + 2 * 2 * 5 + 6 * 2 * 2);
  store.SetMode(StoreMode::kServing);
  store.Put("keyed.op", "config", ConfigText(2, "t"));
  RunFor(io, milliseconds(1800));
  for (const GatewaySettings& node : settings) {
    CHECK(Ask(node.callers, "/read/x").find("i-2.") != std::string::npos);
  }
}

TEST_CASE_FIXTURE(Fixture, "a reader whose last read failed reads soon when others have read on") {
  gateway::StoreClient client(io, store_address);
  int records = 0;
  gateway::StoreReader reader(
      io, client, *adapter, gateway::Topic::kOperator, {.wait = seconds(2)},
      [&](const gateway::TopicRecord&) { ++records; }, [](Offset) {});
  reader.Start();
  REQUIRE(RunUntil(io, [&] { return reader.complete(); }));
  reader.SetSuspended(true);
  store.SetMode(StoreMode::kUnavailable);
  reader.RequestRead();
  REQUIRE(RunUntil(io, [&] { return reader.failing(); }));
  store.SetMode(StoreMode::kServing);
  store.Put("keyed.op", "config", ConfigText(2, "t"));
  const std::uint64_t before = store.calls();
  for (int i = 0; i < 10; ++i) {
    reader.RequestRead();
    RunFor(io, milliseconds(70));
  }
  CHECK(records == 2);
  CHECK(store.calls() - before <= 3);
}

TEST_CASE_FIXTURE(Fixture, "after a change of the store's address nothing is sent to the old one") {
  FakeStore other(io);
  const std::string other_address = Open(other);
  gateway::StoreClient client(io, store_address);
  int answers = 0;
  const auto count = [&](const Result<gateway::HttpMessage>&) { ++answers; };
  client.Call(adapter->ReadRecords(gateway::Topic::kHosts, Offset(0), milliseconds(200)),
              seconds(2), count);
  RunFor(io, milliseconds(50));
  client.SetAddress(other_address);
  REQUIRE(RunUntil(io, [&] { return answers == 1; }));
  client.Call(adapter->ReadNewest(gateway::Topic::kHosts, ""), seconds(2), count);
  REQUIRE(RunUntil(io, [&] { return answers == 2; }));
  CHECK(store.calls() == 1);
  CHECK(other.calls() == 1);
}

TEST_CASE_FIXTURE(Fixture, "a leaving server gets nothing at any node soon after it said so") {
  store.Put("keyed.servers", "i-3", EntryText("s", "127.0.0.1:1"));
  for (int i = 0; i < 3; ++i) AddNode();
  REQUIRE(RunUntil(io, [&] { return IsReady(0) && IsReady(2); }));
  RunFor(io, seconds(1));
  store.Put("keyed.servers", "i-1", EntryText("s", "127.0.0.1:1", "draining"));
  RunFor(io, std::chrono::duration_cast<milliseconds>(settings[0].leaving_bound));
  const std::size_t runs = one.runs().size();
  for (const GatewaySettings& node : settings) Ask(node.callers, "/read/x");
  CHECK(one.runs().size() == runs);
}

TEST_CASE_FIXTURE(Fixture, "a node that stops finishes what it has and is named no more") {
  AddNode();
  AddNode();
  REQUIRE(RunUntil(io, [&] { return IsReady(0) && IsReady(1); }));
  REQUIRE(RunUntil(io, [&] { return Names(1, 0) && Names(0, 1); }));
  one.SetServiceTime(milliseconds(300));
  TestCaller caller(io);
  caller.Connect(settings[0].callers);
  caller.Write("GET /read/a HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: a\r\n\r\n");
  RunFor(io, milliseconds(100));
  nodes[0]->Stop();
  RunFor(io, milliseconds(50));
  CHECK_FALSE(IsReady(0));
  CHECK_FALSE(Names(0, 0));
  CHECK_FALSE(Names(1, 0));
  CHECK(Names(1, 1));
  // The kept connection is served to the end of what was sent on it, and closes.
  CHECK(RunUntil(io, [&] { return caller.ended; }));
  CHECK(caller.received.starts_with("HTTP/1.1 200"));
  CHECK(caller.received.find("Connection: close") != std::string::npos);
  // Callers that still have the address are served too.
  CHECK(Ask(settings[0].callers, "/read/b").starts_with("HTTP/1.1 200"));
}

TEST_CASE_FIXTURE(Fixture, "a node that started anew is taken as ready by the others") {
  AddNode();
  AddNode();
  REQUIRE(RunUntil(io, [&] { return Names(1, 0); }));
  const GatewaySettings again = settings[0];
  nodes[0].reset();
  CHECK(RunUntil(io, [&] { return !Names(1, 0); }));
  const std::uint64_t calls = store.calls();
  GatewaySettings later = again;
  later.first_start = false;
  nodes[0] = std::make_unique<GatewayNode>(io, later, *adapter, StartId(77));
  REQUIRE(nodes[0]->Start());
  CHECK(RunUntil(io, [&] { return Names(1, 0); }));
  CHECK(IsReady(0));
  CHECK(store.Keys("keyed.hosts") == 2);
  CHECK(store.calls() - calls <= 12);
}

TEST_CASE_FIXTURE(Fixture, "settings that are read anew change the bounds and the log's level") {
  GatewayNode& node = AddNode();
  REQUIRE(RunUntil(io, [&] { return IsReady(0); }));
  RunFor(io, milliseconds(500));
  GatewaySettings changed = settings[0];
  changed.leaving_bound = milliseconds(8000);
  changed.log_level = "error";
  node.Reload(changed);
  // The read that was due before still comes, and the waiting read of operators.
  RunFor(io, milliseconds(500));
  const std::uint64_t before = store.calls();
  RunFor(io, milliseconds(1500));
  CHECK(store.calls() - before <= 2);
  CHECK(spdlog::get_level() == spdlog::level::err);
  changed.log_level = "info";
  node.Reload(changed);
  CHECK(spdlog::get_level() == spdlog::level::info);
}

}  // namespace
}  // namespace mulberry::platform
