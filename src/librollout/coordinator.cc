#include "librollout/coordinator.h"

#include <algorithm>
#include <cmath>

namespace mulberry::rollout {
namespace {

/// A new coordinator decides nothing until hosts have reported: three reports of each.
constexpr Duration kFirstReportsTime = std::chrono::milliseconds(600);
/// A new coordinator grants nothing until grants of a former one have ended and are reported.
constexpr Duration kTakeoverTime = kStateLifetime + std::chrono::milliseconds(200);
/// A host without a report for this long has left the target, and is not waited for.
constexpr Duration kSilentAfter = 2 * kStateLifetime;
/// Hosts are in the commit phase before the final state is written: two reports and their answers.
constexpr Duration kCommitTime = std::chrono::milliseconds(500);
/// Parts of the order's duration at which the phases end, and at the latest.
constexpr double kCanaryEnd = 0.6;
constexpr double kCanaryLatestEnd = 0.68;
constexpr double kShiftTime = 0.08;
constexpr double kShiftLatestEnd = 0.82;
constexpr double kDrainLatestEnd = 0.9;
/// Parts of the limits that are granted; the rest is for a second coordinator, and for grants that
/// a killed one gave last.
constexpr double kGrantedShare = 0.85;
constexpr double kGrantedSlack = 0.4;
/// A host sends at most this part of its requests to the target: two servers of ten then run at one
/// and a half times the usual load, which doesn't fill them.
constexpr double kMaxTargetPart = 0.3;
/// From this part of the canary phase on, grants come in bursts, so that the few servers that get
/// them run under load: in the first part of each period.
constexpr double kBurstsFrom = 0.35;
constexpr Duration kBurstPeriod = std::chrono::milliseconds(1000);
constexpr Duration kBurstTime = std::chrono::milliseconds(450);
/// A target without a response to so many requests of the service cannot be reached.
constexpr std::uint64_t kRequestsWithoutResponse = 200;

}  // namespace

const char* PhaseName(Phase phase) {
  switch (phase) {
    case Phase::kCanary:
      return "canary";
    case Phase::kShift:
      return "shift";
    case Phase::kDrain:
      return "drain";
    case Phase::kCommit:
      return "commit";
    case Phase::kCompleted:
      return "completed";
    case Phase::kRolledBack:
      return "rolled_back";
  }
  return "unknown";
}

Coordinator::Coordinator(Order order, Limits limits, TimePoint seen_at, bool in_force,
                         TimePoint now)
    : order_(std::move(order)),
      limits_(limits),
      seen_at_(seen_at),
      created_at_(now),
      entered_at_(now),
      in_force_(in_force) {}

void Coordinator::OnReport(const HostName& host, StartId start, const Report& report,
                           TimePoint now) {
  Host& known = hosts_[{host, start}];
  if (report.host_time < known.report.host_time) return;
  if (report.host_time > known.report.host_time) {
    known.new_requests = report.requests - std::min(known.report.requests, report.requests);
  }
  known.report = report;
  known.reported_at = now;
  std::erase_if(known.grants,
                [&](const Grant& grant) { return grant.ends_at <= report.host_time; });
  seen_at_ = std::min(seen_at_, now - report.age);
  former_exposed_ = std::max(former_exposed_, report.exposed);
  const bool further = !IsFinal(phase_) && report.phase > phase_ &&
                       !(phase_ == Phase::kCommit && report.phase == Phase::kRolledBack);
  if (further || (report.recorded && !recorded_)) {
    phase_ = report.phase;
    reason_ = report.reason;
    recorded_ = report.recorded;
    entered_at_ = now;
  }
}

std::uint64_t Coordinator::Charge(const Host& host) {
  std::uint64_t charge = host.report.sent;
  for (const Grant& grant : host.grants) charge = std::max(charge, grant.total);
  return charge;
}

std::uint64_t Coordinator::seen() const {
  std::uint64_t sum = 0;
  for (const auto& [key, host] : hosts_) sum += host.report.requests;
  return sum;
}

std::uint64_t Coordinator::exposed() const {
  std::uint64_t sum = unreported_;
  for (const auto& [key, host] : hosts_) sum += Charge(host);
  return sum;
}

bool Coordinator::TakingOver(TimePoint now) const { return now < created_at_ + kTakeoverTime; }

double Coordinator::ElapsedFraction(TimePoint now) const {
  return std::chrono::duration<double>(now - seen_at_) / order_.duration;
}

bool Coordinator::GrantsNow(TimePoint now) const {
  if (phase_ != Phase::kCanary || in_force_ || !took_over_) return false;
  if (ElapsedFraction(now) < kBurstsFrom * kCanaryEnd) return true;
  return (now - seen_at_) % kBurstPeriod < kBurstTime;
}

StateUpdate Coordinator::AnswerTo(const HostName& host, StartId start, TimePoint now) {
  Host& known = hosts_[{host, start}];
  StateUpdate state{order_.service, order_.target, phase_, recorded_, reason_, now - seen_at_};
  state.host_time = known.report.host_time;
  state.granted = known.report.sent;
  if (GrantsNow(now) && known.new_requests > 0) {
    const double limit = kGrantedShare * limits_.canary_share * static_cast<double>(seen()) +
                         kGrantedSlack * limits_.canary_slack;
    const auto allowed = static_cast<std::uint64_t>(limit);
    const std::uint64_t used = exposed();
    const std::uint64_t left = allowed - std::min(allowed, used);
    const auto wanted = static_cast<std::uint64_t>(
        std::ceil(kMaxTargetPart * static_cast<double>(known.new_requests)));
    state.granted = std::min(known.report.sent + wanted, Charge(known) + left);
    if (state.granted > known.report.sent) {
      known.grants.push_back({known.report.host_time + kStateLifetime.count(), state.granted});
    }
  }
  state.exposed = exposed();
  return state;
}

Evidence Coordinator::AllEvidence() const {
  Evidence all;
  for (const auto& [key, host] : hosts_) MergeEvidence(host.report.evidence, &all);
  return all;
}

bool Coordinator::AllLeftOthers(TimePoint now) const {
  bool any = false;
  for (const auto& [key, host] : hosts_) {
    if (now - host.reported_at > kSilentAfter) continue;
    any = true;
    if (host.report.phase < Phase::kDrain || host.report.others_in_flight > 0) return false;
  }
  return any;
}

void Coordinator::Enter(Phase phase, std::string reason, TimePoint now) {
  phase_ = phase;
  entered_at_ = now;
  if (!reason.empty()) reason_ = std::move(reason);
}

void Coordinator::Cancel(const std::string& reason) {
  if (phase_ < Phase::kCommit) Enter(Phase::kRolledBack, reason, entered_at_);
}

void Coordinator::OnRecorded(State state, const std::string& reason) {
  if (state == State::kRunning) return;
  phase_ = state == State::kCompleted ? Phase::kCompleted : Phase::kRolledBack;
  recorded_ = true;
  reason_ = reason;
}

void Coordinator::TickCanary(const Verdict& verdict, std::size_t target_servers, TimePoint now) {
  const double elapsed = ElapsedFraction(now);
  if (elapsed < kCanaryEnd) return;
  if (target_servers == 0) {
    Enter(Phase::kRolledBack, "no server of the version", now);
    return;
  }
  if (!verdict.enough && elapsed < kCanaryLatestEnd) return;
  RouteCounts all;
  for (const auto& [route, counts] : AllEvidence()) all.Merge(counts);
  if (all.Target().responses == 0 && seen() >= kRequestsWithoutResponse) {
    Enter(Phase::kRolledBack, "no response from a warm server of the version", now);
    return;
  }
  if (verdict.doubtful) {
    Enter(Phase::kRolledBack, "too few responses: " + verdict.reason, now);
    return;
  }
  Enter(Phase::kShift, verdict.reason, now);
}

void Coordinator::Tick(std::size_t target_servers, TimePoint now) {
  if (IsFinal(phase_) || now < created_at_ + kFirstReportsTime) return;
  if (!TakingOver(now) && !std::exchange(took_over_, true)) {
    std::uint64_t reported = 0;
    for (const auto& [key, host] : hosts_) reported += host.report.sent;
    unreported_ = former_exposed_ - std::min(former_exposed_, reported);
  }
  if (in_force_ && phase_ == Phase::kCanary) Enter(Phase::kDrain, "already in force", now);
  if (phase_ == Phase::kCommit) {
    if (now - entered_at_ >= kCommitTime) Enter(Phase::kCompleted, "", now);
    return;
  }
  if (target_servers == 0 && phase_ != Phase::kCanary) {
    Enter(Phase::kRolledBack, "no server of the version is left", now);
    return;
  }
  const Verdict verdict = Judge(AllEvidence(), phase_ != Phase::kCanary);
  if (verdict.bad && !in_force_) {
    Enter(Phase::kRolledBack, verdict.reason, now);
    return;
  }
  if (phase_ == Phase::kCanary) {
    TickCanary(verdict, target_servers, now);
  } else if (phase_ == Phase::kShift) {
    const Duration shift_time(
        static_cast<std::int64_t>(kShiftTime * static_cast<double>(order_.duration.count())));
    const bool is_late = ElapsedFraction(now) >= kShiftLatestEnd;
    if (is_late || now - entered_at_ >= shift_time) Enter(Phase::kDrain, verdict.reason, now);
  } else if (AllLeftOthers(now) || ElapsedFraction(now) >= kDrainLatestEnd) {
    Enter(Phase::kCommit, in_force_ ? "" : verdict.reason, now);
  }
}

}  // namespace mulberry::rollout
