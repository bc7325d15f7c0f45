#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "libbase/base.h"

namespace mulberry {

/// Settings of one entry host, read from an INI file. Every key is validated; see examples/.
struct Settings {
  // [host]
  HostName host;
  DataCentreName data_centre;
  std::string listen_ip;           ///< IPv4 address that all ports of this process listen on.
  std::uint16_t caller_port = 0;   ///< HTTP port for callers and pulleyctl.
  std::uint16_t peer_port = 0;     ///< ZeroMQ port for other entry hosts.
  std::uint16_t metrics_port = 0;  ///< Port for Prometheus metrics.
  // [platform]
  std::string platform_address;  ///< "ip:port" of the service with the log and the host list.
  Duration host_list_interval = std::chrono::milliseconds(1000);
  Duration platform_timeout = std::chrono::milliseconds(3000);
  // [fleet]
  std::string ticket_secret;  ///< Shared by all entry hosts; at least 16 bytes.
  Duration heartbeat_interval = std::chrono::milliseconds(250);
  Duration lease_time = std::chrono::milliseconds(1000);
  Duration address_ttl = std::chrono::milliseconds(2000);
  Duration ticket_ttl = std::chrono::seconds(60);
  /// Number of hosts in each data centre that exchange heartbeats with other data centres.
  std::uint32_t gateways = 4;
  // [limits]
  std::uint32_t max_connections = 2000;
  std::uint32_t max_requests = 4000;  ///< Maximum number of concurrent requests.
  std::size_t max_body_bytes = 1024 * 1024;
  std::size_t max_head_bytes = 16 * 1024;
  /// Memory of all answers that are being received from backend servers, in bytes.
  std::size_t answer_memory_bytes = 64 * 1024 * 1024;
  Duration head_timeout = std::chrono::seconds(5);
  Duration default_deadline = std::chrono::seconds(2);
  Duration max_deadline = std::chrono::seconds(5);
  std::uint32_t max_depth = 8;
  // [policy]
  std::uint32_t queue_per_slot = 16;
  std::uint32_t max_attempts = 3;
  double retry_budget = 0.1;
  std::uint32_t cold_slots = 1;
  /// Minimum time during which a newly started server gets at most cold_slots requests at a time.
  Duration cold_hold = std::chrono::milliseconds(2000);
  Duration idle_recheck = std::chrono::seconds(30);
  // [routing] naive = true selects round robin over all servers with plain retries, as a baseline
  // for comparison.
  bool naive = false;
  // [log]
  std::string log_level = "info";
};

/// Parses settings text. Errors: one Error whose message has one line per error: file, line,
/// section, key, value, allowed range and unit. Unknown sections and keys are errors.
Result<Settings> ParseSettings(const std::string& text, const std::string& file);

/// Reads a settings file. Errors: as ParseSettings, and kNotFound.
Result<Settings> LoadSettings(const std::string& file);

}  // namespace mulberry
