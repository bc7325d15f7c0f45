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
  void OnRetry(std::string_view reason);
  void OnHealthCheck(std::string_view end);
  void OnSpill(const ServiceName& service, std::string_view reason);
  void OnCallerDisconnected();
  void OnQueueWait(Duration waited);
  void SetGauge(const std::string& name, const std::string& help, double value);

  std::string Text() const { return metrics_.Text(); }

 private:
  Metrics metrics_;
};

}  // namespace mulberry::gateway
