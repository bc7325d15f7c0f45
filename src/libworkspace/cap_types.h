#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "libbase/base.h"

namespace mulberry::workspace {

/// The time on two clocks. Tokens expire by `now`, which counts suspended time; buckets are
/// refilled by `running`, which does not. Both are safe: each errs on the side of fewer tokens.
struct CapTime {
  TimePoint now;
  TimePoint running;
};

/// A host's request for tokens of some workspaces. `sequence` is unique in a run of the host.
struct TokenQuery {
  struct Part {
    WorkspaceName workspace;
    std::uint32_t tokens = 0;
  };
  std::uint64_t sequence = 0;
  std::vector<Part> parts;
};

/// A lender's answer to a query.
struct TokenGrant {
  struct Part {
    WorkspaceName workspace;
    std::uint32_t tokens = 0;
    /// Content of the lender's bucket after the grant.
    double left = 0;
    /// False if the lender's configuration does not limit the workspace.
    bool known = true;
  };
  StartId receiver_start;
  std::uint64_t sequence = 0;
  std::vector<Part> parts;
};

/// The part of the fleet-wide caps for which this host is responsible, and whom it asks for more.
struct CapRoles {
  /// One per data centre, the host's own data centre first.
  std::vector<HostName> lenders;
  /// This host's index in `lenders`.
  std::optional<std::size_t> own_lender;
  /// Number of hosts over all data centres that have a floor.
  std::size_t floor_hosts = 0;
  bool has_floor = false;
  bool operator==(const CapRoles&) const = default;
};

}  // namespace mulberry::workspace
