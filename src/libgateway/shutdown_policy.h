#pragma once

#include <cstddef>

#include "libbase/base.h"

namespace mulberry::gateway {

/// What a host that shuts down does next.
enum class ShutdownStep {
  kServe,      ///< Serves callers that still use its address.
  kCloseIdle,  ///< Closes its port and idle connections; exits when no connection is left.
  kExit        ///< Exits in any case.
};

/// Decides how long a host that shuts down serves callers, and which requests it still accepts, so
/// that each accepted request is answered before the exit. Does no I/O: time is passed in.
/// Thread safety: any thread.
class ShutdownPolicy {
 public:
  /// The process is killed at the end of the grace period.
  ShutdownPolicy(TimePoint started, Duration grace);

  /// `pending_requests`: accepted and not answered. `longest_request`: upper bound of the time from
  /// a request's arrival to its answer.
  ShutdownStep Next(std::size_t pending_requests, Duration longest_request, TimePoint now) const;

  /// True if a request may be accepted that is answered at `latest_answer` at the latest. While
  /// callers follow addresses that this host gave out, it accepts all requests.
  bool Accepts(TimePoint latest_answer, TimePoint now) const;

 private:
  TimePoint min_end_;
  TimePoint exit_at_;
};

}  // namespace mulberry::gateway
