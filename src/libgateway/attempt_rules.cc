#include "libgateway/attempt_rules.h"

namespace mulberry::gateway {

const char* AttemptEndName(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kAnswered:
      return "answered";
    case AttemptEnd::kServerFailure:
      return "server_failure";
    case AttemptEnd::kShed:
      return "shed";
    case AttemptEnd::kMisdirected:
      return "misdirected";
    case AttemptEnd::kConnectFailed:
      return "connect_failed";
    case AttemptEnd::kNotSent:
      return "not_sent";
    case AttemptEnd::kBroken:
      return "broken";
    case AttemptEnd::kTimedOut:
      return "timed_out";
    case AttemptEnd::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

bool ProvesNotRun(AttemptEnd end) {
  return end == AttemptEnd::kShed || end == AttemptEnd::kMisdirected ||
         end == AttemptEnd::kConnectFailed || end == AttemptEnd::kNotSent;
}

NextStep AfterAttempt(const CallState& call, AttemptEnd end) {
  if (end == AttemptEnd::kAnswered) return NextStep::kRelay;
  const bool run_again = call.idempotent || (ProvesNotRun(end) && !call.may_have_run);
  const bool may_retry = run_again && call.attempts < call.max_attempts;
  if (call.running > 0) return NextStep::kWait;
  if (may_retry) return NextStep::kRetry;
  return end == AttemptEnd::kServerFailure ? NextStep::kRelay : NextStep::kFail;
}

int FailureStatus(bool may_have_run, bool timed_out) {
  if (!may_have_run) return 503;
  return timed_out ? 504 : 502;
}

}  // namespace mulberry::gateway
