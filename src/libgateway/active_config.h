#pragma once

#include <memory>

#include "libgateway/route_table.h"
#include "libgateway/types.h"

namespace mulberry::gateway {

/// The configuration in force. A version never goes back, and an unusable one changes nothing.
/// Pure. Not thread safe.
class ActiveConfig {
 public:
  /// Takes a configuration; false when it is not newer. Errors: kInvalidArgument with what makes
  /// it unusable; the one in force stays.
  Result<bool> Update(Config config);

  /// True once there is a configuration.
  bool ready() const { return routes_ != nullptr; }
  ConfigVersion version() const { return config_.version; }
  const Config& config() const { return config_; }
  /// Precondition: ready().
  const RouteTable& routes() const { return *routes_; }

 private:
  Config config_;
  std::unique_ptr<RouteTable> routes_;
};

}  // namespace mulberry::gateway
