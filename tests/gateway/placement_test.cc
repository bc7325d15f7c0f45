#include <doctest/doctest.h>

#include <numeric>

#include "placement_model.h"

namespace mulberry::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Results over several seeds.
PlacementResult RunSeeds(PlacementOptions options) {
  PlacementResult sum;
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    options.seed = seed;
    const PlacementResult one = PlacementModel(options).Run(seconds(15));
    sum.requested += one.requested;
    sum.in_target += one.in_target;
    sum.refused += one.refused;
    sum.lost += one.lost;
    sum.lost_late += one.lost_late;
    sum.remote += one.remote;
    sum.most_held = std::max(sum.most_held, one.most_held);
    sum.busiest = std::max(sum.busiest, one.busiest);
    sum.remote_by_time = one.remote_by_time;
  }
  MESSAGE("in target ", sum.InTarget(), " of ", sum.requested, ", lost ", sum.lost, " (late ",
          sum.lost_late, "), refused ", sum.refused, ", remote ", sum.remote, ", most held ",
          sum.most_held, ", busiest ", sum.busiest);
  return sum;
}

/// Demand above what the servers can handle, with many hosts that choose at the same time.
PlacementOptions Overloaded(Duration news_delay, double news_loss) {
  PlacementOptions options;
  options.rates = {220, 180, 140};
  options.hosts = 4;
  options.news_delay = news_delay;
  options.news_loss = news_loss;
  return options;
}

TEST_CASE("servers that hang when full lose fewer requests, with late and lost news too") {
  int lost_with = 0;
  int lost_without = 0;
  for (const auto delay : {milliseconds(1), milliseconds(100), milliseconds(1000)}) {
    for (const double loss : {0.0, 0.5}) {
      CAPTURE(delay.count());
      CAPTURE(loss);
      PlacementOptions options = Overloaded(delay, loss);
      const PlacementResult with = RunSeeds(options);
      options.pool.learn_hangs = false;
      const PlacementResult without = RunSeeds(options);
      CHECK(with.InTarget() > without.InTarget() - 0.01);
      lost_with += with.lost;
      lost_without += without.lost;
    }
  }
  CHECK(2 * lost_with < lost_without);
}

TEST_CASE("servers that refuse when full are used as without the learning") {
  PlacementOptions options = Overloaded(milliseconds(100), 0);
  options.hang = false;
  const PlacementResult with = RunSeeds(options);
  options.pool.learn_hangs = false;
  const PlacementResult without = RunSeeds(options);
  CHECK(with.in_target == without.in_target);
  CHECK(with.remote == without.remote);
}

/// Runs with the fixed rule and with spillover.
std::pair<PlacementResult, PlacementResult> Compare(PlacementOptions options) {
  const PlacementResult fixed = RunSeeds(options);
  options.pool.spill = true;
  return {fixed, RunSeeds(options)};
}

TEST_CASE("spillover serves an uneven demand, and less of it leaves than by the fixed rule") {
  for (const bool hang : {false, true}) {
    for (const auto delay : {milliseconds(1), milliseconds(300)}) {
      CAPTURE(hang);
      CAPTURE(delay.count());
      PlacementOptions options;
      // Servers that hang matter when all are busy.
      options.rates = hang ? std::vector<double>{260, 120, 120} : std::vector<double>{170, 40, 40};
      options.hosts = hang ? 4 : 2;
      options.hang = hang;
      options.news_delay = delay;
      const auto [fixed, spill] = Compare(options);
      CHECK(spill.InTarget() > fixed.InTarget() - 0.02);
      CHECK(spill.lost <= fixed.lost + 5);
      const auto sent_by = [&by_time = spill.remote_by_time](std::size_t centre) {
        const std::vector<int>& sent = by_time[centre];
        return std::accumulate(sent.begin(), sent.end(), 0);
      };
      CHECK(sent_by(0) > 0);
      // Where all are busy most of the time, each sends some, but less than by the fixed rule.
      if (!hang) CHECK(sent_by(1) + sent_by(2) < sent_by(0) / 20);
      if (hang) CHECK(spill.remote < fixed.remote);
    }
  }
}

TEST_CASE("data centres that have room exchange nearly nothing, and traffic does not oscillate") {
  PlacementOptions options;
  options.rates = {60, 60};
  const auto [fixed, spill] = Compare(options);
  CHECK(spill.InTarget() > fixed.InTarget() - 0.01);
  CHECK(spill.remote < spill.requested / 100);
}

TEST_CASE("without news of other data centres, answers tell whether they have room") {
  for (const double other_rate : {40.0, 170.0}) {
    CAPTURE(other_rate);
    PlacementOptions options;
    options.rates = {170, other_rate};
    options.cut_off = true;
    const auto [fixed, spill] = Compare(options);
    CHECK(spill.InTarget() > fixed.InTarget() - 0.02);
    CHECK(spill.lost <= fixed.lost);
    if (other_rate > 100) CHECK(spill.remote < fixed.remote);
  }
}

}  // namespace
}  // namespace mulberry::gateway
