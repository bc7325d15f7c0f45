#include "librollout/host_rollout.h"

#include <algorithm>
#include <utility>

namespace mulberry::rollout {
namespace {

/// One grant in this many is left to routes that have had fewer requests sent to the target.
constexpr std::uint64_t kReservedPart = 4;

}  // namespace

HostRollout::HostRollout(Order order, TimePoint seen_at)
    : order_(std::move(order)), seen_at_(seen_at) {}

bool HostRollout::IsRecent(TimePoint now) const {
  return state_of_ != TimePoint() && now < state_of_ + kStateLifetime;
}

/// A route with more than an equal part of what was sent leaves some grants to the others, so that
/// there is evidence on routes with few requests too.
bool HostRollout::MayUseGrant(const std::string& route) const {
  if (sent_ >= granted_) return false;
  const auto found = sent_by_route_.find(route);
  if (found == sent_by_route_.end() || evidence_.size() < 2) return true;
  if (found->second * evidence_.size() <= sent_) return true;
  const std::uint64_t left = granted_ - sent_;
  return left > 1 + left / kReservedPart;
}

Use HostRollout::UseFor(const std::string& route, bool first_attempt, TimePoint now) const {
  switch (phase_) {
    case Phase::kCommit:
    case Phase::kCompleted:
      return Use::kTargetOnly;
    case Phase::kRolledBack:
      return Use::kNotTarget;
    case Phase::kCanary:
      if (!first_attempt || !IsRecent(now)) return Use::kOther;
      return MayUseGrant(route) ? Use::kTargetFirst : Use::kOther;
    case Phase::kShift:
      return IsRecent(now) ? Use::kTargetFirst : Use::kOther;
    case Phase::kDrain:
      return IsRecent(now) ? Use::kTargetOnly : Use::kOther;
  }
  return Use::kOther;
}

void HostRollout::OnSentToTarget(const std::string& route) {
  ++sent_;
  ++sent_by_route_[route];
}

void HostRollout::OnResponse(const std::string& route, ServerGroup group, bool failed,
                             Duration took) {
  ResponseCounts& counts = evidence_[route].groups[static_cast<std::size_t>(group)];
  ++counts.responses;
  if (failed) {
    ++counts.failures;
  } else {
    counts.times.Add(took);
  }
}

Report HostRollout::MakeReport(std::uint32_t others_in_flight, TimePoint now) const {
  Report report;
  report.order = order_;
  report.age = now - seen_at_;
  report.host_time = now.time_since_epoch().count();
  report.requests = requests_;
  report.sent = sent_;
  report.exposed = exposed_;
  // Also if the last state is not recent any more: what was decided is not forgotten.
  report.phase = phase_;
  report.recorded = recorded_;
  report.reason = reason_;
  report.others_in_flight = others_in_flight;
  report.evidence = evidence_;
  return report;
}

bool HostRollout::OnState(const StateUpdate& state, TimePoint now) {
  if (state.service != order_.service || state.target != order_.target) return false;
  const TimePoint asked_at{Duration(state.host_time)};
  // An answer to a question of an earlier start, or one that has been overtaken.
  if (asked_at > now || asked_at <= state_of_) return false;
  if (!IsFinal(state.phase) && now >= asked_at + kStateLifetime) return false;
  state_of_ = asked_at;
  seen_at_ = std::min(seen_at_, now - state.age);
  granted_ = state.granted;
  exposed_ = std::max(exposed_, state.exposed);
  // What is decided stands, unless the store holds something else.
  const bool stands =
      phase_ >= Phase::kCommit && !(phase_ == Phase::kCommit && state.phase == Phase::kCompleted);
  if (recorded_ || (stands && !state.recorded)) return false;
  const bool changed = phase_ != state.phase || recorded_ != state.recorded;
  phase_ = state.phase;
  recorded_ = state.recorded;
  reason_ = state.reason;
  return changed;
}

void HostRollout::Cancel(const std::string& reason) {
  if (phase_ >= Phase::kCommit) return;
  phase_ = Phase::kRolledBack;
  reason_ = reason;
}

void HostRollout::OnRecorded(State state, const std::string& reason) {
  if (state == State::kRunning) return;
  phase_ = state == State::kCompleted ? Phase::kCompleted : Phase::kRolledBack;
  recorded_ = true;
  reason_ = reason;
}

}  // namespace mulberry::rollout
