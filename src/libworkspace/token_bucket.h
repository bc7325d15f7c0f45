#pragma once

#include <cstdint>

#include "libworkspace/cap_shares.h"

namespace mulberry::workspace {

/// A token bucket that gives out whole tokens and is refilled by fractions. Does no I/O: time is
/// passed in, from a clock that never runs faster than real time. Not thread safe.
class TokenBucket {
 public:
  /// The bucket starts with the restart content. What an earlier owner of the bucket gave out
  /// before `now` counts in no window after `trusted_at`: from then on the bucket holds as much as
  /// if it had started full.
  TokenBucket(const BucketLimits& limits, TimePoint now, TimePoint trusted_at);

  /// Changes the limits; the content is cut to the new size.
  void SetLimits(const BucketLimits& limits, TimePoint now);
  /// Takes up to `wanted` tokens and returns how many.
  std::uint32_t Take(std::uint32_t wanted, TimePoint now);
  /// Whole tokens that can be taken.
  std::uint32_t Available(TimePoint now);
  /// Tokens including the fraction.
  double Content(TimePoint now);
  /// Time until a whole token can be taken; Duration::max() if never.
  Duration TimeUntilToken(TimePoint now);

 private:
  void Refill(TimePoint now);

  BucketLimits limits_;
  double content_;
  /// The content if the bucket had started full.
  double trusted_content_;
  TimePoint trusted_at_;
  TimePoint refilled_at_;
};

}  // namespace mulberry::workspace
