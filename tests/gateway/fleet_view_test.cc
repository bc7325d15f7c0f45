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

HostHeartbeat Beat(const HostRecord& record) {
  HostHeartbeat beat;
  beat.record = record;
  beat.start = StartId(1);
  beat.caller_address = CallerAddress(record);
  beat.ready = true;
  beat.store_reachable = true;
  return beat;
}

/// Views of 3 data centres with 4 hosts each, all of which hear each other.
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
    // Hosts that are named beat every 400 ms.
    HearAll();
    now += milliseconds(400);
    HearAll();
  }

  void HearAll(const std::set<std::size_t>& dead = {}) {
    for (std::size_t to = 0; to < views.size(); ++to) {
      for (std::size_t from = 0; from < views.size(); ++from) {
        if (from != to && dead.count(from) == 0) views[to].OnHeartbeat(Beat(records[from]), now);
      }
    }
  }

  std::vector<HostRecord> records;
  std::vector<FleetView> views;
  TimePoint now = TimePoint(seconds(100));
};

TEST_CASE_FIXTURE(Fixture, "all hosts name the same two hosts of a data centre") {
  for (int d = 0; d < 3; ++d) {
    const DataCentreName name("d" + std::to_string(d));
    const auto named = views[0].AddressesFor(name, now);
    CHECK(named.size() == 2);
    for (const FleetView& view : views) CHECK(view.AddressesFor(name, now) == named);
  }
  CHECK(views[0].AddressesFor(DataCentreName("elsewhere"), now).size() == 6);
}

TEST_CASE_FIXTURE(Fixture,
                  "hosts of more capacity come first, and more of them when the rate asks "
                  "for it") {
  const DataCentreName name("d0");
  HostHeartbeat strong = Beat(records[3]);
  strong.record.capacity = 500;
  views[8].OnHeartbeat(strong, now);
  CHECK(views[8].AddressesFor(name, now).front() == CallerAddress(records[3]));
  CHECK(views[8].AddressesFor(name, now).size() == 2);
  for (std::size_t i = 0; i < 3; ++i) {
    HostHeartbeat busy = Beat(records[i]);
    busy.request_rate = 220;
    views[8].OnHeartbeat(busy, now);
  }
  // 660 requests a second need the strong host and two usual ones.
  CHECK(views[8].AddressesFor(name, now).size() == 3);
}

TEST_CASE_FIXTURE(Fixture, "a silent host is named no longer, and another takes its place") {
  const DataCentreName name("d1");
  const auto before = views[0].AddressesFor(name, now);
  const auto dead = static_cast<std::size_t>(
      std::find_if(records.begin(), records.end(),
                   [&](const HostRecord& record) { return CallerAddress(record) == before[0]; }) -
      records.begin());
  for (int i = 0; i < 5; ++i) {
    now += milliseconds(400);
    HearAll({dead});
  }
  const auto after = views[0].AddressesFor(name, now);
  CHECK(after.size() == 2);
  CHECK(std::find(after.begin(), after.end(), before[0]) == after.end());
}

TEST_CASE_FIXTURE(Fixture, "a leaving host is named no longer at once") {
  const DataCentreName name("d0");
  for (std::size_t i = 0; i < 4; ++i) {
    HostHeartbeat beat = Beat(records[i]);
    beat.leaving = true;
    views[11].OnHeartbeat(beat, now);
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

TEST_CASE_FIXTURE(Fixture, "a host that hears nobody reads for itself and names itself") {
  now += seconds(60);
  for (std::size_t i = 0; i < views.size(); ++i) {
    CHECK(views[i].IsStoreReader(now));
    CHECK(views[i].AddressesFor(records[i].data_centre, now) ==
          std::vector{CallerAddress(records[i])});
    CHECK(views[i].OwnAdvertisedPosition(now).count == 1);
  }
  // Whatever they believe, two of four are first choices by rank.
  CHECK(std::count_if(views.begin(), views.begin() + 4,
                      [](const FleetView& view) { return view.IsAdvertisedByDefault(); }) == 2);
}

TEST_CASE_FIXTURE(Fixture,
                  "a beat of an earlier start does not bring a restarted host's past back") {
  HostHeartbeat first = Beat(records[1]);
  first.start = StartId(9);
  views[0].OnHeartbeat(first, now);
  HostHeartbeat second = Beat(records[1]);
  second.start = StartId(4);
  CHECK(views[0].OnHeartbeat(second, now));
  CHECK_FALSE(views[0].OnHeartbeat(first, now));
  CHECK_FALSE(views[0].OnHeartbeat(Beat(records[0]), now));
}

TEST_CASE("beats go to the own data centre and, elsewhere, from and to the hosts next in rank") {
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
    for (const HostRecord& other : records) view.OnHeartbeat(Beat(other), now);
    const std::size_t often = view.HeartbeatTargets(HeartbeatScope::kNear, now).size();
    const std::size_t rarely = view.HeartbeatTargets(HeartbeatScope::kFar, now).size();
    CHECK(view.HeartbeatTargets(HeartbeatScope::kAll, now).size() == records.size() - 1);
    CHECK(often >= kHosts - 1);
    // Two named hosts and two spare ones in each of the other data centres.
    CHECK(often <= kHosts - 1 + 4 * (kDataCentres - 1));
    near += often;
    if (rarely == records.size() - 1) {
      ++far_senders;
    } else {
      CHECK(rarely == kHosts - 1);
    }
  }
  CHECK(far_senders == 4 * kDataCentres);
  CHECK(near < records.size() * (kHosts + 2));
}

TEST_CASE_FIXTURE(Fixture, "a host elsewhere that is heard rarely is silent only after longer") {
  FleetView& view = views[0];
  const std::size_t elsewhere = 4;
  const DataCentreName name("d1");
  for (int i = 0; i < 3; ++i) {
    now += milliseconds(1200);
    for (std::size_t n = 0; n < 4; ++n) view.OnHeartbeat(Beat(records[elsewhere + n]), now);
  }
  now += milliseconds(3000);
  CHECK_FALSE(view.AddressesFor(name, now).empty());
  now += milliseconds(1000);
  CHECK(view.RemoteAdvertisedPeers(now).empty());
}

TEST_CASE_FIXTURE(Fixture, "where the store answers nobody, two hosts go on trying") {
  std::size_t readers = 0;
  for (std::size_t i = 0; i < views.size(); ++i) {
    views[i].SetOwnState(true, false, false);
    for (std::size_t from = 0; from < records.size(); ++from) {
      HostHeartbeat beat = Beat(records[from]);
      beat.store_reachable = false;
      if (from != i) views[i].OnHeartbeat(beat, now);
    }
    CHECK(views[i].IsStoreUnreachable(now));
    if (views[i].IsStoreReader(now)) ++readers;
  }
  CHECK(readers == 2);
}

TEST_CASE("a large data centre has a reader of its own, which tells only its hosts") {
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
    for (const HostRecord& other : records) view.OnHeartbeat(Beat(other), now);
    const bool large = self.data_centre == DataCentreName("d0");
    if (view.IsStoreReader(now)) ++readers[large ? "large" : "small"];
    CHECK(view.StoreUpdateTargets().size() == (large ? 29 : 7));
  }
  CHECK(readers["large"] == 1);
  CHECK(readers["small"] == 2);
}

}  // namespace
}  // namespace mulberry::gateway
