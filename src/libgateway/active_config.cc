#include "libgateway/active_config.h"

#include <utility>

namespace mulberry::gateway {
namespace {

/// Returns why a route is invalid, empty when it is valid.
std::string ValidationError(const Route& route, const Config& config) {
  if (route.host.empty()) return "host is empty";
  if (route.path_prefix.empty() || route.path_prefix.front() != '/' ||
      route.path_prefix.back() != '/') {
    return "path prefix must begin and end with a slash";
  }
  if (route.max_attempts == 0) return "max_attempts must be positive";
  if (route.timeout <= Duration::zero()) return "timeout must be positive";
  std::uint64_t weights = 0;
  for (const RouteShare& share : route.shares) {
    if (config.services.count(share.service) == 0) {
      return "unknown service " + share.service.str();
    }
    weights += share.weight;
  }
  return weights == 0 ? "no service has a positive weight" : "";
}

}  // namespace

Result<bool> ActiveConfig::Update(Config config) {
  if (ready() && config.version <= config_.version) return false;
  for (const Route& route : config.routes) {
    const std::string error = ValidationError(route, config);
    if (!error.empty()) {
      return Fail(ErrorCode::kInvalidArgument, "route " + route.name + ": " + error);
    }
  }
  auto keys = workspace::KeyDirectory::Build(config.workspaces);
  if (!keys) return keys.error();
  config_ = std::move(config);
  keys_ = std::move(keys.value());
  routes_ = std::make_unique<RouteTable>(config_.routes);
  return true;
}

}  // namespace mulberry::gateway
