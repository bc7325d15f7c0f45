#include "libgateway/route_table.h"

#include <algorithm>

namespace mulberry::gateway {
namespace {

std::string NormalHost(std::string_view host) { return LowerCase(host.substr(0, host.find(':'))); }

bool SameShares(const std::vector<RouteShare>& one, const std::vector<RouteShare>& other) {
  return std::equal(one.begin(), one.end(), other.begin(), other.end(),
                    [](const RouteShare& a, const RouteShare& b) {
                      return a.service == b.service && a.weight == b.weight;
                    });
}

}  // namespace

RouteTable::RouteTable(const std::vector<Route>& routes) {
  for (const Route& route : routes) {
    hosts_[NormalHost(route.host)].push_back(std::make_shared<const Route>(route));
  }
  for (auto& [host, of_host] : hosts_) {
    std::stable_sort(of_host.begin(), of_host.end(), [](const auto& a, const auto& b) {
      return a->path_prefix.size() > b->path_prefix.size();
    });
  }
}

std::shared_ptr<const Route> RouteTable::Find(std::string_view host, std::string_view path) const {
  const auto of_host = hosts_.find(NormalHost(host));
  if (of_host == hosts_.end()) return nullptr;
  for (const auto& route : of_host->second) {
    if (path.starts_with(route->path_prefix)) return route;
  }
  return nullptr;
}

const ServiceName& TrafficSplitter::Next(const Route& route) {
  if (route.shares.size() == 1) return route.shares.front().service;
  Turn& turn = turns_[route.name];
  if (!SameShares(turn.shares, route.shares)) {
    turn.shares = route.shares;
    turn.credit.assign(route.shares.size(), 0);
  }
  std::int64_t total = 0;
  std::size_t best = 0;
  for (std::size_t i = 0; i < route.shares.size(); ++i) {
    turn.credit[i] += route.shares[i].weight;
    total += route.shares[i].weight;
    if (turn.credit[i] > turn.credit[best]) best = i;
  }
  turn.credit[best] -= total;
  return route.shares[best].service;
}

}  // namespace mulberry::gateway
