#include "placement_model.h"

#include <algorithm>

namespace mulberry::gateway {
namespace {

using std::chrono::milliseconds;

const ServiceName search_service("search");
constexpr Duration kStep = milliseconds(1);
constexpr Duration kTarget = milliseconds(300);
constexpr Duration kTimeout = milliseconds(1500);
constexpr Duration kOneWay = milliseconds(2);
constexpr Duration kUsualTime = milliseconds(60);
constexpr Duration kLearningTime = std::chrono::seconds(4);
constexpr double kWorkSeconds = 0.06;

DataCentreName NameOf(std::size_t data_centre) {
  return DataCentreName("dc-" + std::to_string(data_centre));
}

}  // namespace

PlacementModel::PlacementModel(PlacementOptions options)
    : options_(std::move(options)), random_(options_.seed) {
  const auto data_centres = options_.rates.size();
  const auto per_centre = static_cast<std::uint32_t>(options_.hosts);
  for (std::size_t i = 0; i < data_centres * per_centre; ++i) {
    Host host;
    host.data_centre = i / per_centre;
    host.name = HostName("h" + std::to_string(i));
    PoolOptions pool = options_.pool;
    pool.data_centre = NameOf(host.data_centre);
    pool.random_seed = options_.seed * 100 + i;
    host.pool = std::make_unique<ServerPool>(pool);
    host.pool->SetServices({{search_service, {.name = search_service, .health_path = "/health"}}});
    const auto index = static_cast<std::uint32_t>(i);
    host.pool->SetSenders({per_centre, index % per_centre,
                           per_centre * static_cast<std::uint32_t>(data_centres), index});
    hosts_.push_back(std::move(host));
  }
  for (std::size_t centre = 0; centre < data_centres; ++centre) {
    for (int i = 0; i < options_.servers; ++i) {
      ServerEntry entry;
      entry.id = ServerName("s" + std::to_string(centre) + "-" + std::to_string(i));
      entry.service = search_service;
      entry.data_centre = NameOf(centre);
      entry.slots = options_.slots;
      for (Host& host : hosts_) host.pool->Put(entry, now_);
      servers_[entry.id].data_centre = centre;
    }
  }
  result_.remote_by_time.resize(data_centres);
}

PlacementResult PlacementModel::Run(Duration length) {
  for (auto& by_time : result_.remote_by_time) by_time.resize(length / milliseconds(500) + 1);
  for (const TimePoint end = now_ + length; now_ < end; now_ += kStep) {
    const auto ms = ToMilliseconds(now_ - start_);
    for (auto& [id, server] : servers_) {
      if (ms % 150 == 0) server.slowness = unit_(random_) < 0.25 ? 3 : 1;
    }
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      if (ms % 25 == static_cast<std::int64_t>(i % 25)) {
        Check(i);
        SendNews(i, false);
      }
      if (ms % 100 == 0 && i % static_cast<std::size_t>(options_.hosts) == 0) SendNews(i, true);
    }
    RunServers();
    while (!events_.empty() && events_.begin()->first <= now_) {
      const auto run = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      run();
    }
    for (Host& host : hosts_) {
      DispatchQueued(host);
      const double rate = options_.rates[host.data_centre] / options_.hosts;
      if (unit_(random_) < rate * 0.001) Arrive(host);
    }
  }
  for (std::size_t centre = 0; centre < options_.rates.size(); ++centre) {
    int most = 0;
    int all = 0;
    for (const auto& [id, server] : servers_) {
      if (server.data_centre != centre) continue;
      most = std::max(most, server.requests);
      all += server.requests;
    }
    result_.busiest =
        std::max(result_.busiest, static_cast<double>(most) * options_.servers / std::max(all, 1));
  }
  return result_;
}

Duration PlacementModel::DelayTo(const Host& host, const Server& server) const {
  return host.data_centre == server.data_centre ? Duration::zero() : Duration(kOneWay);
}

void PlacementModel::RunServers() {
  for (auto& [id, server] : servers_) {
    std::vector<Work> done;
    for (std::size_t i = server.running.size(); i-- > 0;) {
      server.running[i].left -= std::chrono::duration<double>(kStep).count() / server.slowness;
      if (server.running[i].left > 0) continue;
      done.push_back(std::move(server.running[i]));
      server.running.erase(server.running.begin() + static_cast<std::ptrdiff_t>(i));
    }
    while (server.running.size() < options_.slots && !server.waiting.empty()) {
      server.running.push_back(std::move(server.waiting.front()));
      server.waiting.pop_front();
    }
    result_.most_held = std::max(result_.most_held, server.held());
    for (Work& work : done) work.done();
  }
}

void PlacementModel::Arrive(Host& host) {
  ++result_.requested;
  const admission::CallId call(next_id_++);
  if (host.queue.empty() && Dispatch(host, now_)) return;
  const Duration usual = host.pool->ServiceTime(search_service, kUsualTime);
  const admission::QueuedCall queued{call, 1, now_ + kTarget, now_ + kTimeout};
  if (!host.queue.TryEnqueue(queued, usual, now_)) {
    ++result_.refused;
    return;
  }
  host.waiting[call] = now_;
}

void PlacementModel::DispatchQueued(Host& host) {
  const Duration usual = host.pool->ServiceTime(search_service, kUsualTime);
  while (!host.queue.empty()) {
    const admission::QueuedCall next = host.queue.Next(usual, now_);
    const bool expired = now_ > admission::QueueDeadline(host.queue.PositionOf(next, usual, now_));
    if (!expired && !Dispatch(host, host.waiting.at(next.id))) return;
    if (expired) ++result_.refused;
    host.queue.Remove(next.id);
    host.waiting.erase(next.id);
  }
}

/// Sends a call that is not idempotent, so that it has a single attempt.
bool PlacementModel::Dispatch(Host& host, TimePoint arrived) {
  const auto choice =
      host.pool->Select({search_service, {}, false, false, nullptr, host.queue.size(), 20e3}, now_);
  const auto* chosen = std::get_if<Selection>(&choice);
  if (chosen == nullptr) return false;
  const ServerName id = chosen->id;
  Server& server = servers_.at(id);
  ++server.requests;
  host.queue.OnDispatch({}, now_);
  const AttemptContext context = host.pool->OnSent(id, now_);
  const Duration delay = DelayTo(host, server);
  if (delay > Duration::zero()) {
    ++result_.remote;
    ++result_.remote_by_time[host.data_centre][(now_ - start_) / milliseconds(500)];
  }
  const auto ended = std::make_shared<bool>(false);
  const auto end = [this, &host, id, context, arrived, ended](AttemptOutcome outcome) {
    if (std::exchange(*ended, true)) return;
    host.pool->OnEnd(id, outcome, context, now_);
    if (outcome == AttemptOutcome::kTimedOut) ++result_.lost;
    const bool is_late = arrived - start_ > kLearningTime;
    if (outcome == AttemptOutcome::kTimedOut && is_late) ++result_.lost_late;
    if (outcome == AttemptOutcome::kShed) ++result_.refused;
    if (outcome == AttemptOutcome::kAnswered && now_ - arrived <= kTarget) ++result_.in_target;
    if (outcome == AttemptOutcome::kTimedOut) return;
    host.pool->OnLoadReport(id, ReportOf(servers_.at(id)), now_);
    host.reported[id] = now_;
  };
  At(arrived + kTimeout, [end] { end(AttemptOutcome::kTimedOut); });
  At(now_ + delay, [this, &server, end, delay] {
    if (server.held() >= options_.slots + options_.queue) {
      if (!options_.hang) At(now_ + delay, [end] { end(AttemptOutcome::kShed); });
      return;
    }
    const double work = kWorkSeconds * (0.7 + 0.6 * unit_(random_));
    server.waiting.push_back({work, [this, end, delay] {
                                At(now_ + delay, [end] { end(AttemptOutcome::kAnswered); });
                              }});
  });
  return true;
}

/// Starts the health checks that are due. They wait in the servers' queues.
void PlacementModel::Check(std::size_t index) {
  Host& host = hosts_[index];
  for (auto check = host.checks.begin(); check != host.checks.end();) {
    const bool over = now_ - check->second > milliseconds(200);
    if (over) host.pool->OnHealthCheckEnd(check->first, false, now_);
    check = over ? host.checks.erase(check) : std::next(check);
  }
  const auto per_centre = static_cast<std::uint32_t>(options_.hosts);
  const HealthCheckShare share{static_cast<std::uint32_t>(index) % per_centre, per_centre,
                               milliseconds(60)};
  for (const HealthCheckTarget& target : host.pool->DueHealthChecks(share, now_)) {
    Server& server = servers_.at(target.id);
    if (!host.checks.emplace(target.id, now_).second) continue;
    if (server.held() >= options_.slots + options_.queue) continue;
    server.waiting.push_back({0.001, [this, &host, &server, id = target.id] {
                                if (host.checks.erase(id) == 0) return;
                                host.pool->OnHealthCheckEnd(id, true, now_);
                                host.pool->OnLoadReport(id, ReportOf(server), now_);
                                host.reported[id] = now_;
                              }});
  }
}

/// Sends load reports and, within the data centre, the counts of requests in flight.
void PlacementModel::SendNews(std::size_t index, bool remote) {
  Host& sender = hosts_[index];
  std::vector<std::pair<ServerName, TimedLoadReport>> reports;
  for (const auto& [id, server] : servers_) {
    if (remote && server.data_centre != sender.data_centre) continue;
    const auto report = sender.pool->LastLoadReport(id);
    if (report && (remote || sender.reported.count(id) != 0)) reports.emplace_back(id, *report);
  }
  std::vector<std::pair<ServerName, std::uint32_t>> counts;
  if (!remote) {
    sender.reported.clear();
    counts = sender.pool->TakeInFlightCounts(now_);
  }
  for (Host& receiver : hosts_) {
    if ((receiver.data_centre != sender.data_centre) != remote || &receiver == &sender) continue;
    if (unit_(random_) < options_.news_loss || (remote && options_.cut_off)) continue;
    // The receiver does not know the delay of the message, only the report's age when it was sent.
    At(now_ + options_.news_delay, [this, &receiver, &sender, reports, counts, sent = now_] {
      for (const auto& [id, report] : reports) {
        receiver.pool->OnLoadReport(id, report.report, now_ - (sent - report.measured_at));
      }
      for (const auto& [id, count] : counts) {
        receiver.pool->OnPeerInFlight(id, sender.name, count, now_);
      }
    });
  }
}

LoadReport PlacementModel::ReportOf(const Server& server) const {
  LoadReport report;
  report.running = static_cast<std::uint32_t>(server.running.size());
  report.waiting = static_cast<std::uint32_t>(server.waiting.size());
  report.slots = options_.slots;
  report.slowness = server.slowness;
  return report;
}

}  // namespace mulberry::gateway
