#pragma once

#include <cstddef>
#include <deque>

#include "libbase/base.h"

namespace mulberry::gateway {

/// Requests a second that a queue has been giving to servers lately. Not thread safe.
class DispatchRate {
 public:
  void OnDispatch(TimePoint now);
  /// Returns dispatches a second; `least` while there are too few to tell.
  double PerSecond(double least, TimePoint now) const;

 private:
  std::deque<TimePoint> dispatches_;
};

/// A request that would have to wait, and what it would wait behind.
struct QueuePosition {
  TimePoint due;          ///< Answered later, it misses its target.
  TimePoint deadline;     ///< Nobody waits for it any more.
  std::size_t ahead = 0;  ///< Requests that are served before it.
  double rate = 0;        ///< Requests a second that get a server.
  Duration service_time{};
};

/// Returns how long the request would wait for a server. Thread safety of all: any thread.
Duration ExpectedWait(const QueuePosition& question);

/// True when a call that gets a server now can be answered by its due time.
bool CanMeetTarget(TimePoint due, Duration service_time, TimePoint now);

/// Answers a load above what the servers bear: a request that would miss its target is refused at
/// its arrival, when its caller can still use the time, instead of making all requests late.
bool ShouldQueue(const QueuePosition& question, TimePoint now);

/// Until when a request may wait in a queue; after it, the caller is told.
TimePoint QueueDeadline(const QueuePosition& question);

/// Returns when a refused caller should come back: when the queue has drained. `random`, between 0
/// and 1, spreads callers that were refused together.
Duration RetryAfter(const QueuePosition& question, double random);

}  // namespace mulberry::gateway
