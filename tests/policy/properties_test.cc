#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "random_simulation.h"

namespace mulberry {
namespace {

rc::Gen<Step> AnyStep(int rare) {
  // Kinds from 13 on are requests and answers; `rare` sets how much of the run they are.
  return rc::gen::build<Step>(
      rc::gen::set(&Step::kind, rc::gen::inRange(0, RandomSimulation::kKinds * rare)),
      rc::gen::set(&Step::a, rc::gen::inRange<std::uint32_t>(0, 1U << 20)),
      rc::gen::set(&Step::b, rc::gen::inRange<std::uint32_t>(0, 1U << 20)));
}

void RunRandomSimulation(const DispatcherOptions& options, int rare, int steps) {
  const auto servers = *rc::gen::inRange<std::uint32_t>(1, 6);
  const auto slots = *rc::gen::inRange<std::uint32_t>(1, 6);
  RandomSimulation world(servers, slots, options);
  const auto run = rc::gen::container<std::vector<Step>>(AnyStep(rare));
  for (const Step& step : *rc::gen::resize(steps, run)) world.Do(step);
  world.Finish();
}

}  // namespace

// RapidCheck prints the seed of each run; RC_PARAMS="seed=N" repeats it.
TEST_CASE("the promises hold in random runs") {
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
