#pragma once

#include <cstdint>
#include <set>
#include <tuple>

#include "libadmission/dispatch_rate.h"
#include "libadmission/wait_policy.h"
#include "libbase/base.h"

namespace mulberry::admission {

/// Identifies a call in its queue.
using CallId = StrongNumber<struct CallIdTag>;

/// The data of a call that a queue needs.
struct QueuedCall {
  CallId id;
  std::uint32_t priority = 0;
  /// A later answer misses the latency target.
  TimePoint target_time;
  TimePoint deadline;

  bool operator<(const QueuedCall& other) const {
    return std::tie(priority, target_time, id) <
           std::tie(other.priority, other.target_time, other.id);
  }
};

/// Calls of one service that wait for a server. Calls that can still meet their target come first,
/// among these those with the lowest priority number, then the earliest target time. In order of
/// arrival, all calls would be late under overload. Does no I/O: time is passed in. Not thread
/// safe.
class CallQueue {
 public:
  /// Adds a call; returns false if it would wait too long, see ShouldQueue.
  bool TryEnqueue(const QueuedCall& call, Duration service_time, TimePoint now);
  void Remove(const QueuedCall& call) { waiting_.erase(call); }
  /// Counts a dispatched call, whether it was queued or not.
  void OnDispatch(TimePoint now) { rate_.OnDispatch(now); }

  /// Returns the position that the call has, or would have.
  QueuePosition PositionOf(const QueuedCall& call, Duration service_time, TimePoint now) const;

  bool empty() const { return waiting_.empty(); }
  std::size_t size() const { return waiting_.size(); }
  /// Returns the call to dispatch next. Precondition: not empty().
  const QueuedCall& Next(Duration service_time, TimePoint now) const;

 private:
  std::set<QueuedCall> waiting_;
  DispatchRate rate_;
};

}  // namespace mulberry::admission
