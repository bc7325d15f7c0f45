#include "libgateway/call_queue.h"

#include <algorithm>

namespace mulberry::gateway {
namespace {

/// Stands in for an answer time of zero.
constexpr double kLeastServiceSeconds = 1e-3;

}  // namespace

bool CallQueue::TryEnqueue(const QueuedCall& call, Duration service_time, TimePoint now) {
  if (!ShouldQueue(PositionOf(call, service_time, now), now)) return false;
  waiting_.insert(call);
  return true;
}

QueuePosition CallQueue::PositionOf(const QueuedCall& call, Duration service_time,
                                    TimePoint now) const {
  QueuePosition question;
  question.due = call.due;
  question.deadline = call.deadline;
  question.service_time = service_time;
  const double seconds = std::chrono::duration<double>(service_time).count();
  question.rate = rate_.PerSecond(1 / std::max(kLeastServiceSeconds, seconds), now);
  for (const QueuedCall& other : waiting_) {
    if (!(other < call)) break;
    if (CanMeetTarget(other.due, service_time, now)) ++question.ahead;
  }
  return question;
}

const QueuedCall& CallQueue::Next(Duration service_time, TimePoint now) const {
  const auto in_time = std::find_if(waiting_.begin(), waiting_.end(), [&](const QueuedCall& call) {
    return CanMeetTarget(call.due, service_time, now);
  });
  return in_time == waiting_.end() ? *waiting_.begin() : *in_time;
}

}  // namespace mulberry::gateway
