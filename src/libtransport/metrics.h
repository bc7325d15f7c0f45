#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "libbase/base.h"

namespace prometheus {
class Counter;
class Gauge;
class Histogram;
}  // namespace prometheus

namespace mulberry {

/// Labels of one metric: label name to value.
using MetricLabels = std::map<std::string, std::string>;

/// Handle to a counter. Cheap to copy and increment; valid while its Metrics exists. Thread safe.
class MetricCounter {
 public:
  /// Precondition: `amount` is not negative.
  void Add(double amount = 1.0);

 private:
  friend class Metrics;
  explicit MetricCounter(prometheus::Counter* counter) : counter_(counter) {}
  prometheus::Counter* counter_;
};

/// Handle to a gauge. Valid while its Metrics exists. Thread safe.
class MetricGauge {
 public:
  void Set(double value);

 private:
  friend class Metrics;
  explicit MetricGauge(prometheus::Gauge* gauge) : gauge_(gauge) {}
  prometheus::Gauge* gauge_;
};

/// Handle to a histogram. Valid while its Metrics exists. Thread safe.
class MetricHistogram {
 public:
  void Observe(double value);
  /// Records a duration in seconds, the unit that Prometheus expects.
  void Observe(Duration value);

 private:
  friend class Metrics;
  explicit MetricHistogram(prometheus::Histogram* histogram) : histogram_(histogram) {}
  prometheus::Histogram* histogram_;
};

/// Upper bounds of histogram buckets for latencies, in seconds.
std::vector<double> LatencyBuckets();

/// Registry of all metrics of a process, exposed to Prometheus. Requesting the same name and labels
/// again returns the same metric; code on the per-request path should store the handles. Thread
/// safe.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Serves /metrics on ip:port from dedicated threads. Errors: kUnavailable.
  Result<void> Open(const std::string& ip, std::uint16_t port);

  /// Returns the listening port (useful with port 0), or 0 before Open.
  std::uint16_t port() const;

  /// Preconditions of the next three functions: names and label names consist of letters, digits
  /// and
  /// '_'; a name is always used for the same metric type, and a histogram name always with the same
  /// buckets.
  MetricCounter CounterFor(const std::string& name, const std::string& help,
                           const MetricLabels& labels = {});
  MetricGauge GaugeFor(const std::string& name, const std::string& help,
                       const MetricLabels& labels = {});
  MetricHistogram HistogramFor(const std::string& name, const std::string& help,
                               const MetricLabels& labels = {},
                               const std::vector<double>& buckets = LatencyBuckets());

  /// Returns all metrics in Prometheus' text format.
  std::string Text() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace mulberry
