#pragma once

#include <cstddef>

#include "libworkspace/types.h"

namespace mulberry::workspace {

/// A granted token expires this long after the request for it was sent. Four fifths of a cap are
/// lent, so this adds 0.4 s worth of the rate to a window of 5 s, which an overage of 0.1 allows.
inline constexpr Duration kTokenLifetime = std::chrono::milliseconds(500);

/// A bucket's refill rate in tokens per second, its size, and its content after a restart.
struct BucketLimits {
  double rate_per_s = 0;
  double capacity = 0;
  double restart_content = 0;
  bool operator==(const BucketLimits&) const = default;
};

/// Parts of a workspace's cap: of each lender, and of each host with a floor (all zero if the cap
/// is too small to be divided among them).
struct CapShare {
  BucketLimits lender;
  BucketLimits floor;
};

/// Divides a cap so that the sends of all hosts in a window stay within
/// (rate x window + burst) x (1 + overage) + slack; see docs/design/workspace-caps.md.
/// Thread safety: any thread.
CapShare ShareOf(const Workspace& workspace, const CapLimits& limits, std::size_t lenders,
                 std::size_t floor_hosts);

}  // namespace mulberry::workspace
