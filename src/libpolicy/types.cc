#include "libpolicy/types.h"

namespace mulberry {

bool ProvesNotRun(DispatchResult result) {
  switch (result) {
    case DispatchResult::kShed:
    case DispatchResult::kConnectRefused:
    case DispatchResult::kNotSent:
      return true;
    case DispatchResult::kAnswered:
    case DispatchResult::kServerError:
    case DispatchResult::kBroken:
    case DispatchResult::kTimedOut:
    case DispatchResult::kCancelled:
      return false;
  }
  return false;
}

const char* RefusalReasonName(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kQueueFull:
      return "queue_full";
    case RefusalReason::kDeadlineUnreachable:
      return "deadline_unreachable";
    case RefusalReason::kDeadlinePassed:
      return "deadline_passed";
    case RefusalReason::kShedForOtherClass:
      return "shed_for_other_class";
    case RefusalReason::kNoServer:
      return "no_server";
    case RefusalReason::kRetryBudgetSpent:
      return "retry_budget_spent";
    case RefusalReason::kAttemptsExhausted:
      return "attempts_exhausted";
    case RefusalReason::kServerFailed:
      return "server_failed";
    case RefusalReason::kNotOwner:
      return "not_owner";
    case RefusalReason::kLeaving:
      return "leaving";
    case RefusalReason::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

const char* RetryReasonName(RetryReason reason) {
  switch (reason) {
    case RetryReason::kShed:
      return "shed";
    case RetryReason::kConnectRefused:
      return "connect_refused";
    case RetryReason::kNotSent:
      return "not_sent";
    case RetryReason::kBroken:
      return "broken";
    case RetryReason::kServerError:
      return "server_error";
    case RetryReason::kHedge:
      return "hedge";
  }
  return "unknown";
}

}  // namespace mulberry
