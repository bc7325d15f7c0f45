// The half of GroupDispatcher::Impl that starts attempts: queues, retries, hedges and probes.

#include <algorithm>

#include "libpolicy/group_dispatcher_impl.h"

namespace mulberry {
namespace {

// An attempt is overdue after this multiple of its class's median.
constexpr int kOverdueMedians = 3;

// A hedge starts after the 95th percentile of its class, and not before this part of the median.
constexpr int kLeastHedgePercent = 150;

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

void GroupDispatcher::Impl::Pump(TimePoint now, PolicyActions& actions) {
  now_ = now;
  Expire(now, actions);
  const LimitShare share = ShareAt(now);
  if (out_ || share == LimitShare::kNone) {
    if (!servers_.AnyInService()) DropAllWaiting(RefusalReason::kNoServer, actions);
    return;
  }
  DispatchRetries(share, now, actions);
  DispatchQueued(share, now, actions);
  DispatchHedges(share, now, actions);
  DropUnservable(share, now, actions);
}

void GroupDispatcher::Impl::Expire(TimePoint now, PolicyActions& actions) {
  const bool not_owner = ShareAt(now) == LimitShare::kNone;
  while (book_.expiry().FirstTime() <= now) {
    Request& request = *book_.expiry().First();
    const bool never_owned = not_owner && request.attempts == 0;
    Refuse(request, never_owned ? RefusalReason::kNotOwner : RefusalReason::kDeadlinePassed,
           actions);
  }
}

void GroupDispatcher::Impl::DispatchRetries(LimitShare share, TimePoint now,
                                            PolicyActions& actions) {
  BackendServer* server = nullptr;
  const auto can_start = [&](const Request* request) {
    server = PickFor(*request, false, share, now);
    return server != nullptr;
  };
  while (Request* request = book_.retries().FindFirst(can_start)) {
    Start(*request, *server, request->retry_reason, now, actions);
  }
}

void GroupDispatcher::Impl::DispatchQueued(LimitShare share, TimePoint now,
                                           PolicyActions& actions) {
  while (Request* request = classes_.Next(now)) {
    if (now + request->owner_class->latency.Low(now) > request->deadline) {
      Drop(*request, RefusalReason::kDeadlineUnreachable, actions);
      continue;
    }
    BackendServer* server = PickFor(*request, false, share, now);
    if (server == nullptr) return;
    Start(*request, *server, std::nullopt, now, actions);
  }
}

/// Starts the hedges that are due. One that finds no free server stays due until a slot is free.
void GroupDispatcher::Impl::DispatchHedges(LimitShare share, TimePoint now,
                                           PolicyActions& actions) {
  while (book_.Waiting() == 0 && book_.hedges().FirstTime() <= now) {
    Request& request = *book_.hedges().First();
    BackendServer* server = PickFor(request, true, share, now);
    if (server == nullptr) return;
    book_.DisarmHedge(request);
    if (now + request.owner_class->latency.Median() >= request.deadline) continue;
    if (!request.owner_class->budget.TakeHedge()) continue;
    Start(request, *server, RetryReason::kHedge, now, actions);
  }
}

/// Without a healthy server only as many requests stay as the servers on trial take at once.
void GroupDispatcher::Impl::DropUnservable(LimitShare share, TimePoint now,
                                           PolicyActions& actions) {
  if (book_.Waiting() == 0) return;
  if (servers_.AnyHealthy() && servers_.Capacity(share, now) > 0) return;
  DropAllWaiting(RefusalReason::kNoServer, actions);
}

void GroupDispatcher::Impl::Probe(TimePoint now, PolicyActions& actions) {
  if (out_ || ShareAt(now) != LimitShare::kFull) return;
  BackendServer* server = servers_.DueForProbe(now);
  if (server == nullptr || !probe_budget_.Take(now)) return;
  server->OnProbeStart(now);
  ++stats_.probes;
  actions.emplace_back(StartProbe{server->name()});
}

BackendServer* GroupDispatcher::Impl::PickFor(const Request& request, bool healthy_only,
                                              LimitShare share, TimePoint now) {
  PickRequest pick;
  pick.idempotent = request.owner_class->target.idempotent;
  pick.tried = &request.tried;
  pick.healthy_only = healthy_only;
  pick.queued = std::max<std::size_t>(1, book_.Waiting());
  pick.service_time = ServiceTime(*request.owner_class);
  return servers_.Pick(pick, share, now);
}

void GroupDispatcher::Impl::Start(Request& request, BackendServer& server,
                                  std::optional<RetryReason> retry, TimePoint now,
                                  PolicyActions& actions) {
  ClassState& owner_class = *request.owner_class;
  const Duration median = owner_class.latency.Median();
  const Attempt& attempt = book_.Start(request, server, now);
  const Duration usual =
      median > Duration::zero() ? kOverdueMedians * median : owner_class.target.latency_target;
  servers_.Begin(server, attempt.id, now + usual, now);
  classes_.OnDispatch(owner_class, ServiceTime(owner_class), now);
  if (!retry) {
    ++stats_.first_attempts;
    owner_class.budget.Deposit();
  } else if (*retry == RetryReason::kHedge) {
    ++stats_.hedges;
  } else {
    ++stats_.retries;
  }
  actions.emplace_back(
      StartDispatch{attempt.id, request.id, server.name(), request.deadline, retry});
  if (!retry) ArmHedge(request, now);
}

/// Arms the hedge timer of a first attempt if the request may have a second one.
void GroupDispatcher::Impl::ArmHedge(Request& request, TimePoint now) {
  const ClassState& owner_class = *request.owner_class;
  if (!owner_class.target.idempotent || request.no_retry || options_.max_attempts < 2) return;
  if (!owner_class.latency.Ready()) return;
  const Duration least = owner_class.latency.Median() * kLeastHedgePercent / 100;
  const TimePoint at = now + std::max(owner_class.latency.High(), least);
  if (at + owner_class.latency.Median() < request.deadline) book_.ArmHedge(request, at);
}

std::optional<RefusalReason> GroupDispatcher::Impl::RetryForbidden(const Request& request,
                                                                   const DispatchReport& report,
                                                                   TimePoint now) const {
  const ClassState& owner_class = *request.owner_class;
  if (out_) return RefusalReason::kLeaving;
  if (owner_class.gone) return RefusalReason::kServerFailed;
  if (!owner_class.target.idempotent && request.may_have_run) return RefusalReason::kServerFailed;
  if (request.no_retry || report.no_retry) return RefusalReason::kServerFailed;
  if (request.attempts >= options_.max_attempts) return RefusalReason::kAttemptsExhausted;
  if (now + owner_class.latency.Median() >= request.deadline) {
    return RefusalReason::kDeadlineUnreachable;
  }
  return std::nullopt;
}

void GroupDispatcher::Impl::OnFailure(Request& request, const DispatchReport& report, TimePoint now,
                                      PolicyActions& actions) {
  if (!ProvesNotRun(report.result)) request.may_have_run = true;
  if (report.no_retry) request.no_retry = true;
  if (!request.running.empty()) return;
  book_.DisarmHedge(request);
  auto forbidden = RetryForbidden(request, report, now);
  if (!forbidden && !request.owner_class->budget.TakeRetry()) {
    forbidden = RefusalReason::kRetryBudgetSpent;
  }
  if (!forbidden) {
    request.retry_reason = RetryReasonOf(report.result);
    return book_.WaitForRetry(request);
  }
  // A server error is a whole answer all the same.
  if (report.result == DispatchResult::kServerError) {
    return Relay(request, report.dispatch, now, actions);
  }
  Refuse(request, *forbidden, actions);
}

}  // namespace mulberry
