#include "libgateway/active_config.h"

#include <utility>

namespace mulberry::gateway {
namespace {

/// Returns what makes a route unusable, empty when nothing does.
std::string FaultOf(const Route& route, const Config& config) {
  if (route.host.empty()) return "no host";
  if (route.path_prefix.empty() || route.path_prefix.front() != '/' ||
      route.path_prefix.back() != '/') {
    return "path prefix must begin and end with a slash";
  }
  if (route.max_attempts == 0) return "no attempts";
  if (route.timeout <= Duration::zero()) return "timeout must be positive";
  std::uint64_t weights = 0;
  for (const RouteShare& share : route.shares) {
    if (config.services.count(share.service) == 0) {
      return "unknown service " + share.service.str();
    }
    weights += share.weight;
  }
  return weights == 0 ? "no service with a positive weight" : "";
}

}  // namespace

Result<bool> ActiveConfig::Update(Config config) {
  if (ready() && config.version <= config_.version) return false;
  for (const Route& route : config.routes) {
    const std::string fault = FaultOf(route, config);
    if (!fault.empty()) {
      return Fail(ErrorCode::kInvalidArgument, "route " + route.name + ": " + fault);
    }
  }
  config_ = std::move(config);
  routes_ = std::make_unique<RouteTable>(config_.routes);
  return true;
}

}  // namespace mulberry::gateway
