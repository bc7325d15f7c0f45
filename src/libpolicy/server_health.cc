#include "libpolicy/server_health.h"

#include <algorithm>

namespace mulberry {
namespace {

constexpr std::uint32_t kMinResults = 16;
constexpr double kMaxFailureRate = 0.5;
constexpr double kFailureRateSmoothing = 1.0 / 16;
constexpr Duration kFailureAvoidanceTime = std::chrono::milliseconds(250);
constexpr Duration kInitialBackoff = std::chrono::milliseconds(500);
constexpr std::uint32_t kMaxBackoffDoublings = 6;
constexpr Duration kBackoffResetAfter = std::chrono::seconds(60);

bool IsConnectionFailure(DispatchResult result) {
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
  consecutive_failures_ = failed ? consecutive_failures_ + 1 : 0;
  consecutive_connection_failures_ =
      IsConnectionFailure(result) ? consecutive_connection_failures_ + 1 : 0;
  failure_rate_ += kFailureRateSmoothing * ((failed ? 1.0 : 0.0) - failure_rate_);
  if (failed) last_failure_at_ = now;
  results_ = std::min(results_ + 1, kMinResults);
}

double ServerHealth::RecentFailureRate(TimePoint now) const {
  return now - last_failure_at_ < kFailureAvoidanceTime ? failure_rate_ : 0;
}

bool ServerHealth::Unreachable() const {
  return consecutive_connection_failures_ >= limits_.consecutive_connection_failures;
}

bool ServerHealth::HasTooManyFailures() const {
  if (consecutive_failures_ >= limits_.consecutive_failures) return true;
  return results_ >= kMinResults && failure_rate_ > kMaxFailureRate;
}

ServerHealth::State ServerHealth::StateAt(TimePoint now) const {
  if (!ejected_) return State::kHealthy;
  return now < ejected_until_ ? State::kEjected : State::kTrial;
}

void ServerHealth::Eject(TimePoint now) {
  if (!ejected_ && now - readmitted_at_ > kBackoffResetAfter) ejections_ = 0;
  ejected_until_ = now + kInitialBackoff * (1 << std::min(ejections_, kMaxBackoffDoublings));
  ejected_ = true;
  ++ejections_;
}

void ServerHealth::AllowTrial(TimePoint now) {
  if (ejected_) ejected_until_ = std::min(ejected_until_, now);
}

TimePoint ServerHealth::TrialTime() const { return ejected_ ? ejected_until_ : TimePoint::max(); }

void ServerHealth::Readmit(TimePoint now) {
  ejected_ = false;
  consecutive_failures_ = 0;
  consecutive_connection_failures_ = 0;
  results_ = 0;
  failure_rate_ = 0;
  readmitted_at_ = now;
}

}  // namespace mulberry
