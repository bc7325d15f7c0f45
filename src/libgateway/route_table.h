#pragma once

#include <memory>
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

  /// Returns the route, null when none matches. `host` may hold a port; its case does not matter.
  std::shared_ptr<const Route> Find(std::string_view host, std::string_view path) const;

 private:
  /// Routes of one host, longest prefix first.
  using HostRoutes = std::vector<std::shared_ptr<const Route>>;
  std::unordered_map<std::string, HostRoutes> hosts_;
};

/// Deals the requests of each route to its services so that the shares hold over any span of
/// requests (smooth weighted round robin). Not thread safe.
class TrafficSplitter {
 public:
  /// Returns the service of the next request of the route.
  /// Precondition: the route has at least one share of a positive weight.
  const ServiceName& Next(const Route& route);

 private:
  struct Turn {
    std::vector<RouteShare> shares;
    std::vector<std::int64_t> credit;
  };
  std::unordered_map<std::string, Turn> turns_;
};

}  // namespace mulberry::gateway
