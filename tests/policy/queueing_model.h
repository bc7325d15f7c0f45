#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "libpolicy/policy.h"

namespace mulberry {

/// Load balancing algorithms, compared with the same arrivals and the same bursts of slowness.
enum class BalancingAlgorithm {
  kRoundRobin,  ///< Each entry host sends requests to the servers in turn.
  kTwoChoices,  ///< Each entry host picks two servers at random and sends to the one with
                ///< fewer of its own requests in flight.
  kDispatcher,  ///< One owner dispatches all requests with a GroupDispatcher.
};

/// Parameters of a run of the event-driven model: servers with slots and a queue, lognormal service
/// times, and bursts in which a server is `slow_factor` times slower.
struct ModelOptions {
  double load = 0.7;
  std::uint64_t seed = 1;
  std::uint32_t servers = 20;
  std::uint32_t slots = 4;
  std::uint32_t entry_hosts = 16;
  double mean_service_ms = 20;
  double sigma = 0.6;
  double slow_factor = 6;
  double burst_ms = 150;
  double between_bursts_ms = 1500;
  double seconds = 30;
  Duration target = std::chrono::milliseconds(100);
  Duration deadline = std::chrono::seconds(2);
  DispatcherOptions dispatcher;
};

struct ModelResult {
  std::vector<double> latencies_ms;  ///< Of answered requests, sorted.
  std::uint64_t submitted = 0;
  std::uint64_t in_target = 0;
  DispatcherStats stats;
  double policy_us_per_request = 0;

  double Percentile(double p) const;
};

ModelResult RunModel(BalancingAlgorithm algorithm, const ModelOptions& options);

}  // namespace mulberry
