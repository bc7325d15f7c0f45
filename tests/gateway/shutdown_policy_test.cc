#include "libgateway/shutdown_policy.h"

#include <doctest/doctest.h>

namespace mulberry::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kGrace = seconds(6);
constexpr Duration kLongest = milliseconds(1600);
const TimePoint start{seconds(100)};

TEST_CASE("a host that shuts down serves while callers keep its address") {
  const ShutdownPolicy policy(start, kGrace);
  CHECK(policy.Next(0, kLongest, start + seconds(2)) == ShutdownStep::kServe);
  CHECK(policy.Next(0, kLongest, start + seconds(3)) == ShutdownStep::kCloseIdle);
  CHECK(policy.Next(1, kLongest, start + seconds(3)) == ShutdownStep::kServe);
}

TEST_CASE("a busy host closes its port while all it accepted can still be answered") {
  const ShutdownPolicy policy(start, kGrace);
  bool closed = false;
  for (Duration passed{}; passed < kGrace; passed += milliseconds(10)) {
    const TimePoint now = start + passed;
    const ShutdownStep step = policy.Next(5, kLongest, now);
    if (step == ShutdownStep::kServe) CHECK(policy.Accepts(now + kLongest, now));
    if (step == ShutdownStep::kCloseIdle) closed = true;
    if (step == ShutdownStep::kExit) CHECK(closed);
  }
  CHECK(policy.Next(5, kLongest, start + kGrace) == ShutdownStep::kExit);
}

TEST_CASE("a request that may outlast the process is refused unless callers follow the address") {
  const ShutdownPolicy policy(start, kGrace);
  const TimePoint soon = start + seconds(1);
  CHECK(policy.Accepts(soon + kGrace, soon));
  const TimePoint late = start + seconds(3);
  CHECK(policy.Accepts(late + seconds(2), late));
  CHECK_FALSE(policy.Accepts(late + seconds(3), late));
}

TEST_CASE("a short grace period leaves time to answer what was accepted") {
  const ShutdownPolicy policy(start, seconds(1));
  const TimePoint late = start + milliseconds(800);
  CHECK(policy.Next(1, milliseconds(300), late) == ShutdownStep::kCloseIdle);
  CHECK_FALSE(policy.Accepts(late + milliseconds(300), late));
  CHECK(policy.Next(0, milliseconds(300), start + seconds(1)) == ShutdownStep::kExit);
}

}  // namespace
}  // namespace mulberry::gateway
