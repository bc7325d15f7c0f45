#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "libbase/base.h"
#include "librollout/rollout.h"
#include "libworkspace/workspace.h"

namespace mulberry::gateway {

/// Version of a configuration; a higher one replaces a lower one.
using ConfigVersion = StrongNumber<struct ConfigVersionTag>;
/// Identifies a caller's request at this host.
using CallId = StrongNumber<struct CallIdTag>;
/// Identifies one attempt to send a call to a backend server.
using AttemptId = StrongNumber<struct AttemptIdTag>;

/// Position in a topic of the store. An offset is given out again when the store is restored, so it
/// means something only in its era.
struct TopicPosition {
  StoreEra era;
  Offset offset;
  auto operator<=>(const TopicPosition&) const = default;
};

/// One service of a route and its weight in the traffic split.
struct RouteShare {
  ServiceName service;
  std::uint32_t weight = 1;
};

/// Maps requests to services and says how they are served.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;
  bool idempotent = false;
  /// Requests need no key even if the configuration has workspaces.
  bool open = false;
  /// Maximum time until the caller gets an answer.
  Duration timeout{};
  /// Target for the time until the answer.
  Duration latency_target{};
  /// Queue priority; 0 is served first.
  std::uint32_t priority = 0;
  /// Maximum number of servers that one request may be sent to.
  std::uint32_t max_attempts = 1;
  /// Never empty; the sum of the weights is positive.
  std::vector<RouteShare> shares;
};

/// Settings shared by all servers of one service.
struct Service {
  ServiceName name;
  std::string health_path;
  /// Maximum number of connections to one server from all entry hosts together.
  std::uint32_t max_connections = 0;
  /// How long a server stays cold (warming up) after its start.
  Duration cold_time{};
  /// Requests per second that a cold server can handle.
  double cold_rate = 0;
};

/// Limits on the size and duration of callers' requests.
struct CallerLimits {
  std::size_t max_head_bytes = 16 * 1024;
  std::size_t max_body_bytes = 1024 * 1024;
  Duration head_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

/// A complete configuration.
struct Config {
  ConfigVersion version;
  std::vector<Route> routes;
  std::map<ServiceName, Service> services;
  /// Empty: callers need no keys.
  std::vector<workspace::Workspace> workspaces;
  CallerLimits limits;
};

/// The entry that a backend server registers in the store.
struct ServerEntry {
  ServerName id;
  ServiceName service;
  std::string address;  ///< "ip:port".
  DataCentreName data_centre;
  ServerVersion version;
  std::uint32_t slots = 1;
  bool leaving = false;
  /// Remaining time until the server is warm, as of when the entry was written.
  Duration cold_time_left{};
  /// Wall-clock start time in milliseconds since the epoch; a different value means that the server
  /// restarted.
  std::int64_t started_at_ms = 0;
  /// Rises with each entry that the server writes after its start.
  std::uint64_t sequence = 0;
};

/// Load of a server at the time of a response.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  /// Current service time on the server's machine as a multiple of the usual one; 1 is usual.
  double slowness = 1;
};

/// A server's answer to a health check, including how much longer it stays cold.
struct HealthReport {
  bool healthy = false;
  ServerName id;
  Duration cold_time_left{};
  std::optional<LoadReport> load;
  bool leaving = false;
};

/// A change that operators publish in the store: a configuration, taking a data centre out of
/// service or back, or a rollout of a version.
struct ConfigUpdate {
  Config config;
};
struct DataCentreOutUpdate {
  DataCentreName data_centre;
  bool out = false;
};
/// A rollout of a service is ordered.
struct RolloutUpdate {
  rollout::Order order;
};
/// The order of a rollout of the service is withdrawn.
struct RolloutWithdrawnUpdate {
  ServiceName service;
};
/// A rollout record that cannot be carried out. It changes nothing; the status tells why.
struct InvalidRolloutUpdate {
  ServiceName service;
  ServerVersion target;  ///< Empty if the record does not name one.
  std::string problem;
};
/// A record that the gateway ignores.
struct UnknownUpdate {};
using OperatorUpdate = std::variant<UnknownUpdate, ConfigUpdate, DataCentreOutUpdate, RolloutUpdate,
                                    RolloutWithdrawnUpdate, InvalidRolloutUpdate>;

/// An entry host as listed in the store.
struct HostRecord {
  HostName host;
  DataCentreName data_centre;
  std::string peer_address;  ///< "ip:port" of its UDP socket.
  /// Requests per second that it can serve with capacity to spare.
  double capacity = 100;
  bool operator==(const HostRecord&) const = default;
};

}  // namespace mulberry::gateway
