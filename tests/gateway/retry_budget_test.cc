#include "libgateway/retry_budget.h"

#include <doctest/doctest.h>

#include <deque>
#include <random>

namespace mulberry::gateway {
namespace {

using std::chrono::milliseconds;

constexpr RetryLimits kLimits{.ratio = 0.2, .window = std::chrono::seconds(10), .slack = 50};

TEST_CASE("all hosts together stay within ratio and slack in every window") {
  constexpr int kHosts = 10;
  std::vector<RetryBudget> hosts(kHosts, RetryBudget(kLimits));
  for (RetryBudget& host : hosts) host.SetSlackShare(1.0 / kHosts);
  std::mt19937 random(1);
  std::deque<TimePoint> requests;
  std::deque<TimePoint> extra;
  TimePoint now;
  std::size_t taken = 0;
  for (int step = 0; step < 60'000; ++step) {
    now += milliseconds(1);
    // The load stops and starts, so that a window without requests follows a busy one.
    const bool busy = step / 8000 % 2 == 0;
    RetryBudget& host = hosts[random() % kHosts];
    if (busy && random() % 4 == 0) {
      host.OnRequest(now);
      requests.push_back(now);
    }
    if (random() % 2 == 0 && host.TryConsume(random() % 2 == 0, now)) {
      extra.push_back(now);
      ++taken;
    }
    while (!requests.empty() && requests.front() <= now - kLimits.window) requests.pop_front();
    while (!extra.empty() && extra.front() <= now - kLimits.window) extra.pop_front();
    REQUIRE(static_cast<double>(extra.size()) <=
            kLimits.ratio * static_cast<double>(requests.size()) + kLimits.slack);
  }
  CHECK(taken > 500);
}

TEST_CASE("hedges leave budget for retries after a failure") {
  RetryBudget window(kLimits);
  TimePoint now;
  for (int i = 0; i < 100; ++i) window.OnRequest(now);
  int hedges = 0;
  while (window.TryConsume(true, now)) ++hedges;
  CHECK(hedges > 0);
  CHECK(window.TryConsume(false, now));
}

TEST_CASE("a host without requests and without a share of the slack gets no retries") {
  RetryBudget window(kLimits);
  CHECK_FALSE(window.TryConsume(false, TimePoint()));
}

}  // namespace
}  // namespace mulberry::gateway
