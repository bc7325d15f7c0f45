#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "libbase/base.h"

namespace mulberry::workspace {

/// A customer whose callers share API keys and a rate limit.
struct Workspace {
  WorkspaceName name;
  std::vector<std::string> keys;
  /// Queue priority of its requests, in place of the route's; 0 is served first.
  std::optional<std::uint32_t> priority;
  /// Requests per second over all entry hosts; 0: not limited.
  double rate_per_s = 0;
  /// Requests that may come at once in addition.
  double burst = 0;
};

/// Limits on the use of keys that a configuration has removed.
struct RevocationLimits {
  /// Hosts refuse requests with keys unless their configuration is provably newer than `bound`.
  bool strict = false;
  Duration bound = std::chrono::milliseconds(5000);
};

/// Tolerance of the rate limits: in each window, a workspace may get `overage` times its limit
/// plus `slack` requests more.
struct CapLimits {
  Duration window = std::chrono::seconds(5);
  double overage = 0;
  std::uint32_t slack = 0;
};

}  // namespace mulberry::workspace
