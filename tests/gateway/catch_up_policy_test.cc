#include "libgateway/catch_up_policy.h"

#include <doctest/doctest.h>

namespace mulberry::gateway {

using std::chrono::milliseconds;

TEST_CASE("a host that lacks records asks others first and then reads the store too") {
  CatchUpPolicy policy;
  const TimePoint start{std::chrono::hours(1)};
  const auto at = [&](int ms, std::uint64_t own, std::uint64_t theirs) {
    return policy.OnPeerOffset(Offset(own), Offset(theirs), start + milliseconds(ms));
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

}  // namespace mulberry::gateway
