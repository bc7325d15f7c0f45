#include "libgateway/admission.h"

#include <algorithm>
#include <cmath>

namespace mulberry::gateway {
namespace {

/// The rate of dispatches is taken over this time.
constexpr Duration kRateWindow = std::chrono::milliseconds(500);
/// Part of the time between target and deadline for which a request that was expected to be in
/// target still waits once it is not: a late answer is better than none.
constexpr double kLatePart = 0.2;
/// Part of a usual answer time that must be left.
constexpr double kServicePart = 0.8;
/// Bounds of what callers are told to wait.
constexpr Duration kLeastRetryAfter = std::chrono::milliseconds(20);
constexpr Duration kMostRetryAfter = std::chrono::seconds(2);

Duration Scale(Duration duration, double factor) {
  return Duration(std::llround(static_cast<double>(duration.count()) * factor));
}

}  // namespace

void DispatchRate::OnDispatch(TimePoint now) {
  dispatches_.push_back(now);
  while (dispatches_.front() < now - kRateWindow) dispatches_.pop_front();
}

double DispatchRate::PerSecond(double least, TimePoint now) const {
  const auto recent = std::count_if(dispatches_.begin(), dispatches_.end(),
                                    [&](TimePoint at) { return at >= now - kRateWindow; });
  const double window = std::chrono::duration<double>(kRateWindow).count();
  return std::max(least, static_cast<double>(recent) / window);
}

Duration ExpectedWait(const QueuePosition& question) {
  const double rate = std::max(question.rate, 1e-3);
  const auto wait = std::chrono::duration<double>((static_cast<double>(question.ahead) + 1) / rate);
  return std::chrono::duration_cast<Duration>(wait);
}

bool CanMeetTarget(TimePoint due, Duration service_time, TimePoint now) {
  return now + Scale(service_time, kServicePart) <= due;
}

bool ShouldQueue(const QueuePosition& question, TimePoint now) {
  const TimePoint start = now + ExpectedWait(question);
  return CanMeetTarget(question.due, question.service_time, start);
}

TimePoint QueueDeadline(const QueuePosition& question) {
  const Duration late =
      question.deadline > question.due ? question.deadline - question.due : Duration::zero();
  return std::min(question.deadline, question.due + Scale(late, kLatePart)) -
         Scale(question.service_time, kServicePart);
}

Duration RetryAfter(const QueuePosition& question, double random) {
  const Duration wait = Scale(ExpectedWait(question), 0.5 + random);
  return std::clamp(wait, kLeastRetryAfter, kMostRetryAfter);
}

}  // namespace mulberry::gateway
