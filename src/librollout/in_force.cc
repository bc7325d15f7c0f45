#include "librollout/in_force.h"

namespace mulberry::rollout {

ServerVersion ChooseInForce(const VersionCounts& counts, const ServerVersion& current,
                            const ServerVersion& target) {
  if (counts.empty() || counts.contains(current)) return current;
  ServerVersion most;
  std::size_t servers = 0;
  for (const auto& [version, count] : counts) {
    if (version == target || count <= servers) continue;
    most = version;
    servers = count;
  }
  return servers > 0 ? most : target;
}

}  // namespace mulberry::rollout
