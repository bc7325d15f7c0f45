#pragma once

#include <cstdint>
#include <string>

#include "libbase/base.h"
#include "libgateway/retry_budget.h"

namespace mulberry::gateway {

/// Settings of one gateway, read from an INI file.
struct GatewaySettings {
  // [host]
  HostName host;
  DataCentreName data_centre;
  std::string ip;
  /// Processor of this host, in cores.
  double processor_share = 1;
  double link_mbps = 1000;  ///< Bandwidth of this host's link, in megabits a second.
  // [listen]
  std::string callers;  ///< "ip:port" of each.
  std::string readiness;
  std::string directory;
  std::uint16_t peer_port = 0;     ///< Datagrams of other hosts.
  std::uint16_t metrics_port = 0;  ///< Counters and histograms as text.
  // [store]
  std::string store_address;
  /// The whole system starts for the first time, so that no host is in the store's list yet.
  bool first_start = false;
  /// How often backend servers refresh their entries.
  Duration server_heartbeat = std::chrono::milliseconds(1500);
  /// Time after which an acknowledged leaving binds; news is read at less than half of it.
  Duration leaving_bound = std::chrono::milliseconds(2000);
  // [callers]
  Duration longest_ttl = std::chrono::seconds(5);
  /// Time between the signal to stop and the kill.
  Duration grace = std::chrono::seconds(6);
  // [budget]
  RetryLimits retries;
  /// Multiple of a service's cold rate that a cold server gets at most, and requests on top.
  double cold_overage = 1.5;
  std::uint32_t cold_slack = 0;
  // [log]
  std::string log_level = "info";
};

/// Parses settings text. Errors: one line for each fault. Thread safety: any thread.
Result<GatewaySettings> ParseGatewaySettings(const std::string& text, const std::string& file);

/// Reads a settings file. Errors: as ParseGatewaySettings, and kNotFound.
Result<GatewaySettings> LoadGatewaySettings(const std::string& file);

}  // namespace mulberry::gateway
