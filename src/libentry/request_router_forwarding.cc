#include <algorithm>
#include <utility>

#include "libentry/refusal_status.h"
#include "libentry/request_router.h"

namespace mulberry {
namespace {

constexpr std::size_t kMaxForwards = 4;
constexpr Duration kSaturationHold = std::chrono::milliseconds(200);
/// A host that was heard within this time is considered slow, not failed.
constexpr Duration kSuspectAfterSilence = std::chrono::milliseconds(1250);
constexpr Duration kMinForwardTimeout = std::chrono::milliseconds(400);

}  // namespace

std::optional<HostName> RequestRouter::ForwardHost(const DataCentreName& data_centre,
                                                   GroupKey group, const PendingRequest& pending,
                                                   TimePoint now) const {
  if (data_centre == options_.self.data_centre) {
    return leases_.PreferredOwner(group);
  }
  const auto hosts = RendezvousOrder(group, membership_.LiveHostsIn(data_centre, now));
  if (hosts.empty()) {
    return std::nullopt;
  }
  return hosts[std::min(pending.timed_out_forwards, hosts.size() - 1)];
}

bool RequestRouter::TryForward(RequestId id, const DataCentreName& data_centre, Instant now,
                               EntryActions& actions) {
  PendingRequest& pending = pending_.at(id);
  const GroupKey group = KeyOf(GroupName{pending.class_item.service, data_centre, 0});
  const auto name = ForwardHost(data_centre, group, pending, now.mono);
  const EntryHostEntry* host = name ? membership_.Find(*name) : nullptr;
  if (host == nullptr || pending.peer) {
    pending.reason = pending.reason.empty() ? "no_entry_host" : pending.reason;
    pending.reason_is_transient = true;
    return false;
  }
  pending.stage = Stage::kForwarded;
  pending.group = group;
  const RequestId forward(next_id_++);
  pending.forwards.push_back(forward);
  outbound_forwards_[forward] = {id, host->name};
  const Duration remaining = pending.deadline - now.mono;
  SetDue(id, pending, now.mono + std::min(remaining, ForwardTimeout(pending)));
  ForwardRequest message;
  message.id = forward;
  message.class_name = pending.class_item.name;
  message.data_centre = data_centre;
  message.method = pending.call.method;
  message.path = pending.call.path;
  message.content_type = pending.call.content_type;
  message.body = pending.call.body;
  message.time_left = remaining;
  message.deadline = now.wall + std::chrono::duration_cast<std::chrono::milliseconds>(remaining);
  message.depth = pending.call.depth;
  message.no_retry = pending.call.no_retry;
  message.key = pending.key;
  message.ticket = pending.call.ticket;
  message.claimed = pending.claim_won;
  message.last_resort = pending.last_resort;
  pending.claim_forwarded = pending.claim_won;
  actions.emplace_back(SendPeer{host->name, host->peer_address, std::move(message)});
  return true;
}

/// Returns the timeout of a forward. A request whose claim was forwarded is never sent to another
/// host, so its answer is awaited until the deadline.
Duration RequestRouter::ForwardTimeout(const PendingRequest& pending) const {
  if (pending.claim_won) {
    return options_.max_deadline;
  }
  return std::max(4 * pending.class_item.latency_target, kMinForwardTimeout);
}

void RequestRouter::OnForward(const Incarnation& from, const ForwardRequest& message, Instant now,
                              EntryActions& actions) {
  const std::pair<HostName, RequestId> origin{from.host, message.id};
  if (inbound_forwards_.contains(origin)) {
    return;
  }
  const RequestId id(next_id_++);
  const Duration wall_left = message.deadline - now.wall;
  const Duration remaining = std::min({message.time_left, wall_left, options_.max_deadline});
  PendingRequest& pending = pending_[id];
  pending.call = {
      id,           message.class_name, message.method, message.path,  message.content_type,
      message.body, remaining,          message.ticket, message.depth, message.no_retry};
  pending.peer = PeerOrigin{from.host, message.id};
  pending.target_data_centre = message.data_centre;
  pending.arrived = now.mono;
  pending.deadline = now.mono + remaining;
  inbound_forwards_[origin] = id;
  const bool known = ResolveClassAndTicket(pending, now, actions);
  if (!known) {
    return;
  }
  pending.claimed_by_sender = message.claimed;
  pending.last_resort = message.last_resort;
  Route(id, now, actions);
}

void RequestRouter::OnForwardAnswer(const ForwardAnswer& message, Instant now,
                                    EntryActions& actions) {
  const auto forward = outbound_forwards_.find(message.id);
  if (forward == outbound_forwards_.end()) {
    return;
  }
  const RequestId id = forward->second.request;
  PendingRequest& pending = pending_.at(id);
  const bool awaiting_answer =
      pending.stage == Stage::kForwarded || pending.stage == Stage::kAwaitingReroute;
  const bool current = pending.stage == Stage::kForwarded && pending.forwards.back() == message.id;
  const int status = static_cast<int>(message.status);
  if (message.outcome == RunOutcome::kAnswered && !IsFinalStatus(status)) {
    // A host of an older version passes on any status. The request may have run.
    if (!current) return;
    observer_.OnForward(pending.class_item.name, "invalid");
    Complete(id,
             UnansweredAnswer(RunOutcome::kMayHaveRun, kStatusUnknownOutcome,
                              RefusalReasonName(RefusalReason::kServerFailed)),
             now, actions);
    return;
  }
  if (message.outcome == RunOutcome::kAnswered && awaiting_answer) {
    observer_.OnForward(pending.class_item.name, "answered");
    CallerAnswer answer{RunOutcome::kAnswered, status,       "",
                        message.content_type,  message.body, message.server,
                        message.no_retry};
    Complete(id, std::move(answer), now, actions);
    return;
  }
  if (!current || message.outcome == RunOutcome::kAnswered) {
    return;
  }
  if (!message.saturated) {
    observer_.OnForward(pending.class_item.name, "refused");
    Complete(id, UnansweredAnswer(message.outcome, status, message.reason), now, actions);
    return;
  }
  observer_.OnForward(pending.class_item.name, message.not_owner ? "not_owner" : "saturated");
  pending.claim_forwarded = false;
  pending.reason = message.reason;
  pending.reason_is_transient = pending.reason_is_transient || message.not_owner;
  if (!message.not_owner) {
    saturated_until_[pending.group] = now.mono + kSaturationHold;
  }
  Route(id, now, actions);
}

void RequestRouter::OnForwardCancel(const Incarnation& from, const ForwardCancel& message,
                                    Instant now, EntryActions& actions) {
  const auto it = inbound_forwards_.find({from.host, message.id});
  if (it != inbound_forwards_.end()) {
    OnCallerGone(it->second, now, actions);
  }
}

/// Handles a forward that timed out. An idempotent request, or one that this host has not claimed,
/// is sent to another host; the claim prevents a non-idempotent request from running twice.
void RequestRouter::OnForwardTimeout(RequestId id, Instant now, EntryActions& actions) {
  PendingRequest& pending = pending_.at(id);
  observer_.OnForward(pending.class_item.name, "lost");
  pending.timed_out_forwards += 1;
  const HostName& host = outbound_forwards_.at(pending.forwards.back()).host;
  if (!membership_.HeardSince(host, now.mono - kSuspectAfterSilence)) {
    membership_.Suspect(host, now.mono);
  }
  if (pending.class_item.idempotent || pending.claim_forwarded) {
    pending.may_have_run = true;
  }
  pending.reason = "forward_lost";
  const bool can_retry = !pending.claim_forwarded && pending.forwards.size() < kMaxForwards;
  if (!can_retry || pending.deadline <= now.mono) {
    Refuse(id, kStatusUnavailable, "forward_lost", now, actions);
    return;
  }
  pending.reason_is_transient = true;
  observer_.OnRetry(pending.class_item.name, "forward_lost");
  Route(id, now, actions);
}

}  // namespace mulberry
