#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "libbase/base.h"

namespace mulberry::gateway {

/// Limits on retries and hedges over all hosts.
struct RetryLimits {
  /// Retries and hedges as a fraction of the requests for a service.
  double ratio = 0.2;
  /// The sliding window over which the limit applies.
  Duration window = std::chrono::seconds(10);
  /// Retries and hedges per window in addition to the ratio, over all hosts.
  double slack = 0;
};

/// Limits the retries and hedges of one service at one host in any window of the configured length.
/// Each host uses the ratio of its own requests plus its share of the slack, so the limit over all
/// hosts holds without coordination. Not thread safe.
class RetryBudget {
 public:
  explicit RetryBudget(RetryLimits limits) : limits_(limits) {}

  /// Sets this host's share of the slack, 0 to 1.
  void SetSlackShare(double share) { slack_share_ = share; }

  void SetLimits(const RetryLimits& limits) { limits_ = limits; }

  /// Counts a request for the service.
  void OnRequest(TimePoint now);

  /// Consumes one attempt from the budget; false when it is exhausted. A hedge (`hedge`) may use
  /// only a fraction of it, so that retries after a failure remain possible.
  bool TryConsume(bool hedge, TimePoint now);

 private:
  void RemoveExpired(TimePoint now);

  RetryLimits limits_;
  double slack_share_ = 0;
  std::deque<TimePoint> requests_;
  std::deque<TimePoint> retries_;
};

}  // namespace mulberry::gateway
