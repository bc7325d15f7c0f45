#include "libgateway/route_table.h"

#include <algorithm>

namespace mulberry::gateway {
namespace {

/// Turns of the round robin that are skipped at most to start at a random place.
constexpr std::uint32_t kMaxSkippedTurns = 999;

std::string NormalizeHost(std::string_view host) {
  return LowerCase(host.substr(0, host.find(':')));
}

bool EqualShares(const std::vector<RouteShare>& one, const std::vector<RouteShare>& other) {
  return std::equal(one.begin(), one.end(), other.begin(), other.end(),
                    [](const RouteShare& a, const RouteShare& b) {
                      return a.service == b.service && a.weight == b.weight;
                    });
}

}  // namespace

RouteTable::RouteTable(const std::vector<Route>& routes) {
  for (const Route& route : routes) {
    hosts_[NormalizeHost(route.host)].push_back(std::make_shared<const Route>(route));
  }
  for (auto& [host, host_routes] : hosts_) {
    std::stable_sort(host_routes.begin(), host_routes.end(), [](const auto& a, const auto& b) {
      return a->path_prefix.size() > b->path_prefix.size();
    });
  }
}

std::shared_ptr<const Route> RouteTable::Find(std::string_view host, std::string_view path) const {
  const auto host_routes = hosts_.find(NormalizeHost(host));
  if (host_routes == hosts_.end()) return nullptr;
  for (const auto& route : host_routes->second) {
    if (path.starts_with(route->path_prefix)) return route;
  }
  return nullptr;
}

const ServiceName& TrafficSplitter::Next(const Route& route) {
  if (route.shares.size() == 1) return route.shares.front().service;
  RoundRobinState& state = states_[route.name];
  if (!EqualShares(state.shares, route.shares)) {
    state.shares = route.shares;
    state.current_weights.assign(route.shares.size(), 0);
    std::uniform_int_distribution<std::uint32_t> steps(0, kMaxSkippedTurns);
    for (std::uint32_t left = steps(random_); left > 0; --left) Advance(route, state);
  }
  return route.shares[Advance(route, state)].service;
}

/// Takes the next turn and returns the index of its share.
std::size_t TrafficSplitter::Advance(const Route& route, RoundRobinState& state) {
  std::int64_t total = 0;
  std::size_t chosen = 0;
  for (std::size_t i = 0; i < route.shares.size(); ++i) {
    state.current_weights[i] += route.shares[i].weight;
    total += route.shares[i].weight;
    if (state.current_weights[i] > state.current_weights[chosen]) chosen = i;
  }
  state.current_weights[chosen] -= total;
  return chosen;
}

}  // namespace mulberry::gateway
