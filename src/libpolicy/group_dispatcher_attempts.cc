// The part of GroupDispatcher::Impl that starts attempts: queues, retries, hedges and probes.

#include <algorithm>

#include "libpolicy/group_dispatcher_impl.h"

namespace mulberry {
namespace {

// An attempt is overdue after this multiple of the median latency of its class.
constexpr int kOverdueMedians = 3;

// A hedge starts after the 95th percentile of its class's latency, but not before this percentage
// of the median.
constexpr int kMinHedgeDelayPercent = 150;

RetryReason RetryReasonOf(DispatchResult result) {
  switch (result) {
    case DispatchResult::kShed:
      return RetryReason::kShed;
    case DispatchResult::kConnectRefused:
      return RetryReason::kConnectRefused;
    case DispatchResult::kNotSent:
      return RetryReason::kNotSent;
    case DispatchResult::kServerError:
      return RetryReason::kServerError;
    case DispatchResult::kAnswered:
    case DispatchResult::kBroken:
    case DispatchResult::kTimedOut:
    case DispatchResult::kCancelled:
      return RetryReason::kBroken;
  }
  return RetryReason::kBroken;
}

}  // namespace

void GroupDispatcher::Impl::ProcessQueues(TimePoint now, PolicyActions& actions) {
  now_ = now;
  RefuseExpired(now, actions);
  const LimitShare share = ShareAt(now);
  if (draining_ || share == LimitShare::kNone) {
    if (!servers_.AnyInService()) ReturnOrRefuseAll(RefusalReason::kNoServer, actions);
    return;
  }
  DispatchRetries(share, now, actions);
  DispatchQueued(share, now, actions);
  DispatchHedges(share, now, actions);
  ReturnOrRefuseUnservable(share, now, actions);
}

void GroupDispatcher::Impl::RefuseExpired(TimePoint now, PolicyActions& actions) {
  const bool not_owner = ShareAt(now) == LimitShare::kNone;
  while (requests_.expiry().FirstTime() <= now) {
    Request& request = *requests_.expiry().First();
    const bool refused_as_not_owner = not_owner && request.attempts == 0;
    Refuse(request,
           refused_as_not_owner ? RefusalReason::kNotOwner : RefusalReason::kDeadlinePassed,
           actions);
  }
}

void GroupDispatcher::Impl::DispatchRetries(LimitShare share, TimePoint now,
                                            PolicyActions& actions) {
  BackendServer* server = nullptr;
  const auto can_start = [&](const Request* request) {
    server = PickServer(*request, false, share, now);
    return server != nullptr;
  };
  while (Request* request = requests_.retries().FindFirst(can_start)) {
    StartAttempt(*request, *server, request->retry_reason, now, actions);
  }
}

void GroupDispatcher::Impl::DispatchQueued(LimitShare share, TimePoint now,
                                           PolicyActions& actions) {
  while (Request* request = classes_.Next(now)) {
    if (now + request->class_state->latency.P10(now) > request->deadline) {
      ReturnOrRefuse(*request, RefusalReason::kDeadlineUnreachable, actions);
      continue;
    }
    BackendServer* server = PickServer(*request, false, share, now);
    if (server == nullptr) return;
    StartAttempt(*request, *server, std::nullopt, now, actions);
  }
}

/// Starts the hedges that are due. A hedge without a free server stays due until a slot is free.
void GroupDispatcher::Impl::DispatchHedges(LimitShare share, TimePoint now,
                                           PolicyActions& actions) {
  while (requests_.TotalQueued() == 0 && requests_.hedges().FirstTime() <= now) {
    Request& request = *requests_.hedges().First();
    BackendServer* server = PickServer(request, true, share, now);
    if (server == nullptr) return;
    requests_.DisarmHedge(request);
    if (now + request.class_state->latency.Median() >= request.deadline) continue;
    if (!request.class_state->retry_budget.TakeHedge()) continue;
    StartAttempt(request, *server, RetryReason::kHedge, now, actions);
  }
}

/// Returns or refuses all queued requests when no server is healthy or the capacity is zero.
/// Requests that servers on trial can take have been dispatched before.
void GroupDispatcher::Impl::ReturnOrRefuseUnservable(LimitShare share, TimePoint now,
                                                     PolicyActions& actions) {
  if (requests_.TotalQueued() == 0) return;
  if (servers_.AnyHealthy() && servers_.Capacity(share, now) > 0) return;
  ReturnOrRefuseAll(RefusalReason::kNoServer, actions);
}

void GroupDispatcher::Impl::Probe(TimePoint now, PolicyActions& actions) {
  if (draining_ || ShareAt(now) != LimitShare::kFull) return;
  BackendServer* server = servers_.DueForProbe(now);
  if (server == nullptr || !probe_limiter_.TryTake(now)) return;
  server->OnProbeStart(now);
  ++stats_.probes;
  actions.emplace_back(StartProbe{server->name()});
}

BackendServer* GroupDispatcher::Impl::PickServer(const Request& request, bool healthy_only,
                                                 LimitShare share, TimePoint now) {
  PickCriteria criteria;
  criteria.idempotent = request.idempotent;
  criteria.tried = &request.tried;
  criteria.healthy_only = healthy_only;
  criteria.queued = std::max<std::size_t>(1, requests_.TotalQueued());
  criteria.service_time = ServiceTime(*request.class_state);
  return servers_.Pick(criteria, share, now);
}

void GroupDispatcher::Impl::StartAttempt(Request& request, BackendServer& server,
                                         std::optional<RetryReason> retry, TimePoint now,
                                         PolicyActions& actions) {
  ClassState& class_state = *request.class_state;
  const Duration median = class_state.latency.Median();
  const Attempt& attempt = requests_.StartAttempt(request, server, now);
  const Duration overdue_after =
      median > Duration::zero() ? kOverdueMedians * median : class_state.target.latency_target;
  servers_.OnAttemptStart(server, attempt.id, now + overdue_after, now);
  classes_.OnDispatch(class_state, ServiceTime(class_state), now);
  if (!retry) {
    ++stats_.first_attempts;
    class_state.retry_budget.Deposit();
  } else if (*retry == RetryReason::kHedge) {
    ++stats_.hedges;
  } else {
    ++stats_.retries;
  }
  actions.emplace_back(
      StartDispatch{attempt.id, request.id, server.name(), request.deadline, retry});
  if (!retry) ArmHedge(request, now);
}

/// Arms the hedge timer after a first attempt if the request may have a second one.
void GroupDispatcher::Impl::ArmHedge(Request& request, TimePoint now) {
  const ClassState& class_state = *request.class_state;
  if (!request.idempotent || request.no_retry || options_.max_attempts < 2) return;
  if (!class_state.latency.Ready()) return;
  const Duration min_delay = class_state.latency.Median() * kMinHedgeDelayPercent / 100;
  const TimePoint at = now + std::max(class_state.latency.P95(), min_delay);
  if (at + class_state.latency.Median() < request.deadline) requests_.ArmHedge(request, at);
}

std::optional<RefusalReason> GroupDispatcher::Impl::CheckRetry(const Request& request,
                                                               const DispatchReport& report,
                                                               TimePoint now) const {
  const ClassState& class_state = *request.class_state;
  if (draining_) return RefusalReason::kLeaving;
  if (class_state.removed) return RefusalReason::kServerFailed;
  if (!request.idempotent && request.may_have_run) return RefusalReason::kServerFailed;
  if (request.no_retry || report.no_retry) return RefusalReason::kServerFailed;
  if (request.attempts >= options_.max_attempts) return RefusalReason::kAttemptsExhausted;
  if (now + class_state.latency.Median() >= request.deadline) {
    return RefusalReason::kDeadlineUnreachable;
  }
  return std::nullopt;
}

void GroupDispatcher::Impl::OnFailure(Request& request, const DispatchReport& report, TimePoint now,
                                      PolicyActions& actions) {
  if (!ProvesNotRun(report.result)) request.may_have_run = true;
  if (report.no_retry) request.no_retry = true;
  if (!request.running.empty()) return;
  requests_.DisarmHedge(request);
  auto refusal = CheckRetry(request, report, now);
  if (!refusal && !request.class_state->retry_budget.TakeRetry()) {
    refusal = RefusalReason::kRetryBudgetSpent;
  }
  if (!refusal) {
    request.retry_reason = RetryReasonOf(report.result);
    return requests_.QueueRetry(request);
  }
  // A server error is a complete answer, so it is relayed to the caller.
  if (report.result == DispatchResult::kServerError) {
    return Relay(request, report.dispatch, now, actions);
  }
  Refuse(request, *refusal, actions);
}

}  // namespace mulberry
