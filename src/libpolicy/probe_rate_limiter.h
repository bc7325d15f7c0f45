#pragma once

#include "libbase/units.h"

namespace mulberry {

/// Token bucket of one probe: a pause earns one probe at most, and a probe has cost its token
/// whatever comes of it. Not thread safe.
class ProbeRateLimiter {
 public:
  explicit ProbeRateLimiter(double probes_per_second) : rate_(probes_per_second) {}

  /// Starts again without a token: a new owner earns its first probe.
  void Restart(TimePoint now);

  /// Changes the rate; the next probe is an interval of the new rate away.
  void SetRate(double probes_per_second, TimePoint now);

  /// Takes one probe; false when none is due yet.
  bool Take(TimePoint now);

  /// Returns when the next probe can be taken, TimePoint::max() when probes are off.
  TimePoint NextTime() const;

 private:
  double rate_;
  TimePoint next_ = TimePoint::max();
};

}  // namespace mulberry
