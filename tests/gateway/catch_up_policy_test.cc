#include "libgateway/catch_up_policy.h"

#include <doctest/doctest.h>

namespace mulberry::gateway {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

OperatorState StateAt(std::uint64_t era, std::uint64_t offset, std::uint64_t version = 1) {
  return {{StoreEra(era), Offset(offset)}, ConfigVersion(version)};
}

}  // namespace

TEST_CASE("a host that lacks records asks others first and then reads the store too") {
  CatchUpPolicy policy;
  const TimePoint start{std::chrono::hours(1)};
  const auto at = [&](int ms, std::uint64_t own, std::uint64_t theirs) {
    return policy.OnPeerState(StateAt(1, own), StateAt(1, theirs), start + milliseconds(ms));
  };
  CHECK_FALSE(at(0, 5, 5).ask_peer);
  CHECK_FALSE(at(1, 5, 4).ask_peer);
  // The update itself may still be on its way.
  CHECK_FALSE(at(10, 5, 7).ask_peer);
  CHECK(at(70, 5, 7).ask_peer);
  CHECK_FALSE(at(80, 5, 7).ask_peer);
  CHECK_FALSE(at(80, 5, 7).read_store);
  CHECK(at(230, 5, 7).ask_peer);
  CHECK(at(270, 5, 7).read_store);
  CHECK_FALSE(at(270, 5, 7).ask_peer);
  // Progress starts the delays anew.
  CHECK_FALSE(at(280, 6, 7).read_store);
  CHECK_FALSE(at(280, 6, 7).ask_peer);
  CHECK(at(340, 6, 7).ask_peer);
  CHECK_FALSE(at(350, 7, 7).ask_peer);
}

TEST_CASE("an offset of an older era lacks records, whatever its number") {
  CatchUpPolicy policy;
  const TimePoint start{std::chrono::hours(1)};
  CHECK_FALSE(policy.OnPeerState(StateAt(1, 57), StateAt(2, 40), start).ask_peer);
  const CatchUp next =
      policy.OnPeerState(StateAt(1, 57), StateAt(2, 40), start + milliseconds(300));
  CHECK(next.ask_peer);
  CHECK(next.read_store);
  CHECK_FALSE(policy.OnPeerState(StateAt(2, 40), StateAt(1, 57), start + seconds(1)).ask_peer);
}

TEST_CASE("a configuration that a restored store lacks is asked for but not read") {
  CatchUpPolicy policy;
  const TimePoint start{std::chrono::hours(1)};
  CHECK_FALSE(policy.OnPeerState(StateAt(2, 40, 3), StateAt(2, 40, 5), start).ask_peer);
  const CatchUp next =
      policy.OnPeerState(StateAt(2, 40, 3), StateAt(2, 40, 5), start + milliseconds(300));
  CHECK(next.ask_peer);
  CHECK_FALSE(next.read_store);
  CHECK_FALSE(
      policy.OnPeerState(StateAt(2, 40, 5), StateAt(2, 40, 3), start + seconds(1)).ask_peer);
}

}  // namespace mulberry::gateway
