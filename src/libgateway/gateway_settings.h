#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "libbase/base.h"
#include "libgateway/retry_budget.h"
#include "libplacement/placement.h"
#include "librollout/rollout.h"
#include "libworkspace/workspace.h"

namespace mulberry::gateway {

/// Settings of one gateway, read from an INI file.
struct GatewaySettings {
  // [host]
  HostName host;
  DataCentreName data_centre;
  std::string ip;
  /// Processor capacity of this host, in cores.
  double processor_share = 1;
  /// Memory that this process may use, in MiB; the bodies that it holds get a fixed part of it.
  std::uint32_t memory_mb = 1024;
  double link_mbps = 1000;  ///< Bandwidth of this host's link, in megabits per second.
  // [listen]
  std::string callers;  ///< "ip:port", as are the next two.
  std::string readiness;
  std::string directory;
  std::uint16_t peer_port = 0;     ///< UDP port for messages from other hosts.
  std::uint16_t metrics_port = 0;  ///< TCP port that serves metrics as text.
  // [store]
  std::string store_address;
  /// The whole fleet starts for the first time, so the store has no host list yet.
  bool first_start = false;
  /// Interval at which backend servers refresh their entries.
  Duration server_heartbeat = std::chrono::milliseconds(1500);
  /// Time after which a server that announced its leaving must get no more requests; store updates
  /// are read in less than half of it.
  Duration leaving_bound = std::chrono::milliseconds(2000);
  // [callers]
  Duration longest_ttl = std::chrono::seconds(5);
  /// Time between the stop signal and the kill.
  Duration grace = std::chrono::seconds(6);
  // [budget]
  RetryLimits retries;
  /// A cold server gets at most cold_overage times the service's cold rate plus cold_slack
  /// requests.
  double cold_overage = 1.5;
  std::uint32_t cold_slack = 0;
  // [rollout]
  std::optional<rollout::Limits> rollout;  ///< Empty: versions of servers are ignored.
  // [workspaces]
  workspace::RevocationLimits revocation;
  workspace::CapLimits caps;
  // [placement]
  /// Decide by load and cost how many requests go to other data centres.
  bool spill = false;
  placement::SpillSettings spill_costs = {};
  // [log]
  std::string log_level = "info";
};

/// Parses settings text. Errors: one line per fault. Thread safety: any thread.
Result<GatewaySettings> ParseGatewaySettings(const std::string& text, const std::string& file);

/// Reads a settings file. Errors: as ParseGatewaySettings, and kNotFound.
Result<GatewaySettings> LoadGatewaySettings(const std::string& file);

}  // namespace mulberry::gateway
