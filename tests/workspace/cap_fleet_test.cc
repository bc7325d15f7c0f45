#include "cap_fleet.h"

#include <doctest/doctest.h>

#include <cmath>
#include <cstdint>
#include <string>
#include <vector>

namespace mulberry::workspace {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeeds = 10;

Workspace Make(const std::string& name, double rate, double burst) {
  Workspace workspace;
  workspace.name = WorkspaceName(name);
  workspace.rate_per_s = rate;
  workspace.burst = burst;
  return workspace;
}

/// Share of what one token bucket of the whole cap would have admitted that was served, in per
/// cent.
double Served(const CapFleet::Counts& counts) {
  return 100.0 * static_cast<double>(counts.sends.size()) / static_cast<double>(counts.reference);
}

/// Guards against a sum over the hosts that exceeds the limit when hosts or links fail, at seven
/// times the usual rate (a cap is 1.6 times that). Each subcase has one fault. The burst is large,
/// so that one given out twice exceeds the limit.
TEST_CASE("the sends of all hosts stay within the limit while hosts and links fail") {
  const Workspace large = Make("large", 60, 300);
  const Workspace small = Make("small", 1, 3);
  std::function<void(CapFleet&)> fault = [](CapFleet&) {};
  std::size_t hosts = CapFleet::kAdvertised;
  SUBCASE("no fault") {}
  SUBCASE("through one host") { hosts = 1; }
  SUBCASE("through a host that lends nothing") {
    fault = [](CapFleet& fleet) { fleet.Load("large", 300, seconds(20), CapFleet::kHosts); };
  }
  SUBCASE("datagrams are lost, delayed and duplicated") {
    fault = [](CapFleet& fleet) { fleet.network() = {0.2, 0.3, milliseconds(700)}; };
  }
  SUBCASE("a lender and another host are cut off") {
    fault = [](CapFleet& fleet) {
      fleet.At(seconds(3), [&fleet] {
        fleet.CutOff(0, true);
        fleet.CutOff(4, true);
      });
      fleet.At(seconds(12), [&fleet] { fleet.CutOff(0, false); });
    };
  }
  SUBCASE("hosts are frozen") {
    fault = [](CapFleet& fleet) {
      for (const std::size_t host : {0, 4}) {
        fleet.At(seconds(3), [&fleet, host] { fleet.Freeze(host, seconds(4)); });
        fleet.At(seconds(9), [&fleet, host] { fleet.Freeze(host, milliseconds(400)); });
      }
    };
  }
  SUBCASE("hosts are suspended") {
    fault = [](CapFleet& fleet) {
      for (const std::size_t host : {0, 4}) {
        fleet.At(seconds(3), [&fleet, host] { fleet.Suspend(host, seconds(4)); });
      }
    };
  }
  SUBCASE("hosts restart one after the other") {
    fault = [](CapFleet& fleet) {
      for (std::size_t i = 0; i < CapFleet::kHosts; ++i) {
        fleet.At(seconds(2 + i), [&fleet, i] { fleet.Kill(i); });
        fleet.At(seconds(3 + i), [&fleet, i] { fleet.Start(i); });
      }
    };
  }
  SUBCASE("a lender restarts again and again") {
    fault = [](CapFleet& fleet) {
      for (int i = 2; i < 12; ++i) fleet.At(seconds(i), [&fleet] { fleet.Start(0); });
    };
  }
  SUBCASE("all hosts restart at once, several times") {
    fault = [](CapFleet& fleet) {
      for (const int at : {1, 4, 5}) {
        fleet.At(seconds(at), [&fleet] {
          for (std::size_t i = 0; i < CapFleet::kHosts; ++i) fleet.Start(i);
        });
      }
    };
  }
  SUBCASE("the workspaces are removed and added again") {
    fault = [large, small](CapFleet& fleet) {
      for (int i = 3; i < 10; i += 2) {
        fleet.At(seconds(i), [&fleet] { fleet.Configure({}, milliseconds(1)); });
        fleet.At(seconds(i) + milliseconds(2), [&fleet, large, small] {
          fleet.Configure({large, small}, milliseconds(1));
        });
      }
    };
  }
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    CapFleet fleet(seed, {large, small});
    fault(fleet);
    fleet.Load("large", 300, seconds(20), hosts);
    fleet.Load("small", 5, seconds(20), hosts);
    fleet.Run(seconds(21));
    CHECK(fleet.MaxSends("large") <= fleet.Limit(large));
    CHECK(fleet.MaxSends("small") <= fleet.Limit(small));
    CHECK(fleet.MaxSends("large") > 0);
  }
}

/// Guards against refusals of workspaces below their caps, in particular of small ones, whose
/// tokens are spread over the lenders.
TEST_CASE("workspaces below their caps are served, also through one host and after failures") {
  // The usual rates of 79 workspaces, about 1,260 requests per second together: the largest has
  // 150, 34 have 0.5 and would be refused if their tokens lay in buckets that never hold a whole
  // one.
  std::vector<Workspace> workspaces;
  std::vector<double> rates;
  for (int i = 0; i < 79; ++i) {
    rates.push_back(std::max(0.5, 150 * std::pow(0.88, i)));
    workspaces.push_back(Make("w" + std::to_string(i), 1.6 * rates.back(), 2 * rates.back() + 4));
  }
  std::size_t hosts = CapFleet::kAdvertised;
  bool first_start = true;
  double min_share = 0;
  std::function<void(CapFleet&)> fault = [](CapFleet&) {};
  SUBCASE("no fault") { min_share = 99.5; }
  SUBCASE("a tenth of the datagrams is lost") {
    fault = [](CapFleet& fleet) { fleet.network().loss = 0.1; };
    min_share = 99;
  }
  SUBCASE("all callers use one host") {
    hosts = 1;
    min_share = 99;
  }
  SUBCASE("a lender is lost") {
    fault = [](CapFleet& fleet) { fleet.At(seconds(3), [&fleet] { fleet.Kill(1); }); };
    min_share = 95;
  }
  SUBCASE("all hosts have just lost power") {
    first_start = false;
    min_share = 95;
  }
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    CAPTURE(seed);
    CapFleet fleet(seed, workspaces, first_start);
    fault(fleet);
    for (std::size_t i = 0; i < workspaces.size(); ++i) {
      fleet.Load(workspaces[i].name.str(), rates[i], seconds(20), hosts);
    }
    fleet.Run(seconds(21));
    std::size_t sent = 0;
    std::size_t reference = 0;
    double worst = 100;
    for (const Workspace& workspace : workspaces) {
      const CapFleet::Counts& counts = fleet.counts(workspace.name.str());
      CHECK(fleet.MaxSends(workspace.name.str()) <= fleet.Limit(workspace));
      sent += counts.reference_sent;
      reference += counts.reference;
      worst = std::min(worst, 100.0 * static_cast<double>(counts.reference_sent) /
                                  static_cast<double>(counts.reference));
    }
    const double share = 100.0 * static_cast<double>(sent) / static_cast<double>(reference);
    MESSAGE("served " << share << " %, worst workspace " << worst << " %, datagrams per second "
                      << fleet.datagrams() / 20);
    CHECK(share >= min_share);
  }
}

/// Guards against tokens that lapse or lie unused while callers are refused.
TEST_CASE("a workspace far over its cap gets nearly what its cap allows") {
  const Workspace hot = Make("hot", 160, 80);
  std::size_t hosts = CapFleet::kAdvertised;
  double min_share = 95;
  SUBCASE("through all advertised hosts") {}
  SUBCASE("through two hosts") {
    hosts = 2;
    // The floors of the other hosts are not used.
    min_share = 84;
  }
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    CapFleet fleet(seed, {hot});
    fleet.Load("hot", 700, seconds(20), hosts);
    fleet.Run(seconds(21));
    const double served = Served(fleet.counts("hot"));
    CAPTURE(fleet.datagrams());
    CHECK(served >= min_share);
    // Bounded by kPauseAfterRefusal: 20 queries and answers per second, host and lender.
    CHECK(fleet.datagrams() / 20 <= 2 * 20 * 3 * hosts);
  }
}

/// Guards against hosts that use an old cap: it must hold in each window that begins 2.5 s after
/// the change.
TEST_CASE("a lowered cap holds once all hosts have adopted it") {
  const Workspace before = Make("w", 160, 80);
  const Workspace after = Make("w", 20, 10);
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    CapFleet fleet(seed, {before});
    fleet.Load("w", 400, seconds(20));
    fleet.Run(seconds(5));
    const TimePoint changed = fleet.now();
    fleet.Configure({after}, milliseconds(2000));
    fleet.Run(seconds(16));
    CHECK(fleet.MaxSends("w", changed + milliseconds(2500)) <= fleet.Limit(after));
    CHECK(fleet.MaxSends("w", changed + milliseconds(2500)) >= 100);
  }
}

/// Guards against a new workspace that is refused until its buckets have filled.
TEST_CASE("a new workspace is served at once, also by hosts that learn of it first") {
  const Workspace old = Make("old", 16, 20);
  const Workspace added = Make("new", 16, 20);
  std::size_t sent = 0;
  std::size_t reference = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    CapFleet fleet(seed, {old}, false);
    fleet.Run(seconds(8));
    fleet.Configure({added}, milliseconds(300));
    fleet.At(milliseconds(301), [&fleet] { fleet.Load("new", 10, seconds(3)); });
    fleet.Run(seconds(4));
    CHECK(fleet.MaxSends("new") <= fleet.Limit(added));
    sent += fleet.counts("new").reference_sent;
    reference += fleet.counts("new").reference;
  }
  CHECK(100 * sent >= 99 * reference);
}

}  // namespace
}  // namespace mulberry::workspace
