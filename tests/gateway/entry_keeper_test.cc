#include "libgateway/entry_keeper.h"

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
    keeper.OnStoreAnswers(now);
    now += seconds(10);
  }
  EntryKeeper keeper{kReturnTime};
  TimePoint now = TimePoint(seconds(100));
};

TEST_CASE_FIXTURE(Fixture, "an entry that vanishes while the store answers is gone at once") {
  CHECK(keeper.OnVanished(lost_server, now));
}

TEST_CASE_FIXTURE(Fixture, "an entry that lapsed during an outage may come back") {
  keeper.OnStoreLost();
  now += seconds(20);
  CHECK_FALSE(keeper.OnVanished(lost_server, now));
  CHECK(keeper.TakeGone(now).empty());
  keeper.OnStoreAnswers(now);
  SUBCASE("it does") {
    keeper.OnPresent(lost_server);
    CHECK(keeper.TakeGone(now + seconds(3)).empty());
  }
  SUBCASE("it does not") {
    CHECK(keeper.TakeGone(now + milliseconds(2000)).empty());
    CHECK(keeper.TakeGone(now + milliseconds(2400)) == std::vector{lost_server});
    CHECK(keeper.OnVanished(lost_server, now + milliseconds(2400)));
  }
}

// fleetbench hunt huon-drylog, deploy/days/server_cuts.toml --vary --seed 15566939539, DRAIN: a
// reader that had been cut off from the store alone made all others wait for entries that were gone
// for good.
TEST_CASE_FIXTURE(Fixture, "another host's outage is not believed by one that the store answered") {
  keeper.OnUnsettled(milliseconds(2000), now);
  CHECK(keeper.OnVanished(lost_server, now));
}

TEST_CASE_FIXTURE(Fixture, "a host that lost the store too waits as long as another one") {
  keeper.OnStoreLost();
  keeper.OnUnsettled(milliseconds(2000), now);
  CHECK_FALSE(keeper.OnVanished(lost_server, now));
  CHECK(keeper.TakeGone(now + milliseconds(2100)) == std::vector{lost_server});
}

// fleetbench huon-drylog scale-2, DRAIN: two readers of the store renewed each other's window.
TEST_CASE("hosts that tell each other of an outage settle in the time that one of them needs") {
  TimePoint now = TimePoint(seconds(100));
  EntryKeeper one(kReturnTime);
  EntryKeeper other(kReturnTime);
  one.OnStoreAnswers(now);
  other.OnStoreAnswers(now);
  for (int i = 0; i < 40; ++i) {
    now += milliseconds(100);
    other.OnUnsettled(one.UnsettledFor(now), now);
    one.OnUnsettled(other.UnsettledFor(now), now);
  }
  CHECK(one.UnsettledFor(now) == Duration::zero());
  CHECK(one.OnVanished(lost_server, now));
}

}  // namespace
}  // namespace mulberry::gateway
