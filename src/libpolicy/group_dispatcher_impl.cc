#include "libpolicy/group_dispatcher_impl.h"

#include <algorithm>
#include <utility>

namespace mulberry {
namespace {

// Estimate until the first answer.
constexpr Duration kInitialServiceTime = std::chrono::milliseconds(20);

}  // namespace

GroupDispatcher::Impl::Impl(DispatcherOptions options)
    : options_(options),
      servers_(options_),
      requests_(classes_, options_.first_dispatch_id - 1),
      probe_limiter_(options_.probes_per_second) {}

void GroupDispatcher::Impl::SetClasses(std::vector<ClassTarget> classes, TimePoint now,
                                       PolicyActions& actions) {
  classes_.SetClasses(std::move(classes), options_.retry_budget_ratio);
  RefuseRemovedClasses(actions);
  ProcessQueues(now, actions);
}

void GroupDispatcher::Impl::SetServers(std::vector<ServerInfo> servers, TimePoint now,
                                       PolicyActions& actions) {
  servers_.SetServers(std::move(servers), now);
  ProcessQueues(now, actions);
}

void GroupDispatcher::Impl::SetLimitShare(LimitShare share, TimePoint until, TimePoint now,
                                          PolicyActions& actions) {
  const bool was_full = ShareAt(now) == LimitShare::kFull;
  limit_share_ = share;
  limit_share_until_ = until;
  if (!was_full && ShareAt(now) == LimitShare::kFull) probe_limiter_.Restart(now);
  ProcessQueues(now, actions);
}

void GroupDispatcher::Impl::SetDraining(bool draining, TimePoint now, PolicyActions& actions) {
  draining_ = draining;
  if (draining_) ReturnOrRefuseAll(RefusalReason::kLeaving, actions);
  ProcessQueues(now, actions);
}

void GroupDispatcher::Impl::Submit(const RequestInfo& info, TimePoint now, PolicyActions& actions) {
  now_ = now;
  ClassState* class_state = classes_.Find(info.class_name);
  if (class_state == nullptr) {
    actions.emplace_back(ReturnToRouter{info.id, RefusalReason::kNoServer});
    return;
  }
  auto refusal = CheckAdmission(info, *class_state, now);
  if (!refusal && !MakeRoom(*class_state, now, actions)) refusal = RefusalReason::kQueueFull;
  if (refusal) {
    ClassTable::OnEnd(*class_state, false);
    actions.emplace_back(ReturnToRouter{info.id, *refusal});
    return;
  }
  requests_.Open(info, *class_state);
  ProcessQueues(now, actions);
}

void GroupDispatcher::Impl::Cancel(RequestId id, TimePoint now, PolicyActions& actions) {
  Request* request = requests_.Find(id);
  if (request == nullptr) return;
  // Running attempts of a non-idempotent request continue: a caller that repeats the request gets
  // their outcome.
  if (request->idempotent) CancelAttempts(*request, actions);
  const bool may_have_run = request->may_have_run || !request->running.empty();
  actions.emplace_back(RefuseRequest{id, RefusalReason::kCancelled, may_have_run});
  requests_.Close(*request);
  ProcessQueues(now, actions);
}

void GroupDispatcher::Impl::OnDispatchEnd(const DispatchReport& report, TimePoint now,
                                          PolicyActions& actions) {
  Attempt* attempt = requests_.FindAttempt(report.dispatch);
  if (attempt == nullptr) return;
  Request* request = attempt->request;
  ClassState& class_state = *attempt->class_state;
  const Duration latency = now - attempt->started;
  const Duration median = class_state.latency.Median();
  const bool in_time = latency <= std::max(class_state.target.latency_target, 2 * median);
  servers_.OnAttemptEnd(*attempt->server, report, attempt->started, attempt->epoch, median, in_time,
                        now);
  if (report.result == DispatchResult::kAnswered) class_state.latency.Add(latency, now);
  requests_.EndAttempt(*attempt);
  if (request != nullptr && report.result == DispatchResult::kAnswered) {
    Relay(*request, report.dispatch, now, actions);
  } else if (request != nullptr) {
    OnFailure(*request, report, now, actions);
  }
  ProcessQueues(now, actions);
}

void GroupDispatcher::Impl::OnProbe(const ProbeReport& report, TimePoint now,
                                    PolicyActions& actions) {
  servers_.OnProbe(report, now);
  ProcessQueues(now, actions);
}

void GroupDispatcher::Impl::Tick(TimePoint now, PolicyActions& actions) {
  ProcessQueues(now, actions);
  Probe(now, actions);
}

TimePoint GroupDispatcher::Impl::NextTick() const {
  TimePoint next = requests_.expiry().FirstTime();
  if (draining_ || ShareAt(now_) == LimitShare::kNone) return next;
  next = std::min(next, requests_.hedges().FirstTimeAfter(now_));
  if (requests_.TotalQueued() > 0) next = std::min(next, servers_.NextChange(now_));
  if (ShareAt(now_) != LimitShare::kFull || probe_limiter_.NextTime() == TimePoint::max()) {
    return next;
  }
  return std::min(next, std::max(probe_limiter_.NextTime(), servers_.NextProbeTime()));
}

Duration GroupDispatcher::Impl::ExpectedWait(const ClassName& class_name) const {
  const ClassState* state = classes_.Find(class_name);
  if (state == nullptr || draining_ || ShareAt(now_) == LimitShare::kNone) return Duration::max();
  return ExpectedWaitFor(*state, now_);
}

std::vector<ServerState> GroupDispatcher::Impl::Servers(TimePoint now) const {
  return servers_.Describe(ShareAt(now), now);
}

DispatcherStats GroupDispatcher::Impl::Stats() const {
  DispatcherStats stats = stats_;
  stats.queued = static_cast<std::uint32_t>(requests_.TotalQueued());
  stats.in_flight = servers_.InFlight();
  return stats;
}

LimitShare GroupDispatcher::Impl::ShareAt(TimePoint now) const {
  return now < limit_share_until_ ? limit_share_ : LimitShare::kNone;
}

Duration GroupDispatcher::Impl::ServiceTime(const ClassState& class_state) const {
  return class_state.latency.Mean(kInitialServiceTime);
}

/// Returns the expected time until a new request of the class gets a slot. This is the shorter of
/// the wait behind all queued requests and the wait behind those of its own class at the class's
/// fair share of the slots.
Duration GroupDispatcher::Impl::ExpectedWaitFor(const ClassState& class_state,
                                                TimePoint now) const {
  const std::uint32_t capacity = servers_.Capacity(ShareAt(now), now);
  if (capacity == 0) return Duration::max();
  const std::size_t waiting = requests_.TotalQueued();
  if (waiting == 0 && servers_.InFlight() < capacity) return Duration::zero();
  const auto all = static_cast<double>(waiting + 1);
  const auto own = static_cast<double>(class_state.queue.size() + 1);
  const double ahead = std::min(all, own / classes_.FairShare(class_state));
  const auto service_us = static_cast<double>(ServiceTime(class_state).count());
  return Duration(static_cast<std::int64_t>(service_us * ahead / capacity));
}

std::optional<RefusalReason> GroupDispatcher::Impl::CheckAdmission(const RequestInfo& info,
                                                                   const ClassState& class_state,
                                                                   TimePoint now) const {
  if (draining_) return RefusalReason::kLeaving;
  if (now >= info.deadline) return RefusalReason::kDeadlinePassed;
  if (!servers_.AnyInService()) return RefusalReason::kNoServer;
  if (ShareAt(now) == LimitShare::kNone) return std::nullopt;
  const Duration wait = ExpectedWaitFor(class_state, now);
  if (wait == Duration::max()) return RefusalReason::kNoServer;
  const Duration left = info.deadline - now;
  if (wait + class_state.latency.P10(now) > left) return RefusalReason::kDeadlineUnreachable;
  return std::nullopt;
}

/// Makes room in the queue for one more request of `arriving_class`; false when that request must
/// be refused.
bool GroupDispatcher::Impl::MakeRoom(ClassState& arriving_class, TimePoint now,
                                     PolicyActions& actions) {
  const std::size_t max_queued = std::size_t{options_.queue_per_slot} * servers_.Slots();
  if (requests_.TotalQueued() < std::max<std::size_t>(1, max_queued)) return true;
  ClassState* shed_class = classes_.ChooseClassToShed(arriving_class, max_queued);
  if (shed_class->queue.empty()) return false;
  if (shed_class->queue.FirstTime() <= now) {
    ReturnOrRefuse(*shed_class->queue.First(), RefusalReason::kQueueFull, actions);
    return true;
  }
  if (shed_class == &arriving_class) return false;
  ReturnOrRefuse(*shed_class->queue.Last(), RefusalReason::kShedForOtherClass, actions);
  return true;
}

void GroupDispatcher::Impl::Relay(Request& request, DispatchId dispatch, TimePoint now,
                                  PolicyActions& actions) {
  ClassTable::OnEnd(*request.class_state, now <= request.due);
  actions.emplace_back(RelayAnswer{request.id, dispatch});
  CancelAttempts(request, actions);
  requests_.Close(request);
}

/// Ends a queued request. Returns it to the router when no attempt was made and refuses it
/// otherwise.
void GroupDispatcher::Impl::ReturnOrRefuse(Request& request, RefusalReason reason,
                                           PolicyActions& actions) {
  if (request.attempts > 0) return Refuse(request, reason, actions);
  ClassTable::OnEnd(*request.class_state, false);
  actions.emplace_back(ReturnToRouter{request.id, reason});
  requests_.Close(request);
}

void GroupDispatcher::Impl::Refuse(Request& request, RefusalReason reason, PolicyActions& actions) {
  ClassTable::OnEnd(*request.class_state, false);
  actions.emplace_back(RefuseRequest{request.id, reason, request.may_have_run});
  requests_.Close(request);
}

void GroupDispatcher::Impl::CancelAttempts(const Request& request, PolicyActions& actions) const {
  for (const Attempt* attempt : request.running) actions.emplace_back(CancelDispatch{attempt->id});
}

void GroupDispatcher::Impl::ReturnOrRefuseAll(RefusalReason reason, PolicyActions& actions) {
  while (!requests_.expiry().empty()) ReturnOrRefuse(*requests_.expiry().First(), reason, actions);
}

void GroupDispatcher::Impl::RefuseRemovedClasses(PolicyActions& actions) {
  const auto class_removed = [](const Request* request) { return request->class_state->removed; };
  while (Request* request = requests_.expiry().FindFirst(class_removed)) {
    Refuse(*request, RefusalReason::kNoServer, actions);
  }
}

}  // namespace mulberry
