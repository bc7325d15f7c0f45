#include "slopes.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>

#include "libconfig/config.h"
#include "libentry/service_map.h"
#include "libfleet/fleet.h"
#include "libpolicy/policy.h"
#include "libtransport/transport.h"
#include "measuring.h"

namespace mulberry::bench {
namespace {

using std::chrono::milliseconds;

std::string ClassChange(std::size_t number, std::size_t items, std::size_t services,
                        std::vector<Offset>* versions) {
  const std::size_t item_number = number % items;
  ClassItem item;
  item.name = ClassName(Numbered("class-", item_number));
  item.service = ServiceName(Numbered("service-", item_number % services));
  item.latency_target = milliseconds(50 + number % 100);
  Change change;
  change.id = ChangeId(Numbered("change-", number));
  change.author = "operator";
  change.at = kWall;
  change.kind = ItemKind::kClass;
  change.item = item.name.str();
  change.base = (*versions)[item_number];
  change.value = item;
  (*versions)[item_number] = Offset(number + 1);
  return EncodeChange(change).value();
}

std::vector<HostName> MakeHosts(std::size_t count) {
  std::vector<HostName> hosts;
  for (std::size_t i = 0; i < count; ++i) {
    hosts.emplace_back(Numbered("entry-host-", i));
  }
  return hosts;
}

std::vector<GroupKey> MakeGroups(std::size_t count) {
  std::vector<GroupKey> groups;
  for (std::size_t i = 0; i < count; ++i) {
    const GroupName name{ServiceName(Numbered("service-", i)), DataCentreName("dc-1"), 0};
    groups.push_back(KeyOf(name));
  }
  return groups;
}

double EncodedBytes(PeerMessage message) {
  const PeerEnvelope envelope{{HostName("entry-host-1"), StartId(1ULL << 60)}, std::move(message)};
  return static_cast<double>(EncodePeerMessage(envelope).value().size());
}

/// Runs requests one after the other and returns microseconds for each.
double MicrosPerRequest(GroupDispatcher& dispatcher, std::size_t requests) {
  TimePoint now{std::chrono::seconds(1000)};
  PolicyActions actions;
  return MicrosOf([&] {
           for (std::size_t i = 1; i <= requests; ++i) {
             now += Duration(100);
             actions.clear();
             dispatcher.Submit({RequestId(i), ClassName("lookup"), now, now + milliseconds(2000)},
                               now, actions);
             const auto start = std::find_if(
                 actions.begin(), actions.end(),
                 [](const auto& action) { return std::holds_alternative<StartDispatch>(action); });
             if (start == actions.end()) {
               continue;
             }
             const DispatchId dispatch = std::get<StartDispatch>(*start).dispatch;
             actions.clear();
             dispatcher.OnDispatchEnd({dispatch, DispatchResult::kAnswered, StartId(1)}, now,
                                      actions);
           }
         }) /
         static_cast<double>(requests);
}

}  // namespace

std::vector<BackendServerEntry> MakeServers(const TargetSize& target) {
  std::vector<BackendServerEntry> servers;
  for (std::size_t i = 0; i < target.servers; ++i) {
    const std::size_t service = i % target.services;
    const std::size_t centre = (service + i / target.services / 6) % target.data_centres;
    servers.push_back(
        {ServerName(Numbered("server-", i)), ServiceName(Numbered("service-", service)),
         DataCentreName(Numbered("dc-", centre)), "10.11.12.13:8080", 6, 250, false, false});
  }
  return servers;
}

std::vector<Slope> MeasureFold(const TargetSize& target) {
  const std::size_t items = target.services * target.classes_per_service;
  std::vector<Offset> versions(items);
  std::vector<std::string> records;
  for (std::size_t i = 0; i < target.changes_a_day; ++i) {
    records.push_back(ClassChange(i, items, target.services, &versions));
  }
  const double before = HeapBytes();
  ConfigStateMachine fold;
  std::size_t accepted = 0;
  const double fold_us = MicrosOf([&] {
    for (std::size_t i = 0; i < records.size(); ++i) {
      accepted += fold.Apply(Offset(i + 1), records[i]).outcome == ChangeOutcome::kAccepted ? 1 : 0;
    }
  });
  const double memory = HeapBytes() - before;
  std::vector<std::string> snapshot;
  const double write_us =
      MicrosOf([&] { snapshot = fold.EncodeSnapshotRecords(fold.state().applied).value(); });
  const std::string text = fold.EncodeSnapshot();
  ConfigStateMachine loaded;
  const double load_us = MicrosOf([&] { (void)loaded.LoadSnapshot(text); });
  const auto changes = static_cast<double>(records.size());
  const auto classes = static_cast<double>(items);
  return {
      {"fold: changes accepted", changes, "changes", static_cast<double>(accepted), "changes"},
      {"fold: time for a day", changes, "changes", fold_us / 1000, "ms"},
      {"fold: bytes of one record", changes, "changes", static_cast<double>(records.back().size()),
       "bytes"},
      {"fold: memory of the state", classes, "classes", memory / kKiB, "KiB"},
      {"snapshot: records", classes, "classes", static_cast<double>(snapshot.size()), "records"},
      {"snapshot: size", classes, "classes", static_cast<double>(text.size()) / kKiB, "KiB"},
      {"snapshot: time to write", classes, "classes", write_us / 1000, "ms"},
      {"snapshot: time to load", classes, "classes", load_us / 1000, "ms"}};
}

std::vector<Slope> MeasureServiceMap(const TargetSize& target) {
  std::vector<Slope> slopes;
  for (const std::size_t part : {10, 3, 1}) {
    TargetSize size = target;
    size.servers = target.servers / part;
    const auto servers = MakeServers(size);
    const ConfigState config;
    const double before = HeapBytes();
    auto map = std::make_unique<ServiceMap>();
    const double us = MicrosOf([&] { map->Update(servers, config); });
    const auto count = static_cast<double>(size.servers);
    slopes.push_back({"service map: time to join the list", count, "servers", us / 1000, "ms"});
    slopes.push_back(
        {"service map: memory", count, "servers", (HeapBytes() - before) / kKiB, "KiB"});
  }
  return slopes;
}

std::vector<Slope> MeasureDispatcher() {
  constexpr std::size_t kRequests = 200000;
  std::vector<Slope> slopes;
  for (const std::size_t servers : {8, 24, 64}) {
    const double before = HeapBytes();
    DispatcherOptions options;
    auto dispatcher = std::make_unique<GroupDispatcher>(options);
    PolicyActions actions;
    const TimePoint now{std::chrono::seconds(1000)};
    ClassTarget target;
    target.name = ClassName("lookup");
    target.latency_target = milliseconds(100);
    dispatcher->SetClasses({target}, now, actions);
    std::vector<ServerInfo> infos;
    for (std::size_t i = 0; i < servers; ++i) {
      infos.push_back({ServerName(Numbered("server-", i)), 6, false, false});
    }
    dispatcher->SetServers(infos, now, actions);
    dispatcher->SetLimitShare(LimitShare::kFull, TimePoint::max(), now, actions);
    const double us = MicrosPerRequest(*dispatcher, kRequests);
    const auto size = static_cast<double>(servers);
    slopes.push_back(
        {"dispatcher: processor time of a request", size, "servers in group", us, "us"});
    slopes.push_back({"dispatcher: memory of a group", size, "servers in group",
                      (HeapBytes() - before) / kKiB, "KiB"});
  }
  return slopes;
}

std::vector<Slope> MeasureHeartbeats() {
  std::vector<Slope> slopes;
  for (const std::size_t hosts : {4, 10, 20}) {
    SelfDescription self;
    self.self = {HostName("entry-host-0"), StartId(1)};
    self.data_centre = DataCentreName("dc-1");
    const TimePoint start{std::chrono::seconds(1000)};
    const double before = HeapBytes();
    Membership membership(self, {}, start);
    std::vector<EntryHostEntry> list;
    for (const HostName& host : MakeHosts(hosts)) {
      list.push_back({host, self.data_centre, "10.11.12.13:8080", "10.11.12.13:8081", false});
    }
    membership.SetHostList(list, start);
    Heartbeat heartbeat = membership.MakeHeartbeat({Offset(1'000'000), 1ULL << 63}, start);
    heartbeat.wanted = MakeGroups(125 / hosts + 1);
    HeartbeatAck ack = membership.MakeAck(heartbeat, {Offset(1'000'000), 1ULL << 63}, start);
    for (const GroupKey group : heartbeat.wanted) {
      ack.grants.push_back({group, true, Duration::zero(), false});
    }
    const auto size = static_cast<double>(hosts);
    const char* unit = "hosts in data centre";
    slopes.push_back({"heartbeat: bytes", size, unit, EncodedBytes(heartbeat), "bytes"});
    slopes.push_back({"acknowledgement: bytes", size, unit, EncodedBytes(ack), "bytes"});
    constexpr int kRounds = 2000;
    const double us = MicrosOf([&] {
      for (int i = 0; i < kRounds; ++i) {
        const TimePoint now = start + milliseconds(i);
        membership.OnHeartbeat({HostName("entry-host-1"), StartId(2)}, heartbeat, now);
        (void)EncodedBytes(membership.MakeAck(heartbeat, {Offset(1), 1}, now));
        (void)EncodedBytes(membership.MakeHeartbeat({Offset(1), 1}, now));
      }
    });
    slopes.push_back(
        {"heartbeat: processor time, sent and answered", size, unit, us / kRounds, "us"});
    slopes.push_back({"membership: memory", size, unit, (HeapBytes() - before) / kKiB, "KiB"});
  }
  return slopes;
}

std::vector<Slope> MeasureLeases(const TargetSize& target) {
  std::vector<Slope> slopes;
  const std::size_t groups = target.services * 4 / target.data_centres;
  for (const std::size_t hosts : {4, 10, 20}) {
    const auto names = MakeHosts(hosts);
    const TimePoint start{std::chrono::seconds(1000)};
    LeaseHolder holder({names.front(), StartId(1)}, {}, start);
    const auto keys = MakeGroups(groups);
    constexpr int kRounds = 200;
    const double us = MicrosOf([&] {
      for (int i = 0; i < kRounds; ++i) {
        holder.SetView(keys, names, names, start + milliseconds(20 * i));
      }
    });
    slopes.push_back({"leases: processor time of one view of all groups",
                      static_cast<double>(hosts), "hosts in data centre", us / kRounds, "us"});
  }
  return slopes;
}

std::vector<Slope> MeasureClaims() {
  std::vector<Slope> slopes;
  const Incarnation self{HostName("entry-host-0"), StartId(1)};
  const Incarnation claimant{HostName("entry-host-1"), StartId(2)};
  ClaimRequest request;
  request.request_digest = 1ULL << 62;
  request.round = 1;
  request.holder_start = self.start;
  request.expires = kWall + milliseconds(60'000);
  for (const std::size_t claims : {10000, 50000, 150000}) {
    const double before = HeapBytes();
    ClaimHolder holder(self, {});
    const double us = MicrosOf([&] {
      for (std::size_t i = 0; i < claims; ++i) {
        request.key = IdempotencyKey(Numbered("0123456789abcdef-", i));
        (void)holder.OnClaim(claimant, request, kWall);
      }
    });
    const auto size = static_cast<double>(claims);
    slopes.push_back(
        {"claims: processor time of one at a holder", size, "claims held", us / size, "us"});
    slopes.push_back({"claims: memory", size, "claims held", (HeapBytes() - before) / kKiB, "KiB"});
  }
  slopes.push_back({"claims: bytes of a question", 1, "claim", EncodedBytes(request), "bytes"});
  ClaimAnswer answer;
  answer.key = request.key;
  answer.round = 1;
  answer.claimant = claimant;
  slopes.push_back({"claims: bytes of an answer", 1, "claim", EncodedBytes(answer), "bytes"});
  return slopes;
}

}  // namespace mulberry::bench
