#include "libpolicy/server_health.h"

#include <algorithm>

namespace mulberry {
namespace {

constexpr std::uint32_t kLeastResults = 16;
constexpr double kFailureShareLimit = 0.5;
constexpr double kShareWeight = 1.0 / 16;
constexpr Duration kAvoidAfterFailure = std::chrono::milliseconds(250);
constexpr Duration kFirstBackoff = std::chrono::milliseconds(500);
constexpr std::uint32_t kMostDoublings = 6;
constexpr Duration kForgetEjectionsAfter = std::chrono::seconds(60);

bool Lost(DispatchResult result) {
  return result == DispatchResult::kConnectRefused || result == DispatchResult::kNotSent ||
         result == DispatchResult::kBroken;
}

}  // namespace

void ServerHealth::OnResult(DispatchResult result, TimePoint started, TimePoint now) {
  if (result == DispatchResult::kCancelled) return;
  const bool trial = ejected_ && started >= ejected_until_;
  if (ejected_ && !trial) return;
  const bool failed = result != DispatchResult::kAnswered;
  if (trial) return failed ? Eject(now) : Readmit(now);
  failures_in_row_ = failed ? failures_in_row_ + 1 : 0;
  lost_in_row_ = Lost(result) ? lost_in_row_ + 1 : 0;
  failure_share_ += kShareWeight * ((failed ? 1.0 : 0.0) - failure_share_);
  if (failed) last_failure_ = now;
  results_ = std::min(results_ + 1, kLeastResults);
}

double ServerHealth::RecentFailureShare(TimePoint now) const {
  return now - last_failure_ < kAvoidAfterFailure ? failure_share_ : 0;
}

bool ServerHealth::Unreachable() const {
  return lost_in_row_ >= limits_.consecutive_connection_failures;
}

bool ServerHealth::HasTooManyFailures() const {
  if (failures_in_row_ >= limits_.consecutive_failures) return true;
  return results_ >= kLeastResults && failure_share_ > kFailureShareLimit;
}

ServerHealth::State ServerHealth::StateAt(TimePoint now) const {
  if (!ejected_) return State::kHealthy;
  return now < ejected_until_ ? State::kEjected : State::kTrial;
}

void ServerHealth::Eject(TimePoint now) {
  if (!ejected_ && now - readmitted_ > kForgetEjectionsAfter) ejections_ = 0;
  ejected_until_ = now + kFirstBackoff * (1 << std::min(ejections_, kMostDoublings));
  ejected_ = true;
  ++ejections_;
}

void ServerHealth::AllowTrial(TimePoint now) {
  if (ejected_) ejected_until_ = std::min(ejected_until_, now);
}

TimePoint ServerHealth::TrialTime() const { return ejected_ ? ejected_until_ : TimePoint::max(); }

void ServerHealth::Readmit(TimePoint now) {
  ejected_ = false;
  failures_in_row_ = 0;
  lost_in_row_ = 0;
  results_ = 0;
  failure_share_ = 0;
  readmitted_ = now;
}

}  // namespace mulberry
