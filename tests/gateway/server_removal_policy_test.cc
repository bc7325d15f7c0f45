#include "libgateway/server_removal_policy.h"

#include <doctest/doctest.h>

namespace mulberry::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServerName lost_server("a");
constexpr Duration kReturnTime = milliseconds(2300);

struct Fixture {
  /// Past the window that follows a start.
  Fixture() {
    keeper.OnStoreReachable(now);
    now += seconds(10);
  }
  ServerRemovalPolicy keeper{kReturnTime};
  TimePoint now = TimePoint(seconds(100));
};

TEST_CASE_FIXTURE(Fixture, "an entry that vanishes while the store answers is gone at once") {
  CHECK(keeper.OnEntryMissing(lost_server, now));
}

TEST_CASE_FIXTURE(Fixture, "an entry that lapsed during an outage may come back") {
  keeper.OnStoreUnreachable();
  now += seconds(20);
  CHECK_FALSE(keeper.OnEntryMissing(lost_server, now));
  CHECK(keeper.TakeRemovable(now).empty());
  keeper.OnStoreReachable(now);
  SUBCASE("it does") {
    keeper.OnEntryPresent(lost_server);
    CHECK(keeper.TakeRemovable(now + seconds(3)).empty());
  }
  SUBCASE("it does not") {
    CHECK(keeper.TakeRemovable(now + milliseconds(2000)).empty());
    CHECK(keeper.TakeRemovable(now + milliseconds(2400)) == std::vector{lost_server});
    CHECK(keeper.OnEntryMissing(lost_server, now + milliseconds(2400)));
  }
}

// fleetbench hunt huon-drylog, deploy/days/server_cuts.toml --vary --seed 15566939539, DRAIN: a
// reader that had been cut off from the store alone made all others wait for entries that were gone
// for good.
TEST_CASE_FIXTURE(Fixture, "another host's outage is not believed by one that the store answered") {
  keeper.OnPeerGraceTime(milliseconds(2000), now);
  CHECK(keeper.OnEntryMissing(lost_server, now));
}

TEST_CASE_FIXTURE(Fixture, "a host that lost the store too waits as long as another one") {
  keeper.OnStoreUnreachable();
  keeper.OnPeerGraceTime(milliseconds(2000), now);
  CHECK_FALSE(keeper.OnEntryMissing(lost_server, now));
  CHECK(keeper.TakeRemovable(now + milliseconds(2100)) == std::vector{lost_server});
}

// fleetbench huon-drylog scale-2, DRAIN: two readers of the store renewed each other's window.
TEST_CASE("hosts that tell each other of an outage settle in the time that one of them needs") {
  TimePoint now = TimePoint(seconds(100));
  ServerRemovalPolicy one(kReturnTime);
  ServerRemovalPolicy other(kReturnTime);
  one.OnStoreReachable(now);
  other.OnStoreReachable(now);
  for (int i = 0; i < 40; ++i) {
    now += milliseconds(100);
    other.OnPeerGraceTime(one.GraceTimeLeft(now), now);
    one.OnPeerGraceTime(other.GraceTimeLeft(now), now);
  }
  CHECK(one.GraceTimeLeft(now) == Duration::zero());
  CHECK(one.OnEntryMissing(lost_server, now));
}

}  // namespace
}  // namespace mulberry::gateway
