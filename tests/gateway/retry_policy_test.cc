#include "libgateway/retry_policy.h"

#include <doctest/doctest.h>

#include <array>

namespace mulberry::gateway {
namespace {

constexpr std::array kOutcomes = {AttemptOutcome::kAnswered,      AttemptOutcome::kServerFailure,
                                  AttemptOutcome::kShed,          AttemptOutcome::kMisdirected,
                                  AttemptOutcome::kConnectFailed, AttemptOutcome::kNotSent,
                                  AttemptOutcome::kBroken,        AttemptOutcome::kCancelled};

TEST_CASE("a non-idempotent call is retried only after proof that it did not run") {
  for (const AttemptOutcome end : kOutcomes) {
    CAPTURE(AttemptOutcomeName(end));
    const CallState fresh{.idempotent = false, .attempts = 1, .max_attempts = 3};
    const bool retried = DecideNextStep(fresh, end) == NextStep::kRetry;
    CHECK(retried == ProvesNotRun(end));
    // An earlier attempt that may have run rules out every further one.
    CallState possibly_run = fresh;
    possibly_run.may_have_run = true;
    CHECK(DecideNextStep(possibly_run, end) != NextStep::kRetry);
  }
}

TEST_CASE("an idempotent call is retried after any failure, up to max_attempts") {
  for (const AttemptOutcome end : kOutcomes) {
    CAPTURE(AttemptOutcomeName(end));
    const CallState call{
        .idempotent = true, .attempts = 1, .max_attempts = 2, .may_have_run = true};
    CallState last = call;
    last.attempts = 2;
    if (end == AttemptOutcome::kAnswered) {
      CHECK(DecideNextStep(call, end) == NextStep::kRelay);
      continue;
    }
    CHECK(DecideNextStep(call, end) == NextStep::kRetry);
    CHECK(DecideNextStep(last, end) != NextStep::kRetry);
  }
}

TEST_CASE("after a failure, the call waits for an attempt that is still running") {
  const CallState call{.idempotent = true, .attempts = 1, .max_attempts = 3, .running = 1};
  CHECK(DecideNextStep(call, AttemptOutcome::kBroken) == NextStep::kWait);
  CHECK(DecideNextStep(call, AttemptOutcome::kAnswered) == NextStep::kRelay);
}

TEST_CASE("only a call that cannot have run gets status 503") {
  CHECK(FailureStatus(false, false) == 503);
  CHECK(FailureStatus(false, true) == 503);
  CHECK(FailureStatus(true, false) == 502);
  CHECK(FailureStatus(true, true) == 504);
}

/// Guards against a further attempt of a call that is running, may have run, or has none left.
TEST_CASE("a further attempt needs one that is left and, unless idempotent, proof of no run") {
  CallState call{.idempotent = false, .attempts = 0, .max_attempts = 3};
  CHECK(MayStartAttempt(call));
  call.attempts = 1;
  CHECK(MayStartAttempt(call));
  for (const bool idempotent : {false, true}) {
    call = {.idempotent = idempotent, .attempts = 1, .max_attempts = 3, .running = 1};
    CHECK(MayStartAttempt(call) == idempotent);
    call = {.idempotent = idempotent, .attempts = 1, .max_attempts = 3, .may_have_run = true};
    CHECK(MayStartAttempt(call) == idempotent);
    call = {.idempotent = idempotent, .attempts = 3, .max_attempts = 3};
    CHECK_FALSE(MayStartAttempt(call));
  }
}

}  // namespace
}  // namespace mulberry::gateway
