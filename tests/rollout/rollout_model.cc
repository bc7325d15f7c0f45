#include "rollout_model.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace mulberry::rollout {
namespace {

constexpr std::size_t kServers = 10;  ///< Of each version.
constexpr std::uint32_t kSlots = 8;
constexpr Duration kColdTime = std::chrono::seconds(3);
constexpr Duration kColdSendInterval = std::chrono::milliseconds(67);  ///< 15 a second.
constexpr Duration kReportInterval = std::chrono::milliseconds(200);
constexpr double kUsualFailureRate = 0.005;
constexpr std::array<double, 3> kRouteShares{0.62, 0.3, 0.08};
constexpr std::array<double, 3> kRouteMs{20, 45, 30};

}  // namespace

RolloutModel::RolloutModel(const ModelOptions& options)
    : options_(options), random_(options.seed), hosts_(options.hosts), servers_(2 * kServers) {
  order_ = {ServiceName("s"), ServerVersion("v2"), options.duration};
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    hosts_[i].rollout.emplace(order_, Clock(i));
    hosts_[i].next_report = std::chrono::milliseconds(random_() % 200);
  }
  for (std::size_t i = kServers; i < servers_.size(); ++i) {
    servers_[i].of_target = true;
    servers_[i].group = i % 2 == 0 ? ServerGroup::kTargetFirstHalf : ServerGroup::kTargetSecondHalf;
    servers_[i].canary = i < kServers + 2;
  }
}

/// Hosts' clocks differ; times are only compared on one host.
TimePoint RolloutModel::Clock(std::size_t host) const {
  return TimePoint(std::chrono::hours(1 + host) + now_);
}

void RolloutModel::Restart(std::size_t host) {
  Host& restarted = hosts_[host];
  restarted.start = StartId(restarted.start.value() + 1);
  restarted.rollout.emplace(order_, Clock(host));
  restarted.coordinator.reset();
  restarted.others_in_flight = 0;
}

std::optional<std::size_t> RolloutModel::PickServer(bool of_target, bool canary_only) {
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    const Server& server = servers_[i];
    if (server.of_target != of_target || (canary_only && !server.canary)) continue;
    if (server.in_flight >= kSlots) continue;
    if (of_target && now_ < kColdTime && now_ < server.next_cold_send) continue;
    if (!best || server.in_flight < servers_[*best].in_flight) best = i;
  }
  return best;
}

void RolloutModel::SendRequest(std::size_t host, std::size_t route) {
  Host& sender = hosts_[host];
  const std::string route_name = "r" + std::to_string(route);
  sender.rollout->OnRequest();
  if (now_ < options_.duration) ++result_.requests;
  const Use use = sender.rollout->UseFor(route_name, true, Clock(host));
  std::optional<std::size_t> server;
  if (use == Use::kTargetFirst || use == Use::kTargetOnly) {
    server = PickServer(true, sender.rollout->phase() == Phase::kCanary);
  }
  if (!server && use != Use::kTargetOnly) server = PickServer(false, false);
  if (!server) return;
  Server& chosen = servers_[*server];
  Fault fault = chosen.of_target ? options_.fault : Fault::kNone;
  double ms = kRouteMs[route] * (0.6 + 0.8 * Random()) * (Random() < 0.05 ? 2.5 : 1);
  ms *= 1 + 0.06 * chosen.in_flight;
  double failure_rate = kUsualFailureRate;
  if (chosen.of_target) {
    if (now_ < kColdTime) ms *= 2;
    if (fault == Fault::kSlow) ms *= 4;
    if (fault == Fault::kSlowPart && Random() < 0.4) ms *= 5;
    if (fault == Fault::kFails) failure_rate = 0.25;
    if (fault == Fault::kFailsLater && now_ > options_.duration * 3 / 10) failure_rate = 0.25;
    if (fault == Fault::kFailsLoaded && chosen.in_flight >= 3) failure_rate = 0.4;
    if (fault == Fault::kFailsOnRoute && route + 1 == kRouteMs.size()) failure_rate = 0.4;
    if (*server == kServers) failure_rate = std::max(failure_rate, options_.one_server_fails);
    sender.rollout->OnSentToTarget(route_name);
    ++sender.target_sends;
    result_.last_target_send = now_;
    if (now_ < options_.duration) ++result_.target_requests;
  } else {
    ++sender.others_in_flight;
  }
  ++chosen.in_flight;
  chosen.next_cold_send = now_ + kColdSendInterval;
  const bool failed = Random() < failure_rate;
  responses_.emplace(now_ + Duration(static_cast<std::int64_t>(ms * 1000)),
                     Response{host, *server, route, sender.start, now_, failed});
}

void RolloutModel::Respond(const Response& response) {
  Server& server = servers_[response.server];
  --server.in_flight;
  const Duration took = now_ - response.sent;
  const bool slow = (options_.fault == Fault::kSlow || options_.fault == Fault::kSlowPart) &&
                    took > Duration(static_cast<std::int64_t>(kRouteMs[response.route] * 2500));
  if (server.of_target && options_.fault != Fault::kNone && (response.failed || slow) &&
      ++result_.bad_responses == 50) {
    result_.fiftieth_bad_at = now_;
  }
  Host& host = hosts_[response.host];
  if (response.start != host.start) return;
  if (!server.of_target) --host.others_in_flight;
  if (server.of_target && response.sent < kColdTime) return;
  host.rollout->OnResponse("r" + std::to_string(response.route), server.group, response.failed,
                           took);
}

void RolloutModel::Arrive() {
  const double mean = options_.requests_per_second / 1000;
  std::uint32_t count = std::poisson_distribution<std::uint32_t>(mean)(random_);
  while (count-- > 0) {
    const bool busy = Random() < 0.97;
    const std::size_t host =
        busy ? random_() % std::min(options_.busy_hosts, hosts_.size()) : random_() % hosts_.size();
    double pick = Random();
    std::size_t route = 0;
    while (route + 1 < kRouteShares.size() && pick >= kRouteShares[route]) {
      pick -= kRouteShares[route++];
    }
    if (!hosts_[host].frozen) SendRequest(host, route);
  }
}

void RolloutModel::Send(Datagram datagram) {
  if (datagram.from != datagram.to) {
    if (hosts_[datagram.from].cut_off || hosts_[datagram.to].cut_off || Random() < 0.02) return;
  }
  const auto delay = std::chrono::microseconds(1000 + random_() % 4000);
  if (Random() < 0.02) datagrams_.emplace(now_ + delay * 50, datagram);
  datagrams_.emplace(now_ + delay, std::move(datagram));
}

void RolloutModel::SendReport(std::size_t host) {
  Host& sender = hosts_[host];
  sender.next_report = now_ + kReportInterval;
  for (const std::size_t coordinator : coordinator_hosts_) {
    if (coordinator_hosts_.size() > 1 && coordinator != host && host % 2 != coordinator % 2) {
      continue;
    }
    Send({host, coordinator, sender.start,
          sender.rollout->MakeReport(sender.others_in_flight, Clock(host)), std::nullopt});
  }
}

void RolloutModel::Deliver(const Datagram& datagram) {
  Host& receiver = hosts_[datagram.to];
  const TimePoint now = Clock(datagram.to);
  if (datagram.state) {
    receiver.rollout->OnState(*datagram.state, now);
    return;
  }
  if (!receiver.coordinator) return;
  const HostName sender("h" + std::to_string(datagram.from));
  receiver.coordinator->OnReport(sender, datagram.start, *datagram.report, now);
  Send({datagram.to, datagram.from, datagram.start, std::nullopt,
        receiver.coordinator->AnswerTo(sender, datagram.start, now)});
}

void RolloutModel::Step() {
  now_ += std::chrono::milliseconds(1);
  Arrive();
  while (!responses_.empty() && responses_.begin()->first <= now_) {
    const Response response = responses_.begin()->second;
    responses_.erase(responses_.begin());
    Respond(response);
  }
  while (!datagrams_.empty() && datagrams_.begin()->first <= now_) {
    const Datagram datagram = datagrams_.begin()->second;
    datagrams_.erase(datagrams_.begin());
    if (!hosts_[datagram.to].frozen) Deliver(datagram);
  }
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    Host& host = hosts_[i];
    if (host.frozen || now_ < host.next_report) continue;
    const bool decides = std::count(coordinator_hosts_.begin(), coordinator_hosts_.end(), i) > 0;
    if (!decides) host.coordinator.reset();
    if (decides && !host.coordinator) {
      host.coordinator.emplace(order_, options_.limits, host.rollout->seen_at(), false, Clock(i));
    }
    if (decides) host.coordinator->Tick(kServers, Clock(i));
    SendReport(i);
    if (!decides || result_.phase == host.coordinator->phase()) continue;
    if (IsFinal(host.coordinator->phase()) && !IsFinal(result_.phase)) {
      result_.decided_after = now_;
      result_.reason = host.coordinator->reason();
      for (const Host& other : hosts_) {
        if (!other.cut_off) result_.others_in_flight += other.others_in_flight;
      }
    }
    result_.phase = host.coordinator->phase();
  }
}

void RolloutModel::RunUntil(Duration time) {
  while (now_ < time) Step();
}

ModelResult RolloutModel::Run() {
  RunUntil(options_.duration + std::chrono::seconds(1));
  return result_;
}

}  // namespace mulberry::rollout
