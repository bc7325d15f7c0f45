#include "libgateway/fleet_view.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

namespace mulberry::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

HostRecord Record(int data_centre, int number) {
  const std::string name = "h" + std::to_string(data_centre) + "-" + std::to_string(number);
  return {HostName(name), DataCentreName("d" + std::to_string(data_centre)),
          "10." + std::to_string(data_centre) + ".0." + std::to_string(number) + ":7000"};
}

std::string CallerAddress(const HostRecord& record) {
  return record.peer_address.substr(0, record.peer_address.find(':')) + ":80";
}

HostHeartbeat Heartbeat(const HostRecord& record) {
  HostHeartbeat heartbeat;
  heartbeat.record = record;
  heartbeat.start = StartId(1);
  heartbeat.caller_address = CallerAddress(record);
  heartbeat.ready = true;
  heartbeat.store_reachable = true;
  return heartbeat;
}

/// Views of all hosts of 3 data centres with 4 hosts each; all receive each other's heartbeats.
struct Fixture {
  Fixture() {
    for (int d = 0; d < 3; ++d) {
      for (int n = 0; n < 4; ++n) records.push_back(Record(d, n));
    }
    for (const HostRecord& record : records) {
      FleetOptions options;
      options.self = record;
      options.self_caller_address = CallerAddress(record);
      options.min_advertised_hosts = 2;
      views.emplace_back(options);
      views.back().SetOwnState(true, false, true);
    }
    // Advertised hosts send a heartbeat every 400 ms.
    DeliverHeartbeats();
    now += milliseconds(400);
    DeliverHeartbeats();
  }

  void DeliverHeartbeats(const std::set<std::size_t>& dead = {}) {
    for (std::size_t to = 0; to < views.size(); ++to) {
      for (std::size_t src = 0; src < views.size(); ++src) {
        if (src != to && dead.count(src) == 0) views[to].OnHeartbeat(Heartbeat(records[src]), now);
      }
    }
  }

  std::vector<HostRecord> records;
  std::vector<FleetView> views;
  TimePoint now = TimePoint(seconds(100));
};

TEST_CASE_FIXTURE(Fixture, "all hosts advertise the same two hosts of a data centre") {
  for (int d = 0; d < 3; ++d) {
    const DataCentreName name("d" + std::to_string(d));
    const auto named = views[0].AddressesFor(name, now);
    CHECK(named.size() == 2);
    for (const FleetView& view : views) CHECK(view.AddressesFor(name, now) == named);
  }
  CHECK(views[0].AddressesFor(DataCentreName("elsewhere"), now).size() == 6);
}

TEST_CASE_FIXTURE(
    Fixture,
    "hosts with more capacity come first, and more are advertised when the rate needs "
    "it") {
  const DataCentreName name("d0");
  HostHeartbeat strong = Heartbeat(records[3]);
  strong.record.capacity = 500;
  views[8].OnHeartbeat(strong, now);
  CHECK(views[8].AddressesFor(name, now).front() == CallerAddress(records[3]));
  CHECK(views[8].AddressesFor(name, now).size() == 2);
  for (std::size_t i = 0; i < 3; ++i) {
    HostHeartbeat busy = Heartbeat(records[i]);
    busy.request_rate = 220;
    views[8].OnHeartbeat(busy, now);
  }
  // 660 requests per second need the strong host and two usual ones.
  CHECK(views[8].AddressesFor(name, now).size() == 3);
}

TEST_CASE_FIXTURE(Fixture,
                  "a host without heartbeats is replaced by another in the advertised addresses") {
  const DataCentreName name("d1");
  const auto before = views[0].AddressesFor(name, now);
  const auto dead = static_cast<std::size_t>(
      std::find_if(records.begin(), records.end(),
                   [&](const HostRecord& record) { return CallerAddress(record) == before[0]; }) -
      records.begin());
  for (int i = 0; i < 5; ++i) {
    now += milliseconds(400);
    DeliverHeartbeats({dead});
  }
  const auto after = views[0].AddressesFor(name, now);
  CHECK(after.size() == 2);
  CHECK(std::find(after.begin(), after.end(), before[0]) == after.end());
}

TEST_CASE_FIXTURE(Fixture, "a leaving host is no longer advertised at once") {
  const DataCentreName name("d0");
  for (std::size_t i = 0; i < 4; ++i) {
    HostHeartbeat heartbeat = Heartbeat(records[i]);
    heartbeat.leaving = true;
    views[11].OnHeartbeat(heartbeat, now);
  }
  for (const std::string& address : views[11].AddressesFor(name, now)) {
    CHECK(address.rfind("10.0.", 0) != 0);
  }
}

TEST_CASE_FIXTURE(Fixture, "two hosts in two data centres read the store for all") {
  std::vector<DataCentreName> readers;
  for (std::size_t i = 0; i < views.size(); ++i) {
    if (views[i].IsStoreReader(now)) readers.push_back(records[i].data_centre);
  }
  REQUIRE(readers.size() == 2);
  CHECK(readers[0] != readers[1]);
}

TEST_CASE_FIXTURE(Fixture, "an isolated host reads the store and advertises itself") {
  now += seconds(60);
  for (std::size_t i = 0; i < views.size(); ++i) {
    CHECK(views[i].IsStoreReader(now));
    CHECK(views[i].AddressesFor(records[i].data_centre, now) ==
          std::vector{CallerAddress(records[i])});
    CHECK(views[i].OwnAdvertisedPosition(now).count == 1);
  }
  // Whatever the hosts see, two of four are advertised by default because of their rank.
  CHECK(std::count_if(views.begin(), views.begin() + 4,
                      [](const FleetView& view) { return view.IsAdvertisedByDefault(); }) == 2);
}

TEST_CASE_FIXTURE(Fixture, "a late heartbeat of an earlier start of a host is ignored") {
  HostHeartbeat first = Heartbeat(records[1]);
  first.start = StartId(9);
  views[0].OnHeartbeat(first, now);
  HostHeartbeat second = Heartbeat(records[1]);
  second.start = StartId(4);
  CHECK(views[0].OnHeartbeat(second, now));
  CHECK_FALSE(views[0].OnHeartbeat(first, now));
  CHECK_FALSE(views[0].OnHeartbeat(Heartbeat(records[0]), now));
}

TEST_CASE("heartbeats go to the local data centre, and elsewhere only between hosts high in rank") {
  constexpr int kDataCentres = 3;
  constexpr int kHosts = 30;
  std::vector<HostRecord> records;
  records.reserve(kDataCentres * kHosts);
  for (int d = 0; d < kDataCentres; ++d) {
    for (int n = 0; n < kHosts; ++n) records.push_back(Record(d, n));
  }
  const TimePoint now(seconds(100));
  std::size_t near = 0;
  std::size_t far_senders = 0;
  for (const HostRecord& self : records) {
    FleetOptions options;
    options.self = self;
    options.min_advertised_hosts = 2;
    FleetView view(options);
    view.SetOwnState(true, false, true);
    for (const HostRecord& other : records) view.OnHeartbeat(Heartbeat(other), now);
    const std::size_t near_targets = view.HeartbeatTargets(HeartbeatScope::kNear, now).size();
    const std::size_t far_targets = view.HeartbeatTargets(HeartbeatScope::kFar, now).size();
    CHECK(view.HeartbeatTargets(HeartbeatScope::kAll, now).size() == records.size() - 1);
    CHECK(near_targets >= kHosts - 1);
    // Two advertised hosts and two spare ones in each of the other data centres.
    CHECK(near_targets <= kHosts - 1 + 4 * (kDataCentres - 1));
    near += near_targets;
    if (far_targets == records.size() - 1) {
      ++far_senders;
    } else {
      CHECK(far_targets == kHosts - 1);
    }
  }
  CHECK(far_senders == 4 * kDataCentres);
  CHECK(near < records.size() * (kHosts + 2));
}

TEST_CASE_FIXTURE(Fixture, "a remote host with infrequent heartbeats has a longer timeout") {
  FleetView& view = views[0];
  const std::size_t elsewhere = 4;
  const DataCentreName name("d1");
  for (int i = 0; i < 3; ++i) {
    now += milliseconds(1200);
    for (std::size_t n = 0; n < 4; ++n) view.OnHeartbeat(Heartbeat(records[elsewhere + n]), now);
  }
  now += milliseconds(3000);
  CHECK_FALSE(view.AddressesFor(name, now).empty());
  now += milliseconds(1000);
  CHECK(view.RemoteAdvertisedPeers(now).empty());
}

TEST_CASE_FIXTURE(Fixture, "while no host can reach the store, two hosts keep trying") {
  std::size_t readers = 0;
  for (std::size_t i = 0; i < views.size(); ++i) {
    views[i].SetOwnState(true, false, false);
    for (std::size_t from = 0; from < records.size(); ++from) {
      HostHeartbeat heartbeat = Heartbeat(records[from]);
      heartbeat.store_reachable = false;
      if (from != i) views[i].OnHeartbeat(heartbeat, now);
    }
    CHECK(views[i].IsStoreUnreachable(now));
    if (views[i].IsStoreReader(now)) ++readers;
  }
  CHECK(readers == 2);
}

TEST_CASE("a large data centre has a reader of its own, which updates only its hosts") {
  std::vector<HostRecord> records;
  records.reserve(38);
  for (int n = 0; n < 30; ++n) records.push_back(Record(0, n));
  for (int d = 1; d < 3; ++d) {
    for (int n = 0; n < 4; ++n) records.push_back(Record(d, n));
  }
  const TimePoint now(seconds(100));
  std::map<std::string, int> readers;
  for (const HostRecord& self : records) {
    FleetOptions options;
    options.self = self;
    FleetView view(options);
    view.SetOwnState(true, false, true);
    for (const HostRecord& other : records) view.OnHeartbeat(Heartbeat(other), now);
    const bool large = self.data_centre == DataCentreName("d0");
    if (view.IsStoreReader(now)) ++readers[large ? "large" : "small"];
    CHECK(view.StoreUpdateTargets().size() == (large ? 29 : 7));
  }
  CHECK(readers["large"] == 1);
  CHECK(readers["small"] == 2);
}

/// Guards against hosts that ask, or take themselves for, different lenders of tokens.
TEST_CASE_FIXTURE(Fixture, "all hosts agree who ranks first in each data centre, alive or not") {
  const auto names = [](const FleetView& view) {
    std::map<DataCentreName, HostName> first;
    for (const HostRecord& record : view.FirstInRank()) first[record.data_centre] = record.host;
    return first;
  };
  now += seconds(10);
  const auto expected = names(views[0]);
  CHECK(expected.size() == 3);
  for (std::size_t i = 0; i < views.size(); ++i) {
    CHECK(names(views[i]) == expected);
    CHECK(views[i].FirstInRank()[0].data_centre == records[i].data_centre);
    CHECK(views[i].DefaultAdvertisedCount() == 6);
  }
}

/// Guards against a host that enforces an outdated cap while it is cut off, and against one that
/// refuses requests because the store is down for all.
TEST_CASE_FIXTURE(Fixture, "a host knows whether its configuration may be outdated") {
  FleetView& view = views[0];
  CHECK(view.HasRecentContact(now));
  view.SetOwnState(true, false, false);
  // Another host reaches the store.
  CHECK(view.HasRecentContact(now));
  bool hears_others = true;
  SUBCASE("the store is down for all") {}
  SUBCASE("the host is cut off") { hears_others = false; }
  now += seconds(10);
  for (std::size_t i = 1; i < records.size() && hears_others; ++i) {
    HostHeartbeat heartbeat = Heartbeat(records[i]);
    heartbeat.store_reachable = false;
    view.OnHeartbeat(heartbeat, now);
  }
  CHECK(view.HasRecentContact(now) == hears_others);
}

}  // namespace
}  // namespace mulberry::gateway
