#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "libgateway/connection_pool.h"
#include "libgateway/gateway_metrics.h"
#include "libgateway/platform_adapter.h"
#include "libgateway/server_pool.h"

namespace mulberry::gateway {

/// Sends the health checks that ServerPool requests and passes the results to it. At most one check
/// runs per server. Only for the thread that runs the io_context, which must outlive it.
class HealthChecker {
 public:
  HealthChecker(asio::io_context& io, const PlatformAdapter& adapter, ServerPool& pool,
                GatewayMetrics& metrics);
  ~HealthChecker();
  HealthChecker(const HealthChecker&) = delete;
  HealthChecker& operator=(const HealthChecker&) = delete;

  /// Starts the checks that are due and aborts those that time out.
  void Tick(const HealthCheckShare& share, TimePoint now);
  /// Returns the servers whose load was reported by a check since the last call.
  std::vector<ServerName> TakeReported();

 private:
  struct Check {
    std::shared_ptr<HttpClientConnection> connection;
    TimePoint started;
  };

  void Start(const HealthCheckTarget& target, TimePoint now);
  void OnResult(const HealthCheckTarget& target, const ExchangeResult& result);

  const PlatformAdapter& adapter_;
  ServerPool& pool_;
  GatewayMetrics& metrics_;
  ConnectionPool connections_;
  std::map<ServerName, Check> running_checks_;
  std::vector<ServerName> reported_;
};

}  // namespace mulberry::gateway
