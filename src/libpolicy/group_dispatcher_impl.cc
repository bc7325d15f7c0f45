#include "libpolicy/group_dispatcher_impl.h"

#include <algorithm>
#include <utility>

namespace mulberry {
namespace {

// Assumed before the first answer.
constexpr Duration kUnknownServiceTime = std::chrono::milliseconds(20);

}  // namespace

GroupDispatcher::Impl::Impl(DispatcherOptions options)
    : options_(options),
      servers_(options_),
      book_(classes_, options_.first_dispatch_id - 1),
      probe_budget_(options_.probes_per_second) {}

void GroupDispatcher::Impl::SetClasses(std::vector<ClassTarget> classes, TimePoint now,
                                       PolicyActions& actions) {
  classes_.Set(std::move(classes), options_.retry_budget_ratio);
  DropClassesThatAreGone(actions);
  Pump(now, actions);
}

void GroupDispatcher::Impl::SetServers(std::vector<ServerInfo> servers, TimePoint now,
                                       PolicyActions& actions) {
  servers_.Set(std::move(servers), now);
  Pump(now, actions);
}

void GroupDispatcher::Impl::SetLimitShare(LimitShare share, TimePoint until, TimePoint now,
                                          PolicyActions& actions) {
  const bool was_full = ShareAt(now) == LimitShare::kFull;
  share_ = share;
  share_until_ = until;
  if (!was_full && ShareAt(now) == LimitShare::kFull) probe_budget_.Restart(now);
  Pump(now, actions);
}

void GroupDispatcher::Impl::SetDraining(bool out, TimePoint now, PolicyActions& actions) {
  out_ = out;
  if (out_) DropAllWaiting(RefusalReason::kLeaving, actions);
  Pump(now, actions);
}

void GroupDispatcher::Impl::Submit(const RequestInfo& item, TimePoint now, PolicyActions& actions) {
  now_ = now;
  ClassState* owner_class = classes_.Find(item.class_name);
  if (owner_class == nullptr) {
    actions.emplace_back(ReturnToRouter{item.id, RefusalReason::kNoServer});
    return;
  }
  auto refused = Inadmissible(item, *owner_class, now);
  if (!refused && !MakeRoom(*owner_class, now, actions)) refused = RefusalReason::kQueueFull;
  if (refused) {
    ClassTable::OnEnd(*owner_class, false);
    actions.emplace_back(ReturnToRouter{item.id, *refused});
    return;
  }
  book_.Open(item, *owner_class);
  Pump(now, actions);
}

void GroupDispatcher::Impl::Cancel(RequestId id, TimePoint now, PolicyActions& actions) {
  Request* request = book_.Find(id);
  if (request == nullptr) return;
  // A non-idempotent request that may be running goes on: whoever asks again gets its outcome.
  if (request->owner_class->target.idempotent) CancelAttempts(*request, actions);
  const bool may_have_run = request->may_have_run || !request->running.empty();
  actions.emplace_back(RefuseRequest{id, RefusalReason::kCancelled, may_have_run});
  book_.Close(*request);
  Pump(now, actions);
}

void GroupDispatcher::Impl::OnDispatchEnd(const DispatchReport& report, TimePoint now,
                                          PolicyActions& actions) {
  Attempt* attempt = book_.FindAttempt(report.dispatch);
  if (attempt == nullptr) return;
  Request* request = attempt->request;
  ClassState& owner_class = *attempt->owner_class;
  const Duration latency = now - attempt->started;
  const Duration median = owner_class.latency.Median();
  const bool in_time = latency <= std::max(owner_class.target.latency_target, 2 * median);
  servers_.End(*attempt->server, report, attempt->started, attempt->epoch, median, in_time, now);
  if (report.result == DispatchResult::kAnswered) owner_class.latency.Add(latency, now);
  book_.End(*attempt);
  if (request != nullptr && report.result == DispatchResult::kAnswered) {
    Relay(*request, report.dispatch, now, actions);
  } else if (request != nullptr) {
    OnFailure(*request, report, now, actions);
  }
  Pump(now, actions);
}

void GroupDispatcher::Impl::OnProbe(const ProbeReport& report, TimePoint now,
                                    PolicyActions& actions) {
  servers_.OnProbe(report, now);
  Pump(now, actions);
}

void GroupDispatcher::Impl::Tick(TimePoint now, PolicyActions& actions) {
  Pump(now, actions);
  Probe(now, actions);
}

TimePoint GroupDispatcher::Impl::NextTick() const {
  TimePoint next = book_.expiry().FirstTime();
  if (out_ || ShareAt(now_) == LimitShare::kNone) return next;
  next = std::min(next, book_.hedges().FirstTimeAfter(now_));
  if (book_.Waiting() > 0) next = std::min(next, servers_.NextChange(now_));
  if (ShareAt(now_) != LimitShare::kFull || probe_budget_.NextTime() == TimePoint::max()) {
    return next;
  }
  return std::min(next, std::max(probe_budget_.NextTime(), servers_.NextProbeTime()));
}

Duration GroupDispatcher::Impl::ExpectedWait(const ClassName& class_name) const {
  const ClassState* owner_class = classes_.Find(class_name);
  if (owner_class == nullptr || out_ || ShareAt(now_) == LimitShare::kNone) return Duration::max();
  return WaitOf(*owner_class, now_);
}

std::vector<ServerState> GroupDispatcher::Impl::Servers(TimePoint now) const {
  return servers_.Describe(ShareAt(now), now);
}

DispatcherStats GroupDispatcher::Impl::Stats() const {
  DispatcherStats stats = stats_;
  stats.queued = static_cast<std::uint32_t>(book_.Waiting());
  stats.in_flight = servers_.InFlight();
  return stats;
}

LimitShare GroupDispatcher::Impl::ShareAt(TimePoint now) const {
  return now < share_until_ ? share_ : LimitShare::kNone;
}

Duration GroupDispatcher::Impl::ServiceTime(const ClassState& owner_class) const {
  return owner_class.latency.Mean(kUnknownServiceTime);
}

/// Time until a new request of the class would get a slot. The class waits for everything that is
/// queued, or only for its own requests at its fair share of the slots, whichever is shorter.
Duration GroupDispatcher::Impl::WaitOf(const ClassState& owner_class, TimePoint now) const {
  const std::uint32_t capacity = servers_.Capacity(ShareAt(now), now);
  if (capacity == 0) return Duration::max();
  const std::size_t waiting = book_.Waiting();
  if (waiting == 0 && servers_.InFlight() < capacity) return Duration::zero();
  const auto all = static_cast<double>(waiting + 1);
  const auto own = static_cast<double>(owner_class.queue.size() + 1);
  const double ahead = std::min(all, own / classes_.FairShare(owner_class));
  const auto service_us = static_cast<double>(ServiceTime(owner_class).count());
  return Duration(static_cast<std::int64_t>(service_us * ahead / capacity));
}

std::optional<RefusalReason> GroupDispatcher::Impl::Inadmissible(const RequestInfo& item,
                                                                 const ClassState& owner_class,
                                                                 TimePoint now) const {
  if (out_) return RefusalReason::kLeaving;
  if (now >= item.deadline) return RefusalReason::kDeadlinePassed;
  if (!servers_.AnyInService()) return RefusalReason::kNoServer;
  if (ShareAt(now) == LimitShare::kNone) return std::nullopt;
  const Duration wait = WaitOf(owner_class, now);
  if (wait == Duration::max()) return RefusalReason::kNoServer;
  const Duration left = item.deadline - now;
  if (wait + owner_class.latency.Low(now) > left) return RefusalReason::kDeadlineUnreachable;
  return std::nullopt;
}

/// Makes sure that the queue can take one more request; false when the newcomer has to go.
bool GroupDispatcher::Impl::MakeRoom(ClassState& newcomer, TimePoint now, PolicyActions& actions) {
  const std::size_t bound = std::size_t{options_.queue_per_slot} * servers_.Slots();
  if (book_.Waiting() < std::max<std::size_t>(1, bound)) return true;
  ClassState* victim = classes_.Victim(newcomer, bound);
  if (victim->queue.empty()) return false;
  if (victim->queue.FirstTime() <= now) {
    Drop(*victim->queue.First(), RefusalReason::kQueueFull, actions);
    return true;
  }
  if (victim == &newcomer) return false;
  Drop(*victim->queue.Last(), RefusalReason::kShedForOtherClass, actions);
  return true;
}

void GroupDispatcher::Impl::Relay(Request& request, DispatchId dispatch, TimePoint now,
                                  PolicyActions& actions) {
  ClassTable::OnEnd(*request.owner_class, now <= request.due);
  actions.emplace_back(RelayAnswer{request.id, dispatch});
  CancelAttempts(request, actions);
  book_.Close(request);
}

/// Ends a waiting request: back to the router when nothing was dispatched, else refused.
void GroupDispatcher::Impl::Drop(Request& request, RefusalReason reason, PolicyActions& actions) {
  if (request.attempts > 0) return Refuse(request, reason, actions);
  ClassTable::OnEnd(*request.owner_class, false);
  actions.emplace_back(ReturnToRouter{request.id, reason});
  book_.Close(request);
}

void GroupDispatcher::Impl::Refuse(Request& request, RefusalReason reason, PolicyActions& actions) {
  ClassTable::OnEnd(*request.owner_class, false);
  actions.emplace_back(RefuseRequest{request.id, reason, request.may_have_run});
  book_.Close(request);
}

void GroupDispatcher::Impl::CancelAttempts(const Request& request, PolicyActions& actions) const {
  for (const Attempt* attempt : request.running) actions.emplace_back(CancelDispatch{attempt->id});
}

void GroupDispatcher::Impl::DropAllWaiting(RefusalReason reason, PolicyActions& actions) {
  while (!book_.expiry().empty()) Drop(*book_.expiry().First(), reason, actions);
}

void GroupDispatcher::Impl::DropClassesThatAreGone(PolicyActions& actions) {
  const auto gone = [](const Request* request) { return request->owner_class->gone; };
  while (Request* request = book_.expiry().FindFirst(gone)) {
    Refuse(*request, RefusalReason::kNoServer, actions);
  }
}

}  // namespace mulberry
