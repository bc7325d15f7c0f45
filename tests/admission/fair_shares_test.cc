#include <doctest/doctest.h>

#include <string>

#include "libadmission/admission.h"

namespace mulberry::admission {
namespace {

using std::chrono::seconds;

const TimePoint start_time(seconds(10));

Flow FlowOf(const std::string& workspace, std::uint32_t priority = 1) {
  return {priority, WorkspaceName(workspace)};
}

// Guards against a priority that waits for seconds while the urgent ones take everything.
TEST_CASE("a priority is under-served far below the served share of all calls") {
  FairShares shares;
  for (int i = 0; i < 100; ++i) {
    shares.OnArrival(FlowOf("a", 1), start_time);
    shares.OnArrival(FlowOf("b", 2), start_time);
    shares.OnServed(FlowOf("a", 1), start_time);
  }
  CHECK(shares.IsUnderServed(2, start_time));
  CHECK(!shares.IsUnderServed(1, start_time));
  for (int i = 0; i < 30; ++i) shares.OnServed(FlowOf("b", 2), start_time);
  CHECK(!shares.IsUnderServed(2, start_time));
}

// Guards against memory that grows with the names of workspaces.
TEST_CASE("flows that are no longer used are forgotten, and their number is bounded") {
  FairShares shares;
  for (std::size_t i = 0; i < 2 * FairShares::kMaxFlows; ++i) {
    shares.OnArrival(FlowOf(std::to_string(i)), start_time);
  }
  CHECK(shares.size() <= FairShares::kMaxFlows + 1);
  shares.OnServed(FlowOf("new"), start_time + seconds(10));
  CHECK(shares.size() <= 2);
  CHECK(shares.ServedOf(FlowOf("new"), start_time + seconds(10)) == 1);
}

// Guards against a wait that is computed with servers that more urgent calls will use.
TEST_CASE("a flow can use what did not go to more urgent and to less served ones") {
  FairShares shares;
  for (int i = 0; i < 160; ++i) shares.OnArrival(FlowOf("large"), start_time);
  for (int i = 0; i < 20; ++i) shares.OnServed(FlowOf("urgent", 0), start_time);
  for (int i = 0; i < 20; ++i) shares.OnServed(FlowOf("small"), start_time);
  for (int i = 0; i < 40; ++i) shares.OnServed(FlowOf("large"), start_time);
  CHECK(shares.AvailableFraction(FlowOf("urgent", 0), start_time) == doctest::Approx(1));
  CHECK(shares.AvailableFraction(FlowOf("small"), start_time) == doctest::Approx(0.75));
  CHECK(shares.AvailableFraction(FlowOf("large"), start_time) == doctest::Approx(0.5));
}

}  // namespace
}  // namespace mulberry::admission
