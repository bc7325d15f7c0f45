#include <utility>

#include "libentry/refusal_status.h"
#include "libentry/request_router.h"

namespace mulberry {

void RequestRouter::OnServerReply(ServerReply reply, Instant now, EntryActions& actions) {
  if (options_.naive) {
    OnNaiveReply(std::move(reply), now, actions);
    return;
  }
  const auto it = dispatches_.find(reply.report.dispatch);
  if (it == dispatches_.end()) {
    return;
  }
  const DispatchReport report = reply.report;
  const GroupKey group = it->second.group;
  const auto request = pending_.find(it->second.request);
  if (request != pending_.end() && !ProvesNotRun(report.result)) {
    request->second.may_have_run = true;
  }
  it->second.reply = std::move(reply);
  GroupTable::GroupActions group_actions;
  groups_.OnDispatchEnd(group, report, now.mono, group_actions);
  Apply(std::move(group_actions), now, actions);
  dispatches_.erase(report.dispatch);
}

void RequestRouter::Apply(GroupTable::GroupActions group_actions, Instant now,
                          EntryActions& actions) {
  for (GroupTable::GroupAction& group_action : group_actions) {
    std::visit([&](const auto& action) { Execute(group_action.group, action, now, actions); },
               group_action.action);
  }
}

void RequestRouter::Apply(ClaimEvents events, Instant now, EntryActions& actions) {
  for (ClaimEvent& event : events) {
    std::visit([&](const auto& action) { Execute(action, now, actions); }, event);
  }
}

void RequestRouter::Execute(GroupKey group, const StartDispatch& group_action, Instant now,
                            EntryActions& actions) {
  PendingRequest& pending = pending_.at(group_action.request);
  pending.attempts += 1;
  if (group_action.retry) {
    observer_.OnRetry(pending.class_item.name, RetryReasonName(*group_action.retry));
  }
  dispatches_[group_action.dispatch] = {group_action.request, group, group_action.server,
                                        std::nullopt};
  SendToServer send =
      MakeSend(pending, group_action.dispatch, group_action.server, group_action.deadline, now);
  send.no_retry = send.no_retry || group_action.retry.has_value();
  actions.emplace_back(std::move(send));
}

SendToServer RequestRouter::MakeSend(const PendingRequest& pending, DispatchId dispatch,
                                     const ServerName& server, TimePoint deadline,
                                     Instant now) const {
  SendToServer send;
  send.dispatch = dispatch;
  send.server = server;
  send.address = services_.AddressOf(server);
  send.method = pending.call.method;
  send.path = pending.call.path;
  send.content_type = pending.call.content_type;
  send.body = pending.call.body;
  send.class_name = pending.class_item.name;
  send.idempotent = pending.class_item.idempotent;
  send.key = pending.key;
  send.depth = pending.call.depth;
  send.no_retry = pending.call.no_retry;
  send.timeout = deadline - now.mono;
  send.deadline = now.wall + std::chrono::duration_cast<std::chrono::milliseconds>(send.timeout);
  return send;
}

void RequestRouter::Execute(GroupKey, const CancelDispatch& group_action, Instant,
                            EntryActions& actions) {
  actions.emplace_back(CancelSend{group_action.dispatch});
}

void RequestRouter::Execute(GroupKey, const RelayAnswer& group_action, Instant now,
                            EntryActions& actions) {
  const auto dispatch = dispatches_.find(group_action.dispatch);
  ServerReply& reply = *dispatch->second.reply;
  CallerAnswer answer;
  answer.outcome = RunOutcome::kAnswered;
  answer.status = reply.status;
  answer.content_type = std::move(reply.content_type);
  answer.body = std::move(reply.body);
  answer.server = dispatch->second.server.str();
  answer.no_retry = reply.report.no_retry;
  Complete(group_action.request, std::move(answer), now, actions);
}

void RequestRouter::Execute(GroupKey, const RefuseRequest& group_action, Instant now,
                            EntryActions& actions) {
  PendingRequest& pending = pending_.at(group_action.request);
  // An earlier attempt, by another group or host, may have run too.
  pending.may_have_run = pending.may_have_run || group_action.may_have_run;
  const std::string reason = RefusalReasonName(group_action.reason);
  Refuse(group_action.request, RefusalStatus(reason), reason, now, actions);
}

void RequestRouter::Execute(GroupKey, const ReturnToRouter& group_action, Instant now,
                            EntryActions& actions) {
  PendingRequest& pending = pending_.at(group_action.request);
  pending.reason = RefusalReasonName(group_action.reason);
  pending.reason_is_transient = pending.reason_is_transient ||
                                group_action.reason == RefusalReason::kNotOwner ||
                                group_action.reason == RefusalReason::kLeaving;
  Route(group_action.request, now, actions);
}

void RequestRouter::Execute(GroupKey group, const StartProbe& group_action, Instant,
                            EntryActions& actions) {
  if (const GroupTable::Group* entry = groups_.Find(group)) {
    observer_.OnProbe(entry->name.service);
  }
  actions.emplace_back(ProbeServer{group_action.server, services_.AddressOf(group_action.server)});
}

void RequestRouter::Execute(const SendPeer& event, Instant, EntryActions& actions) {
  SendPeer send = event;
  if (send.address.empty()) {
    const EntryHostEntry* host = membership_.Find(send.host);
    if (host == nullptr) {
      return;
    }
    send.address = host->peer_address;
  }
  actions.emplace_back(std::move(send));
}

void RequestRouter::Execute(const ClaimWon& event, Instant now, EntryActions& actions) {
  observer_.OnClaim("won");
  const auto it = pending_.find(event.request);
  if (it == pending_.end()) {
    ClaimEvents events;
    const auto answer = UnansweredAnswer(RunOutcome::kNotRun, kStatusUnavailable, "cancelled");
    claims_.Finish(event.key, answer, now, events);
    Apply(std::move(events), now, actions);
    return;
  }
  PendingRequest& pending = it->second;
  pending.claim_won = true;
  if (pending.claiming_to_refuse) {
    Refuse(event.request, pending.refusal_status, pending.reason, now, actions);
    return;
  }
  if (groups_.AcceptsRequests(pending.group, now.mono)) {
    SubmitToGroup(event.request, now, actions);
  } else {
    Route(event.request, now, actions);
  }
}

void RequestRouter::Execute(const ClaimEnded& event, Instant now, EntryActions& actions) {
  observer_.OnClaim(event.answer.reason.empty() ? "answered_elsewhere" : event.answer.reason);
  if (pending_.contains(event.request)) {
    Complete(event.request, event.answer, now, actions);
  }
}

}  // namespace mulberry
