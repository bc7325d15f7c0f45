#include <algorithm>
#include <utility>

#include "libentry/refusal_status.h"
#include "libentry/request_flow.h"

namespace mulberry {
namespace {

constexpr std::size_t kMaxForwards = 4;
constexpr Duration kSaturatedTime = std::chrono::milliseconds(200);
/// A host that was heard this lately is slow, not dead.
constexpr Duration kSlowNotDead = std::chrono::milliseconds(1250);
constexpr Duration kLeastForwardTime = std::chrono::milliseconds(400);

}  // namespace

std::optional<HostName> RequestFlow::ForwardHost(const DataCentreName& data_centre, GroupKey group,
                                                 const Pending& pending, TimePoint now) const {
  if (data_centre == options_.self.data_centre) {
    return leases_.PreferredOwner(group);
  }
  const auto hosts = RendezvousOrder(group, membership_.LiveHostsIn(data_centre, now));
  if (hosts.empty()) {
    return std::nullopt;
  }
  return hosts[std::min(pending.lost_forwards, hosts.size() - 1)];
}

bool RequestFlow::TryForward(RequestId id, const DataCentreName& data_centre, Instant now,
                             EntryActions& actions) {
  Pending& pending = pending_.at(id);
  const GroupKey group = KeyOf(GroupName{pending.item.service, data_centre, 0});
  const auto name = ForwardHost(data_centre, group, pending, now.mono);
  const EntryHostEntry* host = name ? membership_.Find(*name) : nullptr;
  if (host == nullptr || pending.peer) {
    pending.reason = pending.reason.empty() ? "no_entry_host" : pending.reason;
    pending.transient = true;
    return false;
  }
  pending.stage = Stage::kForwarded;
  pending.group = group;
  const RequestId forward(next_id_++);
  pending.forwards.push_back(forward);
  forwards_[forward] = {id, host->name};
  const Duration left = pending.deadline - now.mono;
  SetDue(id, pending, now.mono + std::min(left, ForwardTime(pending)));
  ForwardRequest message;
  message.id = forward;
  message.class_name = pending.item.name;
  message.data_centre = data_centre;
  message.method = pending.call.method;
  message.path = pending.call.path;
  message.content_type = pending.call.content_type;
  message.body = pending.call.body;
  message.time_left = left;
  message.deadline = now.wall + std::chrono::duration_cast<std::chrono::milliseconds>(left);
  message.depth = pending.call.depth;
  message.no_retry = pending.call.no_retry;
  message.key = pending.key;
  message.ticket = pending.call.ticket;
  message.claimed = pending.won;
  message.last_resort = pending.last_resort;
  pending.claim_passed_on = pending.won;
  actions.emplace_back(SendPeer{host->name, host->peer_address, std::move(message)});
  return true;
}

/// Time after which a forward counts as lost. A claim that was passed on is never given to another
/// host, so its answer is awaited until the deadline.
Duration RequestFlow::ForwardTime(const Pending& pending) const {
  if (pending.won) {
    return options_.max_deadline;
  }
  return std::max(4 * pending.item.latency_target, kLeastForwardTime);
}

void RequestFlow::OnForward(const Incarnation& from, const ForwardRequest& message, Instant now,
                            EntryActions& actions) {
  const std::pair<HostName, RequestId> origin{from.host, message.id};
  if (from_peers_.contains(origin)) {
    return;
  }
  const RequestId id(next_id_++);
  const Duration wall_left = message.deadline - now.wall;
  const Duration left = std::min({message.time_left, wall_left, options_.max_deadline});
  Pending& pending = pending_[id];
  pending.call = {
      id,   message.class_name, message.method, message.path,    message.content_type, message.body,
      left, message.ticket,     message.depth,  message.no_retry};
  pending.peer = PeerOrigin{from.host, message.id};
  pending.target = message.data_centre;
  pending.arrived = now.mono;
  pending.deadline = now.mono + left;
  from_peers_[origin] = id;
  const bool known = Prepare(pending, now, actions);
  if (!known) {
    return;
  }
  pending.claim_passed_in = message.claimed;
  pending.last_resort = message.last_resort;
  Route(id, now, actions);
}

void RequestFlow::OnForwardAnswer(const ForwardAnswer& message, Instant now,
                                  EntryActions& actions) {
  const auto forward = forwards_.find(message.id);
  if (forward == forwards_.end()) {
    return;
  }
  const RequestId id = forward->second.request;
  Pending& pending = pending_.at(id);
  const bool waits = pending.stage == Stage::kForwarded || pending.stage == Stage::kParked;
  const bool current = pending.stage == Stage::kForwarded && pending.forwards.back() == message.id;
  if (message.outcome == RunOutcome::kAnswered && waits) {
    observer_.OnForward(pending.item.name, "answered");
    CallerAnswer answer{RunOutcome::kAnswered,
                        static_cast<int>(message.status),
                        "",
                        message.content_type,
                        message.body,
                        message.server,
                        message.no_retry};
    End(id, std::move(answer), now, actions);
    return;
  }
  if (!current || message.outcome == RunOutcome::kAnswered) {
    return;
  }
  if (!message.saturated) {
    observer_.OnForward(pending.item.name, "refused");
    End(id, UnansweredAnswer(message.outcome, static_cast<int>(message.status), message.reason),
        now, actions);
    return;
  }
  observer_.OnForward(pending.item.name, message.not_owner ? "not_owner" : "saturated");
  pending.claim_passed_on = false;
  pending.reason = message.reason;
  pending.transient = pending.transient || message.not_owner;
  if (!message.not_owner) {
    saturated_until_[pending.group] = now.mono + kSaturatedTime;
  }
  Route(id, now, actions);
}

void RequestFlow::OnForwardCancel(const Incarnation& from, const ForwardCancel& message,
                                  Instant now, EntryActions& actions) {
  const auto it = from_peers_.find({from.host, message.id});
  if (it != from_peers_.end()) {
    OnCallerGone(it->second, now, actions);
  }
}

/// A forward was not answered in time. An idempotent request, or one that this host has not
/// claimed, goes to another host: the claim keeps it from running twice.
void RequestFlow::OnForwardLost(RequestId id, Instant now, EntryActions& actions) {
  Pending& pending = pending_.at(id);
  observer_.OnForward(pending.item.name, "lost");
  pending.lost_forwards += 1;
  const HostName& host = forwards_.at(pending.forwards.back()).host;
  if (!membership_.HeardSince(host, now.mono - kSlowNotDead)) {
    membership_.Suspect(host, now.mono);
  }
  if (pending.item.idempotent || pending.claim_passed_on) {
    pending.may_have_run = true;
  }
  pending.reason = "forward_lost";
  const bool again = !pending.claim_passed_on && pending.forwards.size() < kMaxForwards;
  if (!again || pending.deadline <= now.mono) {
    Refuse(id, kStatusUnavailable, "forward_lost", now, actions);
    return;
  }
  pending.transient = true;
  observer_.OnRetry(pending.item.name, "forward_lost");
  Route(id, now, actions);
}

}  // namespace mulberry
