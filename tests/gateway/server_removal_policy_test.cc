#include "libgateway/server_removal_policy.h"

#include <doctest/doctest.h>

namespace mulberry::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServerName missing_server("a");
constexpr Duration kGraceTime = milliseconds(2300);

struct Fixture {
  /// Starts after the grace time that follows a start.
  Fixture() {
    policy.OnStoreReachable(now);
    now += seconds(10);
  }
  ServerRemovalPolicy policy{kGraceTime};
  TimePoint now = TimePoint(seconds(100));
};

TEST_CASE_FIXTURE(Fixture,
                  "an entry that is missing while the store is reachable is removed at once") {
  CHECK(policy.OnEntryMissing(missing_server, now));
}

TEST_CASE_FIXTURE(Fixture, "an entry that expired during an outage may return") {
  policy.OnStoreUnreachable();
  now += seconds(20);
  CHECK_FALSE(policy.OnEntryMissing(missing_server, now));
  CHECK(policy.TakeRemovable(now).empty());
  policy.OnStoreReachable(now);
  SUBCASE("it returns") {
    policy.OnEntryPresent(missing_server);
    CHECK(policy.TakeRemovable(now + seconds(3)).empty());
  }
  SUBCASE("it does not return") {
    CHECK(policy.TakeRemovable(now + milliseconds(2000)).empty());
    CHECK(policy.TakeRemovable(now + milliseconds(2400)) == std::vector{missing_server});
    CHECK(policy.OnEntryMissing(missing_server, now + milliseconds(2400)));
  }
}

// A reader that alone was disconnected from the store made all other hosts wait for entries that
// were gone for good. Found by fleetbench hunt huon-drylog, deploy/days/server_cuts.toml --vary
// --seed 15566939539, DRAIN.
TEST_CASE_FIXTURE(Fixture, "another host's outage is ignored by a host that reached the store") {
  policy.OnPeerGraceTime(milliseconds(2000), now);
  CHECK(policy.OnEntryMissing(missing_server, now));
}

TEST_CASE_FIXTURE(Fixture, "a host that also lost the store waits as long as its peer") {
  policy.OnStoreUnreachable();
  policy.OnPeerGraceTime(milliseconds(2000), now);
  CHECK_FALSE(policy.OnEntryMissing(missing_server, now));
  CHECK(policy.TakeRemovable(now + milliseconds(2100)) == std::vector{missing_server});
}

// Two readers of the store kept extending each other's grace time. Found by fleetbench huon-drylog
// scale-2, DRAIN.
TEST_CASE("hosts that exchange their grace times do not extend them") {
  TimePoint now = TimePoint(seconds(100));
  ServerRemovalPolicy one(kGraceTime);
  ServerRemovalPolicy other(kGraceTime);
  SUBCASE("after their start") {}
  SUBCASE("after an outage") {
    one.OnStoreUnreachable();
    other.OnStoreUnreachable();
  }
  one.OnStoreReachable(now);
  other.OnStoreReachable(now);
  for (int i = 0; i < 40; ++i) {
    now += milliseconds(100);
    other.OnPeerGraceTime(one.GraceTimeLeft(now), now);
    one.OnPeerGraceTime(other.GraceTimeLeft(now), now);
  }
  CHECK(one.GraceTimeLeft(now) == Duration::zero());
  CHECK(one.OnEntryMissing(missing_server, now));
}

TEST_CASE_FIXTURE(Fixture, "an entry that a restored store lacks may return, without an outage") {
  policy.OnStoreRestored();
  CHECK_FALSE(policy.OnEntryMissing(missing_server, now));
  now += milliseconds(100);
  policy.OnStoreReachable(now);
  CHECK(policy.TakeRemovable(now + milliseconds(2000)).empty());
  CHECK(policy.TakeRemovable(now + milliseconds(2400)) == std::vector{missing_server});
}

TEST_CASE("a host that started later does not extend the grace time of a start") {
  TimePoint now = TimePoint(seconds(100));
  ServerRemovalPolicy policy(kGraceTime);
  policy.OnStoreReachable(now);
  CHECK_FALSE(policy.OnEntryMissing(missing_server, now + milliseconds(1200)));
  policy.OnPeerGraceTime(kGraceTime, now + milliseconds(2000));
  CHECK(policy.TakeRemovable(now + milliseconds(2200)).empty());
  CHECK(policy.TakeRemovable(now + milliseconds(2400)) == std::vector{missing_server});
}

}  // namespace
}  // namespace mulberry::gateway
