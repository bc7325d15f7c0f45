#include <doctest/doctest.h>

#include "libadmission/admission.h"

namespace mulberry::admission {
namespace {

TEST_CASE("callers that are refused together get different Retry-After times") {
  QueuePosition question;
  question.ahead = 50;
  question.rate = 100;
  CHECK(RetryAfter(question, 0.0) < RetryAfter(question, 1.0));
  CHECK(RetryAfter(question, 0.5) == ExpectedWait(question));
}

// Guards against a Retry-After that callers would ignore because it takes too much of their time.
TEST_CASE("a Retry-After within the time left is spread and at most a third of it") {
  const TimePoint now(std::chrono::seconds(10));
  QueuePosition question;
  question.ahead = 500;
  question.rate = 10;
  question.deadline = now + std::chrono::milliseconds(900);
  CHECK(RetryAfterWithin(question, 1.0, now) <= std::chrono::milliseconds(300));
  CHECK(RetryAfterWithin(question, 1.0, now) >= 2 * RetryAfterWithin(question, 0.0, now));
  question.deadline = now;
  CHECK(RetryAfterWithin(question, 0.0, now) > Duration::zero());
}

}  // namespace
}  // namespace mulberry::admission
