#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "rollout_model.h"

namespace mulberry::rollout {
namespace {

constexpr std::uint32_t kSeeds = 200;
/// A rolled-back state is known within this time after the 50th bad response, see
/// Limits::rollback_bound.
constexpr Duration kRollbackBound = std::chrono::milliseconds(5000);

bool WithinExposure(const ModelResult& result, const ModelOptions& options) {
  const double limit = options.limits.canary_share * static_cast<double>(result.requests) +
                       options.limits.canary_slack;
  return static_cast<double>(result.target_requests) <= limit;
}

/// Runs all seeds with a bad version and requires that each one is taken back within the bounds.
void CheckBadVersion(Fault fault) {
  int kept = 0;
  int overexposed = 0;
  int late = 0;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    ModelOptions options;
    options.fault = fault;
    options.seed = seed;
    const ModelResult result = RolloutModel(options).Run();
    if (result.phase != Phase::kRolledBack) ++kept;
    if (!WithinExposure(result, options)) ++overexposed;
    if (result.bad_responses >= 50 &&
        result.last_target_send > result.fiftieth_bad_at + kRollbackBound) {
      ++late;
    }
  }
  CHECK(kept == 0);
  CHECK(overexposed == 0);
  CHECK(late == 0);
}

TEST_CASE("a good version is completed in time, with cold servers at first") {
  // Guards against taking back a good version by chance or because its servers are cold.
  int rolled_back = 0;
  int late = 0;
  int in_flight = 0;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    ModelOptions options;
    options.seed = seed;
    const ModelResult result = RolloutModel(options).Run();
    if (result.phase == Phase::kRolledBack) {
      ++rolled_back;
      MESSAGE("seed ", seed, ": ", result.reason);
    }
    if (result.phase != Phase::kCompleted || result.decided_after >= options.duration) ++late;
    if (result.others_in_flight > 0) ++in_flight;
  }
  CHECK(rolled_back == 0);
  CHECK(late == 0);
  CHECK(in_flight == 0);
}

TEST_CASE("a version whose servers fail from the start is taken back") {
  CheckBadVersion(Fault::kFails);
}
TEST_CASE("a version that fails only later is taken back") { CheckBadVersion(Fault::kFailsLater); }
TEST_CASE("a slow version is taken back") { CheckBadVersion(Fault::kSlow); }
TEST_CASE("a version that is slow in a part of its responses is taken back") {
  CheckBadVersion(Fault::kSlowPart);
}
TEST_CASE("a version that fails only under load is taken back") {
  CheckBadVersion(Fault::kFailsLoaded);
}
TEST_CASE("a version that fails on one rare route only is taken back") {
  CheckBadVersion(Fault::kFailsOnRoute);
}

TEST_CASE("one faulty server does not take a good version back") {
  // Guards against a verdict on a machine's fault.
  int rolled_back = 0;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    ModelOptions options;
    options.seed = seed;
    options.one_server_fails = 0.3;
    const ModelResult result = RolloutModel(options).Run();
    if (result.phase != Phase::kRolledBack) continue;
    ++rolled_back;
    MESSAGE("seed ", seed, ": ", result.reason);
  }
  CHECK(rolled_back == 0);
}

TEST_CASE("the exposure holds with hundreds of hosts that each see few requests") {
  // Guards against shares that are rounded up on each host.
  for (std::uint32_t seed = 1; seed <= 4; ++seed) {
    ModelOptions options;
    options.seed = seed;
    options.fault = Fault::kFails;
    options.hosts = 300;
    options.busy_hosts = 300;
    options.requests_per_second = 200;
    const ModelResult result = RolloutModel(options).Run();
    CHECK(result.phase == Phase::kRolledBack);
    CHECK(WithinExposure(result, options));
  }
}

TEST_CASE("a host that is cut off leaves the target, and the exposure holds") {
  // Guards against grants that go on without news from the coordinator.
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    ModelOptions options;
    options.seed = seed;
    options.fault = Fault::kFailsOnRoute;
    RolloutModel model(options);
    model.RunUntil(std::chrono::milliseconds(2500));
    model.SetCutOff(1, true);
    model.RunUntil(std::chrono::milliseconds(2500) + kStateLifetime);
    const std::uint64_t sent = model.target_sends(1);
    model.RunUntil(std::chrono::seconds(11));
    CHECK(model.target_sends(1) == sent);
    CHECK(WithinExposure(model.Run(), options));
  }
}

TEST_CASE("a frozen host uses no grant from before it was frozen") {
  // Guards against a clock that stops with the process: the version was taken back meanwhile.
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    ModelOptions options;
    options.seed = seed;
    options.fault = Fault::kFails;
    RolloutModel model(options);
    model.RunUntil(std::chrono::milliseconds(1800));
    model.SetFrozen(2, true);
    model.RunUntil(std::chrono::milliseconds(8000));
    const std::uint64_t sent = model.target_sends(2);
    model.SetCutOff(2, true);
    model.SetFrozen(2, false);
    model.RunUntil(std::chrono::milliseconds(11000));
    CHECK(model.target_sends(2) == sent);
    model.SetCutOff(2, false);
    const ModelResult result = model.Run();
    CHECK(model.target_sends(2) == sent);
    CHECK(model.phase_of(2) == Phase::kRolledBack);
    CHECK(WithinExposure(result, options));
  }
}

TEST_CASE("restarted hosts do not raise the exposure") {
  // Guards against counts that start again at zero.
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    ModelOptions options;
    options.seed = seed;
    RolloutModel model(options);
    for (int second = 2; second < 7; ++second) {
      model.RunUntil(std::chrono::seconds(second));
      model.Restart(static_cast<std::size_t>(second) % 5 + 1);
    }
    const ModelResult& result = model.result();
    CHECK(WithinExposure(result, options));
    model.Run();
    CHECK(result.phase == Phase::kCompleted);
    CHECK(result.decided_after < options.duration);
  }
}

TEST_CASE("a new coordinator goes on, and the exposure holds") {
  // Guards against a budget that is granted a second time, and against a phase that starts again.
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    for (const int killed_at_ms : {2500, 4000, 6900, 7500, 8500}) {
      for (const Fault fault : {Fault::kNone, Fault::kFailsOnRoute}) {
        ModelOptions options;
        options.seed = seed;
        options.fault = fault;
        RolloutModel model(options);
        model.RunUntil(std::chrono::milliseconds(killed_at_ms));
        model.SetFrozen(0, true);
        model.RunUntil(std::chrono::milliseconds(killed_at_ms + 1600));
        model.SetCoordinator(1);
        const ModelResult result = model.Run();
        INFO("seed ", seed, ", killed at ", killed_at_ms, " ms: ", result.reason);
        if (fault == Fault::kNone) {
          CHECK(result.phase == Phase::kCompleted);
          CHECK(result.decided_after < options.duration);
        } else {
          CHECK(result.phase == Phase::kRolledBack);
          CHECK(WithinExposure(result, options));
        }
      }
    }
  }
}

TEST_CASE("two coordinators for a moment keep the exposure") {
  // Guards against two deciders that each grant the whole budget.
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    ModelOptions options;
    options.seed = seed;
    options.fault = Fault::kFailsOnRoute;
    RolloutModel model(options);
    model.RunUntil(std::chrono::milliseconds(2000));
    model.AddCoordinator(1);
    model.RunUntil(std::chrono::milliseconds(4500));
    model.SetCoordinator(1);
    CHECK(WithinExposure(model.Run(), options));
  }
}

Report ReportOf(const Order& order, std::int64_t time, Phase phase) {
  Report report;
  report.order = order;
  report.host_time = time;
  report.phase = phase;
  return report;
}

TEST_CASE("an order for a version without servers is taken back, one in force completes") {
  const Order order{ServiceName("s"), ServerVersion("v2"), std::chrono::seconds(10)};
  const TimePoint start{std::chrono::hours(1)};
  Coordinator without_servers(order, {}, start, false, start);
  without_servers.Tick(0, start + std::chrono::seconds(5));
  CHECK(without_servers.phase() == Phase::kCanary);
  without_servers.Tick(0, start + std::chrono::milliseconds(6100));
  CHECK(without_servers.phase() == Phase::kRolledBack);
  CHECK(without_servers.reason() == "no server of the version");

  Coordinator in_force(order, {}, start, true, start);
  for (int i = 1; i < 20; ++i) {
    const TimePoint now = start + std::chrono::milliseconds(200 * i);
    in_force.OnReport(HostName("a"), StartId(1), ReportOf(order, i, in_force.phase()), now);
    in_force.Tick(3, now);
  }
  CHECK(in_force.phase() == Phase::kCompleted);
  CHECK(in_force.reason() == "already in force");
}

TEST_CASE("what the store holds stands over what was decided here") {
  // Guards against two deciders that both keep their decision.
  const Order order{ServiceName("s"), ServerVersion("v2"), std::chrono::seconds(10)};
  const TimePoint start{std::chrono::hours(1)};
  HostRollout host(order, start);
  host.Cancel("the order was withdrawn");
  CHECK(host.UseFor("r", true, start) == Use::kNotTarget);
  host.OnRecorded(State::kCompleted, "");
  CHECK(host.UseFor("r", true, start) == Use::kTargetOnly);
  host.Cancel("late");
  CHECK(host.phase() == Phase::kCompleted);
  Coordinator coordinator(order, {}, start, false, start);
  Report report = ReportOf(order, 1, Phase::kRolledBack);
  report.recorded = true;
  coordinator.OnReport(HostName("a"), StartId(1), report, start);
  CHECK(coordinator.phase() == Phase::kRolledBack);
  CHECK(coordinator.recorded());
}

TEST_CASE("a state counts only as an answer to a recent question of this host") {
  // Guards against a late datagram that allows the target again.
  const Order order{ServiceName("s"), ServerVersion("v2"), std::chrono::seconds(10)};
  const TimePoint start{std::chrono::hours(1)};
  HostRollout host(order, start);
  StateUpdate state;
  state.service = order.service;
  state.target = order.target;
  state.host_time = start.time_since_epoch().count();
  state.granted = 5;
  host.OnState(state, start + kStateLifetime);
  CHECK(host.UseFor("r", true, start + kStateLifetime) == Use::kOther);
  host.OnState(state, start + kStateLifetime / 2);
  CHECK(host.UseFor("r", true, start + kStateLifetime / 2) == Use::kTargetFirst);
  CHECK(host.UseFor("r", false, start + kStateLifetime / 2) == Use::kOther);
  CHECK(host.UseFor("r", true, start + kStateLifetime) == Use::kOther);
}

TEST_CASE("the version in force is kept while it has servers") {
  // Guards against a service without servers when all carry a new version string.
  const ServerVersion none;
  const ServerVersion v1("v1");
  const ServerVersion v2("v2");
  CHECK(ChooseInForce({{v1, 3}, {v2, 2}}, none, none) == v1);
  CHECK(ChooseInForce({{v1, 1}, {v2, 5}}, v1, none) == v1);
  CHECK(ChooseInForce({{v2, 5}}, v1, none) == v2);
  CHECK(ChooseInForce({{v1, 1}, {v2, 5}}, none, v2) == v1);
  CHECK(ChooseInForce({}, v1, none) == v1);
}

}  // namespace
}  // namespace mulberry::rollout
