#include <utility>

#include "libentry/refusal_status.h"
#include "libentry/request_router.h"

namespace mulberry {
namespace {

constexpr std::uint32_t kNaiveAttempts = 3;

}  // namespace

/// Sends the request to the next server in round-robin order, without limits and claims.
void RequestRouter::StartNaiveAttempt(RequestId id, Instant now, EntryActions& actions) {
  PendingRequest& pending = pending_.at(id);
  const auto servers = services_.AvailableServers(pending.class_item.service);
  if (servers.empty()) {
    Refuse(id, kStatusUnavailable, "no_server", now, actions);
    return;
  }
  const ServerName& server = servers[next_naive_server_++ % servers.size()];
  const DispatchId dispatch(next_id_++);
  pending.attempts += 1;
  dispatches_[dispatch] = {id, GroupKey(), server, std::nullopt};
  actions.emplace_back(MakeSend(pending, dispatch, server, pending.deadline, now));
}

void RequestRouter::OnNaiveReply(ServerReply reply, Instant now, EntryActions& actions) {
  const auto dispatch = dispatches_.extract(reply.report.dispatch);
  if (dispatch.empty() || !pending_.contains(dispatch.mapped().request)) {
    return;
  }
  const RequestId id = dispatch.mapped().request;
  PendingRequest& pending = pending_.at(id);
  const bool answered = reply.report.result == DispatchResult::kAnswered;
  const bool can_retry = pending.attempts < kNaiveAttempts && pending.deadline > now.mono;
  if (!answered && can_retry) {
    observer_.OnRetry(pending.class_item.name, "naive");
    StartNaiveAttempt(id, now, actions);
    return;
  }
  if (!answered) {
    Complete(id, UnansweredAnswer(RunOutcome::kMayHaveRun, kStatusUnknownOutcome, "server_failed"),
             now, actions);
    return;
  }
  CallerAnswer answer;
  answer.outcome = RunOutcome::kAnswered;
  answer.status = reply.status;
  answer.content_type = std::move(reply.content_type);
  answer.body = std::move(reply.body);
  answer.server = dispatch.mapped().server.str();
  Complete(id, std::move(answer), now, actions);
}

}  // namespace mulberry
