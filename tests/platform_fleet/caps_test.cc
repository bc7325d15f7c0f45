#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "platform/node_fixture.h"

namespace mulberry::platform {
namespace {

using gateway::GatewayNode;
using gateway::RunFor;
using gateway::RunUntil;
using gateway::TestCaller;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Nodes of two data centres with the rate limits of the platform, and the times of all requests
/// that reached the server.
struct CapNodes : NodeFixture {
  CapNodes() { caps = {seconds(5), 0.1, 20}; }

  static std::string CappedConfig(int version, int rate, int burst) {
    std::string text = ConfigText(version, "s");
    const std::string workspace =
        R"({"ResourceType":"Tenants","Metadata":{"Name":"w"},"Spec":{"ApiKeys":["key-1"],"RatePerS":)" +
        std::to_string(rate) + R"(,"Burst":)" + std::to_string(burst) + "}},";
    text.insert(text.find('[') + 1, workspace);
    return text;
  }
  void StartNodes() {
    for (const char* data_centre : {"here", "here", "there", "there"}) AddNode(data_centre);
    REQUIRE(RunUntil(io, [&] {
      for (std::size_t i = 0; i < nodes.size(); ++i) {
        if (!IsReady(i)) return false;
      }
      return true;
    }));
    RunFor(io, milliseconds(600));
  }
  void Restart(std::size_t node) {
    nodes[node].reset();
    gateway::GatewaySettings restarted = settings[node];
    restarted.first_start = false;
    nodes[node] = std::make_unique<GatewayNode>(io, restarted, *adapter, StartId(100 + node));
    REQUIRE(nodes[node]->Start());
  }
  void SendKeyed(std::size_t node) {
    if (nodes[node] == nullptr) return;
    callers.push_back(std::make_unique<TestCaller>(io));
    callers.back()->Connect(settings[node].callers);
    callers.back()->Write("GET /read/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: c" +
                          std::to_string(callers.size()) +
                          "\r\nAuthorization: Bearer key-1\r\nConnection: close\r\n\r\n");
  }
  /// Sends requests through all nodes in turn.
  void SendAtRate(int per_second, Duration duration) {
    const TimePoint start = MonotonicClock::now();
    std::int64_t sent = 0;
    while (MonotonicClock::now() - start < duration) {
      const auto due = (MonotonicClock::now() - start) * per_second / seconds(1);
      for (; sent < due; ++sent) SendKeyed(static_cast<std::size_t>(sent) % nodes.size());
      RunFor(io, milliseconds(5));
    }
    RunUntil(io, [&] {
      return std::all_of(callers.begin(), callers.end(),
                         [](const auto& caller) { return caller->ended; });
    });
  }
  std::size_t Answers(const std::string& status) const {
    return static_cast<std::size_t>(std::count_if(
        callers.begin(), callers.end(),
        [&](const auto& caller) { return caller->received.starts_with("HTTP/1.1 " + status); }));
  }
  std::string Metrics(std::size_t node) {
    return Get(settings[node].ip + ":" + std::to_string(settings[node].metrics_port), "/");
  }

  std::vector<std::unique_ptr<TestCaller>> callers;
};

/// Guards against nodes that together send more than the cap allows, and against refusals that the
/// caller can't act on.
TEST_CASE_FIXTURE(CapNodes, "the servers see no more than the cap of a workspace") {
  store.Put("keyed.op", "config", CappedConfig(2, 40, 20));
  StartNodes();
  // Below 5 s, so that all sends are in one window.
  SendAtRate(200, milliseconds(4000));
  const std::size_t served = server_one.runs().size();
  CAPTURE(served);
  CHECK(served <= (40 * 5 + 20) * 1.1 + 20);
  // What a token bucket of the cap would have admitted in this time.
  CHECK(served >= 0.8 * (40 * 4 + 20));
  CHECK(Answers("200") == served);
  CHECK(Answers("429") == callers.size() - served);
  for (const auto& caller : callers) {
    if (!caller->received.starts_with("HTTP/1.1 429")) continue;
    CHECK(caller->received.find("Retry-After: ") != std::string::npos);
  }
}

/// Guards against refusals below the cap: each node has only a part of it.
TEST_CASE_FIXTURE(CapNodes, "a workspace below its cap is served through any node") {
  store.Put("keyed.op", "config", CappedConfig(2, 30, 10));
  StartNodes();
  for (std::size_t i = 0; i < 30; ++i) {
    SendKeyed(1);
    RunFor(io, milliseconds(50));
  }
  REQUIRE(RunUntil(io, [&] { return callers.back()->ended; }));
  CHECK(Answers("200") == callers.size());
}

/// Guards against a restart that gives out the burst again, on one node or on all.
TEST_CASE_FIXTURE(CapNodes, "restarted nodes do not give out the burst again") {
  store.Put("keyed.op", "config", CappedConfig(2, 10, 100));
  StartNodes();
  SendAtRate(400, milliseconds(700));
  for (std::size_t i = 0; i < nodes.size(); ++i) Restart(i);
  REQUIRE(RunUntil(io, [&] { return IsReady(0) && IsReady(1) && IsReady(2) && IsReady(3); }));
  SendAtRate(400, milliseconds(1500));
  const std::size_t served = server_one.runs().size();
  CAPTURE(served);
  CHECK(served >= 90);
  CHECK(served <= (10 * 5 + 100) * 1.1 + 20);
  CHECK(Answers("429") > 0);
}

/// Guards against a lowered cap that takes effect only with a restart.
TEST_CASE_FIXTURE(CapNodes, "a lowered cap binds soon after its confirmation") {
  store.Put("keyed.op", "config", CappedConfig(2, 200, 100));
  StartNodes();
  SendAtRate(150, milliseconds(500));
  store.Put("keyed.op", "config", CappedConfig(3, 5, 5));
  RunFor(io, milliseconds(2500));
  const std::size_t before = server_one.runs().size();
  SendAtRate(100, milliseconds(3000));
  CHECK(server_one.runs().size() - before <= (5 * 5 + 5) * 1.1 + 20);
}

/// Guards against traffic between hosts of deployments without rate limits.
TEST_CASE_FIXTURE(CapNodes, "without rate limits no datagrams about tokens are sent") {
  store.Put("keyed.op", "config", CappedConfig(2, 0, 0));
  StartNodes();
  SendAtRate(100, milliseconds(500));
  CHECK(Answers("200") == callers.size());
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    CHECK(Metrics(i).find("mulberry_cap_") == std::string::npos);
  }
}

}  // namespace
}  // namespace mulberry::platform
