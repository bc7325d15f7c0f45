#pragma once

#include <cstddef>
#include <map>

#include "libbase/base.h"

namespace mulberry::rollout {

/// Number of a service's servers by version.
using VersionCounts = std::map<ServerVersion, std::size_t>;

/// Returns the version in force where no rollout has decided it: `current` while it has servers;
/// else the version of most servers that is not `target`; else the target. Keeps `current` if the
/// service has no servers. Thread safety: any thread.
ServerVersion ChooseInForce(const VersionCounts& counts, const ServerVersion& current,
                            const ServerVersion& target);

}  // namespace mulberry::rollout
