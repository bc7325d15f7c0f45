#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "libbase/base.h"

namespace mulberry {

/// One entry host in the platform's list.
struct EntryHostEntry {
  HostName name;
  DataCentreName data_centre;
  std::string http_address;  ///< "ip:port" for callers.
  std::string peer_address;  ///< "ip:port" for other entry hosts.
  bool leaving = false;
};

/// One backend server in the platform's list.
struct BackendServerEntry {
  ServerName name;
  ServiceName service;
  DataCentreName data_centre;
  std::string address;  ///< "ip:port".
  std::uint32_t slots = 1;
  std::uint32_t connections = 0;
  bool leaving = false;
  bool cold = false;
};

/// The platform's list of live and leaving hosts. It may be out of date.
struct HostList {
  std::vector<EntryHostEntry> entry_hosts;
  std::vector<BackendServerEntry> backend_servers;
};

/// The servers of one service in one data centre. `shard` splits a group whose load is too high for
/// one entry host.
struct GroupName {
  ServiceName service;
  DataCentreName data_centre;
  std::uint32_t shard = 0;
  auto operator<=>(const GroupName&) const = default;
};

/// Returns the group's key, the same on every host.
GroupKey KeyOf(const GroupName& group);

/// Returns the hosts in rendezvous (highest random weight) order for a group; the first is the
/// preferred owner. The order of two hosts does not depend on which others are in the list.
/// Precondition: names are distinct.
std::vector<HostName> RendezvousOrder(GroupKey group, std::vector<HostName> hosts);

}  // namespace mulberry
