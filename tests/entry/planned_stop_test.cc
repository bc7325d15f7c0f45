#include <doctest/doctest.h>

#include <algorithm>

#include "fleet_simulation.h"

namespace mulberry {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// The owner stops while it works for a data centre alone with servers that started a moment ago:
/// scenario graceful_stop_data_centre_out without processes.
TEST_CASE("a planned stop of the owner does not make the next one warm up the servers again") {
  FleetSimulationOptions options;
  options.load_start = milliseconds(6500);
  options.request_interval = microseconds(8333);
  options.work = milliseconds(20);
  SUBCASE("seed 1") { options.seed = 1; }
  SUBCASE("seed 2") { options.seed = 2; }
  SUBCASE("seed 3") { options.seed = 3; }
  SUBCASE("seed 4") { options.seed = 4; }
  SUBCASE("seed 5") { options.seed = 5; }
  FleetSimulation simulation(options);
  simulation.RunFor(milliseconds(7500));
  simulation.SetWork(milliseconds(40));
  simulation.RunFor(milliseconds(2500));
  const std::size_t owner = simulation.Owner();
  REQUIRE(owner < options.starts.size());
  const TimePoint stop = simulation.now();
  simulation.BeginLeaving(owner);
  simulation.RunFor(milliseconds(300));
  const std::size_t next = simulation.Owner();
  REQUIRE(next < options.starts.size());
  CHECK(next != owner);
  simulation.RunFor(milliseconds(2600));
  const auto& ended = simulation.ended();
  const auto count = [&](RunOutcome outcome) {
    return std::count_if(ended.begin(), ended.end(), [&](const FleetSimulation::Ended& request) {
      return request.sent >= stop && request.answer.outcome == outcome;
    });
  };
  const auto answered = count(RunOutcome::kAnswered);
  const auto not_answered = count(RunOutcome::kMayHaveRun) + count(RunOutcome::kNotRun);
  CHECK(answered > 250);
  // The class asks for 99 of 100.
  CHECK(100 * not_answered <= answered + not_answered);
  CHECK(simulation.host(owner).Drained(simulation.now()));
}

}  // namespace mulberry
