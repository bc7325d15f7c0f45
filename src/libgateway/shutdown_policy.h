#pragma once

#include "libbase/base.h"

namespace mulberry::gateway {

/// What a host that shuts down does.
enum class ShutdownStep {
  kServe,      ///< Serves callers that still use its address.
  kCloseIdle,  ///< Closes its port and idle connections; exits when no connection is left.
  kExit        ///< Answers what is unfinished, and exits once that is written.
};

/// Decides how long a host that shuts down serves callers, and which requests it still accepts, so
/// that what it accepts can be answered before the exit. Depends on the time only: a host that
/// callers can reach may have a pending request at any time. Does no I/O: time is passed in. Thread
/// safety: any thread.
class ShutdownPolicy {
 public:
  /// The process is killed at the end of the grace period, which runs from the signal. `handled`:
  /// when a busy process gets to it.
  ShutdownPolicy(TimePoint signalled, Duration grace, TimePoint handled);

  ShutdownStep StepAt(TimePoint now) const;
  /// When the host answers what is unfinished.
  TimePoint exit_at() const { return exit_at_; }
  /// Until when responses that are ready may still be written.
  TimePoint write_until() const { return write_until_; }

  /// True if a request may be accepted that is answered at `latest_answer` at the latest. While
  /// callers follow addresses that this host gave out, it accepts all requests.
  bool Accepts(TimePoint latest_answer, TimePoint now) const;

 private:
  TimePoint accepts_all_until_;
  TimePoint exit_at_;
  TimePoint write_until_;
};

}  // namespace mulberry::gateway
