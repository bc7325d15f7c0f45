#include "libgateway/server_pool.h"

#include <algorithm>
#include <cmath>

namespace mulberry::gateway {
namespace {

/// Answer time of a service of which nothing is known yet.
constexpr Duration kFirstServiceTime = std::chrono::milliseconds(50);
/// Weight of a new sample in smoothed figures.
constexpr double kSmoothing = 1.0 / 16;
/// After this time without a report, only this host's own requests are counted as load.
constexpr Duration kReportLife = std::chrono::milliseconds(400);
/// Health checks in a row without an answer that tell that a server is away.
constexpr std::uint32_t kSilentProbes = 2;
/// When more of a service's servers than this part answer with errors, avoiding them makes it
/// worse.
constexpr double kMostEjectedPart = 0.34;
/// Bounds what a report of an unusually fast machine can do.
constexpr double kLeastSlowness = 0.1;
/// A service that was not asked for within this time is not checked.
constexpr Duration kProbeAfterRequest = std::chrono::seconds(1);
/// Bounds of a server's speed relative to its service, against outliers.
constexpr double kMostSpeedFactor = 20;

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
  }
  return "unknown";
}

ServerPool::ServerPool(PoolOptions options)
    : options_(std::move(options)),
      random_(static_cast<std::minstd_rand::result_type>(options_.random_seed)) {}

void ServerPool::SetServices(const std::map<ServiceName, Service>& services) {
  for (const auto& [name, service] : services) StateOf(name).service = service;
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
  const bool changed = is_new || restarted || server.entry.service != entry.service ||
                       server.entry.address != entry.address ||
                       server.entry.leaving != entry.leaving || server.entry.slots != entry.slots ||
                       server.entry.data_centre != entry.data_centre ||
                       entry.cold_time_left > Duration::zero();
  server.entry = entry;
  if (restarted) {
    server.health = ServerHealth(kHealthLimits);
    server.speed = 1;
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
    out_.insert(data_centre);
    return;
  }
  if (out_.erase(data_centre) == 0) return;
  for (auto& [id, server] : servers_) {
    if (server.entry.data_centre == data_centre) MarkCold(server, now);
  }
}

std::variant<NoServerReason, Selection> ServerPool::Select(const SelectionRequest& question,
                                                           TimePoint now) {
  ServiceState& state = StateOf(question.service);
  state.asked = now;
  ++state.choices;
  Server* best = nullptr;
  Duration best_expected = Duration::max();
  NoServerReason reason = NoServerReason::kNoServer;
  std::uint32_t equals = 0;
  for (const ServerName& id : by_service_[question.service]) {
    Server& server = servers_.at(id);
    if (question.tried.count(id) != 0 || !Usable(server, now)) continue;
    const bool on_trial = server.health.StateAt(now) == ServerHealth::State::kTrial;
    if (on_trial && !question.idempotent) continue;
    const bool spare_only = question.hedge || server.entry.data_centre != options_.data_centre;
    if (LoadOf(server, now) >=
        (spare_only ? LimitOf(server, options_.spare_load_fraction) : UsualLimit(server, state))) {
      reason = NoServerReason::kAllBusy;
      continue;
    }
    if (!HasColdRoom(server, state.service, now)) {
      if (reason == NoServerReason::kNoServer) reason = NoServerReason::kAllCold;
      continue;
    }
    const Duration expected = ExpectedAt(server, state, now);
    // Servers within a millisecond of each other are equal; one of them is taken at random.
    if (best != nullptr && expected >= best_expected + std::chrono::milliseconds(1)) continue;
    const bool clearly = best == nullptr || expected + std::chrono::milliseconds(1) < best_expected;
    equals = clearly ? 1 : equals + 1;
    if (!clearly && random_() % equals != 0) continue;
    best = &server;
    best_expected = expected;
  }
  if (best == nullptr) return reason;
  Selection choice;
  choice.id = best->entry.id;
  choice.address = best->entry.address;
  choice.expected = best_expected;
  choice.load = LoadOf(*best, now);
  choice.slowness = SlownessOf(*best, state, now);
  choice.report_age = now - best->reported;
  choice.cold = now < best->cold_until;
  return choice;
}

AttemptContext ServerPool::OnSent(const ServerName& id, TimePoint now) {
  AttemptContext context{now, false, 1};
  const auto found = servers_.find(id);
  if (found == servers_.end()) return context;
  Server& server = found->second;
  context.near_full = LoadOf(server, now) + 1 > LimitOf(server, options_.near_full_fraction);
  context.slowness = SlownessOf(server, StateOf(server.entry.service), now);
  ++server.in_flight;
  ++server.since_report;
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
  --server.since_report;
  server.health.OnResult(ToHealthResult(end), context.sent, now);
  const bool lost = end == AttemptOutcome::kConnectFailed || end == AttemptOutcome::kNotSent;
  if (server.health.StateAt(now) == ServerHealth::State::kHealthy) {
    if (server.health.Unreachable()) {
      Eject(server, "unreachable", now);
    } else if (server.health.HasTooManyFailures() && !TooManyEjected(server.entry.service, now)) {
      Eject(server, AttemptOutcomeName(end), now);
    }
  }
  if (lost) {
    server.lost_since = std::min(server.lost_since, now);
  } else if (server.lost_since != TimePoint::max() && end != AttemptOutcome::kCancelled) {
    // It was away and is back: it has started anew, or may have.
    server.lost_since = TimePoint::max();
    MarkCold(server, now);
  }
  if (end != AttemptOutcome::kAnswered) return;
  ServiceState& state = StateOf(server.entry.service);
  const auto took = static_cast<double>(Duration(now - context.sent).count());
  // Servers on slow machines fill up; without this they would be taken for slow because full.
  state.knee.OnAnswer(
      context.near_full,
      Duration(static_cast<std::int64_t>(took / std::max(context.slowness, kLeastSlowness))));
  if (state.time_us <= 0) state.time_us = took;
  state.time_us += kSmoothing * (took - state.time_us);
  const double ratio = std::min(took / std::max(state.time_us, 1.0), kMostSpeedFactor);
  server.speed += kSmoothing * (ratio - server.speed);
}

void ServerPool::OnPeerInFlight(const ServerName& id, const HostName& host, std::uint32_t in_flight,
                                TimePoint now) {
  const auto found = servers_.find(id);
  if (found != servers_.end()) found->second.others[host] = {in_flight, now};
}

std::vector<std::pair<ServerName, std::uint32_t>> ServerPool::TakeInFlightCounts() {
  std::vector<std::pair<ServerName, std::uint32_t>> changed;
  for (auto& [id, server] : servers_) {
    // What is not zero is told again, for datagrams get lost and others forget what is old.
    if (server.in_flight == server.told_in_flight && server.in_flight == 0) continue;
    server.told_in_flight = server.in_flight;
    changed.emplace_back(id, server.in_flight);
  }
  return changed;
}

void ServerPool::OnLoadReport(const ServerName& id, const LoadReport& report,
                              TimePoint measured_at) {
  const auto found = servers_.find(id);
  if (found == servers_.end() || measured_at < found->second.reported) return;
  Server& server = found->second;
  server.report = report;
  server.since_report = 0;
  server.reported = measured_at;
  ServiceState& state = StateOf(server.entry.service);
  state.mean_slowness += kSmoothing * (report.slowness - state.mean_slowness);
}

void ServerPool::OnHealthCheckEnd(const ServerName& id, bool answered, TimePoint now) {
  const auto found = servers_.find(id);
  if (found == servers_.end()) return;
  Server& server = found->second;
  if (!answered) {
    server.lost_since = std::min(server.lost_since, now);
    if (++server.silent_probes < kSilentProbes) return;
    if (server.health.StateAt(now) != ServerHealth::State::kEjected) Eject(server, "silent", now);
    return;
  }
  const bool was_silent = server.silent_probes >= kSilentProbes;
  server.silent_probes = 0;
  if (!was_silent) return;
  LogEvent(LogLevel::kInfo, "server_answers_again", {{"server", id.str()}});
  server.health.Readmit(now);
  server.lost_since = TimePoint::max();
  MarkCold(server, now);
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
    if (server.entry.data_centre != options_.data_centre || !Usable(server, now)) continue;
    if (now - server.reported <= share.max_age) continue;
    const auto service = services_.find(server.entry.service);
    if (service == services_.end() || service->second.service.health_path.empty()) continue;
    if (now - service->second.asked > kProbeAfterRequest) continue;
    if (StableHash(id.str()) % share.count != share.index) continue;
    due.push_back({id, server.entry.address, service->second.service.health_path});
  }
  return due;
}

std::optional<TimedLoadReport> ServerPool::LastLoadReport(const ServerName& id) const {
  const auto found = servers_.find(id);
  if (found == servers_.end() || found->second.reported == TimePoint()) return std::nullopt;
  return TimedLoadReport{found->second.report, found->second.reported};
}

bool ServerPool::IsLocal(const ServerName& id) const {
  const auto found = servers_.find(id);
  return found != servers_.end() && found->second.entry.data_centre == options_.data_centre;
}

std::string ServerPool::StateName(const ServerName& id, TimePoint now) const {
  const auto found = servers_.find(id);
  if (found == servers_.end()) return "unknown";
  const Server& server = found->second;
  if (server.entry.leaving) return "leaving";
  if (out_.count(server.entry.data_centre) != 0) return "out";
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

double ServerPool::LocalUsableShare(TimePoint now) const {
  std::size_t local = 0;
  std::size_t usable = 0;
  for (const auto& [id, server] : servers_) {
    if (server.entry.data_centre != options_.data_centre) continue;
    ++local;
    if (server.health.StateAt(now) == ServerHealth::State::kHealthy && Usable(server, now)) {
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
            {"for_ms", ToMilliseconds(server.health.TrialTime() - now)}});
}

bool ServerPool::TooManyEjected(const ServiceName& service, TimePoint now) const {
  const auto found = by_service_.find(service);
  if (found == by_service_.end()) return false;
  const auto ejected =
      std::count_if(found->second.begin(), found->second.end(), [&](const ServerName& id) {
        return servers_.at(id).health.StateAt(now) != ServerHealth::State::kHealthy;
      });
  return static_cast<double>(ejected) + 1 >
         kMostEjectedPart * static_cast<double>(found->second.size());
}

bool ServerPool::Usable(const Server& server, TimePoint now) const {
  if (server.entry.leaving || out_.count(server.entry.data_centre) != 0) return false;
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

/// The bound holds over all hosts, so each one has a share of it and other data centres have none.
bool ServerPool::HasColdRoom(const Server& server, const Service& service, TimePoint now) const {
  if (now >= server.cold_until) return true;
  if (server.entry.data_centre != options_.data_centre) return false;
  const auto recent =
      std::count_if(server.cold_sends.begin(), server.cold_sends.end(),
                    [&](TimePoint sent) { return sent > now - std::chrono::seconds(1); });
  const double borne = service.cold_rate * options_.cold_overage + options_.cold_slack;
  return static_cast<double>(recent) + 1 <= borne * cold_share_;
}

/// Requests that a server may have at once.
double ServerPool::LimitOf(const Server& server, double part) {
  return std::max(1.0, std::floor(server.entry.slots * part));
}

/// A server's own slots, or fewer where full servers do less in all.
double ServerPool::UsualLimit(const Server& server, const ServiceState& service) const {
  const double spare = LimitOf(server, options_.near_full_fraction);
  const bool explores = service.choices % options_.explore_interval == 0;
  if (explores || service.knee.FullPays(server.entry.slots, spare)) return server.entry.slots;
  return spare;
}

double ServerPool::LoadOf(const Server& server, TimePoint now) const {
  double in_flight = server.in_flight;
  for (const auto& [host, told] : server.others) {
    if (now - told.second <= kReportLife) in_flight += told.first;
  }
  if (now - server.reported > kReportLife) return in_flight;
  const double reported = server.report.running + server.report.waiting + server.since_report;
  return std::max(reported, in_flight);
}

double ServerPool::SlownessOf(const Server& server, const ServiceState& service,
                              TimePoint now) const {
  const double age = std::chrono::duration<double>(now - server.reported).count();
  const double life = std::chrono::duration<double>(options_.slowness_decay_time).count();
  const double trust = std::exp(-std::max(age, 0.0) / life);
  return service.mean_slowness + trust * (server.report.slowness - service.mean_slowness);
}

Duration ServerPool::ExpectedAt(const Server& server, const ServiceState& service,
                                TimePoint now) const {
  const double slots = std::max(1U, server.entry.slots);
  const double load = LoadOf(server, now);
  const double base =
      service.time_us > 0 ? service.time_us : static_cast<double>(kFirstServiceTime.count());
  double work = base / std::max(service.mean_slowness, kLeastSlowness) *
                std::max(server.speed, 0.2) * SlownessOf(server, service, now);
  if (now < server.cold_until) work *= 2;
  if (load + 1 > LimitOf(server, options_.near_full_fraction)) work *= service.knee.Factor();
  // A small term prefers the emptier of two servers of the same speed.
  const double spread = base * 0.1 * load / slots;
  Duration expected(static_cast<std::int64_t>(work + spread));
  if (server.entry.data_centre != options_.data_centre) expected += options_.remote_penalty;
  return expected;
}

void ServerPool::MarkCold(Server& server, TimePoint now) {
  const Duration cold_time = StateOf(server.entry.service).service.cold_time;
  server.cold_until = std::max(server.cold_until, now + cold_time);
}

}  // namespace mulberry::gateway
