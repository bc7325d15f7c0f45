#include "random_simulation.h"

#include <rapidcheck.h>

#include <algorithm>

namespace mulberry {
namespace {

constexpr Duration kMillisecond = std::chrono::milliseconds(1);
constexpr double kBudgetBurst = 3;
constexpr std::uint64_t kNoSuchStart = 1000000;

bool Lost(DispatchResult result) {
  return result == DispatchResult::kBroken || result == DispatchResult::kConnectRefused ||
         result == DispatchResult::kNotSent;
}

bool Answers(DispatchResult result) {
  return result == DispatchResult::kAnswered || result == DispatchResult::kServerError ||
         result == DispatchResult::kShed;
}

}  // namespace

std::ostream& operator<<(std::ostream& out, const Step& step) {
  return out << step.kind << '/' << step.a << '/' << step.b;
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
  share_ = LimitShare::kFull;
  until_ = now_ + std::chrono::seconds(2);
  dispatcher_.SetLimitShare(share_, until_, now_, actions_);
  Check();
}

void RandomSimulation::Do(const Step& step) {
  ServerRecord& server = servers_[step.a % servers_.size()];
  Pass(kMillisecond * (step.b % 12));
  switch (step.kind) {
    default:
      step.kind % 2 == 0 ? Submit(step.a, step.b) : End(step.a, step.b);
      break;
    case 0:
      return Restart(step.a);
    case 1:
      share_ = static_cast<LimitShare>(step.a % 4);
      until_ = now_ + kMillisecond * (step.b % 400);
      dispatcher_.SetLimitShare(share_, until_, now_, actions_);
      break;
    case 2:
      share_ = LimitShare::kFull;
      until_ = now_ + std::chrono::seconds(5);
      dispatcher_.SetLimitShare(share_, until_, now_, actions_);
      break;
    case 3:
      out_ = step.b % 5 == 0;
      dispatcher_.SetDraining(out_, now_, actions_);
      break;
    case 4:
      server.info.leaving = step.b % 4 == 0;
      return SetServers();
    case 5:
      server.listed = step.b % 4 != 0;
      return SetServers();
    case 6:
      if (server.listed && !server.info.announced_cold && step.b % 2 == 0) {
        server.cold_at = now_;
        server.answers = 0;
        server.announced = ++sequence_;
      }
      server.info.announced_cold = step.b % 2 == 0;
      return SetServers();
    case 7:
      return Probe(server, step.b);
    case 8:
      dispatcher_.MarkAllUnverified(now_);
      break;
    case 9:
      if (!requests_.empty()) {
        dispatcher_.Cancel(RequestId(1 + step.a % requests_.size()), now_, actions_);
      }
      break;
    case 10:
      return SetClasses(step.b % 3 != 0);
    case 11:  // A pause without ticks.
      now_ += kMillisecond * (step.a % 3000);
      return Pass(Duration::zero());
    case 12:
      return Pass(kMillisecond * (step.a % 300));
  }
  Check();
}

void RandomSimulation::Finish() {
  out_ = false;
  share_ = LimitShare::kFull;
  until_ = now_ + std::chrono::hours(1);
  dispatcher_.SetDraining(false, now_, actions_);
  dispatcher_.SetLimitShare(share_, until_, now_, actions_);
  Check();
  for (int round = 0; round < 1000 && !dispatcher_.Idle(); ++round) {
    while (!attempts_.empty()) Report(attempts_.begin()->first, DispatchResult::kAnswered, false);
    Pass(kMillisecond * 50);
  }
  RC_ASSERT(dispatcher_.Idle());
  for (const auto& [id, request] : requests_) RC_ASSERT(request.ended);
}

void RandomSimulation::Submit(std::uint32_t a, std::uint32_t b) {
  const RequestId id(requests_.size() + 1);
  RequestRecord& request = requests_[id.value()];
  request.idempotent = a % 3 != 0;
  request.no_retry = a % 7 == 0;
  request.deadline = now_ + kMillisecond * (b % 400);
  const RequestInfo item{id, ClassName(request.idempotent ? "lookup" : "reserve"), now_,
                         request.deadline, request.no_retry};
  dispatcher_.Submit(item, now_, actions_);
}

void RandomSimulation::End(std::uint32_t a, std::uint32_t b) {
  if (attempts_.empty()) return;
  auto it = attempts_.begin();
  std::advance(it, a % attempts_.size());
  constexpr DispatchResult kFailures[] = {
      DispatchResult::kServerError,    DispatchResult::kShed,    DispatchResult::kBroken,
      DispatchResult::kConnectRefused, DispatchResult::kNotSent, DispatchResult::kTimedOut};
  const bool dead = it->second.start != servers_[it->second.server].start;
  DispatchResult result = b % 3 == 0 ? kFailures[a % 6] : DispatchResult::kAnswered;
  if (dead && b % 4 != 0) result = DispatchResult::kBroken;
  if (it->second.cancelled && b % 2 == 0) result = DispatchResult::kCancelled;
  Report(it->first, result, a % 9 == 0);
}

void RandomSimulation::Report(std::uint64_t dispatch, DispatchResult result, bool no_retry) {
  const AttemptRecord attempt = attempts_[dispatch];
  attempts_.erase(dispatch);
  ServerRecord& server = servers_[attempt.server];
  --server.in_flight;
  RequestRecord& request = requests_[attempt.request.value()];
  --request.running;
  if (!ProvesNotRun(result)) request.may_have_run = true;
  NoteReport(attempt, result);
  answered_.clear();
  if (Answers(result) && result != DispatchResult::kShed) answered_.insert(dispatch);
  const StartId start(Answers(result) ? attempt.start : 0);
  dispatcher_.OnDispatchEnd({DispatchId(dispatch), result, start, no_retry}, now_, actions_);
  Check();
  dispatcher_.OnDispatchEnd({DispatchId(dispatch), result, start, no_retry}, now_, actions_);
  RC_ASSERT(actions_.empty());
}

/// Keeps the record of what the dispatcher has to conclude from reports.
void RandomSimulation::NoteReport(const AttemptRecord& attempt, DispatchResult result) {
  ServerRecord& server = servers_[attempt.server];
  if (Lost(result)) server.doubt = ++sequence_;
  if (!Answers(result)) return;
  if (attempt.began > server.doubt) server.doubt = 0;
  const bool first_known = server.known_starts.empty();
  // An answer from before the announcement does not tell which start was announced.
  if (first_known && attempt.began < server.announced) return;
  if (server.known_starts.insert(attempt.start).second && !first_known) {
    server.cold_at = now_;
    server.answers = 0;
  }
  if (result == DispatchResult::kAnswered) ++server.answers;
}

/// A load endpoint lags, so it may name a former start, and it may name one that never was.
void RandomSimulation::Probe(ServerRecord& server, std::uint32_t b) {
  const std::uint64_t lag = std::min<std::uint64_t>(b % 3, server.start - 1);
  const StartId start(b % 5 == 0 ? kNoSuchStart + b : server.start - lag);
  const bool tells_nothing = b % 4 == 0 || b % 5 == 0 || server.known_starts.empty();
  if (!tells_nothing && server.known_starts.insert(start.value()).second) {
    server.cold_at = now_;
    server.answers = 0;
  }
  dispatcher_.OnProbe({server.info.name, b % 4 != 0, start, b % 7 == 0, b % 11 == 0, b % 5}, now_,
                      actions_);
  Check();
}

void RandomSimulation::Restart(std::uint32_t a) { ++servers_[a % servers_.size()].start; }

void RandomSimulation::SetServers() {
  std::vector<ServerInfo> infos;
  for (const ServerRecord& server : servers_) {
    if (server.listed) infos.push_back(server.info);
  }
  dispatcher_.SetServers(infos, now_, actions_);
  Check();
}

void RandomSimulation::SetClasses(bool with_lookup) {
  std::vector<ClassTarget> classes;
  if (with_lookup) classes.push_back({ClassName("lookup"), true, 50 * kMillisecond, 0.99});
  classes.push_back({ClassName("reserve"), false, 80 * kMillisecond, 0.999});
  dispatcher_.SetClasses(classes, now_, actions_);
  Check();
}

void RandomSimulation::Pass(Duration time) {
  const TimePoint end = now_ + time;
  int ticks = 0;
  while (dispatcher_.NextTick() <= end) {
    now_ = std::max(now_, dispatcher_.NextTick());
    dispatcher_.Tick(now_, actions_);
    Check();
    RC_ASSERT(dispatcher_.NextTick() > now_);
    RC_ASSERT(++ticks < 2000);
  }
  now_ = end;
}

void RandomSimulation::Check() {
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
      CheckEnd(relay->request, true, false);
    }
    if (const auto* refuse = std::get_if<RefuseRequest>(&action)) {
      CheckEnd(refuse->request, false, refuse->may_have_run);
    }
    if (const auto* back = std::get_if<ReturnToRouter>(&action)) {
      RC_ASSERT(requests_[back->request.value()].attempts == 0);
      CheckEnd(back->request, false, false);
    }
    if (std::holds_alternative<StartProbe>(action)) CheckProbe();
  }
}

void RandomSimulation::CheckStart(const StartDispatch& start) {
  RequestRecord& request = requests_[start.request.value()];
  RC_ASSERT(!request.ended);
  RC_ASSERT(now_ < request.deadline);
  RC_ASSERT(now_ < until_);
  RC_ASSERT(share_ != LimitShare::kNone);
  RC_ASSERT(!out_);
  RC_ASSERT(request.idempotent || (request.running == 0 && !request.may_have_run));
  RC_ASSERT(start.retry.has_value() == (request.attempts > 0));
  RC_ASSERT(!(start.retry && request.no_retry));
  RC_ASSERT(request.attempts < static_cast<int>(options_.max_attempts));
  ++request.attempts;
  ++request.running;
  (start.retry ? further_ : first_)[request.idempotent] += 1;
  const double budget = options_.retry_budget_ratio * first_[request.idempotent] + kBudgetBurst;
  RC_ASSERT(further_[request.idempotent] <= budget + 1e-6);

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
  std::uint32_t limit = share_ == LimitShare::kReduced ? std::max(1U, slots / 2) : slots;
  if (server.doubt != 0) limit = options_.cold_slots;
  if (server.cold_at != TimePoint::min()) {
    const auto steps = static_cast<std::uint32_t>((now_ - server.cold_at) / options_.cold_step);
    const std::uint32_t earned = std::min(steps, server.answers / options_.cold_answers_per_slot);
    const std::uint32_t cold = options_.cold_slots + earned;
    if (cold < slots) {
      RC_ASSERT(share_ != LimitShare::kReduced);
      // Under kWarm the former owner's requests are over, and so is the cold time after the hold.
      const std::uint32_t shared = now_ - server.cold_at >= options_.cold_hold ? 1 : 0;
      limit = std::min(limit, share_ == LimitShare::kWarm ? std::max(shared, cold / 2) : cold);
    }
  }
  if (server.in_flight > limit) {
    RC_LOG() << server.info.name.str() << " slots " << slots << " share "
             << static_cast<int>(share_) << " doubt " << server.doubt << " answers since cold "
             << server.answers << " cold for " << (now_ - server.cold_at).count() << " us\n";
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

void RandomSimulation::CheckEnd(RequestId id, bool relayed, bool may_have_run) {
  RequestRecord& request = requests_[id.value()];
  RC_ASSERT(!request.ended);
  request.ended = true;
  if (!relayed) RC_ASSERT(may_have_run == (request.may_have_run || request.running > 0));
}

void RandomSimulation::CheckProbe() {
  RC_ASSERT(share_ == LimitShare::kFull && now_ < until_ && !out_);
  const std::chrono::duration<double> elapsed = now_ - begin_;
  RC_ASSERT(static_cast<double>(++probes_) <= options_.probes_per_second * elapsed.count() + 1);
}

}  // namespace mulberry
