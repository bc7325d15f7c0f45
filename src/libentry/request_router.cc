#include "libentry/request_router.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "libentry/refusal_status.h"

namespace mulberry {
namespace {

/// Ids of requests from peers and of forwards start above the ids that the caller transport uses.
constexpr std::uint64_t kFirstInternalId = 1ULL << 48;
constexpr std::size_t kMaxRefusalRecords = 100;
constexpr Duration kRerouteDelay = std::chrono::milliseconds(50);

std::uint64_t DigestOf(const CallerRequest& call) {
  std::uint64_t digest = StableHash(call.class_name.str());
  digest = StableHash(call.method, digest);
  digest = StableHash(call.path, digest);
  return StableHash(call.body, digest);
}

}  // namespace

RequestRouter::RequestRouter(const EntryOptions& options, const ServiceMap& services,
                             const ConfigState& config, Membership& membership,
                             const LeaseHolder& leases, GroupTable& groups, EntryObserver& observer)
    : options_(options),
      services_(services),
      config_(config),
      membership_(membership),
      leases_(leases),
      groups_(groups),
      observer_(observer),
      signer_(options.ticket_secret),
      claims_(options.self.self, options.claim_holder, options.random_seed),
      next_id_(kFirstInternalId) {}

Duration RequestRouter::ClampTimeout(Duration requested) const {
  if (requested <= Duration::zero()) {
    return options_.default_deadline;
  }
  return std::min(requested, options_.max_deadline);
}

void RequestRouter::OnCaller(CallerRequest call, bool permitted, Instant now,
                             EntryActions& actions) {
  const RequestId id = call.id;
  const std::size_t pending_before = pending_.size();
  PendingRequest& pending = pending_[id];
  pending.call = std::move(call);
  pending.arrived = now.mono;
  pending.deadline = now.mono + ClampTimeout(pending.call.timeout);
  if (!ResolveClassAndTicket(pending, now, actions)) {
    return;
  }
  if (pending_before >= options_.max_requests) {
    Refuse(id, kStatusTooManyRequests, "too_many_requests", now, actions);
  } else if (!permitted) {
    Refuse(id, kStatusUnavailable, "config_stale", now, actions);
  } else if (options_.naive) {
    StartNaiveAttempt(id, now, actions);
  } else {
    Route(id, now, actions);
  }
}

/// Looks up the request class and verifies the ticket. Returns false if the request was refused.
bool RequestRouter::ResolveClassAndTicket(PendingRequest& pending, Instant now,
                                          EntryActions& actions) {
  const RequestId id = pending.call.id;
  const bool has_ticket = !pending.call.ticket.empty();
  const auto refuse = [&](RunOutcome outcome, int status, const char* reason) {
    // A peer's request is returned to the sender, which reports whether an earlier attempt may have
    // run.
    const RunOutcome reported_outcome = pending.peer ? RunOutcome::kNotRun : outcome;
    Complete(id, UnansweredAnswer(reported_outcome, status, reason), now, actions);
    return false;
  };
  // An earlier attempt with the same ticket may have run.
  const RunOutcome unclaimed = has_ticket ? RunOutcome::kMayHaveRun : RunOutcome::kNotRun;
  const auto known = config_.classes.find(pending.call.class_name);
  if (known == config_.classes.end()) {
    return refuse(unclaimed, 404, "unknown_class");
  }
  pending.class_item = known->second;
  if (pending.call.depth >= options_.max_depth) {
    return refuse(unclaimed, 400, "too_deep");
  }
  const bool needs_ticket = !pending.class_item.idempotent;
  if (options_.naive || (!needs_ticket && !has_ticket)) {
    return true;
  }
  if (!has_ticket) {
    return refuse(RunOutcome::kNotRun, 400, "ticket_missing");
  }
  auto ticket = signer_.Read(pending.call.ticket, now.wall);
  const bool expired = !ticket && ticket.error().code == ErrorCode::kExpired;
  if (!ticket && !expired && !needs_ticket) {
    return true;  // Not a ticket of this fleet, so nothing was promised.
  }
  // A ticket promises one run at most, also when its class has become idempotent since.
  pending.class_item.idempotent = false;
  if (!ticket) {
    return expired ? refuse(RunOutcome::kMayHaveRun, kStatusUnknownOutcome, "ticket_expired")
                   : refuse(RunOutcome::kNotRun, 400, "ticket_invalid");
  }
  pending.ticket = ticket.value();
  pending.key = KeyOfTicket(pending.call.ticket);
  return true;
}

void RequestRouter::OnCallerGone(RequestId id, Instant now, EntryActions& actions) {
  const auto it = pending_.find(id);
  if (it == pending_.end()) {
    return;
  }
  PendingRequest& pending = it->second;
  pending.caller_gone = true;
  if (!pending.class_item.idempotent && (pending.attempts > 0 || pending.claim_forwarded)) {
    return;  // The outcome is stored for a further attempt with the same ticket.
  }
  if (pending.stage == Stage::kForwarded) {
    const RequestId forward = pending.forwards.back();
    if (const EntryHostEntry* host = membership_.Find(outbound_forwards_.at(forward).host)) {
      actions.emplace_back(SendPeer{host->name, host->peer_address, ForwardCancel{forward}});
    }
  }
  if (pending.stage == Stage::kDispatched) {
    GroupTable::GroupActions group_actions;
    groups_.Cancel(pending.group, id, now.mono, group_actions);
    Apply(std::move(group_actions), now, actions);
  }
  if (pending_.contains(id)) {
    const bool not_run_certain = pending.class_item.idempotent || pending.claim_won;
    const auto outcome =
        not_run_certain && !pending.may_have_run ? RunOutcome::kNotRun : RunOutcome::kMayHaveRun;
    Complete(id, UnansweredAnswer(outcome, kStatusUnavailable, "cancelled"), now, actions);
  }
}

void RequestRouter::Route(RequestId id, Instant now, EntryActions& actions) {
  PendingRequest& pending = pending_.at(id);
  pending.stage = Stage::kRouting;
  if (pending.deadline <= now.mono) {
    Refuse(id, kStatusUnavailable, pending.reason.empty() ? "deadline_passed" : pending.reason, now,
           actions);
    return;
  }
  for (const DataCentreName& data_centre : CandidateDataCentres(pending, now.mono)) {
    pending.tried_data_centres.insert(data_centre);
    pending.target_data_centre = data_centre;
    const bool own = data_centre == options_.self.data_centre;
    const bool handed_off =
        own ? TryOwnDataCentre(id, now, actions) : TryForward(id, data_centre, now, actions);
    if (handed_off) {
      return;
    }
  }
  RerouteLaterOrRefuse(id, now, actions);
}

/// Returns the data centres to try, best first: the own one, then those not known to be saturated.
/// Saturated ones are included only as a last resort, after all others.
std::vector<DataCentreName> RequestRouter::CandidateDataCentres(const PendingRequest& pending,
                                                                TimePoint now) const {
  std::vector<DataCentreName> candidates =
      services_.AvailableDataCentres(pending.class_item.service);
  std::erase_if(candidates, [&](const DataCentreName& name) {
    return pending.tried_data_centres.contains(name);
  });
  if (pending.peer) {
    std::erase_if(candidates,
                  [&](const DataCentreName& name) { return name != pending.target_data_centre; });
    return candidates;
  }
  const auto is_saturated = [&](const DataCentreName& name) {
    const auto busy = saturated_until_.find(KeyOf(GroupName{pending.class_item.service, name, 0}));
    return busy != saturated_until_.end() && busy->second > now;
  };
  if (!pending.last_resort) {
    std::erase_if(candidates, is_saturated);
  }
  const auto rank = [&](const DataCentreName& name) {
    const bool own = name == options_.self.data_centre;
    const bool saturated = is_saturated(name);
    const std::uint64_t tie_break = StableHash(name.str(), pending.call.id.value());
    return std::make_tuple(saturated, !own, tie_break);
  };
  std::sort(candidates.begin(), candidates.end(),
            [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
  return candidates;
}

bool RequestRouter::TryOwnDataCentre(RequestId id, Instant now, EntryActions& actions) {
  PendingRequest& pending = pending_.at(id);
  const ServiceMap::Group* group =
      services_.Find(pending.class_item.service, pending.target_data_centre);
  if (groups_.AcceptsRequests(group->key, now.mono)) {
    return TryGroup(id, *group, now, actions);
  }
  const HostName owner = leases_.PreferredOwner(group->key);
  if (owner == options_.self.self.host || pending.peer) {
    pending.reason = pending.reason.empty() ? "no_lease" : pending.reason;
    pending.reason_is_transient = true;
    return false;
  }
  return TryForward(id, pending.target_data_centre, now, actions);
}

bool RequestRouter::TryGroup(RequestId id, const ServiceMap::Group& group, Instant now,
                             EntryActions& actions) {
  PendingRequest& pending = pending_.at(id);
  pending.group = group.key;
  const Duration wait = groups_.Find(group.key)->dispatcher.ExpectedWait(pending.class_item.name);
  if (wait > pending.class_item.latency_target && !pending.last_resort) {
    pending.reason = RefusalReasonName(RefusalReason::kQueueFull);
    return false;
  }
  if (now.mono + wait >= pending.deadline) {
    pending.reason = RefusalReasonName(RefusalReason::kDeadlineUnreachable);
    return false;
  }
  const bool claimed = pending.claim_won || pending.claimed_by_sender;
  if (pending.class_item.idempotent || claimed) {
    SubmitToGroup(id, now, actions);
    return true;
  }
  BeginClaim(id, now, actions);
  return true;
}

void RequestRouter::SubmitToGroup(RequestId id, Instant now, EntryActions& actions) {
  PendingRequest& pending = pending_.at(id);
  pending.stage = Stage::kDispatched;
  const RequestInfo request_info{id,
                                 pending.class_item.name,
                                 pending.arrived,
                                 pending.deadline,
                                 pending.call.no_retry,
                                 pending.class_item.idempotent};
  GroupTable::GroupActions group_actions;
  groups_.Submit(pending.group, request_info, now.mono, group_actions);
  Apply(std::move(group_actions), now, actions);
}

void RequestRouter::RerouteLaterOrRefuse(RequestId id, Instant now, EntryActions& actions) {
  PendingRequest& pending = pending_.at(id);
  if (!pending.last_resort && !pending.peer) {
    pending.last_resort = true;
    pending.tried_data_centres.clear();
    Route(id, now, actions);
    return;
  }
  const bool can_wait = pending.reason_is_transient && !pending.peer && !pending.caller_gone &&
                        now.mono + kRerouteDelay < pending.deadline;
  if (!can_wait) {
    const bool unknown_service = !services_.HasService(pending.class_item.service);
    const std::string fallback = unknown_service ? "no_server" : "all_data_centres_out";
    const std::string reason = pending.reason.empty() ? fallback : pending.reason;
    Refuse(id, RefusalStatus(reason), reason, now, actions);
    return;
  }
  pending.stage = Stage::kAwaitingReroute;
  SetDue(id, pending, now.mono + kRerouteDelay);
  pending.tried_data_centres.clear();
  pending.reason.clear();
  pending.reason_is_transient = false;
}

void RequestRouter::BeginClaim(RequestId id, Instant now, EntryActions& actions) {
  PendingRequest& pending = pending_.at(id);
  pending.stage = Stage::kClaiming;
  ClaimEvents events;
  claims_.Begin(id, pending.key, pending.ticket, DigestOf(pending.call), pending.deadline, now,
                events);
  Apply(std::move(events), now, actions);
}

/// Ends a request without an answer. A non-idempotent request is reported as "not run" only after
/// its key is claimed, so that no other attempt can run it. A peer's request is returned to the
/// sender instead.
void RequestRouter::Refuse(RequestId id, int status, const std::string& reason, Instant now,
                           EntryActions& actions) {
  PendingRequest& pending = pending_.at(id);
  pending.reason = reason;
  pending.refusal_status = status;
  const bool not_run_certain =
      pending.class_item.idempotent || pending.claim_won || pending.claimed_by_sender;
  const bool nothing_claimed_here = pending.peer || options_.naive;
  if (!pending.may_have_run && (not_run_certain || nothing_claimed_here)) {
    Complete(id, UnansweredAnswer(RunOutcome::kNotRun, status, reason), now, actions);
    return;
  }
  const bool can_claim = !pending.claiming_to_refuse && pending.deadline > now.mono;
  if (!pending.may_have_run && can_claim) {
    pending.claiming_to_refuse = true;
    BeginClaim(id, now, actions);
    return;
  }
  Complete(id, UnansweredAnswer(RunOutcome::kMayHaveRun, kStatusUnknownOutcome, reason), now,
           actions);
}

void RequestRouter::Complete(RequestId id, CallerAnswer answer, Instant now,
                             EntryActions& actions) {
  auto node = pending_.extract(id);
  PendingRequest& pending = node.mapped();
  if (answer.outcome == RunOutcome::kAnswered) {
    observer_.OnAnswered(pending.call.class_name, now.mono - pending.arrived);
  } else {
    RecordRefusal(pending, answer, now.wall);
  }
  ClaimEvents events;
  if (pending.claim_won) {
    claims_.Finish(pending.key, answer, now, events);
  } else if (!pending.key.str().empty()) {
    claims_.RemoveWaiter(id);
  }
  for (const RequestId forward : pending.forwards) {
    outbound_forwards_.erase(forward);
  }
  SetDue(id, pending, TimePoint::max());
  if (!pending.peer) {
    if (!pending.caller_gone) {
      actions.emplace_back(AnswerCaller{id, std::move(answer)});
    }
  } else {
    inbound_forwards_.erase({pending.peer->host, pending.peer->id});
    AnswerPeer(pending, std::move(answer), actions);
  }
  Apply(std::move(events), now, actions);
}

void RequestRouter::RecordRefusal(const PendingRequest& pending, const CallerAnswer& answer,
                                  WallTime at) {
  observer_.OnRefused(pending.call.class_name, answer.reason);
  refusals_.push_back({at, pending.call.class_name, answer.reason, answer.outcome});
  if (refusals_.size() > kMaxRefusalRecords) {
    refusals_.pop_front();
  }
}

void RequestRouter::SetDue(RequestId id, PendingRequest& pending, TimePoint due) {
  if (pending.due != TimePoint::max()) {
    requests_by_due_time_.erase({pending.due, id});
  }
  pending.due = due;
  if (due != TimePoint::max()) {
    requests_by_due_time_.insert({due, id});
  }
}

void RequestRouter::AnswerPeer(const PendingRequest& pending, CallerAnswer answer,
                               EntryActions& actions) {
  const EntryHostEntry* host = membership_.Find(pending.peer->host);
  if (host == nullptr) {
    return;
  }
  ForwardAnswer message;
  message.id = pending.peer->id;
  message.outcome = answer.outcome;
  message.status = static_cast<std::uint32_t>(answer.status);
  message.reason = answer.reason;
  // Nothing ran and nothing was claimed on this host, so the sender may try another group.
  message.saturated = answer.outcome == RunOutcome::kNotRun && !pending.claim_won;
  message.not_owner = message.saturated && pending.reason_is_transient;
  message.no_retry = answer.no_retry;
  message.content_type = std::move(answer.content_type);
  message.body = std::move(answer.body);
  message.server = answer.server;
  actions.emplace_back(SendPeer{host->name, host->peer_address, std::move(message)});
}

void RequestRouter::Tick(Instant now, EntryActions& actions) {
  ClaimEvents events;
  claims_.Tick(now, events);
  Apply(std::move(events), now, actions);
  while (!requests_by_due_time_.empty() && requests_by_due_time_.begin()->first <= now.mono) {
    const RequestId id = requests_by_due_time_.begin()->second;
    PendingRequest& pending = pending_.at(id);
    SetDue(id, pending, TimePoint::max());
    if (pending.stage == Stage::kForwarded) {
      OnForwardTimeout(id, now, actions);
    } else if (pending.stage == Stage::kAwaitingReroute) {
      Route(id, now, actions);
    }
  }
}

TimePoint RequestRouter::NextTick() const {
  const TimePoint claims = claims_.NextTick();
  return requests_by_due_time_.empty() ? claims
                                       : std::min(claims, requests_by_due_time_.begin()->first);
}

}  // namespace mulberry
