#include <doctest/doctest.h>

#include <cstdio>

#include "queueing_model.h"

namespace mulberry {

TEST_CASE("late binding has a lower p99 latency than round robin and two choices") {
  std::printf("load  algorithm    p50    p99  p99.9  in target  answered  extra  us/request\n");
  for (const double load : {0.5, 0.7, 0.85, 1.2}) {
    ModelOptions options;
    options.load = load;
    options.seed = 20261204;
    double p99[3] = {};
    for (const BalancingAlgorithm algorithm :
         {BalancingAlgorithm::kRoundRobin, BalancingAlgorithm::kTwoChoices,
          BalancingAlgorithm::kDispatcher}) {
      const ModelResult result = RunModel(algorithm, options);
      const char* names[] = {"round robin", "two choices", "dispatcher"};
      const auto index = static_cast<std::size_t>(algorithm);
      const auto total = static_cast<double>(result.submitted);
      p99[index] = result.Percentile(0.99);
      std::printf("%.2f  %-11s %5.0f  %5.0f  %5.0f  %8.4f  %8.4f  %5.3f  %5.2f\n", load,
                  names[index], result.Percentile(0.5), p99[index], result.Percentile(0.999),
                  static_cast<double>(result.in_target) / total,
                  static_cast<double>(result.latencies_ms.size()) / total,
                  static_cast<double>(result.stats.retries + result.stats.hedges) / total,
                  result.policy_us_per_request);
    }
    CHECK(p99[2] < 0.64 * p99[1]);
    CHECK(p99[2] < 0.60 * p99[0]);
  }
}

}  // namespace mulberry
