#pragma once

#include <cstdint>

#include "libbase/base.h"

namespace mulberry {

/// Lease durations and quorum size.
struct LeaseOptions {
  /// A grant is valid for this long after the heartbeat that requested it was sent.
  Duration lease_time = std::chrono::milliseconds(1000);
  /// The holder treats its lease as expired this much earlier, to allow for clock rate drift.
  Duration clock_drift_margin = std::chrono::milliseconds(100);
  /// Longest time for which a dispatched request can run.
  Duration max_request_time = std::chrono::seconds(5);
  /// Number of grantors per group: the first hosts in rendezvous order, including the owner.
  std::uint32_t grantor_count = 3;
};

/// How much work the owner of a group may dispatch, in increasing order.
enum class LeasePhase {
  kNone,
  kReduced,  ///< Requests of a former owner may still be running.
  kWarm,     ///< A listed grantor does not answer, so another host may also own the group.
  kFull,     ///< All grantors granted: there is no other owner.
};

/// State of a lease at its holder.
struct Lease {
  LeasePhase phase = LeasePhase::kNone;
  TimePoint expires;
};

}  // namespace mulberry
