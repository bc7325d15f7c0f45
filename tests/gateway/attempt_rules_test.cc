#include "libgateway/attempt_rules.h"

#include <doctest/doctest.h>

#include <array>

namespace mulberry::gateway {
namespace {

constexpr std::array kEnds = {AttemptEnd::kAnswered,      AttemptEnd::kServerFailure,
                              AttemptEnd::kShed,          AttemptEnd::kMisdirected,
                              AttemptEnd::kConnectFailed, AttemptEnd::kNotSent,
                              AttemptEnd::kBroken,        AttemptEnd::kCancelled};

TEST_CASE("a non-idempotent call is sent again only after proof that it did not run") {
  for (const AttemptEnd end : kEnds) {
    CAPTURE(AttemptEndName(end));
    const CallState fresh{.idempotent = false, .attempts = 1, .max_attempts = 3};
    const bool retried = AfterAttempt(fresh, end) == NextStep::kRetry;
    CHECK(retried == ProvesNotRun(end));
    // An earlier attempt that may have run bars every further one.
    CallState tainted = fresh;
    tainted.may_have_run = true;
    CHECK(AfterAttempt(tainted, end) != NextStep::kRetry);
  }
}

TEST_CASE("an idempotent call is sent again after any failure, up to its attempts") {
  for (const AttemptEnd end : kEnds) {
    CAPTURE(AttemptEndName(end));
    const CallState call{
        .idempotent = true, .attempts = 1, .max_attempts = 2, .may_have_run = true};
    CallState last = call;
    last.attempts = 2;
    if (end == AttemptEnd::kAnswered) {
      CHECK(AfterAttempt(call, end) == NextStep::kRelay);
      continue;
    }
    CHECK(AfterAttempt(call, end) == NextStep::kRetry);
    CHECK(AfterAttempt(last, end) != NextStep::kRetry);
  }
}

TEST_CASE("a failure waits for the attempt that still runs") {
  const CallState call{.idempotent = true, .attempts = 1, .max_attempts = 3, .running = 1};
  CHECK(AfterAttempt(call, AttemptEnd::kBroken) == NextStep::kWait);
  CHECK(AfterAttempt(call, AttemptEnd::kAnswered) == NextStep::kRelay);
}

TEST_CASE("only a call that cannot have run is told so") {
  CHECK(FailureStatus(false, false) == 503);
  CHECK(FailureStatus(false, true) == 503);
  CHECK(FailureStatus(true, false) == 502);
  CHECK(FailureStatus(true, true) == 504);
}

}  // namespace
}  // namespace mulberry::gateway
