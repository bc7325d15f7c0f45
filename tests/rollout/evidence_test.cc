#include <doctest/doctest.h>

#include "librollout/rollout.h"

namespace mulberry::rollout {
namespace {

void AddResponses(ResponseCounts* counts, std::uint32_t number, Duration took) {
  counts->responses += number;
  for (std::uint32_t i = 0; i < number; ++i) counts->times.Add(took);
}

/// The target takes six times as long for half of the responses.
Evidence HalfSlow(Duration usual) {
  Evidence evidence;
  RouteCounts& route = evidence["r"];
  AddResponses(&route.groups[0], 300, usual);
  for (std::size_t half = 1; half <= 2; ++half) {
    AddResponses(&route.groups[half], 30, usual);
    AddResponses(&route.groups[half], 30, 6 * usual);
  }
  return evidence;
}

// Guards against a good version that is taken back because of delays of the hosts themselves.
TEST_CASE("a few milliseconds more on a fast route are no evidence against a version") {
  CHECK_FALSE(Judge(HalfSlow(std::chrono::milliseconds(5)), false).bad);
  CHECK(Judge(HalfSlow(std::chrono::milliseconds(50)), false).bad);
}

}  // namespace
}  // namespace mulberry::rollout
