#pragma once

#include <cstdint>

#include "libpolicy/types.h"

namespace mulberry {

/// Numbers of consecutive failures at which a server counts as failed.
struct HealthLimits {
  /// Attempts that did not reach the server or lost their connection.
  std::uint32_t consecutive_connection_failures = 5;
  /// Failures of any kind.
  std::uint32_t consecutive_failures = 5;
};

/// Tracks the failures and the ejection of one server. An ejected server gets no requests until its
/// backoff is over, then one trial request at a time. Not thread safe.
class ServerHealth {
 public:
  enum class State { kHealthy, kEjected, kTrial };

  explicit ServerHealth(HealthLimits limits = {}) : limits_(limits) {}

  /// Records the result of an attempt that began at `started`. Ignores kCancelled.
  void OnResult(DispatchResult result, TimePoint started, TimePoint now);

  /// True when enough consecutive attempts did not reach the server or lost their connection.
  bool Unreachable() const;
  /// True when enough consecutive attempts, or most of the recent ones, failed.
  bool HasTooManyFailures() const;
  /// Smoothed ratio of attempts that failed, 0 to 1.
  double FailureRate() const { return failure_rate_; }
  /// Same as FailureRate(), but zero once the last failure is some time ago. Otherwise a server
  /// that is avoided for its failures would never be tried again.
  double RecentFailureRate(TimePoint now) const;

  State StateAt(TimePoint now) const;
  /// Ejects the server for a backoff time that doubles with each ejection.
  void Eject(TimePoint now);
  /// Ends the backoff early, so that a trial request can be sent.
  void AllowTrial(TimePoint now);
  /// Ends the ejection.
  void Readmit(TimePoint now);
  /// Time from which a trial request is allowed, TimePoint::max() when the server is not ejected.
  TimePoint TrialTime() const;

 private:
  HealthLimits limits_;
  std::uint32_t consecutive_failures_ = 0;
  std::uint32_t consecutive_connection_failures_ = 0;
  std::uint32_t results_ = 0;
  double failure_rate_ = 0;
  TimePoint last_failure_at_;
  bool ejected_ = false;
  std::uint32_t ejections_ = 0;
  TimePoint ejected_until_;
  TimePoint readmitted_at_;
};

}  // namespace mulberry
