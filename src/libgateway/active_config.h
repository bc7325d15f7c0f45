#pragma once

#include <memory>

#include "libgateway/route_table.h"
#include "libgateway/types.h"
#include "libworkspace/workspace.h"

namespace mulberry::gateway {

/// The configuration in force. Its version never decreases, and an invalid configuration is
/// rejected without effect. Does no I/O. Not thread safe.
class ActiveConfig {
 public:
  /// Activates a configuration; returns false when it is not newer. Errors: kInvalidArgument with
  /// the reason; the current one stays in force.
  Result<bool> Update(Config config);

  /// True once a configuration is in force.
  bool ready() const { return routes_ != nullptr; }
  ConfigVersion version() const { return config_.version; }
  const Config& config() const { return config_; }
  /// Precondition: ready().
  const RouteTable& routes() const { return *routes_; }
  const workspace::KeyDirectory& keys() const { return keys_; }

 private:
  Config config_;
  std::unique_ptr<RouteTable> routes_;
  workspace::KeyDirectory keys_;
};

}  // namespace mulberry::gateway
