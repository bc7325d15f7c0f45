#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "random_simulation.h"

namespace mulberry {
namespace {

rc::Gen<Step> AnyStep(int rarity) {
  // Kinds from 13 on are requests and answers. A larger `rarity` makes the other kinds rarer.
  return rc::gen::build<Step>(
      rc::gen::set(&Step::kind, rc::gen::inRange(0, RandomSimulation::kKinds * rarity)),
      rc::gen::set(&Step::param1, rc::gen::inRange<std::uint32_t>(0, 1U << 20)),
      rc::gen::set(&Step::param2, rc::gen::inRange<std::uint32_t>(0, 1U << 20)));
}

void RunRandomSimulation(const DispatcherOptions& options, int rarity, int steps) {
  const auto servers = *rc::gen::inRange<std::uint32_t>(1, 6);
  const auto slots = *rc::gen::inRange<std::uint32_t>(1, 6);
  RandomSimulation simulation(servers, slots, options);
  const auto run = rc::gen::container<std::vector<Step>>(AnyStep(rarity));
  for (const Step& step : *rc::gen::resize(steps, run)) simulation.Execute(step);
  simulation.Finish();
}

}  // namespace

// RapidCheck prints the seed of each run. RC_PARAMS="seed=N" repeats a run.
TEST_CASE("the dispatcher keeps its guarantees in random runs") {
  CHECK(rc::check("mostly faults", [] { RunRandomSimulation({}, 1, 150); }));
  CHECK(rc::check("mostly requests", [] { RunRandomSimulation({}, 4, 600); }));
  CHECK(rc::check("two cold slots, frequent probes, large retry budget", [] {
    DispatcherOptions options;
    options.cold_slots = 2;
    options.cold_answers_per_slot = 2;
    options.cold_step = std::chrono::milliseconds(30);
    options.probes_per_second = 20;
    options.retry_budget_ratio = 0.8;
    options.idle_recheck = std::chrono::milliseconds(500);
    RunRandomSimulation(options, 2, 400);
  }));
}

}  // namespace mulberry
