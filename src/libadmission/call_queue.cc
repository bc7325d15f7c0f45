#include "libadmission/call_queue.h"

#include <algorithm>

namespace mulberry::admission {
namespace {

/// Replaces an answer time of zero.
constexpr double kMinServiceSeconds = 1e-3;

}  // namespace

bool CallQueue::TryEnqueue(const QueuedCall& call, Duration service_time, TimePoint now) {
  if (!ShouldQueue(PositionOf(call, service_time, now), now)) return false;
  waiting_.insert(call);
  return true;
}

QueuePosition CallQueue::PositionOf(const QueuedCall& call, Duration service_time,
                                    TimePoint now) const {
  QueuePosition position;
  position.target_time = call.target_time;
  position.deadline = call.deadline;
  position.service_time = service_time;
  const double seconds = std::chrono::duration<double>(service_time).count();
  position.rate = rate_.PerSecond(1 / std::max(kMinServiceSeconds, seconds), now);
  for (const QueuedCall& other : waiting_) {
    if (!(other < call)) break;
    if (CanMeetTarget(other.target_time, service_time, now)) ++position.ahead;
  }
  return position;
}

const QueuedCall& CallQueue::Next(Duration service_time, TimePoint now) const {
  const auto first_in_target = std::find_if(
      waiting_.begin(), waiting_.end(),
      [&](const QueuedCall& call) { return CanMeetTarget(call.target_time, service_time, now); });
  return first_in_target == waiting_.end() ? *waiting_.begin() : *first_in_target;
}

}  // namespace mulberry::admission
