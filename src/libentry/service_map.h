#pragma once

#include <map>
#include <string>
#include <vector>

#include "libentry/types.h"

namespace mulberry {

/// The known backend servers by group, and which of them may receive work. Combines the platform's
/// server list with the configuration. Not thread safe.
class ServiceMap {
 public:
  /// The backend servers of one service in one data centre.
  struct Group {
    GroupName name;
    GroupKey key;
    std::vector<ServerInfo> servers;
    /// True when operators have taken the data centre out of service.
    bool out = false;
  };

  /// Rebuilds the map from the server list and the configuration.
  void Update(const std::vector<BackendServerEntry>& servers, const ConfigState& config);

  /// Returns the groups of a data centre.
  std::vector<const Group*> GroupsIn(const DataCentreName& data_centre) const;

  /// Returns the group, nullptr if unknown.
  const Group* Find(GroupKey key) const;
  const Group* Find(const ServiceName& service, const DataCentreName& data_centre) const;

  /// Returns the data centres that may take work for a service: not out, with at least one server
  /// that is not leaving.
  std::vector<DataCentreName> AvailableDataCentres(const ServiceName& service) const;

  /// True when any data centre has a backend server for the service.
  bool HasService(const ServiceName& service) const;

  /// Returns the address of a server, empty if unknown.
  const std::string& AddressOf(const ServerName& server) const;

  /// Returns all available servers of a service, for the naive baseline.
  std::vector<ServerName> AvailableServers(const ServiceName& service) const;

 private:
  std::map<GroupKey, Group> groups_;
  std::map<ServiceName, std::vector<GroupKey>> by_service_;
  std::map<ServerName, std::string> addresses_;
};

}  // namespace mulberry
