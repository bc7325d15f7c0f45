#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <chrono>

#include "libworkspace/workspace.h"

namespace mulberry::workspace {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
const WorkspaceName name("w");
const HostName asker("h1");
const HostName lender("h0");

/// A limiter that lends `capacity` tokens, refilled at `rate`.
TokenLender MakeLender(double rate, double capacity) {
  TokenLender made;
  made.buckets().Start(kStart, kStart);
  made.buckets().SetLimits({{name, {rate, capacity, 0}}}, seconds(5), kStart);
  return made;
}

TokenQuery Ask(std::uint64_t sequence, std::uint32_t tokens) {
  return {sequence, {{name, tokens}}};
}

/// Guards against a duplicated or reordered datagram that is granted twice, and against queries of
/// a restarted host that are taken for old ones.
TEST_CASE("a lender answers each query of a run of a host once") {
  TokenLender made = MakeLender(0, 100);
  const CapTime time{kStart, kStart};
  const auto first = made.OnQuery(asker, StartId(1), Ask(7, 10), time);
  REQUIRE(first);
  CHECK(first->parts[0].tokens == 10);
  CHECK(first->parts[0].left == doctest::Approx(90));
  CHECK_FALSE(made.OnQuery(asker, StartId(1), Ask(7, 10), time));
  CHECK(made.OnQuery(asker, StartId(1), Ask(6, 10), time));
  CHECK_FALSE(made.OnQuery(asker, StartId(1), Ask(6, 10), time));
  CHECK(made.OnQuery(asker, StartId(1), Ask(200, 10), time));
  CHECK_FALSE(made.OnQuery(asker, StartId(1), Ask(7, 10), time));
  CHECK(made.OnQuery(asker, StartId(2), Ask(7, 100), time)->parts[0].tokens == 70);
  CHECK_FALSE(TokenLender().OnQuery(asker, StartId(1), Ask(1, 1), time));
}

/// Guards against a grant that is used twice, after its expiry, or by another run of the host.
TEST_CASE("a host uses a grant once, before it expires, and only for its own query") {
  CapLimiter limiter(StartId(1));
  CapTime time{kStart, kStart};
  limiter.SetLimits({seconds(5), 0.1, 20}, time);
  limiter.SetRoles({{lender}, std::nullopt, 6, false}, true, time);
  Workspace workspace;
  workspace.name = name;
  workspace.rate_per_s = 10;
  workspace.burst = 10;
  limiter.SetWorkspaces({workspace}, time);
  CHECK(limiter.Decide(name, time).step == CapDecision::Step::kWait);
  limiter.SetWaiting(name, 2);
  const auto queries = limiter.TakeQueries(false, time);
  REQUIRE(queries.size() == 1);
  TokenGrant grant{StartId(1), queries[0].query.sequence, {{name, 2, 5, true}}};
  bool expected = true;
  SUBCASE("in time") {}
  SUBCASE("of another run") {
    grant.receiver_start = StartId(9);
    expected = false;
  }
  SUBCASE("from another host") { CHECK(limiter.OnGrant(HostName("h2"), grant, time).empty()); }
  SUBCASE("late") {
    time.now += milliseconds(499);
    time.running += milliseconds(499);
  }
  SUBCASE("too late, with time that passed while suspended") {
    time.now += milliseconds(501);
    expected = false;
  }
  CHECK(limiter.OnGrant(lender, grant, time).empty() != expected);
  CHECK(limiter.OnGrant(lender, grant, time).empty());
  CHECK(limiter.Take(name, time) == expected);
  time.now = kStart + milliseconds(500);
  CHECK_FALSE(limiter.Take(name, time));
}

/// Guards against a refusal that waits for nothing, and a Retry-After that is wrong.
TEST_CASE("a request is refused at once when no lender can grant more, until there is room") {
  CapLimiter limiter(StartId(1));
  CapTime time{kStart, kStart};
  limiter.SetLimits({seconds(5), 0.1, 20}, time);
  limiter.SetRoles({{lender}, std::nullopt, 6, false}, true, time);
  Workspace workspace;
  workspace.name = name;
  workspace.rate_per_s = 2;
  workspace.burst = 10;
  limiter.SetWorkspaces({workspace}, time);
  limiter.SetWaiting(name, 1);
  const auto queries = limiter.TakeQueries(false, time);
  REQUIRE(queries.size() == 1);
  SUBCASE("the lender has nothing") {
    limiter.OnGrant(lender, {StartId(1), queries[0].query.sequence, {{name, 0, 0.5, true}}}, time);
    limiter.SetWaiting(name, 0);
    const CapDecision decision = limiter.Decide(name, time);
    CHECK(decision.step == CapDecision::Step::kRefuse);
    CHECK(decision.retry_after >= milliseconds(250));
    CHECK(decision.retry_after <= milliseconds(260));
    time.now += decision.retry_after;
    CHECK(limiter.Decide(name, time).step == CapDecision::Step::kWait);
  }
  SUBCASE("the lender is silent") {
    // The first queries may have been lost.
    for (int i = 0; i < 2; ++i) {
      time.now += milliseconds(10);
      CHECK(limiter.Decide(name, time).step == CapDecision::Step::kWait);
      CHECK(limiter.TakeQueries(false, time).size() == 1);
    }
    time.now += milliseconds(10);
    limiter.SetWaiting(name, 0);
    CHECK(limiter.Decide(name, time).step == CapDecision::Step::kRefuse);
    CHECK(limiter.SilentLenders(time.now) == std::vector<HostName>{lender});
  }
}

/// Guards against an outdated cap that a host which is cut off goes on using.
TEST_CASE("a suspended host uses and lends none of its own tokens, and then has them again") {
  CapLimiter limiter(StartId(1));
  const CapTime time{kStart, kStart};
  limiter.SetLimits({seconds(5), 0.1, 20}, time);
  limiter.SetRoles({{lender, HostName("h2")}, 0, 4, true}, true, time);
  Workspace workspace;
  workspace.name = name;
  workspace.rate_per_s = 100;
  workspace.burst = 10;
  limiter.SetWorkspaces({workspace}, time);
  limiter.SetSuspended(true);
  // The other lender may know the configuration in force.
  CHECK(limiter.Decide(name, time).step == CapDecision::Step::kWait);
  CHECK_FALSE(limiter.Take(name, time));
  CHECK_FALSE(limiter.OnQuery(asker, StartId(2), Ask(1, 1), time));
  limiter.SetSuspended(false);
  CHECK(limiter.Decide(name, time).step == CapDecision::Step::kSend);
  CHECK(limiter.Take(name, time));
  CHECK(limiter.OnQuery(asker, StartId(2), Ask(2, 1), time)->parts[0].tokens == 1);
}

/// Guards against a division of caps that exceeds the limit, also with many data centres and odd
/// settings.
TEST_CASE("the parts of a cap add up to less than the limit") {
  rc::check("sum of the parts in a window", [] {
    Workspace workspace;
    workspace.rate_per_s = *rc::gen::inRange(1, 100'000) / 10.0;
    workspace.burst = *rc::gen::inRange(0, 10'000) / 10.0;
    CapLimits limits;
    limits.window = seconds(*rc::gen::inRange(1, 20));
    limits.overage = *rc::gen::inRange(0, 30) / 100.0;
    limits.slack = *rc::gen::inRange<std::uint32_t>(0, 40);
    const auto lenders = *rc::gen::inRange<std::size_t>(1, 7);
    const std::size_t floors = 2 * lenders;
    const CapShare share = ShareOf(workspace, limits, lenders, floors);
    const double window = std::chrono::duration<double>(limits.window).count();
    const auto sum = [&](const BucketLimits& bucket, double seconds_counted) {
      return bucket.capacity + bucket.restart_content + bucket.rate_per_s * seconds_counted;
    };
    const double total = static_cast<double>(lenders) * sum(share.lender, window + 0.5) +
                         static_cast<double>(floors) * sum(share.floor, window);
    const double limit =
        (workspace.rate_per_s * window + workspace.burst) * (1 + limits.overage) + limits.slack;
    RC_ASSERT(total <= limit + 1e-6);
  });
}

/// Guards against a restarted bucket that exceeds its limits in a window together with what the
/// earlier run gave out, and one that never gets its burst back.
TEST_CASE("a restarted bucket holds its burst again once the earlier run no longer counts") {
  TokenBucket bucket({1, 50, 1}, kStart, kStart + milliseconds(5500));
  CHECK(bucket.Take(9, kStart) == 1);
  CHECK(bucket.TimeUntilToken(kStart) == seconds(1));
  CHECK(bucket.Take(9, kStart + seconds(5)) == 5);
  CHECK(bucket.Available(kStart + milliseconds(5499)) == 0);
  // Full at the start, less 6 tokens taken, plus 5.5 s of refill, of which the first tokens were
  // lost in a full bucket.
  CHECK(bucket.Available(kStart + milliseconds(5500)) == 45);
}

}  // namespace
}  // namespace mulberry::workspace
