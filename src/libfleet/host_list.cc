#include "libfleet/host_list.h"

#include <algorithm>
#include <utility>

namespace mulberry {

GroupKey KeyOf(const GroupName& group) {
  return GroupKey(StableHash(group.service.str() + "/" + group.data_centre.str() + "/" +
                             std::to_string(group.shard)));
}

std::vector<HostName> RendezvousOrder(GroupKey group, std::vector<HostName> hosts) {
  std::vector<std::pair<std::uint64_t, HostName>> weighted;
  weighted.reserve(hosts.size());
  for (HostName& host : hosts) {
    const std::uint64_t weight = StableHash(host.str(), group.value());
    weighted.emplace_back(weight, std::move(host));
  }
  std::sort(weighted.begin(), weighted.end(), std::greater<>());
  for (std::size_t i = 0; i < weighted.size(); ++i) hosts[i] = std::move(weighted[i].second);
  return hosts;
}

}  // namespace mulberry
