#pragma once

#include "libbase/units.h"

namespace mulberry {

/// Token bucket of capacity one that limits the rate of probes. An idle period allows at most one
/// probe, and a probe uses its token whatever its result. Not thread safe.
class ProbeRateLimiter {
 public:
  explicit ProbeRateLimiter(double probes_per_second) : probes_per_second_(probes_per_second) {}

  /// Empties the bucket, so that a new owner's first probe is one interval away.
  void Restart(TimePoint now);

  /// Changes the rate. The next probe is one interval of the new rate away.
  void SetRate(double probes_per_second, TimePoint now);

  /// Takes the token for one probe; false when none is available.
  bool TryTake(TimePoint now);

  /// Returns the time at which a token is available, TimePoint::max() when probes are off.
  TimePoint NextTime() const;

 private:
  double probes_per_second_;
  TimePoint next_token_at_ = TimePoint::max();
};

}  // namespace mulberry
