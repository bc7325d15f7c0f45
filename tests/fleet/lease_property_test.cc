#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

#include "lease_model.h"

namespace mulberry {
namespace {

using Kind = Fault::Kind;

constexpr std::uint32_t kFaultsMs = 20000;

rc::Gen<Fault> FaultGen() {
  const auto last = static_cast<std::uint32_t>(Kind::kLeave);
  return rc::gen::apply(
      [](std::uint32_t kind, std::uint32_t at, std::uint32_t host, std::uint32_t other,
         std::uint32_t duration) {
        return Fault{static_cast<Kind>(kind), at, host, other, duration};
      },
      rc::gen::inRange<std::uint32_t>(0, last + 1), rc::gen::inRange<std::uint32_t>(0, kFaultsMs),
      rc::gen::inRange<std::uint32_t>(0, 5), rc::gen::inRange<std::uint32_t>(0, 5),
      rc::gen::inRange<std::uint32_t>(50, 6000));
}

void LogRun(const std::vector<Fault>& faults, const LeaseModelResult& result) {
  for (const Fault& fault : faults) {
    RC_LOG() << "fault " << static_cast<int>(fault.kind) << " at " << fault.at_ms << " host "
             << fault.host << " other " << fault.other << " duration " << fault.duration_ms << "\n";
  }
  for (const PhaseChange& change : result.changes) {
    RC_LOG() << change.at_ms << " " << change.host.host.str() << "#" << change.host.start.value()
             << " phase " << static_cast<int>(change.phase) << "\n";
  }
  RC_LOG() << "max cold share " << result.max_cold_share << " at " << result.max_cold_share_at_ms
           << "\n";
}

/// Runs one schedule on a network without loss.
LeaseModelResult RunSchedule(std::uint32_t hosts, const std::vector<Fault>& faults,
                             LeaseMutation mutation = LeaseMutation::kNone,
                             std::uint32_t wrongly_unlisted = 1,
                             std::uint32_t faults_ms = kFaultsMs) {
  LeaseModelOptions options;
  options.faults_ms = faults_ms;
  options.hosts = hosts;
  options.loss_percent = 0;
  options.slow_percent = 0;
  options.list_lag = 0;
  options.mutation = mutation;
  options.wrongly_unlisted = wrongly_unlisted;
  return LeaseModel(options, faults).Run();
}

/// Number of the host that owns the model's group while all of `hosts` are live.
std::uint32_t PreferredOwner(std::uint32_t hosts) {
  const LeaseModelResult result = RunSchedule(hosts, {});
  return static_cast<std::uint32_t>(std::stoul(result.changes.back().host.host.str().substr(5)));
}

/// First time at or after `from_ms` at which an incarnation other than `excluded` has at least
/// `min_phase`; UINT32_MAX if there is none.
std::uint32_t FirstAtLeast(const LeaseModelResult& result, LeasePhase min_phase,
                           std::uint32_t from_ms, const Incarnation& excluded) {
  const auto found =
      std::find_if(result.changes.begin(), result.changes.end(), [&](const PhaseChange& change) {
        return change.at_ms >= from_ms && change.phase >= min_phase && change.host != excluded;
      });
  return found == result.changes.end() ? UINT32_MAX : found->at_ms;
}

}  // namespace

TEST_CASE("lease: cold shares of concurrent owners sum to at most one, and the fleet recovers") {
  CHECK(rc::check("cold shares sum to one at most", [] {
    LeaseModelOptions options;
    options.hosts = *rc::gen::inRange<std::uint32_t>(1, 6);
    options.seed = *rc::gen::arbitrary<std::uint32_t>();
    options.loss_percent = *rc::gen::inRange<std::uint32_t>(0, 30);
    options.list_lag = *rc::gen::inRange<std::uint32_t>(0, 2);
    options.faults_ms = kFaultsMs;
    const auto faults = *rc::gen::container<std::vector<Fault>>(FaultGen());
    const LeaseModelResult result = LeaseModel(options, faults).Run();
    LogRun(faults, result);
    RC_ASSERT(result.max_cold_share <= 1.0);
    RC_ASSERT(result.full_at_end == 1u);
    RC_ASSERT(result.preferred_at_end);
  }));
}

TEST_CASE("lease: a paused owner exceeds the cold limit unless it checks its lease") {
  const std::vector<Fault> faults = {{Kind::kPause, 8000, PreferredOwner(4), 0, 10000}};
  CHECK(RunSchedule(4, faults).max_cold_share == 1.0);
  CHECK(RunSchedule(4, faults, LeaseMutation::kNoLeaseCheck).max_cold_share > 1.0);
}

TEST_CASE("lease: a crashed owner's requests exceed the cold limit unless the next owner waits") {
  const std::vector<Fault> faults = {{Kind::kCrash, 8000, PreferredOwner(4), 0, 0}};
  CHECK(RunSchedule(4, faults).max_cold_share == 1.0);
  CHECK(RunSchedule(4, faults, LeaseMutation::kNoReducedWait).max_cold_share > 1.0);
}

TEST_CASE("lease: two hosts that are isolated and both unlisted can both hold the full lease") {
  const std::vector<Fault> faults = {
      {Kind::kIsolate, 0, 0, 0, 20000}, {Kind::kUnlist, 0, 0, 0, 0}, {Kind::kUnlist, 0, 1, 0, 0}};
  CHECK(RunSchedule(2, faults).max_cold_share == 1.0);
  // Two unlisted hosts violate the assumption that lists differ by at most one host.
  CHECK(RunSchedule(2, faults, LeaseMutation::kNone, 2).max_cold_share > 1.0);
}

TEST_CASE("lease: time without an owner after a crash, a leave and a return") {
  const std::uint32_t owner = PreferredOwner(4);
  const Incarnation first_incarnation{HostName("host-" + std::to_string(owner)),
                                      StartId(owner + 1)};
  const LeaseModelResult crash = RunSchedule(4, {{Kind::kCrash, 10000, owner, 0, 0}});
  const std::uint32_t reduced = FirstAtLeast(crash, LeasePhase::kReduced, 10000, first_incarnation);
  const std::uint32_t warm = FirstAtLeast(crash, LeasePhase::kWarm, 10000, first_incarnation);
  MESSAGE("crash: reduced after " << reduced - 10000 << " ms, warm after " << warm - 10000);
  CHECK(reduced - 10000 <= 1600);
  CHECK(warm - 10000 <= 3700);

  const LeaseModelResult leave = RunSchedule(4, {{Kind::kLeave, 10000, owner, 0, 0}});
  const auto released =
      std::find_if(leave.changes.begin(), leave.changes.end(), [&](const PhaseChange& change) {
        return change.at_ms >= 10000 && change.host == first_incarnation &&
               change.phase == LeasePhase::kNone;
      });
  REQUIRE(released != leave.changes.end());
  const std::uint32_t full = FirstAtLeast(leave, LeasePhase::kFull, 10000, first_incarnation);
  MESSAGE("leave: released after " << released->at_ms - 10000 << " ms, next full after "
                                   << full - released->at_ms << " ms more");
  CHECK(full - released->at_ms <= 300);
}

TEST_CASE("lease: rolling replacement of all hosts") {
  constexpr std::uint32_t kHosts = 4;
  constexpr std::uint32_t kHostIntervalMs = 10000;
  constexpr std::uint32_t kTotalMs = (kHosts + 1) * kHostIntervalMs;
  std::vector<Fault> faults;
  for (std::uint32_t host = 0; host < kHosts; ++host) {
    const std::uint32_t at_ms = (host + 1) * kHostIntervalMs;
    faults.push_back({Kind::kLeave, at_ms, host, 0, 0});
    faults.push_back({Kind::kCrash, at_ms + 3000, host, 0, 0});
    faults.push_back({Kind::kUnlist, at_ms + 3500, host, 0, 0});
    faults.push_back({Kind::kRestart, at_ms + 4000, host, 0, 0});
  }
  const LeaseModelResult result = RunSchedule(kHosts, faults, LeaseMutation::kNone, 1, kTotalMs);
  const std::uint32_t startup_ms =
      RunSchedule(kHosts, {}, LeaseMutation::kNone, 1, kHostIntervalMs).idle_ms;
  const std::uint32_t idle_ms = result.idle_ms - startup_ms;
  MESSAGE("rolling: " << startup_ms << " ms idle at start, then " << idle_ms << " ms in all");
  CHECK(result.max_cold_share <= 1.0);
  // At most two handovers, away from the preferred owner and back, each taking up to the longest
  // request (2000 ms) and one heartbeat (300 ms allowed).
  CHECK(idle_ms <= 2 * (2000 + 300));
}

}  // namespace mulberry
