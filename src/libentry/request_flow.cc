#include "libentry/request_flow.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "libentry/refusal_status.h"

namespace mulberry {
namespace {

/// Ids of requests that came from peers and of forwards lie above those of the caller transport.
constexpr std::uint64_t kFirstInternalId = 1ULL << 48;
constexpr std::size_t kMaxRefusals = 100;
constexpr Duration kParkTime = std::chrono::milliseconds(50);

std::uint64_t DigestOf(const CallerRequest& call) {
  std::uint64_t digest = StableHash(call.class_name.str());
  digest = StableHash(call.method, digest);
  digest = StableHash(call.path, digest);
  return StableHash(call.body, digest);
}

}  // namespace

RequestFlow::RequestFlow(const EntryOptions& options, const ServiceMap& services,
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

Duration RequestFlow::AllowedTime(Duration wish) const {
  if (wish <= Duration::zero()) {
    return options_.default_deadline;
  }
  return std::min(wish, options_.max_deadline);
}

void RequestFlow::OnCaller(CallerRequest call, bool permitted, Instant now, EntryActions& actions) {
  const RequestId id = call.id;
  const std::size_t open = pending_.size();
  Pending& pending = pending_[id];
  pending.call = std::move(call);
  pending.arrived = now.mono;
  pending.deadline = now.mono + AllowedTime(pending.call.timeout);
  if (!Prepare(pending, now, actions)) {
    return;
  }
  if (open >= options_.max_requests) {
    Refuse(id, kStatusTooManyRequests, "too_many_requests", now, actions);
  } else if (!permitted) {
    Refuse(id, kStatusUnavailable, "config_stale", now, actions);
  } else if (options_.naive) {
    NextNaiveAttempt(id, now, actions);
  } else {
    Route(id, now, actions);
  }
}

/// Finds the class and reads the ticket. Returns false when the request has ended.
bool RequestFlow::Prepare(Pending& pending, Instant now, EntryActions& actions) {
  const RequestId id = pending.call.id;
  const bool has_ticket = !pending.call.ticket.empty();
  const auto refuse = [&](RunOutcome outcome, int status, const char* reason) {
    // A peer's request is handed back: what may have run before is the sender's to say.
    const RunOutcome said = pending.peer ? RunOutcome::kNotRun : outcome;
    End(id, UnansweredAnswer(said, status, reason), now, actions);
    return false;
  };
  // An earlier attempt with the same ticket may have run.
  const RunOutcome unclaimed = has_ticket ? RunOutcome::kMayHaveRun : RunOutcome::kNotRun;
  const auto known = config_.classes.find(pending.call.class_name);
  if (known == config_.classes.end()) {
    return refuse(unclaimed, 404, "unknown_class");
  }
  pending.item = known->second;
  if (pending.call.depth >= options_.max_depth) {
    return refuse(unclaimed, 400, "too_deep");
  }
  if (pending.item.idempotent || options_.naive) {
    return true;
  }
  if (!has_ticket) {
    return refuse(RunOutcome::kNotRun, 400, "ticket_missing");
  }
  auto ticket = signer_.Read(pending.call.ticket, now.wall);
  if (!ticket) {
    const bool expired = ticket.error().code == ErrorCode::kExpired;
    return expired ? refuse(RunOutcome::kMayHaveRun, kStatusUnknownOutcome, "ticket_expired")
                   : refuse(RunOutcome::kNotRun, 400, "ticket_invalid");
  }
  pending.ticket = ticket.value();
  pending.key = KeyOfTicket(pending.call.ticket);
  return true;
}

void RequestFlow::OnCallerGone(RequestId id, Instant now, EntryActions& actions) {
  const auto it = pending_.find(id);
  if (it == pending_.end()) {
    return;
  }
  Pending& pending = it->second;
  pending.caller_gone = true;
  if (!pending.item.idempotent && (pending.attempts > 0 || pending.claim_passed_on)) {
    return;  // Its outcome is kept for a further attempt with the same ticket.
  }
  if (pending.stage == Stage::kForwarded) {
    const RequestId forward = pending.forwards.back();
    if (const EntryHostEntry* host = membership_.Find(forwards_.at(forward).host)) {
      actions.emplace_back(SendPeer{host->name, host->peer_address, ForwardCancel{forward}});
    }
  }
  if (pending.stage == Stage::kInGroup) {
    GroupTable::GroupActions orders;
    groups_.Cancel(pending.group, id, now.mono, orders);
    Apply(std::move(orders), now, actions);
  }
  if (pending_.contains(id)) {
    const bool settled = pending.item.idempotent || pending.won;
    const auto outcome =
        settled && !pending.may_have_run ? RunOutcome::kNotRun : RunOutcome::kMayHaveRun;
    End(id, UnansweredAnswer(outcome, kStatusUnavailable, "cancelled"), now, actions);
  }
}

void RequestFlow::Route(RequestId id, Instant now, EntryActions& actions) {
  Pending& pending = pending_.at(id);
  pending.stage = Stage::kRouting;
  if (pending.deadline <= now.mono) {
    Refuse(id, kStatusUnavailable, pending.reason.empty() ? "deadline_passed" : pending.reason, now,
           actions);
    return;
  }
  for (const DataCentreName& data_centre : Targets(pending, now.mono)) {
    pending.tried.insert(data_centre);
    pending.target = data_centre;
    const bool own = data_centre == options_.self.data_centre;
    const bool handed =
        own ? TryOwnDataCentre(id, now, actions) : TryForward(id, data_centre, now, actions);
    if (handed) {
      return;
    }
  }
  ParkOrRefuse(id, now, actions);
}

/// Data centres to try, best first: the own one, then those not known to be saturated.
std::vector<DataCentreName> RequestFlow::Targets(const Pending& pending, TimePoint now) const {
  std::vector<DataCentreName> open = services_.OpenDataCentres(pending.item.service);
  std::erase_if(open, [&](const DataCentreName& name) { return pending.tried.contains(name); });
  if (pending.peer) {
    std::erase_if(open, [&](const DataCentreName& name) { return name != pending.target; });
    return open;
  }
  const auto is_saturated = [&](const DataCentreName& name) {
    const auto busy = saturated_until_.find(KeyOf(GroupName{pending.item.service, name, 0}));
    return busy != saturated_until_.end() && busy->second > now;
  };
  if (!pending.last_resort) {
    std::erase_if(open, is_saturated);
  }
  const auto rank = [&](const DataCentreName& name) {
    const bool own = name == options_.self.data_centre;
    const bool saturated = is_saturated(name);
    const std::uint64_t spread = StableHash(name.str(), pending.call.id.value());
    return std::make_tuple(saturated, !own, spread);
  };
  std::sort(open.begin(), open.end(),
            [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
  return open;
}

bool RequestFlow::TryOwnDataCentre(RequestId id, Instant now, EntryActions& actions) {
  Pending& pending = pending_.at(id);
  const ServiceMap::Group* group = services_.Find(pending.item.service, pending.target);
  if (groups_.Usable(group->key, now.mono)) {
    return TryGroup(id, *group, now, actions);
  }
  const HostName owner = leases_.PreferredOwner(group->key);
  if (owner == options_.self.self.host || pending.peer) {
    pending.reason = pending.reason.empty() ? "no_lease" : pending.reason;
    pending.transient = true;
    return false;
  }
  return TryForward(id, pending.target, now, actions);
}

bool RequestFlow::TryGroup(RequestId id, const ServiceMap::Group& group, Instant now,
                           EntryActions& actions) {
  Pending& pending = pending_.at(id);
  pending.group = group.key;
  const Duration wait = groups_.Find(group.key)->dispatcher.ExpectedWait(pending.item.name);
  if (wait > pending.item.latency_target && !pending.last_resort) {
    pending.reason = RefusalReasonName(RefusalReason::kQueueFull);
    return false;
  }
  if (now.mono + wait >= pending.deadline) {
    pending.reason = RefusalReasonName(RefusalReason::kDeadlineUnreachable);
    return false;
  }
  const bool claimed = pending.won || pending.claim_passed_in;
  if (pending.item.idempotent || claimed) {
    SubmitToGroup(id, now, actions);
    return true;
  }
  BeginClaim(id, now, actions);
  return true;
}

void RequestFlow::SubmitToGroup(RequestId id, Instant now, EntryActions& actions) {
  Pending& pending = pending_.at(id);
  pending.stage = Stage::kInGroup;
  const RequestInfo item{id, pending.item.name, pending.arrived, pending.deadline,
                         pending.call.no_retry};
  GroupTable::GroupActions orders;
  groups_.Submit(pending.group, item, now.mono, orders);
  Apply(std::move(orders), now, actions);
}

void RequestFlow::ParkOrRefuse(RequestId id, Instant now, EntryActions& actions) {
  Pending& pending = pending_.at(id);
  if (!pending.last_resort && !pending.peer) {
    pending.last_resort = true;
    pending.tried.clear();
    Route(id, now, actions);
    return;
  }
  const bool can_wait = pending.transient && !pending.peer && !pending.caller_gone &&
                        now.mono + kParkTime < pending.deadline;
  if (!can_wait) {
    const bool unknown_service = !services_.Knows(pending.item.service);
    const std::string fallback = unknown_service ? "no_server" : "all_data_centres_out";
    const std::string reason = pending.reason.empty() ? fallback : pending.reason;
    Refuse(id, RefusalStatus(reason), reason, now, actions);
    return;
  }
  pending.stage = Stage::kParked;
  SetDue(id, pending, now.mono + kParkTime);
  pending.tried.clear();
  pending.reason.clear();
  pending.transient = false;
}

void RequestFlow::BeginClaim(RequestId id, Instant now, EntryActions& actions) {
  Pending& pending = pending_.at(id);
  pending.stage = Stage::kClaiming;
  ClaimEvents events;
  claims_.Begin(id, pending.key, pending.ticket, DigestOf(pending.call), pending.deadline, now,
                events);
  Apply(std::move(events), now, actions);
}

/// Ends a request without an answer. For a non-idempotent one "not run" is only said once its key
/// is claimed, so that no other attempt can run it; a peer's request is handed back instead.
void RequestFlow::Refuse(RequestId id, int status, const std::string& reason, Instant now,
                         EntryActions& actions) {
  Pending& pending = pending_.at(id);
  pending.reason = reason;
  pending.refusal_status = status;
  const bool settled = pending.item.idempotent || pending.won || pending.claim_passed_in;
  const bool nothing_claimed_here = pending.peer || options_.naive;
  if (!pending.may_have_run && (settled || nothing_claimed_here)) {
    End(id, UnansweredAnswer(RunOutcome::kNotRun, status, reason), now, actions);
    return;
  }
  const bool can_claim = !pending.refusing && pending.deadline > now.mono;
  if (!pending.may_have_run && can_claim) {
    pending.refusing = true;
    BeginClaim(id, now, actions);
    return;
  }
  End(id, UnansweredAnswer(RunOutcome::kMayHaveRun, kStatusUnknownOutcome, reason), now, actions);
}

void RequestFlow::End(RequestId id, CallerAnswer answer, Instant now, EntryActions& actions) {
  auto node = pending_.extract(id);
  Pending& pending = node.mapped();
  if (answer.outcome == RunOutcome::kAnswered) {
    observer_.OnAnswered(pending.call.class_name, now.mono - pending.arrived);
  } else {
    NoteRefusal(pending, answer, now.wall);
  }
  ClaimEvents events;
  if (pending.won) {
    claims_.Finish(pending.key, answer, now, events);
  } else if (!pending.key.str().empty()) {
    claims_.Forget(id);
  }
  for (const RequestId forward : pending.forwards) {
    forwards_.erase(forward);
  }
  SetDue(id, pending, TimePoint::max());
  if (!pending.peer) {
    if (!pending.caller_gone) {
      actions.emplace_back(AnswerCaller{id, std::move(answer)});
    }
  } else {
    from_peers_.erase({pending.peer->host, pending.peer->id});
    AnswerPeer(pending, std::move(answer), actions);
  }
  Apply(std::move(events), now, actions);
}

void RequestFlow::NoteRefusal(const Pending& pending, const CallerAnswer& answer, WallTime at) {
  observer_.OnRefused(pending.call.class_name, answer.reason);
  refusals_.push_back({at, pending.call.class_name, answer.reason, answer.outcome});
  if (refusals_.size() > kMaxRefusals) {
    refusals_.pop_front();
  }
}

void RequestFlow::SetDue(RequestId id, Pending& pending, TimePoint due) {
  if (pending.due != TimePoint::max()) {
    due_.erase({pending.due, id});
  }
  pending.due = due;
  if (due != TimePoint::max()) {
    due_.insert({due, id});
  }
}

void RequestFlow::AnswerPeer(const Pending& pending, CallerAnswer answer, EntryActions& actions) {
  const EntryHostEntry* host = membership_.Find(pending.peer->host);
  if (host == nullptr) {
    return;
  }
  ForwardAnswer message;
  message.id = pending.peer->id;
  message.outcome = answer.outcome;
  message.status = static_cast<std::uint32_t>(answer.status);
  message.reason = answer.reason;
  // Nothing ran and nothing was claimed here, so that the sender may try another group.
  message.saturated = answer.outcome == RunOutcome::kNotRun && !pending.won;
  message.not_owner = message.saturated && pending.transient;
  message.no_retry = answer.no_retry;
  message.content_type = std::move(answer.content_type);
  message.body = std::move(answer.body);
  message.server = answer.server;
  actions.emplace_back(SendPeer{host->name, host->peer_address, std::move(message)});
}

void RequestFlow::Tick(Instant now, EntryActions& actions) {
  ClaimEvents events;
  claims_.Tick(now, events);
  Apply(std::move(events), now, actions);
  while (!due_.empty() && due_.begin()->first <= now.mono) {
    const RequestId id = due_.begin()->second;
    Pending& pending = pending_.at(id);
    SetDue(id, pending, TimePoint::max());
    if (pending.stage == Stage::kForwarded) {
      OnForwardLost(id, now, actions);
    } else if (pending.stage == Stage::kParked) {
      Route(id, now, actions);
    }
  }
}

TimePoint RequestFlow::NextTick() const {
  const TimePoint claims = claims_.NextTick();
  return due_.empty() ? claims : std::min(claims, due_.begin()->first);
}

}  // namespace mulberry
