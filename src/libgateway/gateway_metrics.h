#pragma once

#include <string>

#include "libbase/base.h"
#include "libtransport/metrics.h"

namespace mulberry::gateway {

/// The gateway's counters, gauges and histograms. Only for one thread.
class GatewayMetrics {
 public:
  GatewayMetrics();

  void OnResponse(const ServiceName& service, int status, Duration took);
  void OnRefusal(std::string_view reason);
  void OnAttempt(std::string_view end, Duration took);
  /// A send to a server of a version has ended; counted where rollouts are on.
  void OnVersionAttempt(const ServiceName& service, const ServerVersion& version,
                        std::string_view end);
  void OnRetry(std::string_view reason);
  void OnHealthCheck(std::string_view end);
  /// A request of a workspace was refused because of its rate limit.
  void OnCapRefusal(const WorkspaceName& workspace);
  /// Tokens of rate limits that this host borrowed or lent.
  void OnCapTokens(std::string_view direction, std::uint64_t count);
  /// Datagrams about tokens that this host sent.
  void OnCapDatagram();
  void OnSpill(const ServiceName& service, std::string_view reason);
  void OnCallerDisconnected();
  void OnQueueWait(Duration waited);
  void SetGauge(const std::string& name, const std::string& help, double value);

  std::string Text() const { return metrics_.Text(); }

 private:
  Metrics metrics_;
};

}  // namespace mulberry::gateway
