#pragma once

#include <cstdint>

#include "libbase/base.h"

namespace mulberry::gateway {

/// Learns whether the servers of a service slow down when they are nearly full: then a full server
/// does less in all than one with a slot to spare, and requests do better to wait outside. Compares
/// the answer times of requests that were sent to nearly full servers with those of the others.
/// Pure. Not thread safe.
class SaturationEstimate {
 public:
  void OnAnswer(bool near_full, Duration took);

  /// Answer time at a nearly full server as a multiple of the others', 1 until there are enough
  /// answers of both kinds.
  double Factor() const;

  /// True when a server with `slots` does more with all of them in use than with `spare_limit`.
  bool FullPays(double slots, double spare_limit) const {
    return Factor() < 1 + kCertainPart * (slots / spare_limit - 1);
  }

 private:
  /// A server's load changes while a request runs, so that the measured factor is smaller than the
  /// true one.
  static constexpr double kCertainPart = 0.5;

  struct Mean {
    double time_us = 0;
    std::uint32_t count = 0;
    void Add(double value);
  };
  Mean near_full_;
  Mean others_;
};

}  // namespace mulberry::gateway
