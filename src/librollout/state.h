#pragma once

#include <cstdint>
#include <string>

#include "librollout/evidence.h"
#include "librollout/order.h"

namespace mulberry::rollout {

/// Phase of an order, in the order in which they follow each other. kRolledBack may follow each of
/// the first three.
enum class Phase : std::uint8_t {
  kCanary,      ///< The target gets granted requests only.
  kShift,       ///< The target gets requests first, other versions those for which it has no room.
  kDrain,       ///< The target gets all requests; those in flight elsewhere end.
  kCommit,      ///< The same, and the version is not taken back any more.
  kCompleted,   ///< Final.
  kRolledBack,  ///< Final.
};

/// Returns the snake_case name, for logs. Thread safety: any thread.
const char* PhaseName(Phase phase);
constexpr bool IsFinal(Phase phase) { return phase >= Phase::kCompleted; }

/// How long a state counts after the host's question that it answers: a host leaves the target
/// after this time without news.
constexpr Duration kStateLifetime = std::chrono::milliseconds(1000);

/// What a host tells the coordinator about an order. Counts are cumulative since the host knows the
/// order.
struct Report {
  Order order;
  Duration age{};              ///< Since the order was first known to any host, as far as known.
  std::int64_t host_time = 0;  ///< The host's clock, in microseconds; repeated in the answer.
  std::uint64_t requests = 0;  ///< Callers' requests of the service.
  std::uint64_t sent = 0;      ///< Sent to servers of the target.
  std::uint64_t exposed = 0;   ///< The greatest State::exposed received.
  Phase phase = Phase::kCanary;
  bool recorded = false;
  std::string reason;
  std::uint32_t others_in_flight = 0;  ///< Requests in flight at servers of other versions.
  Evidence evidence;
};

/// The coordinator's answer to a report.
struct StateUpdate {
  ServiceName service;
  ServerVersion target;
  Phase phase = Phase::kCanary;
  bool recorded = false;  ///< The final state is in the store.
  std::string reason;
  Duration age{};
  std::int64_t host_time = 0;  ///< Of the report.
  /// Number of requests that the receiver may have sent to the target since its start.
  std::uint64_t granted = 0;
  /// Number of requests that the target may have received in all.
  std::uint64_t exposed = 0;
};

}  // namespace mulberry::rollout
