#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "libbase/units.h"

namespace mulberry {

/// Mean and quantiles of the most recent answer times. Uses a fixed amount of memory. Quantiles are
/// recomputed only every kRecomputeInterval samples, so that Add is cheap. Not thread safe.
class LatencyWindow {
 public:
  /// Adds the time of one answer.
  void Add(Duration latency, TimePoint now);

  /// True once there are enough samples for quantiles.
  bool Ready() const { return count_ >= kMinSamples; }

  /// Returns the exponentially smoothed mean, `fallback` before the first sample.
  Duration Mean(Duration fallback) const;

  /// Returns the median, zero until Ready().
  Duration Median() const { return median_; }

  /// Returns the 95th percentile, zero until Ready().
  Duration P95() const { return p95_; }

  /// Returns the 10th percentile. It is zero until Ready() and when the newest sample is outdated:
  /// otherwise requests refused because of an old percentile would prevent new samples.
  Duration P10(TimePoint now) const;

 private:
  static constexpr std::size_t kMinSamples = 16;
  static constexpr std::size_t kWindowSize = 128;
  static constexpr std::size_t kRecomputeInterval = 16;

  void Recompute();

  std::array<std::int64_t, kWindowSize> samples_{};
  std::size_t count_ = 0;
  std::size_t next_index_ = 0;
  double mean_us_ = 0;
  Duration p10_{};
  Duration median_{};
  Duration p95_{};
  TimePoint newest_sample_at_;
};

}  // namespace mulberry
