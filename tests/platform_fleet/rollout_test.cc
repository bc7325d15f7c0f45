#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "platform/node_fixture.h"

namespace mulberry::platform {
namespace {

constexpr const char* kOrderKey = "rollout/s";

std::string OrderText(const std::string& target, int seconds) {
  return R"({"Service":"s","TargetVersion":")" + target + R"(","DurationS":)" +
         std::to_string(seconds) + "}";
}

/// Two nodes, of which the first one decides, and servers of service s with version v2.
struct RolloutFixture : NodeFixture {
  RolloutFixture() {
    change_settings = [](gateway::GatewaySettings* node) {
      node->rollout = rollout::Limits{0.1, 50, std::chrono::milliseconds(5000)};
      // The host of most capacity ranks first.
      if (node->host == HostName("host-1")) node->processor_share = 2;
    };
  }
  void AddNodes() {
    AddNode();
    AddNode();
    gateway::RunUntil(io, [&] { return IsReady(0) && IsReady(1); });
    // Started beside the old one, enough for both halves of the version's servers.
    for (const char* id : {"i-3", "i-4", "i-5", "i-6", "i-7"}) {
      targets.push_back(std::make_unique<FakeBackendServer>(io, id, "s"));
      store.Put("keyed.servers", id, EntryText("s", Open(*targets.back()), "ready", "v2"));
    }
    // Each knows that the other one is alive.
    gateway::RunFor(io, std::chrono::milliseconds(900));
  }
  void Order(const std::string& text) { store.Put("keyed.op", kOrderKey, text); }
  std::string Status() { return store.Value("keyed.status", kOrderKey); }
  bool HasState(const std::string& state) {
    return Status().find("\"State\":\"" + state + "\"") != std::string::npos;
  }
  /// Sends requests to the nodes that are left until the state is in the store; returns whether it
  /// is within the time.
  bool SendUntil(const std::string& state, std::chrono::milliseconds time) {
    const TimePoint end = MonotonicClock::now() + time;
    while (!HasState(state) && MonotonicClock::now() < end) SendOnce();
    return HasState(state);
  }
  void SendFor(std::chrono::milliseconds time) {
    const TimePoint end = MonotonicClock::now() + time;
    while (MonotonicClock::now() < end) SendOnce();
  }
  void SendOnce() {
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      if (nodes[i]) Get(settings[i].callers, "/read/x");
    }
  }

  void SetTargetMode(BackendMode mode) {
    for (auto& server : targets) server->SetMode(mode);
  }
  std::size_t TargetRuns() const {
    std::size_t runs = 0;
    for (const auto& server : targets) runs += server->runs().size();
    return runs;
  }

  std::vector<std::unique_ptr<FakeBackendServer>> targets;
};

TEST_CASE("reports and states of a rollout survive the wire") {
  // Guards against a field that is lost, such as the time that proves how old a state is.
  gateway::PeerMessage message;
  message.heartbeat.record = {HostName("a"), DataCentreName("here"), "127.0.0.1:1"};
  message.heartbeat.caller_address = "127.0.0.1:2";
  rollout::HostRollout host(
      {ServiceName("s"), ServerVersion("v2"), std::chrono::milliseconds(12000)}, TimePoint());
  host.OnRequest();
  host.OnSentToTarget("r");
  host.OnResponse("r", rollout::ServerGroup::kTargetSecondHalf, true, Duration(5));
  host.OnResponse("r", rollout::ServerGroup::kOther, false, std::chrono::milliseconds(70));
  message.rollout_report = host.MakeReport(3, TimePoint(std::chrono::seconds(5)));
  rollout::StateUpdate state;
  state.service = ServiceName("s");
  state.target = ServerVersion("v2");
  state.phase = rollout::Phase::kRolledBack;
  state.recorded = true;
  state.reason = "failures";
  state.host_time = 77;
  state.granted = 8;
  state.exposed = 9;
  message.rollout_state = state;
  const auto decoded = gateway::DecodePeerMessage(gateway::EncodePeerMessage(message));
  REQUIRE(decoded);
  const rollout::Report& report = *decoded.value().rollout_report;
  CHECK(report.order == host.order());
  CHECK(report.evidence == host.evidence());
  CHECK(report.host_time == 5'000'000);
  CHECK(report.age == std::chrono::seconds(5));
  CHECK(report.requests == 1);
  CHECK(report.sent == 1);
  CHECK(report.others_in_flight == 3);
  const rollout::StateUpdate& received = *decoded.value().rollout_state;
  CHECK(received.phase == rollout::Phase::kRolledBack);
  CHECK(received.recorded);
  CHECK(received.reason == "failures");
  CHECK(received.host_time == 77);
  CHECK(received.granted == 8);
  CHECK(received.exposed == 9);
}

TEST_CASE_FIXTURE(RolloutFixture, "a good version gets nothing before the order and all after") {
  // Guards against requests that no order allows, and against one to a server that was stopped.
  AddNodes();
  const std::uint64_t calls = store.calls();
  SendFor(std::chrono::milliseconds(300));
  CHECK(TargetRuns() == 0);
  CHECK(Status().empty());
  Order(OrderText("v2", 6));
  CHECK(SendUntil("running", std::chrono::seconds(3)));
  CHECK(SendUntil("completed", std::chrono::milliseconds(6000)));
  const std::size_t old_runs = server_one.runs().size();
  SendFor(std::chrono::milliseconds(300));
  CHECK(server_one.runs().size() == old_runs);
  CHECK(TargetRuns() > 0);
  // The status: one read, two writes, and the reads of the other topics.
  CHECK(store.calls() - calls < 60);
  // An order for the same version changes nothing.
  const std::uint64_t end = store.End("keyed.status");
  Order(OrderText("v2", 6));
  SendFor(std::chrono::milliseconds(600));
  CHECK(store.End("keyed.status") == end);
  CHECK(HasState("completed"));
}

TEST_CASE_FIXTURE(RolloutFixture,
                  "a version that fails is taken back, also with the order in place") {
  // Guards against a version that is tried again after it was taken back.
  AddNodes();
  SetTargetMode(BackendMode::kFailing);
  Order(OrderText("v2", 8));
  CHECK(SendUntil("rolled_back", std::chrono::seconds(8)));
  CHECK(Status().find("failures") != std::string::npos);
  const std::size_t runs = TargetRuns();
  SendFor(std::chrono::milliseconds(400));
  Order(OrderText("v2", 8));
  SendFor(std::chrono::milliseconds(400));
  CHECK(TargetRuns() == runs);
  CHECK(HasState("rolled_back"));
}

TEST_CASE_FIXTURE(RolloutFixture, "the coordinator is killed between its decision and the record") {
  // Guards against a version that is tried again because its verdict was not written.
  AddNodes();
  SetTargetMode(BackendMode::kFailing);
  Order(OrderText("v2", 8));
  REQUIRE(SendUntil("running", std::chrono::seconds(3)));
  store.SetMode(StoreMode::kUnavailable);
  SendFor(std::chrono::milliseconds(4000));
  const std::size_t runs = TargetRuns();
  CHECK(runs > 0);
  CHECK(HasState("running"));
  nodes[0].reset();
  store.SetMode(StoreMode::kServing);
  CHECK(SendUntil("rolled_back", std::chrono::seconds(7)));
  CHECK(TargetRuns() == runs);
}

TEST_CASE_FIXTURE(RolloutFixture, "the store is away during the shift") {
  // Guards against a rollout that stands still without the store.
  AddNodes();
  Order(OrderText("v2", 6));
  REQUIRE(SendUntil("running", std::chrono::seconds(3)));
  store.SetMode(StoreMode::kUnavailable);
  SendFor(std::chrono::milliseconds(6000));
  const std::size_t old_runs = server_one.runs().size();
  SendFor(std::chrono::milliseconds(300));
  CHECK(server_one.runs().size() == old_runs);
  CHECK(HasState("running"));
  store.SetMode(StoreMode::kServing);
  CHECK(SendUntil("completed", std::chrono::seconds(5)));
}

TEST_CASE_FIXTURE(RolloutFixture, "a restored store lacks the final status") {
  // Guards against a final state that is lost or reversed.
  AddNodes();
  Order(OrderText("v2", 6));
  REQUIRE(SendUntil("running", std::chrono::seconds(3)));
  store.SaveCopy();
  REQUIRE(SendUntil("completed", std::chrono::seconds(6)));
  store.Restore();
  CHECK_FALSE(HasState("completed"));
  CHECK(SendUntil("completed", std::chrono::seconds(5)));
  const std::size_t old_runs = server_one.runs().size();
  SendFor(std::chrono::milliseconds(300));
  CHECK(server_one.runs().size() == old_runs);
}

TEST_CASE_FIXTURE(RolloutFixture, "an order is invalid, then withdrawn while it runs") {
  // Guards against an order that stays without an answer.
  AddNodes();
  Order(R"({"Service":"s","TargetVersion":"v2","DurationS":8,"Extra":1})");
  CHECK(SendUntil("rolled_back", std::chrono::seconds(3)));
  CHECK(Status().find("invalid order") != std::string::npos);
  CHECK(TargetRuns() == 0);
  Order(OrderText("v2", 8));
  CHECK(SendUntil("running", std::chrono::seconds(3)));
  SendFor(std::chrono::milliseconds(1800));
  store.Put("keyed.op", kOrderKey, std::nullopt);
  CHECK(SendUntil("rolled_back", std::chrono::seconds(3)));
  CHECK(Status().find("withdrawn") != std::string::npos);
  const std::size_t runs = TargetRuns();
  SendFor(std::chrono::milliseconds(400));
  CHECK(TargetRuns() == runs);
}

TEST_CASE_FIXTURE(RolloutFixture, "a restarted host learns the state before it uses the version") {
  // Guards against a host that takes up an order that was taken back.
  AddNodes();
  SetTargetMode(BackendMode::kFailing);
  Order(OrderText("v2", 8));
  REQUIRE(SendUntil("rolled_back", std::chrono::seconds(8)));
  const std::size_t runs = TargetRuns();
  nodes[0].reset();
  nodes[1].reset();
  AddNode();
  gateway::RunUntil(io, [&] { return IsReady(2); });
  SendFor(std::chrono::milliseconds(3500));
  CHECK(TargetRuns() == runs);
  CHECK(HasState("rolled_back"));
}

TEST_CASE_FIXTURE(RolloutFixture, "another coordinator has written the final status first") {
  // Guards against two deciders that both write: the first record stands, on all hosts.
  AddNodes();
  SetTargetMode(BackendMode::kFailing);
  Order(OrderText("v2", 8));
  REQUIRE(SendUntil("running", std::chrono::seconds(3)));
  store.Put("keyed.status", kOrderKey,
            R"({"Service":"s","State":"completed","TargetVersion":"v2","Reason":"other"})");
  const std::uint64_t end = store.End("keyed.status");
  SendFor(std::chrono::milliseconds(4000));
  CHECK(HasState("completed"));
  CHECK(store.End("keyed.status") == end);
  const std::size_t old_runs = server_one.runs().size();
  SendFor(std::chrono::milliseconds(300));
  CHECK(server_one.runs().size() == old_runs);
}

TEST_CASE_FIXTURE(RolloutFixture, "an order is replaced by one for a version without servers") {
  // Guards against an order whose end nobody is told.
  AddNodes();
  Order(OrderText("v2", 8));
  REQUIRE(SendUntil("running", std::chrono::seconds(3)));
  SendFor(std::chrono::milliseconds(1500));
  const std::uint64_t end = store.End("keyed.status");
  Order(OrderText("v3", 4));
  SendFor(std::chrono::milliseconds(1200));
  CHECK(store.End("keyed.status") == end + 2);
  CHECK(HasState("running"));
  const std::size_t runs = TargetRuns();
  CHECK(SendUntil("rolled_back", std::chrono::seconds(4)));
  CHECK(Status().find("no server of the version") != std::string::npos);
  CHECK(TargetRuns() == runs);
}

TEST_CASE_FIXTURE(RolloutFixture, "without the settings, versions are ignored") {
  // Guards against a change for deployments that order no rollouts.
  change_settings = nullptr;
  AddNodes();
  Order(OrderText("v2", 6));
  SendFor(std::chrono::milliseconds(800));
  CHECK(TargetRuns() > 0);
  CHECK(server_one.runs().size() > 0);
  CHECK(store.End("keyed.status") == 0);
}

}  // namespace
}  // namespace mulberry::platform
