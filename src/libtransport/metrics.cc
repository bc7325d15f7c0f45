#include "libtransport/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/exposer.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <exception>

namespace mulberry {

namespace {

constexpr std::size_t kExposerThreads = 2;

}  // namespace

void MetricCounter::Add(double amount) { counter_->Increment(amount); }

void MetricGauge::Set(double value) { gauge_->Set(value); }

void MetricHistogram::Observe(double value) { histogram_->Observe(value); }

void MetricHistogram::Observe(Duration value) {
  histogram_->Observe(std::chrono::duration<double>(value).count());
}

std::vector<double> LatencyBuckets() {
  return {0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0};
}

class Metrics::Impl {
 public:
  std::shared_ptr<prometheus::Registry> registry = std::make_shared<prometheus::Registry>();
  std::unique_ptr<prometheus::Exposer> exposer;
};

Metrics::Metrics() : impl_(std::make_unique<Impl>()) {}

Metrics::~Metrics() = default;

Result<void> Metrics::Open(const std::string& ip, std::uint16_t port) {
  const std::string address = ip + ":" + std::to_string(port);
  try {
    impl_->exposer = std::make_unique<prometheus::Exposer>(address, kExposerThreads);
    impl_->exposer->RegisterCollectable(impl_->registry);
  } catch (const std::exception& failure) {
    impl_->exposer.reset();
    return Fail(ErrorCode::kUnavailable,
                "cannot serve metrics on " + address + ": " + failure.what());
  }
  return boost::outcome_v2::success();
}

std::uint16_t Metrics::port() const {
  if (!impl_->exposer) return 0;
  const std::vector<int> ports = impl_->exposer->GetListeningPorts();
  return ports.empty() ? 0 : static_cast<std::uint16_t>(ports.front());
}

MetricCounter Metrics::CounterFor(const std::string& name, const std::string& help,
                                  const MetricLabels& labels) {
  auto& family = prometheus::BuildCounter().Name(name).Help(help).Register(*impl_->registry);
  return MetricCounter(&family.Add(labels));
}

MetricGauge Metrics::GaugeFor(const std::string& name, const std::string& help,
                              const MetricLabels& labels) {
  auto& family = prometheus::BuildGauge().Name(name).Help(help).Register(*impl_->registry);
  return MetricGauge(&family.Add(labels));
}

MetricHistogram Metrics::HistogramFor(const std::string& name, const std::string& help,
                                      const MetricLabels& labels,
                                      const std::vector<double>& buckets) {
  auto& family = prometheus::BuildHistogram().Name(name).Help(help).Register(*impl_->registry);
  return MetricHistogram(&family.Add(labels, buckets));
}

std::string Metrics::Text() const {
  return prometheus::TextSerializer().Serialize(impl_->registry->Collect());
}

}  // namespace mulberry
