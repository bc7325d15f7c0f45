#include "libgateway/route_table.h"

#include <doctest/doctest.h>

#include <cmath>
#include <map>
#include <vector>

#include "libgateway/active_config.h"

namespace mulberry::gateway {
namespace {

Route MakeRoute(const std::string& name, const std::string& host, const std::string& prefix) {
  Route route;
  route.name = name;
  route.host = host;
  route.path_prefix = prefix;
  route.timeout = std::chrono::seconds(1);
  route.max_attempts = 2;
  route.shares = {{ServiceName("a"), 1}};
  return route;
}

Config MakeConfig(std::uint64_t version, std::vector<Route> routes) {
  Config config;
  config.version = ConfigVersion(version);
  config.routes = std::move(routes);
  config.services[ServiceName("a")] = {};
  config.services[ServiceName("b")] = {};
  return config;
}

TEST_CASE("the route with the longest matching prefix of the host is found") {
  const RouteTable table({MakeRoute("short", "h.example", "/x/"),
                          MakeRoute("long", "h.example", "/x/y/"),
                          MakeRoute("other", "g.example", "/x/y/z/")});
  CHECK(table.Find("h.example", "/x/1")->name == "short");
  CHECK(table.Find("h.example", "/x/y/z/1")->name == "long");
  CHECK(table.Find("H.Example:8080", "/x/1")->name == "short");
  CHECK(table.Find("h.example", "/x") == nullptr);
  CHECK(table.Find("h.example", "/xy/1") == nullptr);
  CHECK(table.Find("f.example", "/x/1") == nullptr);
}

TEST_CASE("weights hold over any short span of requests") {
  Route route = MakeRoute("split", "h.example", "/x/");
  route.shares = {{ServiceName("a"), 90}, {ServiceName("b"), 10}};
  TrafficSplitter splitter(1);
  for (int span = 0; span < 20; ++span) {
    std::map<ServiceName, int> requests;
    for (int i = 0; i < 10; ++i) ++requests[splitter.Next(route)];
    CHECK(requests[ServiceName("a")] == 9);
    CHECK(requests[ServiceName("b")] == 1);
  }
  route.shares = {{ServiceName("a"), 0}, {ServiceName("b"), 5}};
  CHECK(splitter.Next(route) == ServiceName("b"));
}

TEST_CASE("many hosts with few requests each keep the shares, also after restarts and a change") {
  constexpr int kHosts = 300;
  constexpr int kRequests = 10'000;
  Route route = MakeRoute("split", "h.example", "/x/");
  route.shares = {{ServiceName("a"), 70}, {ServiceName("b"), 30}};
  std::vector<TrafficSplitter> hosts;
  hosts.reserve(kHosts);
  for (int i = 0; i < kHosts; ++i) hosts.emplace_back(i);
  const auto share_of_a = [&](int requests) {
    int to_a = 0;
    for (int i = 0; i < requests; ++i) {
      if (hosts[i % kHosts].Next(route) == ServiceName("a")) ++to_a;
    }
    return static_cast<double>(to_a) / requests;
  };
  CHECK(share_of_a(kRequests) == doctest::Approx(0.7).epsilon(0.01));
  for (int i = 0; i < kHosts / 2; ++i) hosts[i] = TrafficSplitter(kHosts + i);
  CHECK(share_of_a(kRequests) == doctest::Approx(0.7).epsilon(0.01));
  route.shares = {{ServiceName("a"), 1}, {ServiceName("b"), 1}};
  // The first requests after a change, one at each host.
  CHECK(std::abs(share_of_a(kHosts) - 0.5) < 0.1);
  CHECK(share_of_a(kRequests) == doctest::Approx(0.5).epsilon(0.01));
}

TEST_CASE("the version never decreases and an invalid configuration changes nothing") {
  ActiveConfig active_config;
  CHECK_FALSE(active_config.ready());
  CHECK(active_config.Update(MakeConfig(7, {MakeRoute("r", "h.example", "/x/")})).value());
  CHECK_FALSE(active_config.Update(MakeConfig(6, {})).value());
  CHECK_FALSE(active_config.Update(MakeConfig(7, {})).value());
  CHECK(active_config.routes().Find("h.example", "/x/1") != nullptr);

  Route unknown = MakeRoute("r", "h.example", "/x/");
  unknown.shares = {{ServiceName("nobody"), 1}};
  Route no_trailing_slash = MakeRoute("r", "h.example", "/x");
  Route no_attempts = MakeRoute("r", "h.example", "/x/");
  no_attempts.max_attempts = 0;
  Route no_weight = MakeRoute("r", "h.example", "/x/");
  no_weight.shares = {{ServiceName("a"), 0}};
  for (const Route& route : {unknown, no_trailing_slash, no_attempts, no_weight}) {
    CHECK_FALSE(active_config.Update(MakeConfig(9, {route})).has_value());
    CHECK(active_config.version() == ConfigVersion(7));
  }
}

}  // namespace
}  // namespace mulberry::gateway
