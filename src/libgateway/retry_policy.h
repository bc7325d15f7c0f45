#pragma once

#include <cstdint>
#include <string>

#include "libgateway/types.h"

namespace mulberry::gateway {

/// How one attempt at a backend server ended.
enum class AttemptOutcome {
  kAnswered,       ///< A whole answer of the server to this request, with its signature.
  kServerFailure,  ///< The same, with status 500 or more: run, without success.
  kShed,           ///< The server says that it did not run the request.
  kMisdirected,    ///< Another server has the address now; not run.
  kConnectFailed,  ///< No connection in time; nothing was sent.
  kNotSent,        ///< Failed before the first byte of the request.
  kBroken,         ///< Failed after the first byte, or answered with bytes that are no answer.
  kTimedOut,       ///< No answer by the time that the server was given.
  kCancelled,      ///< Ended by this host before that.
};

/// Returns the snake_case name, for logs and metrics.
const char* AttemptOutcomeName(AttemptOutcome end);

/// True when the end proves that the server has not run the request.
bool ProvesNotRun(AttemptOutcome end);

/// What a call may still do after an attempt has ended.
struct CallState {
  bool idempotent = false;
  std::uint32_t attempts = 0;
  std::uint32_t max_attempts = 1;
  /// Attempts that still run.
  std::uint32_t running = 0;
  /// An earlier attempt may have run.
  bool may_have_run = false;
};

/// What to do next with a call.
enum class NextStep {
  kRelay,  ///< Give the server's answer to the caller.
  kRetry,  ///< Send it to another server, if the budget has room.
  kWait,   ///< Another attempt still runs.
  kFail,   ///< No further attempt is allowed.
};

/// Decides what follows the end of an attempt. Thread safety: any thread.
NextStep DecideNextStep(const CallState& call, AttemptOutcome end);

/// Status of an answer that this host gives itself after a call has failed: 503 promises that
/// the request has not run and will not run.
int FailureStatus(bool may_have_run, bool timed_out);

}  // namespace mulberry::gateway
