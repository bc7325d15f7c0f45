#include "libpolicy/server_table.h"

#include <algorithm>
#include <utility>

namespace mulberry {
namespace {

constexpr Duration kRememberAbsent = std::chrono::minutes(10);
// A request is held back only if the wait for another server is less than this part of the delay:
// suspicion errs at times, and a slot kept free is lost.
constexpr int kHoldDivisor = 20;
// Weight of recent failures in the choice: a server that fails fast always looks empty.
constexpr double kFailureCost = 4.0;
// Least time between two looks at a request that is held back for a faster server.
constexpr Duration kHoldRecheck = std::chrono::milliseconds(5);
// An answer with an error ejects a server only if it fails this much more often than the others:
// otherwise the fault is likely in the requests.
constexpr double kFailureShareExcess = 0.2;

bool Contains(const std::vector<BackendServer*>* servers, const BackendServer* server) {
  return servers != nullptr &&
         std::find(servers->begin(), servers->end(), server) != servers->end();
}

/// Collects the best server of each kind while the table is scanned.
struct Candidates {
  BackendServer* best = nullptr;
  BackendServer* suspected = nullptr;
  BackendServer* trial = nullptr;
  double best_cost = 0;
  Duration suspected_delay{};
  /// Attempts at servers that are not suspected: their slots are freed soon.
  std::uint32_t busy_healthy = 0;

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

/// True when a slot on another server is likely to be free long before a request to the suspected
/// server would make up for its delay.
bool WaitingIsFaster(const Candidates& found, const PickRequest& request) {
  if (found.busy_healthy == 0) return false;
  const auto waiting = static_cast<std::int64_t>(request.queued);
  const Duration wait = request.service_time * waiting / found.busy_healthy;
  return wait * kHoldDivisor < found.suspected_delay;
}

}  // namespace

void ServerTable::Set(std::vector<ServerInfo> servers, TimePoint now) {
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
  ForgetAbsent(now);
  CountSlots();
}

void ServerTable::MarkAllUnverified(TimePoint now) {
  for (const auto& server : servers_) server->MarkUnverified(now);
}

std::vector<ServerHandover> ServerTable::Handovers() const {
  std::vector<ServerHandover> knowledge;
  for (const auto& server : servers_) {
    ServerHandover known = server->Handover();
    if (!server->absent() && known.start != StartId()) knowledge.push_back(std::move(known));
  }
  std::sort(knowledge.begin(), knowledge.end());
  return knowledge;
}

void ServerTable::ApplyHandovers(const std::vector<ServerHandover>& knowledge, TimePoint now) {
  for (const ServerHandover& known : knowledge) {
    if (BackendServer* server = Find(known.name)) server->ApplyHandover(known, now);
  }
}

BackendServer* ServerTable::Pick(const PickRequest& request, LimitShare share, TimePoint now) {
  const bool avoid_tried = request.tried != nullptr && !request.tried->empty() &&
                           (request.healthy_only || AnyOther(*request.tried, share, now));
  Candidates found;
  first_ = servers_.empty() ? 0 : (first_ + 1) % servers_.size();
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    const std::size_t index = first_ + i;
    BackendServer* server =
        servers_[index < servers_.size() ? index : index - servers_.size()].get();
    server->Advance(now);
    const std::uint32_t limit = server->Limit(share, now);
    const bool suspected = server->Suspected(now);
    if (server->in_flight() >= limit) {
      if (!suspected) found.busy_healthy += server->in_flight();
      continue;
    }
    if (avoid_tried && Contains(request.tried, server)) continue;
    if (server->health().StateAt(now) == ServerHealth::State::kTrial) {
      found.trial = server;
    } else if (suspected || server->failing()) {
      found.AddSuspected(server, server->ExpectedDelay(now));
    } else {
      found.busy_healthy += server->in_flight();
      const double load = static_cast<double>(server->in_flight()) / limit;
      found.AddHealthy(server, load + server->Slowness(now) +
                                   kFailureCost * server->health().RecentFailureShare(now));
    }
  }
  if (request.healthy_only) return found.best;
  if (found.trial != nullptr && request.idempotent) return found.trial;
  if (found.best != nullptr) return found.best;
  if (found.suspected != nullptr && !WaitingIsFaster(found, request)) return found.suspected;
  return found.busy_healthy == 0 ? found.trial : nullptr;
}

void ServerTable::Begin(BackendServer& server, DispatchId dispatch, TimePoint overdue_at,
                        TimePoint now) {
  ++in_flight_;
  server.Begin(dispatch, overdue_at, now);
}

void ServerTable::End(BackendServer& server, const DispatchReport& report, TimePoint started,
                      std::uint32_t epoch, Duration median, bool in_time, TimePoint now) {
  --in_flight_;
  server.End(report, started, epoch, median, in_time, now);
  if (report.result == DispatchResult::kAnswered || report.result == DispatchResult::kCancelled) {
    return;
  }
  if (server.health().StateAt(now) != ServerHealth::State::kHealthy || !ShouldEject(server)) return;
  if (MayEjectOneMore()) {
    server.health().Eject(now);
  } else {
    server.SetFailing(true);
  }
}

void ServerTable::OnProbe(const ProbeReport& report, TimePoint now) {
  BackendServer* server = Find(report.server);
  if (server == nullptr) return;
  ProbeReport believed = report;
  // A load endpoint can mislead: it never takes the last server out of service.
  const auto serves = [server](const auto& s) { return s.get() != server && s->InService(); };
  if (std::none_of(servers_.begin(), servers_.end(), serves)) believed.reported_leaving = false;
  server->OnProbe(believed, now);
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
    // A request that is held back may go once the others turn slow too.
    const TimePoint overdue = server->NextOverdue(now);
    if (overdue != TimePoint::max()) next = std::min(next, std::max(overdue, now + kHoldRecheck));
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

void ServerTable::ForgetAbsent(TimePoint now) {
  std::erase_if(servers_, [now](const auto& server) {
    return server->absent() && server->in_flight() == 0 &&
           now - server->absent_since() > kRememberAbsent;
  });
}

void ServerTable::CountSlots() {
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
    others += other->health().FailureShare();
    ++count;
  }
  const double mean = count == 0 ? 0 : others / count;
  return server.health().FailureShare() - mean > kFailureShareExcess;
}

bool ServerTable::MayEjectOneMore() const {
  std::size_t in_service = 0;
  std::size_t ejected = 0;
  for (const auto& server : servers_) {
    if (!server->InService()) continue;
    ++in_service;
    if (server->health().TrialTime() != TimePoint::max()) ++ejected;
  }
  return 2 * (ejected + 1) <= in_service;
}

bool ServerTable::AnyOther(const std::vector<BackendServer*>& tried, LimitShare share,
                           TimePoint now) const {
  return std::any_of(servers_.begin(), servers_.end(), [&](const auto& server) {
    return server->Limit(share, now) > 0 && !Contains(&tried, server.get());
  });
}

}  // namespace mulberry
