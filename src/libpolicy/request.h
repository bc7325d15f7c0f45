#pragma once

#include <cstdint>
#include <vector>

#include "libpolicy/backend_server.h"
#include "libpolicy/types.h"

namespace mulberry {

struct ClassState;
struct Attempt;

/// A request that the dispatcher has accepted and not ended.
struct Request {
  enum class State {
    kQueued,       ///< Waiting for its first attempt.
    kRetryQueued,  ///< Waiting for a further attempt.
    kRunning,      ///< At least one attempt is running.
  };

  RequestId id;
  ClassState* class_state = nullptr;
  TimePoint arrived;
  TimePoint deadline;
  /// Arrival plus the latency target of the class.
  TimePoint due;
  bool no_retry = false;
  /// As when the request was accepted; a later change of its class does not matter.
  bool idempotent = true;
  State state = State::kQueued;
  std::uint32_t attempts = 0;
  /// True once an attempt ended that a server may have run.
  bool may_have_run = false;
  RetryReason retry_reason = RetryReason::kShed;
  /// Time at which a hedge is due; TimePoint::max() when no hedge timer is armed.
  TimePoint hedge_at = TimePoint::max();
  std::vector<Attempt*> running;
  std::vector<BackendServer*> tried;
};

/// An attempt that is running on a server. It outlives its request when the answer is no longer
/// needed, because it occupies its slot until its end is reported.
struct Attempt {
  DispatchId id;
  Request* request = nullptr;
  ClassState* class_state = nullptr;
  BackendServer* server = nullptr;
  TimePoint started;
  std::uint32_t epoch = 0;
};

}  // namespace mulberry
