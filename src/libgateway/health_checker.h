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

/// Sends the health checks that ServerPool asks for and gives it what they say. One check at a
/// time and server. Only for the thread that runs the io_context, which must outlive it.
class HealthChecker {
 public:
  HealthChecker(asio::io_context& io, const PlatformAdapter& adapter, ServerPool& pool,
                GatewayMetrics& metrics);
  ~HealthChecker();
  HealthChecker(const HealthChecker&) = delete;
  HealthChecker& operator=(const HealthChecker&) = delete;

  /// Starts the checks that are due, and ends those that take too long.
  void Tick(const ProbeShare& share, TimePoint now);
  /// Servers whose load was learnt from checks since the last call.
  std::vector<ServerName> TakeReported();

 private:
  struct Check {
    std::shared_ptr<HttpClientConnection> link;
    TimePoint started;
  };

  void Start(const ProbeTarget& target, TimePoint now);
  void OnAnswer(const ProbeTarget& target, const ExchangeResult& answer);

  const PlatformAdapter& adapter_;
  ServerPool& pool_;
  GatewayMetrics& metrics_;
  ConnectionPool links_;
  std::map<ServerName, Check> running_;
  std::vector<ServerName> reported_;
};

}  // namespace mulberry::gateway
