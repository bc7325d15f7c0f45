#include "pulleyctl/leave_check.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace mulberry {

namespace {

bool IsOut(const ConfigState& state, const BackendServerEntry& server) {
  const auto data_centre = state.data_centres.find(server.data_centre);
  if (data_centre != state.data_centres.end() && data_centre->second.out) return true;
  const auto item = state.servers.find(server.name);
  return server.leaving || (item != state.servers.end() && item->second.out);
}

/// Returns the services with at least one backend server that accepts requests.
std::set<ServiceName> ServedServices(const ConfigState& state, const HostList& hosts) {
  std::set<ServiceName> served;
  for (const BackendServerEntry& server : hosts.backend_servers) {
    if (!IsOut(state, server)) served.insert(server.service);
  }
  return served;
}

bool IsListed(const HostList& hosts, const Change& change) {
  const auto matches = [&](const auto& entry, const std::string& name) {
    return change.item == (change.kind == ItemKind::kServer ? name : entry.data_centre.str());
  };
  const auto& servers = hosts.backend_servers;
  const bool has_server = std::any_of(servers.begin(), servers.end(), [&](const auto& server) {
    return matches(server, server.name.str());
  });
  if (has_server || change.kind == ItemKind::kServer) return has_server;
  const auto& entry_hosts = hosts.entry_hosts;
  return std::any_of(entry_hosts.begin(), entry_hosts.end(),
                     [&](const auto& host) { return matches(host, host.name.str()); });
}

/// Returns the configuration with the change applied.
ConfigState StateAfter(ConfigState state, const Change& change) {
  if (const auto* data_centre = std::get_if<DataCentreItem>(&change.value)) {
    state.data_centres[DataCentreName(change.item)] = *data_centre;
  }
  if (const auto* server = std::get_if<ServerItem>(&change.value)) {
    state.servers[ServerName(change.item)] = *server;
  }
  return state;
}

}  // namespace

std::string LeaveBlockedReason(const ConfigState& state, const HostList& hosts,
                               const Change& change) {
  if (!IsListed(hosts, change)) {
    return fmt::format("{} {} is not in the platform's host list", ItemKindName(change.kind),
                       change.item);
  }
  const std::set<ServiceName> before = ServedServices(state, hosts);
  const std::set<ServiceName> after = ServedServices(StateAfter(state, change), hosts);
  for (const auto& [name, item] : state.classes) {
    if (before.count(item.service) == 0 || after.count(item.service) != 0) continue;
    return fmt::format("without {}, service {} (class {}) would have no backend server left",
                       change.item, item.service.str(), name.str());
  }
  return "";
}

}  // namespace mulberry
