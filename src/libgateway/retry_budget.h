#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "libbase/base.h"

namespace mulberry::gateway {

/// Bounds of further attempts, over all hosts.
struct RetryLimits {
  /// Further attempts as a share of the requests for a service.
  double ratio = 0.2;
  /// The window over which the share holds.
  Duration window = std::chrono::seconds(10);
  /// Further attempts a window on top of the share, over all hosts.
  double slack = 0;
};

/// Bounds the further attempts of one service in any span of the window's length, at one host: a
/// share of the requests that this host took itself plus its part of the slack, so that the sum
/// over hosts holds without an agreement. Not thread safe.
class RetryBudget {
 public:
  explicit RetryBudget(RetryLimits limits) : limits_(limits) {}

  /// Sets this host's part of the slack, 0 to 1.
  void SetSlackShare(double part) { slack_part_ = part; }

  void SetLimits(const RetryLimits& limits) { limits_ = limits; }

  /// Counts a request for the service.
  void OnRequest(TimePoint now);

  /// Takes one further attempt; false when the window is spent. Attempts that only shorten a
  /// wait (`hedge`) leave a part of the window to attempts after a failure.
  bool TryConsume(bool hedge, TimePoint now);

 private:
  void Expire(TimePoint now);

  RetryLimits limits_;
  double slack_part_ = 0;
  std::deque<TimePoint> requests_;
  std::deque<TimePoint> extra_;
};

}  // namespace mulberry::gateway
