#pragma once

#include <cstdint>

#include "libbase/base.h"

namespace mulberry::gateway {

/// Estimates whether the servers of a service slow down when nearly full. If so, a full server has
/// a lower throughput than one with a free slot, and requests are better queued in the gateway.
/// Compares the answer times of requests that were sent to nearly full servers with those of all
/// others. Does no I/O. Not thread safe.
class SaturationEstimate {
 public:
  void OnResponse(bool near_full, Duration took);

  /// Answer time at nearly full servers as a multiple of that at the others; 1 until there are
  /// enough samples of both.
  double Slowdown() const;

  /// True when a server with `slots` has a higher throughput with all slots in use than with
  /// `reduced_limit`.
  bool FillingHelps(double slots, double reduced_limit) const {
    return Slowdown() < 1 + kMinGainFraction * (slots / reduced_limit - 1);
  }

 private:
  /// A server's load changes while a request runs, so the measured slowdown is smaller than the
  /// true one; only this fraction of the expected gain is relied on.
  static constexpr double kMinGainFraction = 0.5;

  struct Mean {
    double time_us = 0;
    std::uint32_t count = 0;
    void Add(double value);
  };
  Mean near_full_;
  Mean other_;
};

}  // namespace mulberry::gateway
