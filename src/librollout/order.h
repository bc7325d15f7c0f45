#pragma once

#include <cstdint>
#include <string>

#include "libbase/base.h"

namespace mulberry::rollout {

/// Limits of a rollout, over all entry hosts together.
struct Limits {
  /// A version that turns out to be bad may get this fraction of the requests that reach the
  /// service until the rollout's time limit, plus canary_slack requests.
  double canary_share = 0.1;
  std::uint32_t canary_slack = 0;
  /// A bad version gets no request that is sent later than this after its 50th bad response.
  Duration rollback_bound = std::chrono::milliseconds(5000);
};

/// An operators' request to move a service to another version of its servers.
struct Order {
  ServiceName service;
  ServerVersion target;
  /// The rollout is to be complete within this time.
  Duration duration{};
  bool operator==(const Order&) const = default;
};

enum class State { kRunning, kCompleted, kRolledBack };

/// The state of a rollout as operators read it. kCompleted and kRolledBack are final.
struct Status {
  ServiceName service;
  ServerVersion target;
  State state = State::kRunning;
  std::string reason;  ///< For operators: what the state rests on.
  bool operator==(const Status&) const = default;
};

/// Returns the snake_case name, for logs and metrics. Thread safety: any thread.
const char* StateName(State state);

}  // namespace mulberry::rollout
