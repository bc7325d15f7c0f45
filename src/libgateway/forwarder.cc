#include "libgateway/forwarder.h"

#include <algorithm>
#include <array>
#include <utility>

#include "libgateway/response_classifier.h"

namespace mulberry::gateway {
namespace {

/// A connection attempt is abandoned after this time; a round trip between data centres takes a few
/// milliseconds.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(150);
/// Maximum idle time of a reused connection. The server may have closed an older one without the
/// client noticing yet, a risk that a non-idempotent request must not take.
constexpr Duration kMaxIdleNonIdempotent = std::chrono::milliseconds(1500);
constexpr Duration kMaxIdleIdempotent = std::chrono::seconds(8);
/// Extra time for a server's own response at its time limit to arrive: on a busy host it came up to
/// 66 ms after the deadline.
constexpr Duration kDeadlineGrace = std::chrono::milliseconds(100);
/// How long attempts may run past the deadline when the call is already answered.
constexpr Duration kLateAttemptTimeout = std::chrono::milliseconds(300);
/// A request is not sent when less than this fraction of the usual answer time remains.
constexpr double kMinRemainingFraction = 0.4;
/// Assumed answer time of a service before its first answer.
constexpr Duration kInitialServiceTime = std::chrono::milliseconds(50);
/// Responses are buffered whole; the memory budget allows less on a small host.
constexpr std::size_t kMaxResponseBytes = 64 * 1024 * 1024;
/// A hedge is sent after this multiple of the usual answer time.
constexpr double kHedgeDelayFactor = 1.4;

/// Retry-After of a host without a configuration, or without memory for a body; a start, and most
/// requests, take about this long.
constexpr Duration kRefusalRetryAfter = std::chrono::milliseconds(200);

/// Weight of a new sample in the mean bytes of a route.
constexpr double kBytesSmoothing = 1.0 / 16;

/// Bytes of an unusable header that are logged.
constexpr std::size_t kMaxLoggedHeader = 64;

/// Retry-After when a token didn't come in time, though lenders may have some; several round trips.
constexpr Duration kCapRetryAfter = std::chrono::milliseconds(50);

constexpr int kStatusNotFound = 404;
constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusUnauthorized = 401;
constexpr int kStatusGatewayTimeout = 504;

/// Names of the alternatives of Forwarder::Phase, for logs.
constexpr std::array<const char*, 6> kPhaseNames = {"ready",         "waits_for_proof", "queued",
                                                    "waits_for_cap", "running",         "answered"};

std::string_view PathOf(std::string_view target) { return target.substr(0, target.find('?')); }

}  // namespace

Forwarder::Forwarder(Dependencies deps)
    : deps_(deps),
      links_(deps.io, {.max_head_bytes = 64 * 1024,
                       .max_body_bytes = kMaxResponseBytes,
                       .memory = &deps.memory}),
      timers_(deps.io, [this](CallId id, TimePoint now) { OnCallTimer(id, now); }) {}

Forwarder::~Forwarder() {
  for (auto& [id, call] : calls_) {
    for (Attempt& attempt : call->running) attempt.link->Close();
  }
}

void Forwarder::SetSlackShare(double share) {
  slack_share_ = share;
  for (auto& [service, budget] : retry_budgets_) budget.SetSlackShare(share);
}

void Forwarder::SetRetryLimits(const RetryLimits& limits) {
  deps_.retries = limits;
  for (auto& [service, budget] : retry_budgets_) budget.SetLimits(limits);
}

void Forwarder::OnRequest(ExchangeId exchange, HttpMessage request, TimePoint arrived) {
  const HeaderNames& names = deps_.adapter.headers();
  auto call = std::make_unique<Call>();
  call->id = CallId(next_call_++);
  call->exchange = exchange;
  call->arrived = arrived;
  if (const std::string* id = FindHeader(request.headers, names.request_id)) {
    call->request_id = *id;
  }
  call->body = std::make_shared<const MessageBody>(std::move(request.body));
  call->request = std::move(request);
  if (!Admit(*call)) return;
  Call& admitted = *call;
  calls_by_exchange_[exchange] = call->id;
  calls_.emplace(call->id, std::move(call));
  const CallId id = admitted.id;
  if (IsIn<WaitsForProof>(admitted)) {
    waiting_for_proof_.insert(id);
    SetTimer(admitted);
    return;
  }
  OnWorkspaceKnown(admitted);
  EnterQueue(admitted, arrived);
  TryDispatch(admitted, false, arrived);
  EraseIfDone(id);
}

/// Determines route, service and deadline; sends an error response and returns false when there is
/// no route.
bool Forwarder::Admit(Call& call) {
  if (!deps_.config.ready()) {
    Refuse(call.exchange, kStatusUnavailable, "no_configuration", call.request_id,
           kRefusalRetryAfter);
    return false;
  }
  const std::string* host = FindHeader(call.request.headers, "host");
  if (host == nullptr || call.request.target.empty() || call.request.target.front() != '/') {
    Refuse(call.exchange, kStatusBadRequest, "no_host_or_path", call.request_id,
           kRefusalRetryAfter);
    return false;
  }
  call.route = deps_.config.routes().Find(*host, PathOf(call.request.target));
  if (call.route == nullptr) {
    Refuse(call.exchange, kStatusNotFound, "no_route", call.request_id, kRefusalRetryAfter);
    return false;
  }
  call.priority = call.route->priority;
  if (!AdmitKey(call)) return false;
  call.service = traffic_splitter_.Next(*call.route);
  Duration limit = call.route->timeout;
  if (const std::string* left =
          FindHeader(call.request.headers, deps_.adapter.headers().time_left)) {
    std::int64_t milliseconds = 0;
    if (ParseNumber(*left, &milliseconds) && milliseconds >= 0) {
      limit = std::min<Duration>(limit, std::chrono::milliseconds(milliseconds));
    }
  }
  call.deadline = call.arrived + limit;
  if (shutdown_ && !shutdown_->Accepts(call.deadline + kDeadlineGrace, call.arrived)) {
    // Other hosts can serve the request at once.
    Refuse(call.exchange, kStatusUnavailable, "stopping", call.request_id, Duration::zero());
    return false;
  }
  call.state.idempotent = call.route->idempotent;
  call.state.max_attempts = call.route->max_attempts;
  auto [budget, is_new] = retry_budgets_.try_emplace(call.service, deps_.retries);
  if (is_new) budget->second.SetSlackShare(slack_share_);
  budget->second.OnRequest(call.arrived);
  if (deps_.rollout != nullptr) deps_.rollout->OnRequest(call.service);
  return true;
}

/// Checks the call's key. Returns true when the call is admitted or waits for a proof.
bool Forwarder::AdmitKey(Call& call) {
  const TimePoint now = MonotonicClock::now();
  const KeyDecision decision =
      key_gate_.Check(call.request.headers, *call.route, call.arrived, true, now);
  AdoptWorkspace(call, decision);
  if (decision.verdict == KeyVerdict::kAdmitted) return true;
  if (decision.verdict == KeyVerdict::kWait) {
    call.phase = WaitsForProof{now + ProofWait(*call.route)};
    return true;
  }
  RefuseKey(call, decision, now);
  return false;
}

void Forwarder::AdoptWorkspace(Call& call, const KeyDecision& decision) {
  call.workspace.in_use = call.workspace.in_use || key_gate_.active();
  if (decision.workspace == nullptr) return;
  call.workspace.name = decision.workspace->name;
  call.priority = decision.workspace->priority.value_or(call.route->priority);
}

void Forwarder::OnKeysChanged(TimePoint now) {
  const std::set<CallId> waiting = waiting_for_proof_;
  for (const CallId id : waiting) DecideWaiting(id, true, now);
}

void Forwarder::DecideWaiting(CallId id, bool may_wait, TimePoint now) {
  Call* call = Find(id);
  if (call == nullptr || !IsIn<WaitsForProof>(*call)) return;
  const KeyDecision decision =
      key_gate_.Check(call->request.headers, *call->route, call->arrived, may_wait, now);
  if (decision.verdict == KeyVerdict::kWait) return;
  EnterPhase(*call, Ready());
  if (decision.verdict == KeyVerdict::kAdmitted) {
    AdoptWorkspace(*call, decision);
    OnWorkspaceKnown(*call);
    EnterQueue(*call, now);
    TryDispatch(*call, false, now);
  } else {
    EnterPhase(*call, Answered());
    calls_by_exchange_.erase(call->exchange);
    RefuseKey(*call, decision, now);
  }
  EraseIfDone(id);
}

void Forwarder::RefuseKey(const Call& call, const KeyDecision& decision, TimePoint now) {
  const int status =
      decision.verdict == KeyVerdict::kUnauthorized ? kStatusUnauthorized : kStatusUnavailable;
  const auto as_of = key_gate_.proof().as_of();
  LogEvent(LogLevel::kInfo, "key_refused",
           {{"request", call.request_id},
            {"route", call.route->name},
            {"reason", decision.reason},
            {"key_digest", decision.key_digest},
            {"version", deps_.config.version().value()},
            {"proof_age_ms", as_of ? ToMilliseconds(now - *as_of) : -1},
            {"held_ms", ToMilliseconds(now - call.arrived)}});
  Refuse(call.exchange, status, decision.reason, call.request_id, decision.retry_after);
}

/// Checks the call's key again before it is sent. Returns false when it must not be sent; fails the
/// call then, unless an attempt is running.
bool Forwarder::IsKeyStillValid(Call& call, bool hedge, TimePoint now) {
  if (!key_gate_.active()) return true;
  const KeyDecision decision =
      key_gate_.Recheck(call.request.headers, *call.route, MonotonicClock::now());
  AdoptWorkspace(call, decision);
  if (decision.verdict == KeyVerdict::kAdmitted) return true;
  if (hedge) return false;
  LogEvent(LogLevel::kInfo, "key_lapsed",
           {{"request", call.request_id},
            {"reason", decision.reason},
            {"key_digest", decision.key_digest},
            {"workspace", call.workspace.name.str()}});
  FailCall(call, FailureCause::kOther, decision.reason, decision.retry_after, now);
  return false;
}

void Forwarder::OnMemoryFull(ExchangeId exchange, const HttpMessage& head) {
  const std::string* id = FindHeader(head.headers, deps_.adapter.headers().request_id);
  Refuse(exchange, kStatusUnavailable, "memory_full", id == nullptr ? "" : *id, kRefusalRetryAfter);
}

void Forwarder::OnDisconnected(ExchangeId exchange) {
  const auto found = calls_by_exchange_.find(exchange);
  if (found == calls_by_exchange_.end()) return;
  const CallId id = found->second;
  calls_by_exchange_.erase(found);
  Call* call = Find(id);
  if (call == nullptr || IsIn<Answered>(*call)) return;
  EnterPhase(*call, Answered());
  deps_.metrics.OnCallerDisconnected();
  LogEvent(LogLevel::kInfo, "caller_gone",
           {{"request", call->request_id},
            {"service", call->service.str()},
            {"held_ms", ToMilliseconds(MonotonicClock::now() - call->arrived)},
            {"attempts", call->state.attempts}});
  CancelAttempts(*call, AttemptOutcome::kCancelled, MonotonicClock::now());
  EraseIfDone(id);
}

/// True when a server that gets the call now is unlikely to answer before the deadline.
bool Forwarder::IsTooLate(const Call& call, TimePoint now) const {
  const Duration usual_time = deps_.pool.ServiceTime(call.service, kInitialServiceTime);
  const auto min_time = Duration(
      static_cast<std::int64_t>(static_cast<double>(usual_time.count()) * kMinRemainingFraction));
  return now + min_time > call.deadline;
}

/// Leaves the call's phase for another one, and sets the call's timer for that.
void Forwarder::EnterPhase(Call& call, Phase phase) {
  if (IsIn<WaitsForProof>(call)) waiting_for_proof_.erase(call.id);
  if (IsIn<Queued>(call) && !std::holds_alternative<Queued>(phase)) LeaveQueue(call);
  call.phase = phase;
  SetTimer(call);
}

/// True when an attempt may start now: a hedge beside the attempt that is running, any other one if
/// none is.
bool Forwarder::MaySend(const Call& call, bool hedge) {
  const bool may_send = hedge ? IsIn<Running>(call)
                              : IsIn<Ready>(call) || IsIn<Queued>(call) || IsIn<WaitsForCap>(call);
  return may_send && MayStartAttempt(call.state);
}

/// The only way to an attempt. Sends the call, lets it wait or fails it; a hedge is sent or not.
void Forwarder::TryDispatch(Call& call, bool hedge, TimePoint now) {
  if (!MaySend(call, hedge)) {
    if (hedge) return;
    LogEvent(LogLevel::kError, "dispatch_not_allowed",
             {{"request", call.request_id},
              {"phase", kPhaseNames.at(call.phase.index())},
              {"attempts", call.state.attempts},
              {"running", call.state.running}});
    return;
  }
  if (!IsKeyStillValid(call, hedge, now)) return;
  if (IsTooLate(call, now)) {
    if (!hedge) {
      FailCall(call, FailureCause::kTimeout, "too_late", RetryAfterFor(call, now), now);
    }
    return;
  }
  if (!CheckCap(call, hedge, now)) return;
  SelectionRequest request{call.service, call.tried, call.state.idempotent, hedge};
  request.queued = queues_[call.service].size();
  request.bytes = route_bytes_[call.route->name];
  const auto choice =
      deps_.rollout == nullptr
          ? deps_.pool.Select(request, now)
          : deps_.rollout->Select(request, call.route->name, call.state.attempts == 0, now);
  if (const auto* chosen = std::get_if<Selection>(&choice)) {
    if (hedge && !retry_budgets_.at(call.service).TryConsume(true, now)) return;
    Send(call, *chosen, hedge, now);
    return;
  }
  if (!hedge) Enqueue(call, std::get<NoServerReason>(choice), now);
}

/// True when the call's workspace has a token for a send. Otherwise the call waits for one, or it
/// fails because none can come soon; a hedge is only not sent.
bool Forwarder::CheckCap(Call& call, bool hedge, TimePoint now) {
  const WorkspaceName* capped = CappedWorkspace(call);
  if (capped == nullptr) return true;
  const workspace::CapDecision decision = caps_->Decide(*capped);
  if (decision.step == workspace::CapDecision::Step::kSend) return true;
  if (hedge) return false;
  if (decision.step == workspace::CapDecision::Step::kWait) {
    WaitForCap(call);
  } else {
    FailOverCap(call, decision.retry_after, now);
  }
  return false;
}

const WorkspaceName* Forwarder::CappedWorkspace(const Call& call) const {
  return caps_ == nullptr || call.workspace.name.empty() ? nullptr : &call.workspace.name;
}

/// Counts the call in the demand of its workspace.
void Forwarder::OnWorkspaceKnown(const Call& call) {
  if (const WorkspaceName* capped = CappedWorkspace(call)) caps_->OnArrival(*capped);
}

bool Forwarder::HasCapToken(const Call& call) const {
  const WorkspaceName* capped = CappedWorkspace(call);
  return capped == nullptr || caps_->Decide(*capped).step == workspace::CapDecision::Step::kSend;
}

void Forwarder::WaitForCap(Call& call) {
  call.last_wait_reason = "cap";
  EnterPhase(call, WaitsForCap());
  caps_->Wait(*CappedWorkspace(call), call.id);
}

void Forwarder::FailOverCap(Call& call, Duration retry_after, TimePoint now) {
  caps_->OnRefused(*CappedWorkspace(call), retry_after);
  FailCall(call, FailureCause::kOverCap, "over_cap", retry_after, now);
}

void Forwarder::OnCapWait(CallId id, bool expired) {
  Call* call = Find(id);
  if (call == nullptr || !IsIn<WaitsForCap>(*call)) return;
  const TimePoint now = MonotonicClock::now();
  if (expired && !HasCapToken(*call)) {
    FailOverCap(*call, kCapRetryAfter, now);
  } else {
    TryDispatch(*call, false, now);
  }
  EraseIfDone(id);
}

void Forwarder::EnterQueue(Call& call, TimePoint now) {
  call.queue_entry = ToQueuedCall(call);
  const bool fair = !deps_.config.config().workspaces.empty();
  admission::CallQueue& queue = queues_[call.service];
  queue.SetFairShares(fair);
  queue.OnArrival(call.queue_entry, now);
  if (fair && !queue.empty()) DispatchQueued();
}

/// Queues a call, or fails it at once when it would be served too late.
void Forwarder::Enqueue(Call& call, NoServerReason reason, TimePoint now) {
  call.last_wait_reason = NoServerReasonName(reason);
  const std::size_t slots = deps_.pool.SlotsOf(call.service);
  if (reason == NoServerReason::kNoServer || slots == 0) {
    FailCall(call, FailureCause::kOther, call.last_wait_reason, RetryAfterFor(call, now), now);
    return;
  }
  if (reason == NoServerReason::kAllPaused) {
    FailCall(call, FailureCause::kOther, call.last_wait_reason,
             deps_.pool.FirstPauseEnd(call.service, now) - now, now);
    return;
  }
  if (IsIn<Queued>(call)) {
    SetTimer(call);
    return;
  }
  const Duration usual_time = deps_.pool.ServiceTime(call.service, kInitialServiceTime);
  if (!queues_[call.service].TryEnqueue(call.queue_entry, usual_time, now)) {
    FailCall(call, FailureCause::kOther, "queue_too_long", RetryAfterFor(call, now), now);
    return;
  }
  EnterPhase(call, Queued());
}

void Forwarder::LeaveQueue(const Call& call) {
  queues_[call.service].Remove(call.queue_entry.id);
  deps_.metrics.OnQueueWait(MonotonicClock::now() - call.arrived);
}

void Forwarder::DispatchQueued() {
  if (dispatching_) return;
  dispatching_ = true;
  const TimePoint now = MonotonicClock::now();
  for (auto& [service, queue] : queues_) {
    while (!queue.empty()) {
      const std::size_t before = queue.size();
      const admission::CallId next =
          queue.Next(deps_.pool.ServiceTime(service, kInitialServiceTime), now).id;
      const CallId id(next.value());
      Call* call = Find(id);
      if (call == nullptr || !IsIn<Queued>(*call)) {
        LogEvent(LogLevel::kError, "queue_entry_without_call", {{"call", id.value()}});
        queue.Remove(next);
        continue;
      }
      TryDispatch(*call, false, now);
      EraseIfDone(id);
      if (queue.size() == before) break;
    }
  }
  dispatching_ = false;
}

Result<std::shared_ptr<HttpClientConnection>> Forwarder::ConnectionFor(const Call& call,
                                                                       const std::string& address) {
  // The request id tells the responses on a connection apart, so no connection carries two attempts
  // of one call: the response to the first may be repeated.
  if (call.tried_addresses.count(address) != 0) return links_.Open(address);
  return links_.Acquire(address,
                        call.state.idempotent ? kMaxIdleIdempotent : kMaxIdleNonIdempotent);
}

void Forwarder::Send(Call& call, const Selection& choice, bool hedge, TimePoint now) {
  const WorkspaceName* capped = CappedWorkspace(call);
  if (capped != nullptr && !caps_->Take(*capped)) {
    if (!hedge) WaitForCap(call);
    return;
  }
  auto link = ConnectionFor(call, choice.address);
  if (!link) {
    LogEvent(LogLevel::kError, "server_address_unusable",
             {{"server", choice.id.str()}, {"error", link.error().message}});
    call.tried.insert(choice.id);
    if (!hedge) TryDispatch(call, false, now);
    return;
  }
  Attempt attempt{AttemptId(next_attempt_++), choice.id, choice.address,
                  deps_.pool.OnSent(choice.id, now), link.value()};
  if (deps_.rollout != nullptr) {
    deps_.rollout->OnSent(call.service, call.route->name, attempt.context);
  }
  if (*choice.spill_reason != '\0') deps_.metrics.OnSpill(call.service, choice.spill_reason);
  ++call.state.attempts;
  ++call.state.running;
  call.tried.insert(choice.id);
  call.tried_addresses.insert(choice.address);
  queues_[call.service].OnDispatch(call.queue_entry, now);
  ExchangeRequest request;
  request.head = WriteServerRequestHead(call.request, call.body->size(), deps_.adapter.headers(),
                                        choice.id, call.deadline - now, call.workspace);
  if (!call.body->empty()) request.body = call.body;
  request.is_head = call.request.method == "HEAD";
  request.id_header = deps_.adapter.headers().request_id;
  request.id = call.request_id;
  request.connect_timeout = kConnectTimeout;
  LogEvent(LogLevel::kDebug, "sent",
           {{"request", call.request_id},
            {"server", choice.id.str()},
            {"load", choice.load},
            {"slowness", choice.slowness},
            {"report_age_ms", ToMilliseconds(choice.report_age)},
            {"expected_ms", ToMilliseconds(choice.expected)},
            {"cold", choice.cold},
            {"hedge", hedge}});
  if (!hedge) EnterPhase(call, Running{HedgeTime(call, now)});
  const AttemptId attempt_id = attempt.id;
  const std::shared_ptr<HttpClientConnection> to = attempt.link;
  call.running.push_back(std::move(attempt));
  to->Exchange(std::move(request), [this, id = call.id, attempt_id](ExchangeResult answer) {
    OnAttemptEnd(id, attempt_id, std::move(answer));
  });
}

/// Returns when a second server is asked if the first attempt, sent now, has no answer; never if
/// the call allows no further attempt.
TimePoint Forwarder::HedgeTime(const Call& call, TimePoint now) const {
  if (!call.state.idempotent || !MayStartAttempt(call.state)) return TimePoint::max();
  const Duration usual_time = deps_.pool.ServiceTime(call.service, kInitialServiceTime);
  return now + Duration(static_cast<std::int64_t>(static_cast<double>(usual_time.count()) *
                                                  kHedgeDelayFactor));
}

void Forwarder::OnAttemptEnd(CallId id, AttemptId attempt_id, ExchangeResult answer) {
  Call* call = Find(id);
  if (call == nullptr) return;
  const auto found = std::find_if(call->running.begin(), call->running.end(),
                                  [&](const Attempt& attempt) { return attempt.id == attempt_id; });
  if (found == call->running.end()) return;
  Attempt attempt = std::move(*found);
  call->running.erase(found);
  const TimePoint now = MonotonicClock::now();
  const AttemptOutcome end = ClassifyResponse(answer, call->request_id, deps_.adapter);
  if (end == AttemptOutcome::kMisdirected || end == AttemptOutcome::kConnectFailed) {
    links_.CloseIdle(attempt.address);
  }
  links_.Release(attempt.address, attempt.link);
  deps_.pool.OnEnd(attempt.server, end, attempt.context, now);
  // A server that stopped at the time limit was too slow; that is no failure of its version.
  const bool out_of_time = answer.response.status == kStatusGatewayTimeout;
  RecordForRollout(*call, attempt, out_of_time ? AttemptOutcome::kTimedOut : end, now);
  RecordLoadReport(attempt.server, end, answer.response, now);
  RecordLeaving(attempt.server, end, answer.response);
  RecordPause(attempt.server, end, answer.response, now);
  deps_.metrics.OnAttempt(AttemptOutcomeName(end), now - attempt.context.sent);
  --call->state.running;
  if (!ProvesNotRun(end) && end != AttemptOutcome::kAnswered) call->state.may_have_run = true;
  if (end != AttemptOutcome::kAnswered) {
    LogAttemptFailure(*call, attempt, end, answer, now);
  }
  if (!IsIn<Answered>(*call)) HandleAttemptEnd(*call, end, answer.response, attempt, now);
  EraseIfDone(id);
  DispatchQueued();
}

void Forwarder::LogAttemptFailure(const Call& call, const Attempt& attempt, AttemptOutcome end,
                                  const ExchangeResult& answer, TimePoint now) const {
  const HeaderNames& names = deps_.adapter.headers();
  const HeaderList& headers = answer.response.headers;
  LogEvent(LogLevel::kInfo, "attempt_failed",
           {{"request", call.request_id},
            {"server", attempt.server.str()},
            {"address", attempt.address},
            {"end", AttemptOutcomeName(end)},
            {"status", answer.response.status},
            {"error", answer.error},
            {"reused", answer.reused},
            {"took_ms", ToMilliseconds(now - attempt.context.sent)},
            {"attempt", call.state.attempts},
            {"has_id", FindHeader(headers, names.request_id) != nullptr},
            {"says_not_run", FindHeader(headers, names.not_run) != nullptr},
            {"signed", FindHeader(headers, names.server_signature) != nullptr},
            {"skipped", answer.skipped_responses},
            {"write_pending", answer.write_pending}});
}

void Forwarder::RecordForRollout(const Call& call, const Attempt& attempt, AttemptOutcome end,
                                 TimePoint now) {
  if (deps_.rollout == nullptr) return;
  deps_.rollout->OnEnd({call.service, call.route->name, attempt.server}, attempt.context, end, now);
}

void Forwarder::RecordLoadReport(const ServerName& server, AttemptOutcome end,
                                 const HttpMessage& message, TimePoint now) {
  const std::string* load = FindHeader(message.headers, deps_.adapter.headers().load);
  if (load == nullptr) return;
  auto report = deps_.adapter.ParseLoad(*load);
  if (!report) return;
  // A report sent with a response still counts the request that it answers.
  if (!ProvesNotRun(end) && report->running > 0) --report->running;
  deps_.pool.OnLoadReport(server, *report, now);
  reported_.insert(server);
}

void Forwarder::RecordLeaving(const ServerName& server, AttemptOutcome end,
                              const HttpMessage& message) {
  const bool from_server = end == AttemptOutcome::kAnswered ||
                           end == AttemptOutcome::kServerFailure || end == AttemptOutcome::kShed;
  const std::string* leaving = FindHeader(message.headers, deps_.adapter.headers().leaving);
  if (from_server && leaving != nullptr && *leaving == "1") deps_.pool.OnLeavingAnnounced(server);
}

void Forwarder::RecordPause(const ServerName& server, AttemptOutcome end,
                            const HttpMessage& message, TimePoint now) {
  const bool refused = (end == AttemptOutcome::kShed || end == AttemptOutcome::kServerFailure) &&
                       message.status == kStatusUnavailable;
  const std::string* retry_after = FindHeader(message.headers, "retry-after");
  if (!refused || retry_after == nullptr) return;
  if (const auto pause = ParseRetryAfter(*retry_after)) {
    deps_.pool.OnPauseRequested(server, *pause, now);
    return;
  }
  LogEvent(LogLevel::kWarning, "retry_after_unusable",
           {{"server", server.str()}, {"value", retry_after->substr(0, kMaxLoggedHeader)}});
}

void Forwarder::HandleAttemptEnd(Call& call, AttemptOutcome end, HttpMessage& message,
                                 const Attempt& attempt, TimePoint now) {
  switch (DecideNextStep(call.state, end)) {
    case NextStep::kRelay:
      Relay(call, message, attempt, now);
      return;
    case NextStep::kWait:
      return;
    case NextStep::kRetry:
      // The server's own error response tells the caller more than one from this host.
      if (end == AttemptOutcome::kServerFailure && (IsTooLate(call, now) || !HasCapToken(call))) {
        Relay(call, message, attempt, now);
        return;
      }
      if (retry_budgets_.at(call.service).TryConsume(false, now)) {
        deps_.metrics.OnRetry(AttemptOutcomeName(end));
        EnterPhase(call, Ready());
        TryDispatch(call, false, now);
        return;
      }
      if (end == AttemptOutcome::kServerFailure) {
        Relay(call, message, attempt, now);
        return;
      }
      FailCall(call, FailureCause::kOther, "retry_budget_spent", RetryAfterFor(call, now), now);
      return;
    case NextStep::kFail:
      FailCall(call, FailureCause::kOther, AttemptOutcomeName(end), RetryAfterFor(call, now), now);
      return;
  }
}

void Forwarder::Relay(Call& call, HttpMessage& message, const Attempt& attempt, TimePoint now) {
  const bool promises_not_run =
      message.status == 503 || message.status == 429 || message.status == 408;
  if (promises_not_run) {
    // The server ran the request, so the caller must not get a status that says it did not run.
    call.state.may_have_run = true;
    FailCall(call, FailureCause::kOther, "server_status", Duration::zero(), now);
    return;
  }
  double& mean_bytes = route_bytes_[call.route->name];
  mean_bytes +=
      kBytesSmoothing * (static_cast<double>(call.body->size() + message.body.size()) - mean_bytes);
  deps_.metrics.OnResponse(call.service, message.status, now - call.arrived);
  LogEvent(LogLevel::kInfo, "answered",
           {{"request", call.request_id},
            {"route", call.route->name},
            {"version", deps_.config.version().value()},
            {"server", attempt.server.str()},
            {"status", message.status},
            {"took_ms", ToMilliseconds(now - call.arrived)},
            {"attempts", call.state.attempts}});
  const bool is_head = call.request.method == "HEAD";
  Reply(call, WriteRelayedResponseHead(message, deps_.adapter.headers(), is_head),
        std::move(message.body));
}

/// Sends the error response of a call that was not served.
void Forwarder::FailCall(Call& call, FailureCause cause, std::string_view reason,
                         Duration retry_after, TimePoint now) {
  const bool may_have_run = call.state.may_have_run || call.state.running > 0;
  const bool over_cap = cause == FailureCause::kOverCap && !may_have_run;
  const int status = over_cap ? kStatusTooManyRequests
                              : FailureStatus(may_have_run, cause == FailureCause::kTimeout);
  deps_.metrics.OnRefusal(reason);
  deps_.metrics.OnResponse(call.service, status, now - call.arrived);
  LogEvent(LogLevel::kInfo, "failed",
           {{"request", call.request_id},
            {"route", call.route->name},
            {"version", deps_.config.version().value()},
            {"service", call.service.str()},
            {"workspace", call.workspace.name.str()},
            {"status", status},
            {"reason", std::string(reason)},
            {"waited_for", call.last_wait_reason},
            {"may_have_run", may_have_run},
            {"running", call.state.running},
            {"held_ms", ToMilliseconds(now - call.arrived)},
            {"left_ms", ToMilliseconds(call.deadline - now)},
            {"attempts", call.state.attempts}});
  std::optional<Duration> retry_after_header;
  if (over_cap || status == kStatusUnavailable) retry_after_header = retry_after;
  Reply(
      call,
      WriteLocalResponseHead(status, retry_after_header, call.request_id, deps_.adapter.headers()),
      MessageBody(std::string(reason) + "\n"));
}

void Forwarder::Reply(Call& call, std::string head, MessageBody body) {
  EnterPhase(call, Answered());
  calls_by_exchange_.erase(call.exchange);
  server_->Respond(call.exchange, std::move(head), std::move(body));
}

void Forwarder::Refuse(ExchangeId exchange, int status, std::string_view reason,
                       const std::string& request_id, Duration retry_after) {
  deps_.metrics.OnRefusal(reason);
  LogEvent(LogLevel::kInfo, "refused",
           {{"request", request_id},
            {"status", status},
            {"reason", std::string(reason)},
            {"version", deps_.config.version().value()}});
  std::optional<Duration> retry_after_header;
  if (status == kStatusUnavailable) retry_after_header = retry_after;
  server_->Respond(
      exchange,
      WriteLocalResponseHead(status, retry_after_header, request_id, deps_.adapter.headers()),
      std::string(reason) + "\n");
}

/// Closes the connections of the attempts that are still running.
void Forwarder::CancelAttempts(Call& call, AttemptOutcome end, TimePoint now) {
  for (Attempt& attempt : std::exchange(call.running, {})) {
    attempt.link->Close();
    deps_.pool.OnEnd(attempt.server, end, attempt.context, now);
    RecordForRollout(call, attempt, end, now);
    deps_.metrics.OnAttempt(AttemptOutcomeName(end), now - attempt.context.sent);
  }
  call.state.running = 0;
}

void Forwarder::EraseIfDone(CallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  const Call& call = *found->second;
  if (!IsIn<Answered>(call) || !call.running.empty()) return;
  timers_.Cancel(id);
  calls_.erase(found);
}

admission::QueuedCall Forwarder::ToQueuedCall(const Call& call) {
  // Callers that repeat a refused request state how much of their time limit is left.
  const TimePoint first_arrived = std::min(call.arrived, call.deadline - call.route->timeout);
  std::optional<WorkspaceName> workspace;
  if (!call.workspace.name.empty()) workspace = call.workspace.name;
  return {admission::CallId(call.id.value()),
          call.priority,
          call.arrived + call.route->latency_target,
          call.deadline,
          workspace,
          call.arrived,
          first_arrived};
}

Duration Forwarder::RetryAfterFor(const Call& call, TimePoint now) {
  return queues_[call.service].RetryAfterFor(
      call.queue_entry, deps_.pool.ServiceTime(call.service, kInitialServiceTime),
      std::uniform_real_distribution<double>(0, 1)(random_), now);
}

Forwarder::Call* Forwarder::Find(CallId id) {
  const auto found = calls_.find(id);
  return found == calls_.end() ? nullptr : found->second.get();
}

void Forwarder::SetTimer(const Call& call) {
  const TimePoint due =
      std::visit([&](const auto& phase) { return DueTime(call, phase); }, call.phase);
  timers_.Set(call.id, due);
}

TimePoint Forwarder::DueTime(const Call& call, const Ready&) const { return call.deadline; }

TimePoint Forwarder::DueTime(const Call& call, const WaitsForProof& phase) const {
  return std::min(call.deadline, phase.until);
}

TimePoint Forwarder::DueTime(const Call& call, const Queued&) {
  return std::min(call.deadline, FailTimeOf(call, MonotonicClock::now()));
}

TimePoint Forwarder::DueTime(const Call& call, const WaitsForCap&) const { return call.deadline; }

TimePoint Forwarder::DueTime(const Call& call, const Running& phase) const {
  return std::min<TimePoint>(call.deadline + kDeadlineGrace, phase.hedge_at);
}

TimePoint Forwarder::DueTime(const Call& call, const Answered&) const {
  return call.deadline + kLateAttemptTimeout;
}

void Forwarder::OnCallTimer(CallId id, TimePoint now) {
  Call* call = Find(id);
  if (call == nullptr) return;
  // The phase may change while its timer is handled.
  const Phase expired = call->phase;
  std::visit([&](const auto& phase) { OnTimer(*call, phase, now); }, expired);
  EraseIfDone(id);
}

void Forwarder::OnTimer(Call& call, const Ready&, TimePoint now) {
  FailCall(call, FailureCause::kTimeout, "queue_time_over", Duration::zero(), now);
}

void Forwarder::OnTimer(Call& call, const WaitsForProof&, TimePoint now) {
  DecideWaiting(call.id, false, now);
}

void Forwarder::OnTimer(Call& call, const Queued&, TimePoint now) {
  if (KeepsWaiting(call, now)) {
    SetTimer(call);
    return;
  }
  const bool overtaken = queues_[call.service].has_fair_shares() && FailTimeOf(call, now) > now;
  FailCall(call, FailureCause::kTimeout, overtaken ? "overtaken_in_queue" : "queue_time_over",
           RetryAfterFor(call, now), now);
}

void Forwarder::OnTimer(Call& call, const WaitsForCap&, TimePoint now) {
  FailCall(call, FailureCause::kTimeout, "queue_time_over", RetryAfterFor(call, now), now);
}

void Forwarder::OnTimer(Call& call, const Running& phase, TimePoint now) {
  if (phase.hedge_at > now) {
    FailCall(call, FailureCause::kTimeout, "no_answer_in_time", Duration::zero(), now);
    return;
  }
  EnterPhase(call, Running());
  TryDispatch(call, true, now);
  if (call.state.running > 1) deps_.metrics.OnRetry("slow_answer");
}

void Forwarder::OnTimer(Call& call, const Answered&, TimePoint now) {
  CancelAttempts(call, AttemptOutcome::kTimedOut, now);
}

bool Forwarder::KeepsWaiting(const Call& call, TimePoint now) {
  const admission::CallQueue& queue = queues_[call.service];
  if (!queue.has_fair_shares()) return false;
  const Duration usual_time = deps_.pool.ServiceTime(call.service, kInitialServiceTime);
  return FailTimeOf(call, now) > now && queue.ShouldKeep(call.queue_entry, usual_time, now);
}

TimePoint Forwarder::FailTimeOf(const Call& call, TimePoint now) {
  return queues_[call.service].FailTime(
      call.queue_entry, deps_.pool.ServiceTime(call.service, kInitialServiceTime), now);
}

void Forwarder::Sweep(TimePoint now) { links_.Sweep(now); }

void Forwarder::FailAll(TimePoint now) {
  std::vector<CallId> unanswered;
  for (const auto& [id, call] : calls_) {
    if (!IsIn<Answered>(*call)) unanswered.push_back(id);
  }
  for (const CallId id : unanswered) {
    Call* found = Find(id);
    if (found == nullptr) continue;
    Call& call = *found;
    const bool may_have_run = call.state.may_have_run || !call.running.empty();
    CancelAttempts(call, AttemptOutcome::kCancelled, now);
    call.state.may_have_run = may_have_run;
    FailCall(call, FailureCause::kTimeout, "stopping", Duration::zero(), now);
    EraseIfDone(id);
  }
}

std::vector<ServerName> Forwarder::TakeReported() {
  std::vector<ServerName> reported(reported_.begin(), reported_.end());
  reported_.clear();
  return reported;
}

}  // namespace mulberry::gateway
