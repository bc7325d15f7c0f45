#pragma once

#include <cstdint>
#include <string>

#include "libgateway/types.h"

namespace mulberry::gateway {

/// How an attempt at a backend server ended.
enum class AttemptOutcome {
  kAnswered,       ///< A complete, signed response of the server to this request.
  kServerFailure,  ///< The same with status 500 or above: it ran and failed.
  kShed,           ///< The server was overloaded and did not run the request.
  kMisdirected,    ///< Another server now has the address; not run.
  kConnectFailed,  ///< No connection in time; nothing was sent.
  kNotSent,        ///< Failed before the first byte of the request.
  kBroken,         ///< Failed after the first byte, or the response is invalid.
  kTimedOut,       ///< No response before the deadline.
  kCancelled,      ///< Cancelled by this host.
};

/// Returns the snake_case name, for logs and metrics.
const char* AttemptOutcomeName(AttemptOutcome end);

/// True when the outcome proves that the server did not run the request.
bool ProvesNotRun(AttemptOutcome end);

/// State of a call that decides what may follow an attempt.
struct CallState {
  bool idempotent = false;
  std::uint32_t attempts = 0;
  std::uint32_t max_attempts = 1;
  /// Attempts that are still running.
  std::uint32_t running = 0;
  /// An earlier attempt may have run.
  bool may_have_run = false;
};

/// True when a first or further attempt may start: attempts are left and, unless the call is
/// idempotent, no earlier one runs or may have run. Thread safety: any thread.
bool MayStartAttempt(const CallState& call);

/// What to do next with a call.
enum class NextStep {
  kRelay,  ///< Relay the server's response to the caller.
  kRetry,  ///< Send to another server if the retry budget allows.
  kWait,   ///< Wait for an attempt that is still running.
  kFail,   ///< Fail the call; no further attempt is allowed.
};

/// Decides what follows the end of an attempt. Thread safety: any thread.
NextStep DecideNextStep(const CallState& call, AttemptOutcome end);

/// Returns the status of the gateway's own response for a failed call; 503 guarantees that the
/// request has not run and will not run.
int FailureStatus(bool may_have_run, bool timed_out);

}  // namespace mulberry::gateway
