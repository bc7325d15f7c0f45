#include "libentry/service_map.h"

#include <algorithm>

namespace mulberry {
namespace {

bool IsOut(const ConfigState& config, const DataCentreName& data_centre) {
  const auto it = config.data_centres.find(data_centre);
  return it != config.data_centres.end() && it->second.out;
}

bool IsOut(const ConfigState& config, const ServerName& server) {
  const auto it = config.servers.find(server);
  return it != config.servers.end() && it->second.out;
}

bool HasAvailableServer(const ServiceMap::Group& group) {
  return std::any_of(group.servers.begin(), group.servers.end(),
                     [](const ServerInfo& server) { return !server.leaving; });
}

}  // namespace

void ServiceMap::Update(const std::vector<BackendServerEntry>& servers, const ConfigState& config) {
  groups_.clear();
  by_service_.clear();
  addresses_.clear();
  for (const BackendServerEntry& entry : servers) {
    const GroupName name{entry.service, entry.data_centre, 0};
    const GroupKey key = KeyOf(name);
    auto [it, is_new] = groups_.try_emplace(key);
    Group& group = it->second;
    if (is_new) {
      group.name = name;
      group.key = key;
      group.out = IsOut(config, entry.data_centre);
      by_service_[entry.service].push_back(key);
    }
    const bool leaving = entry.leaving || IsOut(config, entry.name);
    group.servers.push_back({entry.name, entry.slots, leaving, entry.cold});
    addresses_[entry.name] = entry.address;
  }
}

std::vector<const ServiceMap::Group*> ServiceMap::GroupsIn(
    const DataCentreName& data_centre) const {
  std::vector<const Group*> found;
  for (const auto& [key, group] : groups_) {
    if (group.name.data_centre == data_centre) {
      found.push_back(&group);
    }
  }
  return found;
}

const ServiceMap::Group* ServiceMap::Find(GroupKey key) const {
  const auto it = groups_.find(key);
  return it == groups_.end() ? nullptr : &it->second;
}

const ServiceMap::Group* ServiceMap::Find(const ServiceName& service,
                                          const DataCentreName& data_centre) const {
  return Find(KeyOf(GroupName{service, data_centre, 0}));
}

std::vector<DataCentreName> ServiceMap::AvailableDataCentres(const ServiceName& service) const {
  std::vector<DataCentreName> available;
  const auto it = by_service_.find(service);
  if (it == by_service_.end()) {
    return available;
  }
  for (const GroupKey key : it->second) {
    const Group& group = groups_.at(key);
    if (!group.out && HasAvailableServer(group)) {
      available.push_back(group.name.data_centre);
    }
  }
  return available;
}

bool ServiceMap::HasService(const ServiceName& service) const {
  return by_service_.contains(service);
}

const std::string& ServiceMap::AddressOf(const ServerName& server) const {
  static const std::string none;
  const auto it = addresses_.find(server);
  return it == addresses_.end() ? none : it->second;
}

std::vector<ServerName> ServiceMap::AvailableServers(const ServiceName& service) const {
  std::vector<ServerName> available;
  const auto it = by_service_.find(service);
  if (it == by_service_.end()) {
    return available;
  }
  for (const GroupKey key : it->second) {
    const Group& group = groups_.at(key);
    for (const ServerInfo& server : group.servers) {
      if (!group.out && !server.leaving) {
        available.push_back(server.name);
      }
    }
  }
  return available;
}

}  // namespace mulberry
