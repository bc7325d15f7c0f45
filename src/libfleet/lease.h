#pragma once

#include <cstdint>

#include "libbase/base.h"

namespace mulberry {

/// Times of leases.
struct LeaseOptions {
  /// A grant lasts this long after the heartbeat that asked for it.
  Duration lease_time = std::chrono::milliseconds(1000);
  /// Taken off at the holder, for differences between clocks' rates.
  Duration clock_drift_margin = std::chrono::milliseconds(100);
  /// Longest time that a dispatched request can run.
  Duration max_request_time = std::chrono::seconds(5);
  /// Grantors asked for each group, in rendezvous order, the owner itself included.
  std::uint32_t grantor_count = 3;
};

/// How much the owner of a group may do, in rising order.
enum class LeasePhase {
  kNone,
  kReduced,  ///< A former owner's requests may still run.
  kWarm,     ///< A grantor that the platform lists does not answer, so a rival owner can exist.
  kFull,     ///< All grantors granted: there is no other owner.
};

/// A lease as its holder sees it.
struct Lease {
  LeasePhase phase = LeasePhase::kNone;
  TimePoint expires;
};

}  // namespace mulberry
