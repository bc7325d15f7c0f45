#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "libbase/base.h"

namespace mulberry::gateway {

/// Number of a configuration; a higher one replaces a lower one.
using ConfigVersion = StrongNumber<struct ConfigVersionTag>;
/// Number of a caller's request at this host.
using CallId = StrongNumber<struct CallIdTag>;
/// Number of one send of a call to a backend server.
using AttemptId = StrongNumber<struct AttemptIdTag>;

/// One service of a route and the share of requests that it takes.
struct RouteShare {
  ServiceName service;
  std::uint32_t weight = 1;
};

/// Which requests go to which services, and how they are served.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;
  bool idempotent = false;
  /// Longest time that a caller is kept waiting.
  Duration timeout{};
  /// Answer time that the class should keep.
  Duration latency_target{};
  /// Rank in a queue, 0 is served first.
  std::uint32_t priority = 0;
  /// Servers that one request may be sent to at most.
  std::uint32_t max_attempts = 1;
  /// At least one; the weights sum to more than zero.
  std::vector<RouteShare> shares;
};

/// What holds for all servers of one service.
struct Service {
  ServiceName name;
  std::string health_path;
  /// Connections that one server accepts from all hosts together.
  std::uint32_t max_connections = 0;
  /// How long a server stays cold after its start.
  Duration cold_time{};
  /// Requests a second that a cold server bears.
  double cold_rate = 0;
};

/// Limits on what a caller may send, and how long it may take.
struct CallerLimits {
  std::size_t max_head_bytes = 16 * 1024;
  std::size_t max_body_bytes = 1024 * 1024;
  Duration head_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

/// A whole configuration.
struct Config {
  ConfigVersion version;
  std::vector<Route> routes;
  std::map<ServiceName, Service> services;
  CallerLimits limits;
};

/// What a backend server says of itself in the store.
struct ServerEntry {
  ServerName id;
  ServiceName service;
  std::string address;  ///< "ip:port".
  DataCentreName data_centre;
  std::uint32_t slots = 1;
  bool leaving = false;
  /// How much longer the server stays cold, as of the writing of the entry.
  Duration cold_time_left{};
  /// Wall-clock millisecond of its start; another value is another start.
  std::int64_t started_at_ms = 0;
};

/// Load of a server at the moment of an answer.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  /// How long work takes on the server's machine now, 1 is usual.
  double slowness = 1;
};

/// The server says how much longer it stays cold, in answers to health checks.
struct HealthReport {
  bool healthy = false;
  ServerName id;
  Duration cold_time_left{};
  std::optional<LoadReport> load;
};

/// A fact that operators state in the store.
struct ConfigUpdate {
  Config config;
};
struct DataCentreOutUpdate {
  DataCentreName data_centre;
  bool out = false;
};
/// A record of no interest.
struct UnknownUpdate {};
using OperatorUpdate = std::variant<UnknownUpdate, ConfigUpdate, DataCentreOutUpdate>;

/// Where another entry host can be reached.
struct HostRecord {
  HostName host;
  DataCentreName data_centre;
  std::string peer_address;  ///< "ip:port" of its datagram socket.
  /// Requests a second that it serves with ease.
  double capacity = 100;
  bool operator==(const HostRecord&) const = default;
};

}  // namespace mulberry::gateway
