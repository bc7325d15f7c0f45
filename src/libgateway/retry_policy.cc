#include "libgateway/retry_policy.h"

namespace mulberry::gateway {

const char* AttemptOutcomeName(AttemptOutcome end) {
  switch (end) {
    case AttemptOutcome::kAnswered:
      return "answered";
    case AttemptOutcome::kServerFailure:
      return "server_failure";
    case AttemptOutcome::kShed:
      return "shed";
    case AttemptOutcome::kMisdirected:
      return "misdirected";
    case AttemptOutcome::kConnectFailed:
      return "connect_failed";
    case AttemptOutcome::kNotSent:
      return "not_sent";
    case AttemptOutcome::kBroken:
      return "broken";
    case AttemptOutcome::kTimedOut:
      return "timed_out";
    case AttemptOutcome::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

bool ProvesNotRun(AttemptOutcome end) {
  return end == AttemptOutcome::kShed || end == AttemptOutcome::kMisdirected ||
         end == AttemptOutcome::kConnectFailed || end == AttemptOutcome::kNotSent;
}

bool MayStartAttempt(const CallState& call) {
  if (call.attempts == 0) return true;
  const bool run_again = call.idempotent || (call.running == 0 && !call.may_have_run);
  return run_again && call.attempts < call.max_attempts;
}

NextStep DecideNextStep(const CallState& call, AttemptOutcome end) {
  if (end == AttemptOutcome::kAnswered) return NextStep::kRelay;
  const bool run_again = call.idempotent || (ProvesNotRun(end) && !call.may_have_run);
  const bool may_retry = run_again && call.attempts < call.max_attempts;
  if (call.running > 0) return NextStep::kWait;
  if (may_retry) return NextStep::kRetry;
  return end == AttemptOutcome::kServerFailure ? NextStep::kRelay : NextStep::kFail;
}

int FailureStatus(bool may_have_run, bool timed_out) {
  if (!may_have_run) return 503;
  return timed_out ? 504 : 502;
}

}  // namespace mulberry::gateway
