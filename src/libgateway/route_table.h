#pragma once

#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "libgateway/types.h"

namespace mulberry::gateway {

/// Finds the route of a request: the longest path prefix among the routes of its host.
/// Thread safety: const methods from any thread.
class RouteTable {
 public:
  explicit RouteTable(const std::vector<Route>& routes);

  /// Returns the route, null when none matches. `host` may include a port and is not
  /// case-sensitive.
  std::shared_ptr<const Route> Find(std::string_view host, std::string_view path) const;

 private:
  /// Routes of one host, longest prefix first.
  using HostRoutes = std::vector<std::shared_ptr<const Route>>;
  std::unordered_map<std::string, HostRoutes> hosts_;
};

/// Splits the requests of each route between its services by smooth weighted round robin, so that
/// the weights hold over any span of requests. Starts at a random place of the round, so that the
/// weights also hold over hosts that get few requests each. Not thread safe.
class TrafficSplitter {
 public:
  explicit TrafficSplitter(std::uint64_t seed) : random_(seed) {}

  /// Returns the service for the next request of the route. Precondition: at least one weight of
  /// the route is positive.
  const ServiceName& Next(const Route& route);

 private:
  struct RoundRobinState {
    std::vector<RouteShare> shares;
    std::vector<std::int64_t> current_weights;
  };
  static std::size_t Advance(const Route& route, RoundRobinState& state);

  std::unordered_map<std::string, RoundRobinState> states_;
  std::mt19937_64 random_;
};

}  // namespace mulberry::gateway
