#include "libpolicy/server_table.h"

#include <algorithm>
#include <utility>

namespace mulberry {
namespace {

constexpr Duration kAbsentRetention = std::chrono::minutes(10);
// A request waits for another server only if the wait is shorter than the slow server's delay
// divided by this number. The estimate can be wrong, and an unused slot is lost capacity.
constexpr int kMaxWaitDivisor = 20;
// Weight of recent failures in the cost of a server. Without it a server that fails fast would
// always be chosen, because it has few requests in flight.
constexpr double kFailureRateCost = 4.0;
// Minimum time between two checks of a request that waits for a faster server.
constexpr Duration kWaitRecheck = std::chrono::milliseconds(5);
// Answers with errors eject a server only if its failure rate exceeds the mean rate of the other
// servers by this much. Otherwise the requests are the likely cause.
constexpr double kMinFailureRateExcess = 0.2;

bool Contains(const std::vector<BackendServer*>* servers, const BackendServer* server) {
  return servers != nullptr &&
         std::find(servers->begin(), servers->end(), server) != servers->end();
}

/// The best server of each kind found while the table is scanned.
struct Candidates {
  BackendServer* best = nullptr;
  BackendServer* suspected = nullptr;
  BackendServer* trial = nullptr;
  double best_cost = 0;
  Duration suspected_delay{};
  /// Attempts in flight on servers that are not suspected slow. Their slots are free soon.
  std::uint32_t healthy_in_flight = 0;

  void AddHealthy(BackendServer* server, double cost) {
    if (best != nullptr && cost >= best_cost) return;
    best = server;
    best_cost = cost;
  }
  void AddSuspected(BackendServer* server, Duration delay) {
    if (suspected != nullptr && delay >= suspected_delay) return;
    suspected = server;
    suspected_delay = delay;
  }
};

/// True when another server is likely to have a free slot long before the suspected server would
/// finish the request.
bool WaitingIsFaster(const Candidates& found, const PickCriteria& criteria) {
  if (found.healthy_in_flight == 0) return false;
  const auto waiting = static_cast<std::int64_t>(criteria.queued);
  const Duration wait = criteria.service_time * waiting / found.healthy_in_flight;
  return wait * kMaxWaitDivisor < found.suspected_delay;
}

}  // namespace

void ServerTable::SetServers(std::vector<ServerInfo> servers, TimePoint now) {
  std::vector<BackendServer*> listed;
  for (ServerInfo& info : servers) {
    BackendServer* known = Find(info.name);
    if (known == nullptr) {
      servers_.push_back(std::make_unique<BackendServer>(*options_, std::move(info), now));
      known = servers_.back().get();
    } else {
      known->Update(std::move(info), now);
    }
    listed.push_back(known);
  }
  for (const auto& server : servers_) {
    if (!Contains(&listed, server.get())) server->SetAbsent(now);
  }
  RemoveExpiredAbsent(now);
  UpdateSlots();
}

void ServerTable::MarkAllUnverified(TimePoint now) {
  for (const auto& server : servers_) server->MarkUnverified(now);
}

std::vector<ServerHandover> ServerTable::Handovers() const {
  std::vector<ServerHandover> handovers;
  for (const auto& server : servers_) {
    ServerHandover handover = server->Handover();
    if (!server->absent() && handover.start != StartId()) handovers.push_back(std::move(handover));
  }
  std::sort(handovers.begin(), handovers.end());
  return handovers;
}

void ServerTable::ApplyHandovers(const std::vector<ServerHandover>& handovers, TimePoint now) {
  for (const ServerHandover& handover : handovers) {
    if (BackendServer* server = Find(handover.name)) server->ApplyHandover(handover, now);
  }
}

BackendServer* ServerTable::Pick(const PickCriteria& criteria, LimitShare share, TimePoint now) {
  const bool avoid_tried = criteria.tried != nullptr && !criteria.tried->empty() &&
                           (criteria.healthy_only || AnyUntried(*criteria.tried, share, now));
  Candidates found;
  scan_start_ = servers_.empty() ? 0 : (scan_start_ + 1) % servers_.size();
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    const std::size_t index = scan_start_ + i;
    BackendServer* server =
        servers_[index < servers_.size() ? index : index - servers_.size()].get();
    server->Advance(now);
    const std::uint32_t limit = server->Limit(share, now);
    const bool suspected = server->SuspectedSlow(now);
    if (server->in_flight() >= limit) {
      if (!suspected) found.healthy_in_flight += server->in_flight();
      continue;
    }
    if (avoid_tried && Contains(criteria.tried, server)) continue;
    if (server->health().StateAt(now) == ServerHealth::State::kTrial) {
      found.trial = server;
    } else if (suspected || server->failing()) {
      found.AddSuspected(server, server->ExpectedDelay(now));
    } else {
      found.healthy_in_flight += server->in_flight();
      const double load = static_cast<double>(server->in_flight()) / limit;
      found.AddHealthy(server, load + server->Slowness(now) +
                                   kFailureRateCost * server->health().RecentFailureRate(now));
    }
  }
  if (criteria.healthy_only) return found.best;
  if (found.trial != nullptr && criteria.idempotent) return found.trial;
  if (found.best != nullptr) return found.best;
  if (found.suspected != nullptr && !WaitingIsFaster(found, criteria)) return found.suspected;
  return found.healthy_in_flight == 0 ? found.trial : nullptr;
}

void ServerTable::OnAttemptStart(BackendServer& server, DispatchId dispatch, TimePoint overdue_at,
                                 TimePoint now) {
  ++in_flight_;
  server.OnAttemptStart(dispatch, overdue_at, now);
}

void ServerTable::OnAttemptEnd(BackendServer& server, const DispatchReport& report,
                               TimePoint started, std::uint32_t epoch, Duration median,
                               bool in_time, TimePoint now) {
  --in_flight_;
  server.OnAttemptEnd(report, started, epoch, median, in_time, now);
  if (report.result == DispatchResult::kAnswered || report.result == DispatchResult::kCancelled) {
    return;
  }
  if (server.health().StateAt(now) != ServerHealth::State::kHealthy || !ShouldEject(server)) return;
  if (CanEjectAnother()) {
    server.health().Eject(now);
  } else {
    server.SetFailing(true);
  }
}

void ServerTable::OnProbe(const ProbeReport& report, TimePoint now) {
  BackendServer* server = Find(report.server);
  if (server == nullptr) return;
  ProbeReport accepted = report;
  // A report of a load endpoint can be wrong, so it never takes the last server out of service.
  const auto serves = [server](const auto& s) { return s.get() != server && s->InService(); };
  if (std::none_of(servers_.begin(), servers_.end(), serves)) accepted.reported_leaving = false;
  server->OnProbe(accepted, now);
}

BackendServer* ServerTable::DueForProbe(TimePoint now) const {
  BackendServer* due = nullptr;
  for (const auto& server : servers_) {
    if (server->ProbeTime() > now) continue;
    if (due == nullptr || server->ProbeTime() < due->ProbeTime()) due = server.get();
  }
  return due;
}

TimePoint ServerTable::NextProbeTime() const {
  TimePoint next = TimePoint::max();
  for (const auto& server : servers_) next = std::min(next, server->ProbeTime());
  return next;
}

TimePoint ServerTable::NextChange(TimePoint now) const {
  TimePoint next = TimePoint::max();
  for (const auto& server : servers_) {
    if (server->NextChange() > now) next = std::min(next, server->NextChange());
    // A request that waits for a faster server may be sent once the other servers are slow too.
    const TimePoint overdue = server->NextOverdueTime(now);
    if (overdue != TimePoint::max()) next = std::min(next, std::max(overdue, now + kWaitRecheck));
  }
  return next;
}

std::uint32_t ServerTable::Capacity(LimitShare share, TimePoint now) const {
  std::uint32_t capacity = 0;
  for (const auto& server : servers_) capacity += server->Limit(share, now);
  return capacity;
}

bool ServerTable::AnyHealthy() const {
  return std::any_of(servers_.begin(), servers_.end(), [](const auto& server) {
    return server->InService() && !server->failing() &&
           server->health().TrialTime() == TimePoint::max();
  });
}

bool ServerTable::AnyInService() const {
  return std::any_of(servers_.begin(), servers_.end(),
                     [](const auto& server) { return server->InService(); });
}

std::vector<ServerState> ServerTable::Describe(LimitShare share, TimePoint now) const {
  std::vector<ServerState> states;
  for (const auto& server : servers_) {
    if (server->absent() && server->in_flight() == 0) continue;
    states.push_back(server->Describe(share, now));
  }
  return states;
}

BackendServer* ServerTable::Find(const ServerName& name) const {
  for (const auto& server : servers_) {
    if (server->name() == name) return server.get();
  }
  return nullptr;
}

void ServerTable::RemoveExpiredAbsent(TimePoint now) {
  std::erase_if(servers_, [now](const auto& server) {
    return server->absent() && server->in_flight() == 0 &&
           now - server->absent_since() > kAbsentRetention;
  });
}

void ServerTable::UpdateSlots() {
  slots_ = 0;
  for (const auto& server : servers_) slots_ += server->InService() ? server->slots() : 0;
}

bool ServerTable::ShouldEject(const BackendServer& server) const {
  if (server.health().Unreachable()) return true;
  if (!server.health().HasTooManyFailures()) return false;
  double others = 0;
  int count = 0;
  for (const auto& other : servers_) {
    if (other.get() == &server || !other->InService()) continue;
    others += other->health().FailureRate();
    ++count;
  }
  const double mean = count == 0 ? 0 : others / count;
  return server.health().FailureRate() - mean > kMinFailureRateExcess;
}

bool ServerTable::CanEjectAnother() const {
  std::size_t in_service = 0;
  std::size_t ejected = 0;
  for (const auto& server : servers_) {
    if (!server->InService()) continue;
    ++in_service;
    if (server->health().TrialTime() != TimePoint::max()) ++ejected;
  }
  return 2 * (ejected + 1) <= in_service;
}

bool ServerTable::AnyUntried(const std::vector<BackendServer*>& tried, LimitShare share,
                             TimePoint now) const {
  return std::any_of(servers_.begin(), servers_.end(), [&](const auto& server) {
    return server->Limit(share, now) > 0 && !Contains(&tried, server.get());
  });
}

}  // namespace mulberry
