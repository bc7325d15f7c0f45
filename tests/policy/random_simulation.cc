#include "random_simulation.h"

#include <rapidcheck.h>

#include <algorithm>

namespace mulberry {
namespace {

constexpr Duration kMillisecond = std::chrono::milliseconds(1);
constexpr double kBudgetBurst = 3;
constexpr std::uint64_t kUnusedStart = 1000000;

bool MayMeanRestart(DispatchResult result) {
  return result == DispatchResult::kBroken || result == DispatchResult::kConnectRefused ||
         result == DispatchResult::kNotSent;
}

bool HasAnswer(DispatchResult result) {
  return result == DispatchResult::kAnswered || result == DispatchResult::kServerError ||
         result == DispatchResult::kShed;
}

}  // namespace

std::ostream& operator<<(std::ostream& out, const Step& step) {
  return out << step.kind << '/' << step.param1 << '/' << step.param2;
}

RandomSimulation::RandomSimulation(std::uint32_t servers, std::uint32_t slots,
                                   DispatcherOptions options)
    : options_(options), dispatcher_(options) {
  for (std::uint32_t i = 0; i < servers; ++i) {
    ServerRecord record;
    record.info = {ServerName("s" + std::to_string(i)), slots, false, false};
    servers_.push_back(record);
  }
  SetClasses(true);
  SetServers();
  limit_share_ = LimitShare::kFull;
  limit_share_until_ = now_ + std::chrono::seconds(2);
  dispatcher_.SetLimitShare(limit_share_, limit_share_until_, now_, actions_);
  CheckActions();
}

void RandomSimulation::Execute(const Step& step) {
  ServerRecord& server = servers_[step.param1 % servers_.size()];
  AdvanceTime(kMillisecond * (step.param2 % 12));
  switch (step.kind) {
    default:
      step.kind % 2 == 0 ? Submit(step.param1, step.param2) : End(step.param1, step.param2);
      break;
    case 0:
      return Restart(step.param1);
    case 1:
      limit_share_ = static_cast<LimitShare>(step.param1 % 4);
      limit_share_until_ = now_ + kMillisecond * (step.param2 % 400);
      dispatcher_.SetLimitShare(limit_share_, limit_share_until_, now_, actions_);
      break;
    case 2:
      limit_share_ = LimitShare::kFull;
      limit_share_until_ = now_ + std::chrono::seconds(5);
      dispatcher_.SetLimitShare(limit_share_, limit_share_until_, now_, actions_);
      break;
    case 3:
      draining_ = step.param2 % 5 == 0;
      dispatcher_.SetDraining(draining_, now_, actions_);
      break;
    case 4:
      server.info.leaving = step.param2 % 4 == 0;
      return SetServers();
    case 5:
      server.listed = step.param2 % 4 != 0;
      return SetServers();
    case 6:
      if (server.listed && !server.info.announced_cold && step.param2 % 2 == 0) {
        server.cold_since = now_;
        server.answers_since_cold = 0;
        server.announced_sequence = ++sequence_;
      }
      server.info.announced_cold = step.param2 % 2 == 0;
      return SetServers();
    case 7:
      return Probe(server, step.param2);
    case 8:
      dispatcher_.MarkAllUnverified(now_);
      break;
    case 9:
      if (!requests_.empty()) {
        dispatcher_.Cancel(RequestId(1 + step.param1 % requests_.size()), now_, actions_);
      }
      break;
    case 10:
      return SetClasses(step.param2 % 3 != 0);
    case 11:  // A pause in which Tick is not called.
      now_ += kMillisecond * (step.param1 % 3000);
      return AdvanceTime(Duration::zero());
    case 12:
      return AdvanceTime(kMillisecond * (step.param1 % 300));
  }
  CheckActions();
}

void RandomSimulation::Finish() {
  draining_ = false;
  limit_share_ = LimitShare::kFull;
  limit_share_until_ = now_ + std::chrono::hours(1);
  dispatcher_.SetDraining(false, now_, actions_);
  dispatcher_.SetLimitShare(limit_share_, limit_share_until_, now_, actions_);
  CheckActions();
  for (int round = 0; round < 1000 && !dispatcher_.Idle(); ++round) {
    while (!attempts_.empty()) Report(attempts_.begin()->first, DispatchResult::kAnswered, false);
    AdvanceTime(kMillisecond * 50);
  }
  RC_ASSERT(dispatcher_.Idle());
  for (const auto& [id, request] : requests_) RC_ASSERT(request.ended);
}

void RandomSimulation::Submit(std::uint32_t param1, std::uint32_t param2) {
  const RequestId id(requests_.size() + 1);
  RequestRecord& request = requests_[id.value()];
  request.idempotent = param1 % 3 != 0;
  request.no_retry = param1 % 7 == 0;
  request.deadline = now_ + kMillisecond * (param2 % 400);
  const RequestInfo item{id, ClassName(request.idempotent ? "lookup" : "reserve"), now_,
                         request.deadline, request.no_retry};
  dispatcher_.Submit(item, now_, actions_);
}

void RandomSimulation::End(std::uint32_t param1, std::uint32_t param2) {
  if (attempts_.empty()) return;
  auto it = attempts_.begin();
  std::advance(it, param1 % attempts_.size());
  constexpr DispatchResult kFailures[] = {
      DispatchResult::kServerError,    DispatchResult::kShed,    DispatchResult::kBroken,
      DispatchResult::kConnectRefused, DispatchResult::kNotSent, DispatchResult::kTimedOut};
  const bool restarted = it->second.start != servers_[it->second.server].start;
  DispatchResult result = param2 % 3 == 0 ? kFailures[param1 % 6] : DispatchResult::kAnswered;
  if (restarted && param2 % 4 != 0) result = DispatchResult::kBroken;
  if (it->second.cancelled && param2 % 2 == 0) result = DispatchResult::kCancelled;
  Report(it->first, result, param1 % 9 == 0);
}

void RandomSimulation::Report(std::uint64_t dispatch, DispatchResult result, bool no_retry) {
  const AttemptRecord attempt = attempts_[dispatch];
  attempts_.erase(dispatch);
  ServerRecord& server = servers_[attempt.server];
  --server.in_flight;
  RequestRecord& request = requests_[attempt.request.value()];
  --request.running;
  if (!ProvesNotRun(result)) request.may_have_run = true;
  RecordReport(attempt, result);
  answered_.clear();
  if (HasAnswer(result) && result != DispatchResult::kShed) answered_.insert(dispatch);
  const StartId start(HasAnswer(result) ? attempt.start : 0);
  dispatcher_.OnDispatchEnd({DispatchId(dispatch), result, start, no_retry}, now_, actions_);
  CheckActions();
  dispatcher_.OnDispatchEnd({DispatchId(dispatch), result, start, no_retry}, now_, actions_);
  RC_ASSERT(actions_.empty());
}

/// Updates the record of what the dispatcher must conclude from the reports.
void RandomSimulation::RecordReport(const AttemptRecord& attempt, DispatchResult result) {
  ServerRecord& server = servers_[attempt.server];
  if (MayMeanRestart(result)) server.unverified_since = ++sequence_;
  if (!HasAnswer(result)) return;
  if (attempt.start_sequence > server.unverified_since) server.unverified_since = 0;
  const bool first_known = server.known_starts.empty();
  // An answer to an attempt from before the announcement may come from an earlier start.
  if (first_known && attempt.start_sequence < server.announced_sequence) return;
  if (server.known_starts.insert(attempt.start).second && !first_known) {
    server.cold_since = now_;
    server.answers_since_cold = 0;
  }
  if (result == DispatchResult::kAnswered) ++server.answers_since_cold;
}

/// Reports a probe. A load endpoint can be outdated or wrong, so it may report a former start id or
/// one that was never used.
void RandomSimulation::Probe(ServerRecord& server, std::uint32_t param2) {
  const std::uint64_t lag = std::min<std::uint64_t>(param2 % 3, server.start - 1);
  const StartId start(param2 % 5 == 0 ? kUnusedStart + param2 : server.start - lag);
  const bool tells_nothing = param2 % 4 == 0 || param2 % 5 == 0 || server.known_starts.empty();
  if (!tells_nothing && server.known_starts.insert(start.value()).second) {
    server.cold_since = now_;
    server.answers_since_cold = 0;
  }
  dispatcher_.OnProbe(
      {server.info.name, param2 % 4 != 0, start, param2 % 7 == 0, param2 % 11 == 0, param2 % 5},
      now_, actions_);
  CheckActions();
}

void RandomSimulation::Restart(std::uint32_t param1) { ++servers_[param1 % servers_.size()].start; }

void RandomSimulation::SetServers() {
  std::vector<ServerInfo> infos;
  for (const ServerRecord& server : servers_) {
    if (server.listed) infos.push_back(server.info);
  }
  dispatcher_.SetServers(infos, now_, actions_);
  CheckActions();
}

void RandomSimulation::SetClasses(bool with_lookup) {
  std::vector<ClassTarget> classes;
  if (with_lookup) classes.push_back({ClassName("lookup"), true, 50 * kMillisecond, 0.99});
  classes.push_back({ClassName("reserve"), false, 80 * kMillisecond, 0.999});
  dispatcher_.SetClasses(classes, now_, actions_);
  CheckActions();
}

void RandomSimulation::AdvanceTime(Duration time) {
  const TimePoint end = now_ + time;
  int ticks = 0;
  while (dispatcher_.NextTick() <= end) {
    now_ = std::max(now_, dispatcher_.NextTick());
    dispatcher_.Tick(now_, actions_);
    CheckActions();
    RC_ASSERT(dispatcher_.NextTick() > now_);
    RC_ASSERT(++ticks < 2000);
  }
  now_ = end;
}

void RandomSimulation::CheckActions() {
  const PolicyActions actions = std::move(actions_);
  actions_.clear();
  for (const PolicyAction& action : actions) {
    if (const auto* start = std::get_if<StartDispatch>(&action)) CheckStart(*start);
    if (const auto* cancel = std::get_if<CancelDispatch>(&action)) {
      RC_ASSERT(attempts_.count(cancel->dispatch.value()) == 1);
      attempts_[cancel->dispatch.value()].cancelled = true;
    }
    if (const auto* relay = std::get_if<RelayAnswer>(&action)) {
      RC_ASSERT(answered_.count(relay->dispatch.value()) == 1);
      CheckRequestEnd(relay->request, true, false);
    }
    if (const auto* refuse = std::get_if<RefuseRequest>(&action)) {
      CheckRequestEnd(refuse->request, false, refuse->may_have_run);
    }
    if (const auto* back = std::get_if<ReturnToRouter>(&action)) {
      RC_ASSERT(requests_[back->request.value()].attempts == 0);
      CheckRequestEnd(back->request, false, false);
    }
    if (std::holds_alternative<StartProbe>(action)) CheckProbe();
  }
}

void RandomSimulation::CheckStart(const StartDispatch& start) {
  RequestRecord& request = requests_[start.request.value()];
  RC_ASSERT(!request.ended);
  RC_ASSERT(now_ < request.deadline);
  RC_ASSERT(now_ < limit_share_until_);
  RC_ASSERT(limit_share_ != LimitShare::kNone);
  RC_ASSERT(!draining_);
  RC_ASSERT(request.idempotent || (request.running == 0 && !request.may_have_run));
  RC_ASSERT(start.retry.has_value() == (request.attempts > 0));
  RC_ASSERT(!(start.retry && request.no_retry));
  RC_ASSERT(request.attempts < static_cast<int>(options_.max_attempts));
  ++request.attempts;
  ++request.running;
  (start.retry ? further_attempts_ : first_attempts_)[request.idempotent] += 1;
  const double budget =
      options_.retry_budget_ratio * first_attempts_[request.idempotent] + kBudgetBurst;
  RC_ASSERT(further_attempts_[request.idempotent] <= budget + 1e-6);

  const std::size_t index = std::stoul(start.server.str().substr(1));
  ServerRecord& server = servers_[index];
  RC_ASSERT(server.listed);
  RC_ASSERT(!server.info.leaving);
  ++server.in_flight;
  attempts_[start.dispatch.value()] = {start.request, index, server.start, ++sequence_, false};
  CheckLimit(index);
}

void RandomSimulation::CheckLimit(std::size_t index) {
  const ServerRecord& server = servers_[index];
  const std::uint32_t slots = server.info.slots;
  std::uint32_t limit = limit_share_ == LimitShare::kReduced ? std::max(1U, slots / 2) : slots;
  if (server.unverified_since != 0) limit = options_.cold_slots;
  if (server.cold_since != TimePoint::min()) {
    const auto steps = static_cast<std::uint32_t>((now_ - server.cold_since) / options_.cold_step);
    const std::uint32_t earned =
        std::min(steps, server.answers_since_cold / options_.cold_answers_per_slot);
    const std::uint32_t cold = options_.cold_slots + earned;
    if (cold < slots) {
      RC_ASSERT(limit_share_ != LimitShare::kReduced);
      // Under kWarm the former owner's requests have ended. The server's cold time ends after
      // cold_hold.
      const std::uint32_t shared = now_ - server.cold_since >= options_.cold_hold ? 1 : 0;
      limit =
          std::min(limit, limit_share_ == LimitShare::kWarm ? std::max(shared, cold / 2) : cold);
    }
  }
  if (server.in_flight > limit) {
    RC_LOG() << server.info.name.str() << " slots " << slots << " share "
             << static_cast<int>(limit_share_) << " unverified since " << server.unverified_since
             << " answers since cold " << server.answers_since_cold << " cold for "
             << (now_ - server.cold_since).count() << " us\n";
    for (const ServerState& state : dispatcher_.Servers(now_)) {
      RC_LOG() << state.name.str() << ' ' << state.state << ' ' << state.reason << " limit "
               << state.limit << " in flight " << state.in_flight << " start "
               << state.start.value() << '\n';
    }
  }
  RC_ASSERT(server.in_flight <= limit);
  for (const ServerState& state : dispatcher_.Servers(now_)) {
    if (state.name == server.info.name) RC_ASSERT(server.in_flight <= state.limit);
  }
}

void RandomSimulation::CheckRequestEnd(RequestId id, bool relayed, bool may_have_run) {
  RequestRecord& request = requests_[id.value()];
  RC_ASSERT(!request.ended);
  request.ended = true;
  if (!relayed) RC_ASSERT(may_have_run == (request.may_have_run || request.running > 0));
}

void RandomSimulation::CheckProbe() {
  RC_ASSERT(limit_share_ == LimitShare::kFull && now_ < limit_share_until_ && !draining_);
  const std::chrono::duration<double> elapsed = now_ - start_time_;
  RC_ASSERT(static_cast<double>(++probes_) <= options_.probes_per_second * elapsed.count() + 1);
}

}  // namespace mulberry
