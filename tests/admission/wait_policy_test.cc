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

}  // namespace
}  // namespace mulberry::admission
