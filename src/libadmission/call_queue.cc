#include "libadmission/call_queue.h"

#include <algorithm>
#include <cmath>

namespace mulberry::admission {
namespace {

/// Replaces an answer time of zero.
constexpr double kMinServiceSeconds = 1e-3;
/// With fair shares, a call that waits is reviewed once after this fraction of its latency target,
/// the longest time for which a call that is refused may be held.
constexpr double kReviewFraction = 0.125;
/// With fair shares, one dispatch in this many goes to a call that has missed its target but was
/// kept: without it such calls would wait until their deadline while the overload lasts.
constexpr std::uint64_t kLateInterval = 4;
/// With fair shares, the fraction of the recent rate that a new call counts on: machines slow down
/// after it is queued. In the overload model at 1.6 times the capacity, 0.58 of the calls are in
/// target with 0.6, 0.56 with 0.8 and 0.53 with 1.
constexpr double kCountedRate = 0.6;

}  // namespace

void CallQueue::OnArrival(const QueuedCall& call, TimePoint now) {
  if (fair_) shares_.OnArrival(FlowOf(call), now);
}

void CallQueue::OnDispatch(const QueuedCall& call, TimePoint now) {
  rate_.OnDispatch(now);
  ++dispatches_;
  if (fair_) shares_.OnServed(FlowOf(call), now);
}

bool CallQueue::TryEnqueue(const QueuedCall& call, Duration service_time, TimePoint now) {
  // A call that comes back after a failed attempt has been held too long to be refused.
  const bool keep = fair_ && now > ReviewTime(call);
  if (!keep && !ShouldKeep(call, service_time, now)) return false;
  by_id_.emplace(call.id, call);
  waiting_.insert(call);
  flows_[FlowOf(call)].insert(call);
  return true;
}

void CallQueue::Remove(CallId id) {
  const auto entry = by_id_.find(id);
  if (entry == by_id_.end()) return;
  const QueuedCall& call = entry->second;
  waiting_.erase(call);
  const auto flow = flows_.find(FlowOf(call));
  flow->second.erase(call);
  if (flow->second.empty()) flows_.erase(flow);
  by_id_.erase(entry);
}

bool CallQueue::ShouldKeep(const QueuedCall& call, Duration service_time, TimePoint now) const {
  return ShouldQueue(PositionOf(call, service_time, now), now);
}

QueuePosition CallQueue::PositionOf(const QueuedCall& call, Duration service_time,
                                    TimePoint now) const {
  QueuePosition position;
  position.target_time = call.target_time;
  position.deadline = call.deadline;
  position.service_time = service_time;
  const double seconds = std::chrono::duration<double>(service_time).count();
  position.rate = rate_.PerSecond(1 / std::max(kMinServiceSeconds, seconds), now);
  if (fair_) {
    position.ahead = CountAheadFairly(call, service_time, now);
    position.rate *= shares_.AvailableFraction(FlowOf(call), now) * kCountedRate;
    return position;
  }
  for (const QueuedCall& other : waiting_) {
    if (!(other < call)) break;
    if (CanMeetTarget(other.target_time, service_time, now)) ++position.ahead;
  }
  return position;
}

TimePoint CallQueue::FailTime(const QueuedCall& call, Duration service_time, TimePoint now) const {
  if (!fair_) return QueueDeadline(PositionOf(call, service_time, now));
  const TimePoint review = ReviewTime(call);
  return now < review ? review : LastStart(call.deadline, service_time);
}

Duration CallQueue::RetryAfterFor(const QueuedCall& call, Duration service_time, double random,
                                  TimePoint now) const {
  const QueuePosition position = PositionOf(call, service_time, now);
  return fair_ ? RetryAfterWithin(position, random, now) : RetryAfter(position, random);
}

TimePoint CallQueue::ReviewTime(const QueuedCall& call) {
  const Duration target = call.target_time - call.arrived;
  return call.arrived +
         Duration(std::llround(static_cast<double>(target.count()) * kReviewFraction));
}

const QueuedCall& CallQueue::Next(Duration service_time, TimePoint now) const {
  if (fair_) return NextFairly(service_time, now);
  const auto first_in_target = std::find_if(
      waiting_.begin(), waiting_.end(),
      [&](const QueuedCall& call) { return CanMeetTarget(call.target_time, service_time, now); });
  return first_in_target == waiting_.end() ? *waiting_.begin() : *first_in_target;
}

CallQueue::Rank CallQueue::RankOf(const Flow& flow, TimePoint now) const {
  return {shares_.IsUnderServed(flow.priority, now) ? 0 : 1, flow.priority,
          shares_.IsUnderServed(flow, now) ? 0 : 1};
}

const QueuedCall& CallQueue::NextFairly(Duration service_time, TimePoint now) const {
  const QueuedCall* best = nullptr;
  const QueuedCall* late = nullptr;
  std::pair<Rank, double> best_key;
  for (const auto& [flow, calls] : flows_) {
    const QueuedCall* first = nullptr;
    for (const QueuedCall& call : calls) {
      if (CanMeetTarget(call.target_time, service_time, now)) {
        first = &call;
        break;
      }
      if (late == nullptr || call.deadline < late->deadline) late = &call;
    }
    if (first == nullptr) continue;
    const std::pair<Rank, double> key = {RankOf(flow, now), shares_.ServedOf(flow, now)};
    if (best != nullptr && key >= best_key) continue;
    best = first;
    best_key = key;
  }
  if (best == nullptr || (late != nullptr && dispatches_ % kLateInterval == 0)) return *late;
  return *best;
}

std::size_t CallQueue::CountAheadFairly(const QueuedCall& call, Duration service_time,
                                        TimePoint now) const {
  const Flow own_flow = FlowOf(call);
  const Rank rank = RankOf(own_flow, now);
  std::size_t own = 0;
  if (const auto found = flows_.find(own_flow); found != flows_.end()) {
    own = static_cast<std::size_t>(
        std::count_if(found->second.begin(), found->second.end(), [&](const QueuedCall& other) {
          return SentEarlier()(other, call) && CanMeetTarget(other.target_time, service_time, now);
        }));
  }
  // The flows of equal rank take turns, those that were served less first.
  const double turn = shares_.ServedOf(own_flow, now) + static_cast<double>(own);
  std::size_t ahead = own;
  std::size_t late = 0;
  for (const auto& [flow, calls] : flows_) {
    const auto in_target = static_cast<std::size_t>(
        std::count_if(calls.begin(), calls.end(), [&](const QueuedCall& other) {
          return CanMeetTarget(other.target_time, service_time, now);
        }));
    late += calls.size() - in_target;
    if (flow == own_flow) continue;
    const Rank other_rank = RankOf(flow, now);
    if (other_rank > rank) continue;
    const double turns = std::ceil(std::max(0.0, turn - shares_.ServedOf(flow, now)));
    ahead += other_rank < rank ? in_target : std::min(in_target, static_cast<std::size_t>(turns));
  }
  return ahead + std::min(late, ahead / (kLateInterval - 1));
}

}  // namespace mulberry::admission
