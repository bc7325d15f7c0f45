#include <doctest/doctest.h>

#include <string>

#include "libplacement/placement.h"

namespace mulberry::placement {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kUsual = milliseconds(60);
const TimePoint start(seconds(100));

TEST_CASE("a request is silent only if later ones were answered, not because it is slow") {
  SilenceTracker tracker;
  tracker.OnSent(start, 2);
  for (int i = 1; i <= 3; ++i) {
    CHECK_FALSE(tracker.IsSilent(start, kUsual, start + seconds(5)));
    tracker.OnSent(start + milliseconds(i), 3);
    tracker.OnEnd(start + milliseconds(i), true);
  }
  CHECK_FALSE(tracker.IsSilent(start, kUsual, start + milliseconds(100)));
  CHECK(tracker.IsSilent(start, kUsual, start + seconds(5)));
  CHECK(tracker.SilentCount(kUsual, start + seconds(5)) == 1);
  tracker.OnReport(8, start + milliseconds(300));
  tracker.OnReport(11, start + milliseconds(500));
  CHECK(tracker.TakeSilent(kUsual, start + milliseconds(100)).empty());
  CHECK(tracker.TakeSilent(kUsual, start + seconds(5)) == std::vector<double>{8});
  CHECK(tracker.TakeSilent(kUsual, start + seconds(5)).empty());
  tracker.OnEnd(start, false);
  CHECK(tracker.SilentCount(kUsual, start + seconds(5)) == 0);
}

TEST_CASE("requests that end without an answer, as at a frozen server, make no other one silent") {
  SilenceTracker tracker;
  for (int i = 0; i < 6; ++i) tracker.OnSent(start + milliseconds(i), 0);
  for (int i = 1; i < 6; ++i) tracker.OnEnd(start + milliseconds(i), false);
  CHECK(tracker.SilentCount(kUsual, start + seconds(5)) == 0);
}

TEST_CASE(
    "servers hang after two silent requests at full ones, and refusals are evidence against it") {
  CapacityEstimate capacity;
  CHECK_FALSE(capacity.OnSilence(3, 3));
  CHECK_FALSE(capacity.OnSilence(3, 3));
  CHECK_FALSE(capacity.OnSilence(7, 3));
  capacity.OnRefusal(8, 3);
  CHECK_FALSE(capacity.OnSilence(7, 3));
  CHECK_FALSE(capacity.Hangs());
  CHECK(capacity.OnSilence(7, 3));
  CHECK(capacity.Hangs());
  // A server that refuses with free slots has another reason.
  for (int i = 0; i < 10; ++i) capacity.OnRefusal(1, 3);
  CHECK(capacity.Hangs());
  for (int i = 0; i < 2; ++i) capacity.OnRefusal(8, 3);
  CHECK_FALSE(capacity.Hangs());
}

TEST_CASE("the limits of all hosts at a server that hangs add up to less than it holds") {
  for (const std::uint32_t slots : {1U, 3U, 4U}) {
    for (const std::uint32_t centres : {1U, 2U, 3U, 6U}) {
      for (const std::uint32_t hosts : {1U, 2U, 3U, 9U, 40U}) {
        CapacityEstimate capacity;
        capacity.OnReport(slots, 2 * slots, slots);
        CHECK(capacity.Capacity(slots) == 3 * slots);
        for (const std::string server : {"a", "b", "c"}) {
          std::uint32_t sum = 1;  // A health check.
          for (std::uint32_t i = 0; i < centres * hosts; ++i) {
            const SenderPosition position{hosts, i % hosts, centres * hosts, i};
            sum += capacity.HostLimit(slots, i < hosts, position, server);
          }
          CAPTURE(slots);
          CAPTURE(centres);
          CAPTURE(hosts);
          CHECK(sum <= 3 * slots);
          // The hosts of its data centre can use all of its slots.
          CHECK(sum - 1 >= slots);
        }
      }
    }
  }
}

TEST_CASE("a third of the servers is ejected, and more only if they cannot be reached") {
  CHECK(EjectionBudget(3, 0).HasRoom());
  CHECK_FALSE(EjectionBudget(3, 1).HasRoom());
  CHECK(EjectionBudget(9, 2).Decide(false) == EjectionVerdict::kEject);
  CHECK(EjectionBudget(9, 3).Decide(false) == EjectionVerdict::kAvoid);
  CHECK(EjectionBudget(9, 8).Decide(true) == EjectionVerdict::kEject);
  CHECK(EjectionBudget(1, 0).Decide(false) == EjectionVerdict::kAvoid);
}

}  // namespace
}  // namespace mulberry::placement
