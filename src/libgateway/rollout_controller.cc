#include "libgateway/rollout_controller.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mulberry::gateway {
namespace {

/// Hash seed of the halves of a version's servers, so that they differ from other uses of the hash.
constexpr std::uint64_t kHalfSeed = 0x726f6c;
/// Servers of a data centre that get the canary requests at least, one of each half.
constexpr std::size_t kMinCanaryServers = 2;
/// A host whose reports have not been answered for this long also asks the host next in rank: in
/// other data centres, the loss of a host is noticed late.
constexpr Duration kUnansweredTime = std::chrono::milliseconds(700);

rollout::ServerGroup HalfOf(const ServerName& id) {
  return StableHash(id.str(), kHalfSeed) % 2 == 0 ? rollout::ServerGroup::kTargetFirstHalf
                                                  : rollout::ServerGroup::kTargetSecondHalf;
}

rollout::State ToState(rollout::Phase phase) {
  if (phase == rollout::Phase::kCompleted) return rollout::State::kCompleted;
  return phase == rollout::Phase::kRolledBack ? rollout::State::kRolledBack
                                              : rollout::State::kRunning;
}

/// The state after the end of an order that another one replaces.
rollout::Status FinalStatus(const rollout::HostRollout& order) {
  const bool completes = order.phase() == rollout::Phase::kCommit;
  return {order.order().service, order.order().target,
          completes ? rollout::State::kCompleted : ToState(order.phase()), order.reason()};
}

}  // namespace

RolloutController::RolloutController(Parts parts)
    : parts_(std::move(parts)),
      status_log_(parts_.store, parts_.adapter,
                  [this](const rollout::Status& status) { OnRecorded(status); }) {}

void RolloutController::OnOperatorUpdate(const OperatorUpdate& update, TimePoint now) {
  if (const auto* order = std::get_if<RolloutUpdate>(&update)) OnOrder(order->order, now);
  if (const auto* withdrawn = std::get_if<RolloutWithdrawnUpdate>(&update)) {
    OnWithdrawn(withdrawn->service);
  }
  if (const auto* invalid = std::get_if<InvalidRolloutUpdate>(&update)) OnInvalid(*invalid);
}

void RolloutController::OnOrder(const rollout::Order& order, TimePoint now) {
  ServiceState& state = services_[order.service];
  state.invalid.reset();
  if (state.order && state.order->order().target == order.target) {
    LogEvent(LogLevel::kInfo, "rollout_repeated",
             {{"service", order.service.str()},
              {"target", order.target.str()},
              {"phase", rollout::PhaseName(state.order->phase())}});
    return;
  }
  if (state.order) {
    state.order->Cancel("replaced by an order of version " + order.target.str());
    const rollout::Status last = FinalStatus(*state.order);
    if (last.state == rollout::State::kCompleted) state.in_force = last.target;
    if (!state.order->recorded()) replaced_.push_back(last);
  }
  LogEvent(LogLevel::kInfo, "rollout_ordered",
           {{"service", order.service.str()},
            {"target", order.target.str()},
            {"in_force", state.in_force.str()},
            {"duration_ms", ToMilliseconds(order.duration)}});
  state.order.emplace(order, now);
  state.coordinator.reset();
  state.logged_phase = rollout::Phase::kCanary;
  state.acknowledged = false;
  state.answered_at = now;
  OnServersChanged();
}

void RolloutController::OnWithdrawn(const ServiceName& service) {
  const auto found = services_.find(service);
  if (found == services_.end()) return;
  found->second.invalid.reset();
  if (!found->second.order) return;
  LogEvent(LogLevel::kInfo, "rollout_withdrawn",
           {{"service", service.str()},
            {"target", found->second.order->order().target.str()},
            {"phase", rollout::PhaseName(found->second.order->phase())}});
  found->second.order->Cancel("the order was withdrawn");
  if (found->second.coordinator) found->second.coordinator->Cancel("the order was withdrawn");
}

void RolloutController::OnInvalid(const InvalidRolloutUpdate& update) {
  LogEvent(LogLevel::kWarning, "rollout_order_invalid",
           {{"service", update.service.str()},
            {"target", update.target.str()},
            {"problem", update.problem}});
  services_[update.service].invalid = update;
}

void RolloutController::OnServersChanged() {
  const auto entries = parts_.pool.EntriesByService();
  for (const auto& [service, servers] : entries) UpdateVersions(service, servers);
  for (auto& [service, state] : services_) {
    if (!entries.contains(service)) state.target_servers = 0;
  }
}

void RolloutController::UpdateVersions(const ServiceName& service,
                                       const std::vector<const ServerEntry*>& entries) {
  ServiceState& state = services_[service];
  rollout::VersionCounts counts;
  for (const ServerEntry* entry : entries) {
    if (!entry->leaving) ++counts[entry->version];
  }
  const rollout::Phase phase = state.order ? state.order->phase() : rollout::Phase::kCompleted;
  const ServerVersion target = state.order ? state.order->order().target : ServerVersion();
  const auto of_target = counts.find(target);
  state.target_servers = of_target == counts.end() ? 0 : of_target->second;
  if (phase == rollout::Phase::kRolledBack) counts.erase(target);
  if (state.order && phase == rollout::Phase::kCompleted && state.target_servers > 0) {
    state.in_force = target;
  }
  state.usable = rollout::ChooseInForce(counts, state.in_force, target);
  if ((state.in_force.empty() || rollout::IsFinal(phase)) && state.usable != state.in_force) {
    LogEvent(LogLevel::kInfo, "version_in_force",
             {{"service", service.str()},
              {"version", state.usable.str()},
              {"before", state.in_force.str()}});
    state.in_force = state.usable;
  }
  ChooseCanaryServers(state, entries);
}

/// Chooses servers in the order of their hashes, alternating between the halves.
void RolloutController::ChooseCanaryServers(ServiceState& state,
                                            const std::vector<const ServerEntry*>& entries) const {
  state.canary_servers.clear();
  if (!state.order || state.order->phase() != rollout::Phase::kCanary) return;
  std::map<DataCentreName, std::vector<const ServerEntry*>> by_data_centre;
  for (const ServerEntry* entry : entries) {
    if (entry->version == state.order->order().target && !entry->leaving) {
      by_data_centre[entry->data_centre].push_back(entry);
    }
  }
  for (auto& [data_centre, servers] : by_data_centre) {
    const auto share = static_cast<std::size_t>(
        std::ceil(parts_.limits.canary_share * static_cast<double>(servers.size())));
    const std::size_t count = std::max(kMinCanaryServers, share);
    std::sort(servers.begin(), servers.end(), [](const ServerEntry* a, const ServerEntry* b) {
      return StableHash(a->id.str()) < StableHash(b->id.str());
    });
    std::map<rollout::ServerGroup, std::size_t> chosen;
    for (const ServerEntry* entry : servers) {
      std::size_t& of_half = chosen[HalfOf(entry->id)];
      if (of_half >= (count + 1) / 2) continue;
      ++of_half;
      state.canary_servers.insert(entry->id);
    }
  }
}

void RolloutController::OnStoreEra(StoreEra era) {
  if (!status_log_.OnEra(era)) return;
  for (auto& [service, state] : services_) state.acknowledged = false;
}

void RolloutController::OnRecorded(const rollout::Status& status) {
  std::erase_if(replaced_, [&](const rollout::Status& replaced) {
    return replaced.service == status.service && replaced.target == status.target;
  });
  const auto found = services_.find(status.service);
  if (found == services_.end() || !found->second.order) return;
  ServiceState& state = found->second;
  const bool is_final = status.state != rollout::State::kRunning;
  if (!is_final || state.order->order().target != status.target || state.order->recorded()) return;
  LogEvent(LogLevel::kInfo, "rollout_recorded",
           {{"service", status.service.str()},
            {"target", status.target.str()},
            {"state", rollout::StateName(status.state)},
            {"decided_here", rollout::PhaseName(state.order->phase())},
            {"reason", status.reason}});
  state.order->OnRecorded(status.state, status.reason);
  if (state.coordinator) state.coordinator->OnRecorded(status.state, status.reason);
  OnServersChanged();
}

void RolloutController::OnPeerMessage(const PeerMessage& message, TimePoint now) {
  if (message.rollout_report) OnReport(message, now);
  if (!message.rollout_state) return;
  const auto found = services_.find(message.rollout_state->service);
  if (found == services_.end() || !found->second.order) return;
  if (message.heartbeat.record.host == coordinator_host_ && message.rollout_state->recorded &&
      message.rollout_state->target == found->second.order->order().target) {
    found->second.acknowledged = true;
  }
  ApplyState(found->second, *message.rollout_state, now);
}

void RolloutController::OnReport(const PeerMessage& message, TimePoint now) {
  const rollout::Report& report = *message.rollout_report;
  const auto found = services_.find(report.order.service);
  if (found == services_.end() || !found->second.order) return;
  ServiceState& state = found->second;
  if (state.order->order().target != report.order.target) return;
  PeerMessage answer;
  if (state.coordinator) {
    const HostName& host = message.heartbeat.record.host;
    state.coordinator->OnReport(host, message.heartbeat.start, report, now);
    answer.rollout_state = state.coordinator->AnswerTo(host, message.heartbeat.start, now);
  } else if (state.order->recorded()) {
    answer.rollout_state = rollout::StateUpdate{report.order.service, report.order.target,
                                                state.order->phase(), true, state.order->reason()};
    answer.rollout_state->host_time = report.host_time;
  } else {
    return;
  }
  parts_.send(std::move(answer), message.heartbeat.record.peer_address);
}

void RolloutController::ApplyState(ServiceState& state, const rollout::StateUpdate& update,
                                   TimePoint now) {
  state.answered_at = now;
  if (!state.order->OnState(update, now)) return;
  LogEvent(LogLevel::kInfo, "rollout_state",
           {{"service", update.service.str()},
            {"target", update.target.str()},
            {"phase", rollout::PhaseName(update.phase)},
            {"recorded", update.recorded},
            {"reason", update.reason},
            {"sent_here", state.order->sent()}});
  OnServersChanged();
}

std::uint32_t RolloutController::OthersInFlight(const ServiceState& state) {
  std::uint32_t count = 0;
  for (const auto& [version, in_flight] : state.in_flight) {
    if (version != state.order->order().target) count += in_flight;
  }
  return count;
}

void RolloutController::SendReport(ServiceState& state, const std::vector<RankedHost>& ranked,
                                   TimePoint now) {
  if (state.order->recorded() && state.acknowledged) return;
  const bool unanswered = now - state.answered_at > kUnansweredTime;
  for (std::size_t i = 0; i < ranked.size(); ++i) {
    if (ranked[i].is_self || (i > 0 && !unanswered)) continue;
    PeerMessage message;
    message.rollout_report = state.order->MakeReport(OthersInFlight(state), now);
    parts_.send(std::move(message), ranked[i].peer_address);
  }
}

void RolloutController::TickCoordinator(ServiceState& state, TimePoint now) {
  rollout::Coordinator& coordinator = *state.coordinator;
  coordinator.OnReport(parts_.self, parts_.start,
                       state.order->MakeReport(OthersInFlight(state), now), now);
  coordinator.Tick(state.target_servers, now);
  if (coordinator.phase() != state.logged_phase) {
    LogEvent(LogLevel::kInfo, "rollout_phase",
             {{"service", coordinator.order().service.str()},
              {"target", coordinator.order().target.str()},
              {"phase", rollout::PhaseName(coordinator.phase())},
              {"before", rollout::PhaseName(state.logged_phase)},
              {"evidence", coordinator.reason()},
              {"requests", coordinator.seen()},
              {"exposed", coordinator.exposed()},
              {"target_servers", state.target_servers},
              {"after_ms", ToMilliseconds(now - state.order->seen_at())}});
    state.logged_phase = coordinator.phase();
  }
  ApplyState(state, coordinator.AnswerTo(parts_.self, parts_.start, now), now);
}

void RolloutController::Tick(bool store_reachable, TimePoint now) {
  const bool any = std::any_of(services_.begin(), services_.end(), [](const auto& entry) {
    return entry.second.order || entry.second.invalid;
  });
  if (!any) return;
  OnServersChanged();
  const std::vector<RankedHost> ranked = parts_.fleet.FirstRanked(2, now);
  if (ranked.empty()) return;
  if (ranked.front().host != coordinator_host_ || ranked.front().start != coordinator_start_) {
    LogEvent(LogLevel::kInfo, "rollout_coordinator",
             {{"host", ranked.front().host.str()}, {"before", coordinator_host_.str()}});
    coordinator_host_ = ranked.front().host;
    coordinator_start_ = ranked.front().start;
    for (auto& [service, state] : services_) state.acknowledged = false;
  }
  const bool is_coordinator = ranked.front().is_self;
  const bool may_decide = status_log_.known() || !store_reachable;
  for (auto& [service, state] : services_) {
    if (!state.order) continue;
    if (!is_coordinator) {
      state.coordinator.reset();
      SendReport(state, ranked, now);
      continue;
    }
    if (!state.coordinator && !state.order->recorded() && may_decide) {
      state.coordinator.emplace(state.order->order(), parts_.limits, state.order->seen_at(),
                                state.in_force == state.order->order().target, now);
    }
    if (state.coordinator) TickCoordinator(state, now);
  }
  if (is_coordinator) status_log_.Tick(WantedStatuses(), now);
}

std::optional<rollout::Status> RolloutController::WantedStatus(const ServiceName& service,
                                                               const ServiceState& state) const {
  std::optional<rollout::Status> wanted;
  if (state.order) {
    wanted = rollout::Status{service, state.order->order().target, ToState(state.order->phase()),
                             state.order->reason()};
  }
  if (!state.invalid) return wanted;
  const std::string problem = "an invalid order was ignored: " + state.invalid->problem;
  if (!wanted) {
    const rollout::Status* held = status_log_.Find(service);
    const bool keeps =
        held != nullptr && (state.invalid->target.empty() || held->target == state.invalid->target);
    wanted = keeps
                 ? *held
                 : rollout::Status{service, state.invalid->target, rollout::State::kRolledBack, ""};
  }
  wanted->reason = problem;
  return wanted;
}

std::deque<rollout::Status> RolloutController::WantedStatuses() const {
  std::deque<rollout::Status> wanted = replaced_;
  for (const auto& [service, state] : services_) {
    const bool waits = std::any_of(replaced_.begin(), replaced_.end(),
                                   [&service = service](const rollout::Status& replaced) {
                                     return replaced.service == service;
                                   });
    if (waits) continue;
    if (auto status = WantedStatus(service, state)) wanted.push_back(std::move(*status));
  }
  return wanted;
}

void RolloutController::OnRequest(const ServiceName& service) {
  const auto found = services_.find(service);
  if (found != services_.end() && found->second.order) found->second.order->OnRequest();
}

std::variant<NoServerReason, Selection> RolloutController::Select(SelectionRequest request,
                                                                  const std::string& route,
                                                                  bool first_attempt,
                                                                  TimePoint now) const {
  const auto found = services_.find(request.service);
  if (found == services_.end() || found->second.usable.empty()) {
    return parts_.pool.Select(request, now);
  }
  const ServiceState& state = found->second;
  const rollout::Use use = state.order
                               ? state.order->UseFor(route, first_attempt && !request.hedge, now)
                               : rollout::Use::kOther;
  const ServerVersion target = state.order ? state.order->order().target : ServerVersion();
  // After its end, a version that has been replaced under a new version string is left like any
  // other.
  const bool is_over = state.order && state.order->phase() == rollout::Phase::kCompleted;
  if (!is_over && (use == rollout::Use::kTargetFirst || use == rollout::Use::kTargetOnly)) {
    const bool in_canary = state.order->phase() == rollout::Phase::kCanary;
    const std::function<bool(const ServerEntry&)> accepts = [&](const ServerEntry& entry) {
      return entry.version == target && (!in_canary || state.canary_servers.contains(entry.id));
    };
    request.accepts = &accepts;
    auto choice = parts_.pool.Select(request, now);
    if (use == rollout::Use::kTargetOnly || std::holds_alternative<Selection>(choice)) {
      return choice;
    }
  }
  const std::function<bool(const ServerEntry&)> accepts = [&](const ServerEntry& entry) {
    // Of the versions that may be used after the target was taken back, another one may have been
    // taken back before.
    return entry.version == state.usable &&
           (use != rollout::Use::kNotTarget || entry.version != target);
  };
  request.accepts = &accepts;
  return parts_.pool.Select(request, now);
}

void RolloutController::OnSent(const ServiceName& service, const std::string& route,
                               const AttemptContext& context) {
  ServiceState& state = services_[service];
  ++state.in_flight[context.version];
  if (state.order && state.order->order().target == context.version) {
    state.order->OnSentToTarget(route);
  }
}

void RolloutController::OnEnd(const RolloutAttempt& attempt, const AttemptContext& context,
                              AttemptOutcome end, TimePoint now) {
  parts_.metrics.OnVersionAttempt(attempt.service, context.version, AttemptOutcomeName(end));
  ServiceState& state = services_[attempt.service];
  std::uint32_t& in_flight = state.in_flight[context.version];
  if (--in_flight == 0) state.in_flight.erase(context.version);
  if (!state.order || context.cold || context.sent < state.order->seen_at()) return;
  const bool responded = end == AttemptOutcome::kAnswered ||
                         end == AttemptOutcome::kServerFailure || end == AttemptOutcome::kTimedOut;
  if (!responded) return;
  const bool of_target = context.version == state.order->order().target;
  // The few servers of the target leave no choice of a fast machine, so a machine that was known to
  // be slow must not count against the version.
  const double slowness = std::max(1.0, context.slowness);
  const Duration took = std::chrono::duration_cast<Duration>((now - context.sent) / slowness);
  state.order->OnResponse(attempt.route,
                          of_target ? HalfOf(attempt.server) : rollout::ServerGroup::kOther,
                          end == AttemptOutcome::kServerFailure, took);
}

}  // namespace mulberry::gateway
