#pragma once

#include <cstdint>

#include "libpolicy/types.h"

namespace mulberry {

/// How many failures in a row count as such.
struct HealthLimits {
  /// Attempts that never reached the server or lost their connection.
  std::uint32_t consecutive_connection_failures = 5;
  /// Failures of any kind.
  std::uint32_t consecutive_failures = 5;
};

/// Whether one server fails, and for how long it is ejected. An ejected server gets no requests
/// until its back-off is over, then one trial request at a time. Not thread safe.
class ServerHealth {
 public:
  enum class State { kHealthy, kEjected, kTrial };

  explicit ServerHealth(HealthLimits limits = {}) : limits_(limits) {}

  /// Takes the result of an attempt that began at `started`; kCancelled says nothing.
  void OnResult(DispatchResult result, TimePoint started, TimePoint now);

  /// True when enough attempts in a row never reached the server or lost their connection.
  bool Unreachable() const;
  /// True when enough answers in a row, or most of the recent ones, were errors or sheds.
  bool HasTooManyFailures() const;
  /// Share of recent attempts that failed, 0 to 1.
  double FailureShare() const { return failure_share_; }
  /// The same, but zero when the last failure is a while ago: a server that is avoided for its
  /// failures has to be tried again.
  double RecentFailureShare(TimePoint now) const;

  State StateAt(TimePoint now) const;
  /// Takes the server out for a back-off time that doubles with each ejection.
  void Eject(TimePoint now);
  /// Ends the back-off early, so that a trial request can go.
  void AllowTrial(TimePoint now);
  /// Ends the ejection, as after a successful trial.
  void Readmit(TimePoint now);
  /// Time at which a trial is allowed; TimePoint::max() when the server is not ejected.
  TimePoint TrialTime() const;

 private:
  HealthLimits limits_;
  std::uint32_t failures_in_row_ = 0;
  std::uint32_t lost_in_row_ = 0;
  std::uint32_t results_ = 0;
  double failure_share_ = 0;
  TimePoint last_failure_;
  bool ejected_ = false;
  std::uint32_t ejections_ = 0;
  TimePoint ejected_until_;
  TimePoint readmitted_;
};

}  // namespace mulberry
