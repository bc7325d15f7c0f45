#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>

#include "libentry/entry.h"
#include "libtransport/transport.h"

namespace mulberry {

/// Records the events that EntryHost reports as Prometheus metrics. Not thread safe: use it only on
/// the io_context's thread.
class MetricsObserver : public EntryObserver {
 public:
  /// Precondition: `metrics` outlives the observer.
  explicit MetricsObserver(Metrics& metrics);

  void OnAnswered(const ClassName& class_name, Duration latency) override;
  void OnRefused(const ClassName& class_name, const std::string& reason) override;
  void OnRetry(const ClassName& class_name, const std::string& reason) override;
  void OnForward(const ClassName& class_name, const std::string& result) override;
  void OnProbe(const ServiceName& service) override;
  void OnClaim(const std::string& result) override;
  /// Also writes a log line, since a change of owner explains what requests met meanwhile.
  void OnLeaseChange(const GroupName& group, const std::string& before,
                     const std::string& after) override;

  /// Sets the gauges from a status (EntryHost::Status) and the transports' counters. `server` may
  /// be null when the HTTP server is not running.
  void Publish(const nlohmann::json& status, const PeerSocketCounters& peers,
               const HttpServerCounters* server);

 private:
  /// Metric name, class name (may be empty) and value of the further label.
  using CounterKey = std::tuple<std::string, std::string, std::string>;

  MetricCounter& Counter(const std::string& name, const std::string& help,
                         const std::string& class_name, const std::string& label,
                         const std::string& value);
  void Gauge(const std::string& name, const std::string& help, double value,
             const MetricLabels& labels = {});
  void PublishGroups(const nlohmann::json& groups);

  Metrics& metrics_;
  std::map<CounterKey, MetricCounter> counters_;
  std::map<ClassName, MetricHistogram> latency_histograms_;
};

}  // namespace mulberry
