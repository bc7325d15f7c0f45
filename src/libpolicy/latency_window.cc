#include "libpolicy/latency_window.h"

#include <algorithm>

namespace mulberry {
namespace {

constexpr double kMeanSmoothing = 1.0 / 32;
constexpr Duration kP10Validity = std::chrono::seconds(1);

}  // namespace

void LatencyWindow::Add(Duration latency, TimePoint now) {
  const auto latency_us = latency.count();
  mean_us_ = count_ == 0 ? static_cast<double>(latency_us)
                         : mean_us_ + kMeanSmoothing * (static_cast<double>(latency_us) - mean_us_);
  samples_[next_index_] = latency_us;
  next_index_ = (next_index_ + 1) % kWindowSize;
  count_ = std::min(count_ + 1, kWindowSize);
  newest_sample_at_ = now;
  if (count_ == kMinSamples || next_index_ % kRecomputeInterval == 0) Recompute();
}

Duration LatencyWindow::Mean(Duration fallback) const {
  return count_ == 0 ? fallback : Duration(static_cast<std::int64_t>(mean_us_));
}

Duration LatencyWindow::P10(TimePoint now) const {
  return now - newest_sample_at_ > kP10Validity ? Duration::zero() : p10_;
}

void LatencyWindow::Recompute() {
  if (count_ < kMinSamples) return;
  auto sorted = samples_;
  const auto begin = sorted.begin();
  const auto end = begin + static_cast<std::ptrdiff_t>(count_);
  const auto p50 = begin + static_cast<std::ptrdiff_t>(count_ / 2);
  const auto p10 = begin + static_cast<std::ptrdiff_t>(count_ / 10);
  const auto p95 = begin + static_cast<std::ptrdiff_t>(count_ * 95 / 100);
  std::nth_element(begin, p50, end);
  std::nth_element(begin, p10, p50);
  std::nth_element(p50, p95, end);
  p10_ = Duration(*p10);
  median_ = Duration(*p50);
  p95_ = Duration(*p95);
}

}  // namespace mulberry
