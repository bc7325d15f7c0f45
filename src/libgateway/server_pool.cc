#include "libgateway/server_pool.h"

#include <algorithm>
#include <cmath>

namespace mulberry::gateway {
namespace {

/// Assumed answer time of a service before its first answer.
constexpr Duration kInitialServiceTime = std::chrono::milliseconds(50);
/// Weight of a new sample in smoothed values.
constexpr double kSmoothingWeight = 1.0 / 16;
/// Older load reports and reports of requests in flight are ignored; only this host's own requests
/// then count as load.
constexpr Duration kLoadReportLifetime = std::chrono::milliseconds(400);
/// A server is ejected after this many health checks in a row without an answer.
constexpr std::uint32_t kMaxUnansweredHealthChecks = 2;
/// A server that could be ejected but for the ejection budget is avoided for this time, as long as
/// a first ejection lasts.
constexpr Duration kAvoidTime = std::chrono::milliseconds(500);
/// Added to the expected latency of a server that is avoided; more than any latency target.
constexpr Duration kAvoidPenalty = std::chrono::seconds(10);
/// A server that has answered nothing for this time, several health checks included, counts as
/// unreachable.
constexpr Duration kUnreachableSilence = std::chrono::seconds(1);
/// Health checks time out after 200 ms; a server that answered a request meanwhile is not silent.
constexpr Duration kHealthCheckTime = std::chrono::milliseconds(200);
/// A request that this host gave up may occupy its server for this multiple of the answer time.
constexpr int kAbandonedFactor = 2;
/// Servers whose expected latency is within this fraction of the lowest share the requests, if
/// requests are spread. Estimates of equal servers differ by about as much.
constexpr double kSpreadFraction = 0.2;
constexpr Duration kMaxSpread = std::chrono::milliseconds(20);
/// Fraction of its slots up to which a server of another data centre gets requests by SpillPolicy.
constexpr double kSpillLoadFraction = 0.8;
/// Minimum interval of log lines about requests to ejected servers.
constexpr Duration kLastResortLogInterval = std::chrono::seconds(1);
/// A trial is left to idempotent requests for this long, since it may cost the request. A service
/// without such requests would otherwise never get an ejected server back.
constexpr Duration kIdempotentTrialTime = std::chrono::seconds(1);
/// Lower bound that limits the effect of a report from an unusually fast machine.
constexpr double kMinSlowness = 0.1;
/// No health checks are sent to a service that was not requested within this time.
constexpr Duration kHealthCheckAfterRequest = std::chrono::seconds(1);
/// A server that asks for a longer pause is tried again after this time.
constexpr Duration kMaxPause = std::chrono::minutes(5);
/// More servers than leave within the time for which their entries may come back.
constexpr std::size_t kMaxAnnouncedLeaving = 4096;
/// Upper bound of a server's latency relative to its service, to limit outliers.
constexpr double kMaxRelativeLatency = 20;

DispatchResult ToHealthResult(AttemptOutcome end) {
  switch (end) {
    case AttemptOutcome::kAnswered:
      return DispatchResult::kAnswered;
    case AttemptOutcome::kServerFailure:
      return DispatchResult::kServerError;
    case AttemptOutcome::kShed:
      return DispatchResult::kShed;
    case AttemptOutcome::kMisdirected:
    case AttemptOutcome::kConnectFailed:
      return DispatchResult::kConnectRefused;
    case AttemptOutcome::kNotSent:
      return DispatchResult::kNotSent;
    case AttemptOutcome::kBroken:
      return DispatchResult::kBroken;
    case AttemptOutcome::kTimedOut:
      return DispatchResult::kTimedOut;
    case AttemptOutcome::kCancelled:
      return DispatchResult::kCancelled;
  }
  return DispatchResult::kCancelled;
}

}  // namespace

const char* NoServerReasonName(NoServerReason reason) {
  switch (reason) {
    case NoServerReason::kNoServer:
      return "no_server";
    case NoServerReason::kAllBusy:
      return "all_busy";
    case NoServerReason::kAllCold:
      return "all_cold";
    case NoServerReason::kAllPaused:
      return "all_paused";
  }
  return "unknown";
}

ServerPool::ServerPool(PoolOptions options)
    : options_(std::move(options)),
      random_(static_cast<std::minstd_rand::result_type>(options_.random_seed)) {}

void ServerPool::SetServices(const std::map<ServiceName, Service>& services) {
  for (const auto& [name, service] : services) ServiceStateOf(name).service = service;
}

bool ServerPool::Put(const ServerEntry& entry, TimePoint now) {
  auto [found, is_new] = servers_.try_emplace(entry.id);
  Server& server = found->second;
  const bool restarted = !is_new && server.entry.started_at_ms != entry.started_at_ms;
  if (!is_new && server.entry.service != entry.service) {
    std::erase(by_service_[server.entry.service], entry.id);
    by_service_[entry.service].push_back(entry.id);
  }
  if (is_new) by_service_[entry.service].push_back(entry.id);
  const bool changed =
      is_new || restarted || server.entry.service != entry.service ||
      server.entry.address != entry.address || server.entry.leaving != entry.leaving ||
      server.entry.slots != entry.slots || server.entry.data_centre != entry.data_centre ||
      server.entry.version != entry.version || entry.cold_time_left > Duration::zero();
  server.entry = entry;
  const auto announced = announced_leaving_.find(entry.id);
  server.leaving_announced =
      announced != announced_leaving_.end() && announced->second == entry.started_at_ms;
  if (announced != announced_leaving_.end() && !server.leaving_announced) {
    announced_leaving_.erase(announced);
  }
  if (restarted) {
    server.paused_until = TimePoint();
    server.health = ServerHealth(kHealthLimits);
    server.relative_latency = 1;
    server.unreachable = false;
    server.avoided_until = TimePoint();
    server.abandoned.clear();
    MarkCold(server, now);
  }
  if (entry.cold_time_left > Duration::zero()) {
    server.cold_until = std::max(server.cold_until, now + entry.cold_time_left);
  }
  return changed;
}

void ServerPool::Remove(const ServerName& id) {
  const auto found = servers_.find(id);
  if (found == servers_.end()) return;
  std::erase(by_service_[found->second.entry.service], id);
  servers_.erase(found);
}

void ServerPool::SetDataCentreOut(const DataCentreName& data_centre, bool out, TimePoint now) {
  if (out) {
    data_centres_out_.insert(data_centre);
    return;
  }
  if (data_centres_out_.erase(data_centre) == 0) return;
  for (auto& [id, server] : servers_) {
    if (server.entry.data_centre == data_centre) MarkCold(server, now);
  }
}

std::variant<NoServerReason, Selection> ServerPool::Select(const SelectionRequest& request,
                                                           TimePoint now) {
  ServiceState& state = ServiceStateOf(request.service);
  state.last_requested = now;
  ++state.choices;
  Server* best = nullptr;
  Duration best_expected = Duration::max();
  NoServerReason reason = NoServerReason::kNoServer;
  std::uint32_t equal_candidates = 0;
  const bool spread = state.capacity.Hangs() || options_.spill;
  std::vector<Candidate> candidates;
  std::map<DataCentreName, RemoteSide> sides;
  for (const ServerName& id : by_service_[request.service]) {
    Server& server = servers_.at(id);
    if (request.tried.count(id) != 0 || !IsUsable(server, now)) continue;
    if (request.accepts != nullptr && !(*request.accepts)(server.entry)) continue;
    if (now < server.paused_until) {
      if (reason == NoServerReason::kNoServer) reason = NoServerReason::kAllPaused;
      continue;
    }
    const bool in_trial = server.health.StateAt(now) == ServerHealth::State::kTrial;
    if (in_trial && !request.idempotent && now < server.health.TrialTime() + kIdempotentTrialTime) {
      continue;
    }
    const bool remote = server.entry.data_centre != options_.data_centre;
    RemoteSide* side = options_.spill && remote ? &sides[server.entry.data_centre] : nullptr;
    if (side != nullptr) AddToSide(*side, server, now);
    const bool has_news = now - server.report_time <= kLoadReportLifetime;
    const bool low_load_only = request.hedge || (remote && (side == nullptr || !has_news));
    const double limit = side != nullptr && !low_load_only ? MaxSlots(server, kSpillLoadFraction)
                         : low_load_only ? MaxSlots(server, options_.spare_load_fraction)
                                         : ConcurrencyLimit(server, state);
    const double load = LoadOf(server, now);
    if (load >= limit || !HasRoomBeforeHang(server, state, now)) {
      reason = NoServerReason::kAllBusy;
      continue;
    }
    if (!HasColdCapacity(server, state.service, now)) {
      if (reason != NoServerReason::kAllBusy) reason = NoServerReason::kAllCold;
      continue;
    }
    const Duration expected = ExpectedLatency(server, state, now);
    if (side != nullptr) {
      side->candidates.push_back({&server, expected, limit - load});
      side->expected = std::min(side->expected, expected);
      continue;
    }
    if (spread) candidates.push_back({&server, expected, limit - load});
    // Servers whose expected latency differs by less than 1 ms count as equal; one of them is
    // picked at random.
    if (best != nullptr && expected >= best_expected + std::chrono::milliseconds(1)) continue;
    const bool is_faster =
        best == nullptr || expected + std::chrono::milliseconds(1) < best_expected;
    equal_candidates = is_faster ? 1 : equal_candidates + 1;
    if (!is_faster && random_() % equal_candidates != 0) continue;
    best = &server;
    best_expected = expected;
  }
  const Duration here =
      sides.empty() ? Duration::zero() : ExpectedHere(request, state, best_expected, now);
  const Candidate* spilled = SpillTarget(request, here, sides, now);
  const char* spill_reason = "";
  if (spilled != nullptr) {
    spill_reason = here == Duration::max() ? "no_local_server"
                   : best == nullptr       ? "busy"
                                           : "slower";
  } else if (candidates.size() > 1) {
    spilled = &SpreadAmong(candidates, best_expected);
  }
  if (spilled != nullptr) {
    best = spilled->server;
    best_expected = spilled->expected;
  }
  const bool may_spill = std::any_of(
      sides.begin(), sides.end(), [](const auto& side) { return !side.second.candidates.empty(); });
  if (best == nullptr && may_spill) return NoServerReason::kAllBusy;
  if (best == nullptr && reason == NoServerReason::kNoServer) best = LastResort(request, now);
  if (best == nullptr) return reason;
  Selection choice;
  choice.spill_reason = spill_reason;
  choice.id = best->entry.id;
  choice.address = best->entry.address;
  choice.expected = best_expected;
  choice.load = LoadOf(*best, now);
  choice.slowness = SlownessOf(*best, state, now);
  choice.report_age = now - best->report_time;
  choice.cold = now < best->cold_until;
  return choice;
}

void ServerPool::AddToSide(RemoteSide& side, const Server& server, TimePoint now) const {
  side.in_flight += server.in_flight;
  side.news = std::max(side.news, server.report_time);
  if (now < server.cold_until || now - server.report_time > kLoadReportLifetime) return;
  side.spare += server.entry.slots * kSpillLoadFraction - LoadOf(server, now);
}

Duration ServerPool::ExpectedHere(const SelectionRequest& request, const ServiceState& state,
                                  Duration best_expected, TimePoint now) const {
  if (best_expected != Duration::max()) return best_expected;
  std::uint32_t slots = 0;
  for (const ServerName& id : by_service_.at(request.service)) {
    const Server& server = servers_.at(id);
    const bool usable = server.entry.data_centre == options_.data_centre &&
                        request.tried.count(id) == 0 && now >= server.paused_until &&
                        IsUsable(server, now);
    if (usable) slots += server.entry.slots;
  }
  if (slots == 0) return Duration::max();
  // Each host of the data centre fills its part of the slots from its own queue.
  const double own_slots = std::max(1.0, static_cast<double>(slots) / senders_.local_hosts);
  const Duration usual = UsualTime(state);
  const double waits = (static_cast<double>(request.queued) + 1) / own_slots;
  return usual + Duration(std::llround(static_cast<double>(usual.count()) * waits));
}

const ServerPool::Candidate* ServerPool::SpillTarget(
    const SelectionRequest& request, Duration here,
    const std::map<DataCentreName, RemoteSide>& sides, TimePoint now) {
  const RemoteSide* best = nullptr;
  for (const auto& [name, side] : sides) {
    if (side.candidates.empty()) continue;
    const double phase = std::uniform_real_distribution<double>(0, 1)(random_);
    placement::SpillPolicy& policy = ServiceStateOf(request.service)
                                         .spill.try_emplace(name, options_.spill_costs, phase)
                                         .first->second;
    const bool was_active = policy.active();
    const std::uint32_t senders = std::max(senders_.all_hosts, 2U) - 1;
    // Without news, any server of another data centre is better than none.
    const bool blind = here == Duration::max() && now - side.news > kLoadReportLifetime;
    const bool allowed = policy.Allows(
        {here, side.expected, side.spare, now - side.news, senders, side.in_flight, request.bytes},
        now);
    if (policy.active() != was_active) {
      LogEvent(LogLevel::kInfo, policy.active() ? "spill_started" : "spill_stopped",
               {{"service", request.service.str()},
                {"data_centre", name.str()},
                {"here_ms", here == Duration::max() ? -1 : ToMilliseconds(here)},
                {"there_ms", ToMilliseconds(side.expected)},
                {"spare", side.spare},
                {"news_age_ms", ToMilliseconds(now - side.news)}});
    }
    if ((allowed || blind) && (best == nullptr || side.expected < best->expected)) best = &side;
  }
  return best == nullptr ? nullptr : &SpreadAmong(best->candidates, best->expected);
}

/// Picks one of the candidates that are nearly as good as the best one, at random in proportion to
/// their room: hosts that know the same would otherwise all choose the same server.
const ServerPool::Candidate& ServerPool::SpreadAmong(const std::vector<Candidate>& candidates,
                                                     Duration best_expected) {
  const Duration spread(
      static_cast<std::int64_t>(static_cast<double>(best_expected.count()) * kSpreadFraction));
  const Duration band = best_expected + std::min(spread, kMaxSpread);
  double room = 0;
  for (const Candidate& candidate : candidates) {
    if (candidate.expected <= band) room += candidate.room;
  }
  double pick = std::uniform_real_distribution<double>(0, room)(random_);
  const Candidate* chosen = nullptr;
  for (const Candidate& candidate : candidates) {
    if (candidate.expected > band) continue;
    chosen = &candidate;
    pick -= candidate.room;
    if (pick < 0) break;
  }
  return *chosen;
}

ServerPool::Server* ServerPool::LastResort(const SelectionRequest& request, TimePoint now) {
  Server* best = nullptr;
  for (const ServerName& id : by_service_[request.service]) {
    Server& server = servers_.at(id);
    if (request.hedge || request.tried.count(id) != 0 || server.entry.leaving ||
        server.leaving_announced || data_centres_out_.count(server.entry.data_centre) != 0 ||
        server.unreachable || server.health.StateAt(now) == ServerHealth::State::kHealthy ||
        now < server.paused_until || LoadOf(server, now) >= server.entry.slots) {
      continue;
    }
    const ServiceState& state = ServiceStateOf(request.service);
    if (!HasRoomBeforeHang(server, state, now) || !HasColdCapacity(server, state.service, now)) {
      continue;
    }
    const auto rank = [](const Server& s) {
      return std::pair(s.health.FailureRate(), s.health.TrialTime());
    };
    if (best == nullptr || rank(server) < rank(*best)) best = &server;
  }
  if (best != nullptr && now - last_resort_logged_at_ >= kLastResortLogInterval) {
    last_resort_logged_at_ = now;
    LogEvent(LogLevel::kInfo, "server_last_resort",
             {{"server", best->entry.id.str()}, {"service", request.service.str()}});
  }
  return best;
}

bool ServerPool::HasRoomBeforeHang(const Server& server, const ServiceState& state,
                                   TimePoint now) const {
  if (!state.capacity.Hangs()) return true;
  const auto abandoned = std::count_if(server.abandoned.begin(), server.abandoned.end(),
                                       [&](TimePoint until) { return now < until; });
  const double own = static_cast<double>(server.in_flight - SilentRequests(server, now)) +
                     static_cast<double>(abandoned);
  return own < state.capacity.HostLimit(server.entry.slots,
                                        server.entry.data_centre == options_.data_centre, senders_,
                                        server.entry.id.str());
}

std::uint32_t ServerPool::SilentRequests(const Server& server, TimePoint now) const {
  const auto state = services_.find(server.entry.service);
  if (state == services_.end() || !state->second.capacity.Hangs()) return 0;
  return std::min(server.in_flight, server.silence.SilentCount(UsualTime(state->second), now));
}

Duration ServerPool::UsualTime(const ServiceState& state) {
  return state.time_us > 0 ? Duration(static_cast<std::int64_t>(state.time_us))
                           : kInitialServiceTime;
}

void ServerPool::LearnFromSilence(Server& server, TimePoint now) {
  ServiceState& state = ServiceStateOf(server.entry.service);
  for (const double held : server.silence.TakeSilent(UsualTime(state), now)) {
    ++silent_requests_;
    if (!options_.learn_hangs || !state.capacity.OnSilence(held, server.entry.slots)) continue;
    LogEvent(LogLevel::kWarning, "servers_hang_when_full",
             {{"service", server.entry.service.str()},
              {"server", server.entry.id.str()},
              {"held", held},
              {"slots", server.entry.slots},
              {"capacity", state.capacity.Capacity(server.entry.slots)}});
  }
}

bool ServerPool::RecordGivenUp(Server& server, TimePoint sent, TimePoint now) {
  const ServiceState& state = ServiceStateOf(server.entry.service);
  if (!state.capacity.Hangs()) return false;
  if (server.silence.IsSilent(sent, UsualTime(state), now)) return true;
  server.abandoned.push_back(now + UsualTime(state) * kAbandonedFactor);
  while (server.abandoned.front() <= now) server.abandoned.pop_front();
  return false;
}

AttemptContext ServerPool::OnSent(const ServerName& id, TimePoint now) {
  AttemptContext context;
  context.sent = now;
  const auto found = servers_.find(id);
  if (found == servers_.end()) return context;
  Server& server = found->second;
  context.load = LoadOf(server, now);
  context.last_resort = server.health.StateAt(now) == ServerHealth::State::kEjected;
  if (context.last_resort) ++last_resorts_;
  server.silence.OnSent(now, context.load);
  context.near_full = context.load + 1 > MaxSlots(server, options_.near_full_fraction);
  context.slowness = SlownessOf(server, ServiceStateOf(server.entry.service), now);
  context.version = server.entry.version;
  context.cold = now < server.cold_until;
  ++server.in_flight;
  ++server.sends_since_report;
  server.cold_sends.push_back(now);
  while (server.cold_sends.front() < now - std::chrono::seconds(1)) server.cold_sends.pop_front();
  return context;
}

void ServerPool::OnEnd(const ServerName& id, AttemptOutcome end, const AttemptContext& context,
                       TimePoint now) {
  const auto found = servers_.find(id);
  if (found == servers_.end()) return;
  Server& server = found->second;
  if (server.in_flight > 0) --server.in_flight;
  --server.sends_since_report;
  const bool given_up = end == AttemptOutcome::kTimedOut || end == AttemptOutcome::kCancelled;
  LearnFromSilence(server, now);
  const bool was_full = given_up && RecordGivenUp(server, context.sent, now);
  const bool answered = end == AttemptOutcome::kAnswered || end == AttemptOutcome::kServerFailure;
  if (server.silence.OnEnd(context.sent, answered)) {
    ServiceStateOf(server.entry.service).capacity.OnLateAnswer();
  }
  if (answered || end == AttemptOutcome::kShed) {
    server.last_answer = std::max(server.last_answer, now);
  }
  if (end == AttemptOutcome::kShed) {
    ServiceStateOf(server.entry.service).capacity.OnRefusal(context.load, server.entry.slots);
  }
  if (was_full) return;
  if (end == AttemptOutcome::kAnswered) {
    server.avoided_until = TimePoint();
    server.unreachable = false;
  }
  server.health.OnResult(ToHealthResult(end), context.sent, now);
  if (end == AttemptOutcome::kAnswered && context.last_resort) server.health.Readmit(now);
  const bool lost = end == AttemptOutcome::kConnectFailed || end == AttemptOutcome::kNotSent;
  if (server.health.StateAt(now) == ServerHealth::State::kHealthy) {
    if (server.health.Unreachable()) {
      EjectWithinBudget(
          server, "unreachable",
          end == AttemptOutcome::kConnectFailed || end == AttemptOutcome::kMisdirected, now);
    } else if (server.health.HasTooManyFailures() &&
               BudgetOf(server.entry.service, now).HasRoom()) {
      Eject(server, AttemptOutcomeName(end), now);
    }
  }
  if (lost) {
    server.unreachable_since = std::min(server.unreachable_since, now);
  } else if (server.unreachable_since != TimePoint::max() && end != AttemptOutcome::kCancelled) {
    // The server was unreachable and may have restarted, so it counts as cold.
    server.unreachable_since = TimePoint::max();
    MarkCold(server, now);
  }
  if (end != AttemptOutcome::kAnswered) return;
  ServiceState& state = ServiceStateOf(server.entry.service);
  const auto took = static_cast<double>(Duration(now - context.sent).count());
  // Slow machines fill up. Dividing by the slowness keeps their slowness from being attributed to
  // being full.
  state.saturation.OnResponse(
      context.near_full,
      Duration(static_cast<std::int64_t>(took / std::max(context.slowness, kMinSlowness))));
  if (state.time_us <= 0) state.time_us = took;
  state.time_us += kSmoothingWeight * (took - state.time_us);
  const double ratio = std::min(took / std::max(state.time_us, 1.0), kMaxRelativeLatency);
  server.relative_latency += kSmoothingWeight * (ratio - server.relative_latency);
}

void ServerPool::OnPeerInFlight(const ServerName& id, const HostName& host, std::uint32_t in_flight,
                                TimePoint now) {
  const auto found = servers_.find(id);
  if (found != servers_.end()) found->second.peer_in_flight[host] = {in_flight, now};
}

std::vector<std::pair<ServerName, std::uint32_t>> ServerPool::TakeInFlightCounts(TimePoint now) {
  std::vector<std::pair<ServerName, std::uint32_t>> changed;
  for (auto& [id, server] : servers_) {
    const std::uint32_t in_flight = server.in_flight - SilentRequests(server, now);
    // Non-zero counts are repeated because datagrams can be lost and receivers discard old counts.
    if (in_flight == server.reported_in_flight && in_flight == 0) continue;
    server.reported_in_flight = in_flight;
    changed.emplace_back(id, in_flight);
  }
  return changed;
}

void ServerPool::OnLoadReport(const ServerName& id, const LoadReport& report,
                              TimePoint measured_at) {
  const auto found = servers_.find(id);
  if (found == servers_.end() || measured_at < found->second.report_time) return;
  Server& server = found->second;
  server.report = report;
  server.sends_since_report = 0;
  server.report_time = measured_at;
  ServiceState& state = ServiceStateOf(server.entry.service);
  state.mean_slowness += kSmoothingWeight * (report.slowness - state.mean_slowness);
  server.silence.OnReport(report.running + report.waiting, measured_at);
  state.capacity.OnReport(report.running, report.waiting, server.entry.slots);
}

void ServerPool::OnHealthCheckEnd(const ServerName& id, bool answered, TimePoint now) {
  const auto found = servers_.find(id);
  if (found == servers_.end()) return;
  Server& server = found->second;
  if (!answered) {
    if (IsKnownBusy(server, now)) return;
    server.unreachable_since = std::min(server.unreachable_since, now);
    if (++server.unanswered_health_checks < kMaxUnansweredHealthChecks) return;
    if (server.health.StateAt(now) == ServerHealth::State::kEjected) return;
    EjectWithinBudget(server, "silent", now - server.last_answer >= kUnreachableSilence, now);
    return;
  }
  server.last_answer = std::max(server.last_answer, now);
  const bool was_silent = server.unanswered_health_checks >= kMaxUnansweredHealthChecks;
  server.unanswered_health_checks = 0;
  if (!was_silent) return;
  LogEvent(LogLevel::kInfo, "server_answers_again", {{"server", id.str()}});
  server.health.Readmit(now);
  server.unreachable = false;
  server.avoided_until = TimePoint();
  server.unreachable_since = TimePoint::max();
  MarkCold(server, now);
}

void ServerPool::OnLeavingAnnounced(const ServerName& id) {
  const auto found = servers_.find(id);
  if (found == servers_.end() || found->second.leaving_announced) return;
  found->second.leaving_announced = true;
  if (announced_leaving_.size() >= kMaxAnnouncedLeaving) announced_leaving_.clear();
  announced_leaving_[id] = found->second.entry.started_at_ms;
  LogEvent(LogLevel::kInfo, "server_leaving_announced", {{"server", id.str()}});
}

bool ServerPool::HasAnnouncedLeaving(const ServerName& id) const {
  const auto found = servers_.find(id);
  return found != servers_.end() && found->second.leaving_announced;
}

void ServerPool::OnPauseRequested(const ServerName& id, Duration pause, TimePoint now) {
  const auto found = servers_.find(id);
  if (found == servers_.end()) return;
  Server& server = found->second;
  const Duration bounded = std::min(pause, kMaxPause);
  LogEvent(LogLevel::kInfo, "server_paused",
           {{"server", id.str()},
            {"asked_ms", ToMilliseconds(pause)},
            {"paused_ms", ToMilliseconds(bounded)}});
  server.paused_until = std::max(server.paused_until, now + bounded);
}

TimePoint ServerPool::FirstPauseEnd(const ServiceName& service, TimePoint now) const {
  TimePoint first = TimePoint::max();
  const auto found = by_service_.find(service);
  if (found == by_service_.end()) return now;
  for (const ServerName& id : found->second) {
    const Server& server = servers_.at(id);
    if (server.paused_until > now && IsUsable(server, now)) {
      first = std::min(first, server.paused_until);
    }
  }
  return first == TimePoint::max() ? now : first;
}

void ServerPool::OnColdTimeLeft(const ServerName& id, Duration left, TimePoint now) {
  const auto found = servers_.find(id);
  if (found == servers_.end() || left <= Duration::zero()) return;
  found->second.cold_until = std::max(found->second.cold_until, now + left);
}

Duration ServerPool::ServiceTime(const ServiceName& service, Duration fallback) const {
  const auto found = services_.find(service);
  if (found == services_.end() || found->second.time_us <= 0) return fallback;
  return Duration(static_cast<std::int64_t>(found->second.time_us));
}

std::vector<HealthCheckTarget> ServerPool::DueHealthChecks(const HealthCheckShare& share,
                                                           TimePoint now) const {
  std::vector<HealthCheckTarget> due;
  if (share.count == 0) return due;
  for (const auto& [id, server] : servers_) {
    if (server.entry.data_centre != options_.data_centre || !IsUsable(server, now)) continue;
    if (now - server.report_time <= share.max_age || now < server.paused_until) continue;
    const auto service = services_.find(server.entry.service);
    if (service == services_.end() || service->second.service.health_path.empty()) continue;
    if (now - service->second.last_requested > kHealthCheckAfterRequest) continue;
    // A check takes a place in the queue; a full server would not answer it in time.
    if (service->second.capacity.Hangs() && LoadOf(server, now) > server.entry.slots) continue;
    if (StableHash(id.str()) % share.count != share.index) continue;
    due.push_back({id, server.entry.address, service->second.service.health_path});
  }
  return due;
}

std::optional<TimedLoadReport> ServerPool::LastLoadReport(const ServerName& id) const {
  const auto found = servers_.find(id);
  if (found == servers_.end() || found->second.report_time == TimePoint()) return std::nullopt;
  return TimedLoadReport{found->second.report, found->second.report_time};
}

bool ServerPool::IsLocal(const ServerName& id) const {
  const auto found = servers_.find(id);
  return found != servers_.end() && found->second.entry.data_centre == options_.data_centre;
}

std::string ServerPool::StateName(const ServerName& id, TimePoint now) const {
  const auto found = servers_.find(id);
  if (found == servers_.end()) return "unknown";
  const Server& server = found->second;
  if (server.entry.leaving || server.leaving_announced) return "leaving";
  if (data_centres_out_.count(server.entry.data_centre) != 0) return "out";
  if (server.health.StateAt(now) != ServerHealth::State::kHealthy) return "ejected";
  return now < server.cold_until ? "cold" : "warm";
}

std::size_t ServerPool::SlotsOf(const ServiceName& service) const {
  const auto found = by_service_.find(service);
  std::size_t slots = 0;
  if (found == by_service_.end()) return slots;
  for (const ServerName& id : found->second) slots += servers_.at(id).entry.slots;
  return slots;
}

std::map<ServiceName, std::vector<const ServerEntry*>> ServerPool::EntriesByService() const {
  std::map<ServiceName, std::vector<const ServerEntry*>> entries;
  for (const auto& [id, server] : servers_) entries[server.entry.service].push_back(&server.entry);
  return entries;
}

double ServerPool::LocalUsableShare(TimePoint now) const {
  std::size_t local = 0;
  std::size_t usable = 0;
  for (const auto& [id, server] : servers_) {
    if (server.entry.data_centre != options_.data_centre) continue;
    ++local;
    if (server.health.StateAt(now) == ServerHealth::State::kHealthy && IsUsable(server, now)) {
      ++usable;
    }
  }
  return local == 0 ? 1 : static_cast<double>(usable) / static_cast<double>(local);
}

void ServerPool::Eject(Server& server, const char* why, TimePoint now) {
  server.health.Eject(now);
  LogEvent(LogLevel::kInfo, "server_ejected",
           {{"server", server.entry.id.str()},
            {"why", why},
            {"in_flight", server.in_flight},
            {"ejected_for_ms", ToMilliseconds(server.health.TrialTime() - now)}});
}

void ServerPool::EjectWithinBudget(Server& server, const char* why, bool unreachable,
                                   TimePoint now) {
  // A server on trial is ejected already.
  const bool is_new = server.health.StateAt(now) == ServerHealth::State::kHealthy;
  if (!is_new || BudgetOf(server.entry.service, now).Decide(unreachable) ==
                     placement::EjectionVerdict::kEject) {
    server.unreachable = server.unreachable || unreachable;
    Eject(server, why, now);
    return;
  }
  if (now >= server.avoided_until) {
    LogEvent(LogLevel::kInfo, "server_avoided",
             {{"server", server.entry.id.str()},
              {"why", why},
              {"avoided_for_ms", ToMilliseconds(kAvoidTime)}});
  }
  server.avoided_until = now + kAvoidTime;
}

placement::EjectionBudget ServerPool::BudgetOf(const ServiceName& service, TimePoint now) const {
  const auto found = by_service_.find(service);
  if (found == by_service_.end()) return {0, 0};
  const auto ejected =
      std::count_if(found->second.begin(), found->second.end(), [&](const ServerName& id) {
        return servers_.at(id).health.StateAt(now) != ServerHealth::State::kHealthy;
      });
  return {found->second.size(), static_cast<std::size_t>(ejected)};
}

bool ServerPool::IsKnownBusy(const Server& server, TimePoint now) const {
  if (now - server.last_answer <= kHealthCheckTime) return true;
  const auto state = services_.find(server.entry.service);
  return state != services_.end() && state->second.capacity.Hangs() &&
         server.report.running + server.report.waiting >= server.entry.slots &&
         now - server.last_answer < kUnreachableSilence;
}

std::size_t ServerPool::HangingServices() const {
  return static_cast<std::size_t>(std::count_if(
      services_.begin(), services_.end(), [](const auto& s) { return s.second.capacity.Hangs(); }));
}

bool ServerPool::IsUsable(const Server& server, TimePoint now) const {
  if (server.entry.leaving || server.leaving_announced ||
      data_centres_out_.count(server.entry.data_centre) != 0) {
    return false;
  }
  switch (server.health.StateAt(now)) {
    case ServerHealth::State::kHealthy:
      return true;
    case ServerHealth::State::kEjected:
      return false;
    case ServerHealth::State::kTrial:
      return server.in_flight == 0;
  }
  return false;
}

/// The limit applies to all hosts together, so each host of the data centre has a share of it and
/// hosts elsewhere have none.
bool ServerPool::HasColdCapacity(const Server& server, const Service& service,
                                 TimePoint now) const {
  if (now >= server.cold_until) return true;
  if (server.entry.data_centre != options_.data_centre) return false;
  const auto recent =
      std::count_if(server.cold_sends.begin(), server.cold_sends.end(),
                    [&](TimePoint sent) { return sent > now - std::chrono::seconds(1); });
  const double cold_limit = service.cold_rate * options_.cold_overage + options_.cold_slack;
  return static_cast<double>(recent) + 1 <= cold_limit * cold_share_;
}

/// Maximum number of concurrent requests when `fraction` of the slots may be used.
double ServerPool::MaxSlots(const Server& server, double fraction) {
  return std::max(1.0, std::floor(server.entry.slots * fraction));
}

/// All slots of the server, or fewer while filling servers reduces throughput.
double ServerPool::ConcurrencyLimit(const Server& server, const ServiceState& state) const {
  const double cap = MaxSlots(server, options_.near_full_fraction);
  const bool explore = state.choices % options_.explore_interval == 0;
  if (explore || state.saturation.FillingHelps(server.entry.slots, cap)) return server.entry.slots;
  return cap;
}

double ServerPool::LoadOf(const Server& server, TimePoint now) const {
  double in_flight = server.in_flight - SilentRequests(server, now);
  for (const auto& [host, reported_count] : server.peer_in_flight) {
    if (now - reported_count.second <= kLoadReportLifetime) in_flight += reported_count.first;
  }
  if (now - server.report_time > kLoadReportLifetime) return in_flight;
  const double reported_load =
      server.report.running + server.report.waiting + server.sends_since_report;
  return std::max(reported_load, in_flight);
}

double ServerPool::SlownessOf(const Server& server, const ServiceState& state,
                              TimePoint now) const {
  const double age = std::chrono::duration<double>(now - server.report_time).count();
  const double decay_time = std::chrono::duration<double>(options_.slowness_decay_time).count();
  const double weight = std::exp(-std::max(age, 0.0) / decay_time);
  return state.mean_slowness + weight * (server.report.slowness - state.mean_slowness);
}

Duration ServerPool::ExpectedLatency(const Server& server, const ServiceState& state,
                                     TimePoint now) const {
  const double slots = std::max(1U, server.entry.slots);
  const double load = LoadOf(server, now);
  const double usual_time =
      state.time_us > 0 ? state.time_us : static_cast<double>(kInitialServiceTime.count());
  double work = usual_time / std::max(state.mean_slowness, kMinSlowness) *
                std::max(server.relative_latency, 0.2) * SlownessOf(server, state, now);
  if (now < server.cold_until) work *= 2;
  if (load + 1 > MaxSlots(server, options_.near_full_fraction)) work *= state.saturation.Slowdown();
  // A small term prefers the less loaded of two servers of the same speed.
  const double spread = usual_time * 0.1 * load / slots;
  Duration expected(static_cast<std::int64_t>(work + spread));
  if (server.entry.data_centre != options_.data_centre && !options_.spill) {
    expected += options_.remote_penalty;
  }
  if (now < server.avoided_until) expected += kAvoidPenalty;
  return expected;
}

void ServerPool::MarkCold(Server& server, TimePoint now) {
  const Duration cold_time = ServiceStateOf(server.entry.service).service.cold_time;
  server.cold_until = std::max(server.cold_until, now + cold_time);
}

}  // namespace mulberry::gateway
