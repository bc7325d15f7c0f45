#include "libgateway/shutdown_policy.h"

#include <doctest/doctest.h>

namespace mulberry::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kGrace = seconds(6);
const TimePoint start{seconds(100)};

TEST_CASE("a host that shuts down serves while callers keep its address, then closes its port") {
  const ShutdownPolicy policy(start, kGrace, start);
  CHECK(policy.StepAt(start) == ShutdownStep::kServe);
  CHECK(policy.StepAt(start + milliseconds(2400)) == ShutdownStep::kServe);
  CHECK(policy.StepAt(start + milliseconds(2600)) == ShutdownStep::kCloseIdle);
  CHECK(policy.StepAt(policy.exit_at() - milliseconds(1)) == ShutdownStep::kCloseIdle);
  CHECK(policy.StepAt(policy.exit_at()) == ShutdownStep::kExit);
  CHECK(policy.exit_at() < start + kGrace);
}

TEST_CASE("a request that may outlast the process is refused unless callers follow the address") {
  const ShutdownPolicy policy(start, kGrace, start);
  const TimePoint soon = start + seconds(1);
  CHECK(policy.Accepts(soon + kGrace, soon));
  const TimePoint late = start + seconds(3);
  CHECK(policy.Accepts(late + seconds(2), late));
  CHECK(policy.Accepts(policy.exit_at(), late));
  CHECK_FALSE(policy.Accepts(policy.exit_at() + milliseconds(1), late));
}

TEST_CASE("a short grace period leaves time to answer what was accepted") {
  const ShutdownPolicy policy(start, seconds(1), start);
  const TimePoint late = start + milliseconds(700);
  CHECK(policy.StepAt(late) == ShutdownStep::kCloseIdle);
  CHECK_FALSE(policy.Accepts(late + milliseconds(300), late));
  CHECK(policy.StepAt(start + milliseconds(950)) == ShutdownStep::kExit);
}

TEST_CASE("a host that handles its signal late exits in the grace period all the same") {
  const TimePoint handled = start + seconds(3);
  const ShutdownPolicy policy(start, kGrace, handled);
  CHECK(policy.exit_at() == ShutdownPolicy(start, kGrace, start).exit_at());
  // Callers still have its address.
  CHECK(policy.StepAt(handled + seconds(1)) == ShutdownStep::kServe);
  CHECK(policy.StepAt(handled + seconds(2)) == ShutdownStep::kCloseIdle);
  CHECK(ShutdownPolicy(start, kGrace, start + seconds(7)).StepAt(start + seconds(7)) ==
        ShutdownStep::kExit);
}

}  // namespace
}  // namespace mulberry::gateway
