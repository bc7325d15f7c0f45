#pragma once

#include <cstddef>

#include "libbase/base.h"

namespace mulberry::admission {

/// Position of a request in a queue and what determines its wait.
struct QueuePosition {
  TimePoint target_time;  ///< A later answer misses the latency target.
  TimePoint deadline;     ///< After this time the caller no longer waits.
  std::size_t ahead = 0;  ///< Requests that are served earlier.
  double rate = 0;        ///< Requests dispatched per second.
  Duration service_time{};
};

/// Returns the expected wait for a server. Thread safety of all functions below: any thread.
Duration ExpectedWait(const QueuePosition& position);

/// True when a call that gets a server now can be answered by its target time.
bool CanMeetTarget(TimePoint target_time, Duration service_time, TimePoint now);

/// Returns when the call must get a server to be answered by its deadline.
TimePoint LastStart(TimePoint deadline, Duration service_time);

/// False when the request would miss its target. Under overload such a request is refused on
/// arrival, while its caller still has time to react, instead of making all requests late.
bool ShouldQueue(const QueuePosition& position, TimePoint now);

/// Returns when a queued request is failed if it still has no server.
TimePoint QueueDeadline(const QueuePosition& position);

/// Returns the Retry-After value: about when the queue has drained. `random`, between 0 and 1,
/// spreads callers that were refused together.
Duration RetryAfter(const QueuePosition& position, double random);

/// Returns the Retry-After value for callers that come back once and wait at most a third of the
/// time that they have left: a random time that is not longer than that.
Duration RetryAfterWithin(const QueuePosition& position, double random, TimePoint now);

}  // namespace mulberry::admission
