#include "entry_costs.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "libconfig/config.h"
#include "libentry/entry.h"
#include "libpolicy/retry_budget.h"
#include "libtransport/transport.h"
#include "measuring.h"

namespace mulberry::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kServersPerGroup = 6;
constexpr std::size_t kGroupsPerService = 4;

class QuietObserver : public EntryObserver {
 public:
  void OnAnswered(const ClassName&, Duration) override {}
  void OnRefused(const ClassName&, const std::string&) override {}
  void OnRetry(const ClassName&, const std::string&) override {}
  void OnForward(const ClassName&, const std::string&) override {}
  void OnProbe(const ServiceName&) override {}
  void OnClaim(const std::string&) override {}
  void OnLeaseChange(const GroupName&, const std::string&, const std::string&) override {}
};

std::string ClassRecord(std::size_t number, const std::string& service, bool idempotent) {
  ClassItem item;
  item.name = ClassName(Numbered("class-", number));
  item.service = ServiceName(service);
  item.idempotent = idempotent;
  item.latency_target = milliseconds(100);
  Change change;
  change.id = ChangeId(Numbered("change-", number));
  change.author = "operator";
  change.at = kWall;
  change.kind = ItemKind::kClass;
  change.item = item.name.str();
  change.value = item;
  return EncodeChange(change).value();
}

std::vector<EntryHostEntry> MakeEntryHosts(std::size_t data_centres, std::size_t hosts_each) {
  std::vector<EntryHostEntry> hosts;
  for (std::size_t centre = 0; centre < data_centres; ++centre) {
    for (std::size_t i = 0; i < hosts_each; ++i) {
      hosts.push_back({HostName(Numbered("entry-host-", centre * hosts_each + i)),
                       DataCentreName(Numbered("dc-", centre)), "10.11.12.13:8080",
                       "10.11.12.13:8081", false});
    }
  }
  return hosts;
}

/// The decisions of one entry host on virtual time, with the log and the backend servers played by
/// the bench.
class BenchHost {
 public:
  BenchHost(const HostList& list, std::vector<std::string> log)
      : log_(std::move(log)), host_(Options(), observer_, now_) {
    host_.Start(now_, actions_);
    host_.OnHostList(list, now_, actions_);
  }

  /// Lets virtual time pass; the host ticks when it wants to, and each read of the log is answered
  /// a second later.
  void Run(Duration time) {
    for (const TimePoint end = now_.mono + time; now_.mono < end;) {
      Advance(std::max<Duration>(milliseconds(1), host_.NextTick() - now_.mono));
      host_.Tick(now_, actions_);
      AnswerReads();
    }
  }

  /// Makes one call with its answer from the backend server; false when none was asked.
  bool Call(std::uint64_t id) {
    Advance(Duration(100));
    CallerRequest call;
    call.id = RequestId(id);
    call.class_name = ClassName("class-0");
    call.method = "GET";
    call.path = "/slots";
    host_.OnCaller(std::move(call), now_, actions_);
    constexpr std::uint64_t kCallsPerTick = 100;
    if (id % kCallsPerTick == 0) {
      host_.Tick(now_, actions_);
    }
    const auto sent = std::find_if(actions_.begin(), actions_.end(), [](const auto& action) {
      return std::holds_alternative<SendToServer>(action);
    });
    if (sent == actions_.end()) {
      AnswerReads();
      return false;
    }
    ServerReply reply;
    reply.report = {std::get<SendToServer>(*sent).dispatch, DispatchResult::kAnswered, StartId(7),
                    false};
    reply.status = 200;
    host_.OnServerReply(std::move(reply), now_, actions_);
    AnswerReads();
    return true;
  }

  EntryHost& host() { return host_; }
  Instant now() const { return now_; }

 private:
  static EntryOptions Options() {
    EntryOptions options;
    options.self = {{HostName("entry-host-0"), StartId(1)},
                    DataCentreName("dc-0"),
                    "10.11.12.13:8080",
                    "10.11.12.13:8081"};
    options.ticket_secret = "0123456789abcdef";
    return options;
  }

  void Advance(Duration time) {
    now_.mono += time;
    now_.wall = kWall + std::chrono::duration_cast<milliseconds>(now_.mono - start_);
  }

  void AnswerReads() {
    for (const EntryAction& action : actions_) {
      if (const auto* read = std::get_if<ReadLog>(&action)) {
        read_from_ = read->from;
        read_due_ = now_.mono + (applied_all() ? milliseconds(500) : milliseconds(0));
      }
    }
    actions_.clear();
    if (read_due_ <= now_.mono) {
      read_due_ = TimePoint::max();
      host_.OnLogPage(NextPage(), now_, actions_);
      AnswerReads();
    }
  }

  bool applied_all() const { return host_.config().applied.value() >= log_.size(); }

  LogPage NextPage() const {
    constexpr std::size_t kRecordsPerPage = 500;
    LogPage page;
    page.first = Offset(1);
    page.next = Offset(log_.size() + 1);
    const std::size_t from = read_from_.value() - 1;
    for (std::size_t i = from; i < std::min(log_.size(), from + kRecordsPerPage); ++i) {
      page.records.push_back({Offset(i + 1), log_[i]});
    }
    return page;
  }

  QuietObserver observer_;
  TimePoint start_{seconds(1000)};
  Instant now_{start_, kWall};
  TimePoint read_due_ = TimePoint::max();
  Offset read_from_;
  std::vector<std::string> log_;
  EntryActions actions_;
  EntryHost host_;
};

HostList MakeListOfGroups(std::size_t groups) {
  HostList list;
  list.entry_hosts = MakeEntryHosts(2, 1);
  for (std::size_t i = 0; i < groups * kServersPerGroup; ++i) {
    list.backend_servers.push_back(
        {ServerName(Numbered("server-", i)), ServiceName(Numbered("service-", i % groups)),
         DataCentreName("dc-0"), "10.11.12.13:8080", 6, 250, false, false});
  }
  return list;
}

nlohmann::json ToJson(const HostList& list) {
  nlohmann::json json;
  for (const EntryHostEntry& host : list.entry_hosts) {
    json["entry_hosts"].push_back({{"name", host.name.str()},
                                   {"dc", host.data_centre.str()},
                                   {"http", host.http_address},
                                   {"peer", host.peer_address},
                                   {"leaving", host.leaving}});
  }
  for (const BackendServerEntry& server : list.backend_servers) {
    json["backend_servers"].push_back({{"name", server.name.str()},
                                       {"service", server.service.str()},
                                       {"dc", server.data_centre.str()},
                                       {"address", server.address},
                                       {"slots", server.slots},
                                       {"connections", server.connections},
                                       {"leaving", server.leaving},
                                       {"cold", server.cold}});
  }
  return json;
}

/// Bytes a second that one host of a fleet sends to others, heartbeats and acknowledgements.
struct PeerTraffic {
  bool is_gateway = false;
  double messages_per_second = 0;
  double bytes_per_second = 0;
};

double BytesOf(PeerMessage message) {
  const PeerEnvelope envelope{{HostName("entry-host-1"), StartId(1ULL << 60)}, std::move(message)};
  return static_cast<double>(EncodePeerMessage(envelope).value().size());
}

PeerTraffic TrafficOf(const EntryHostEntry& self, const std::vector<EntryHostEntry>& list,
                      std::size_t wanted) {
  constexpr int kSeconds = 4;
  const ConfigMark mark{Offset(1'000'000), 1ULL << 63};
  TimePoint now{seconds(1000)};
  Membership membership({{self.name, StartId(1)}, self.data_centre, "a", "b"}, {}, now);
  membership.SetHostList(list, now);
  PeerTraffic traffic;
  for (int round = 0; round < kSeconds * 4; ++round) {
    now += milliseconds(250);
    const auto peers = membership.NextHeartbeatPeers(now);
    Heartbeat heartbeat = membership.MakeHeartbeat(mark, now);
    HeartbeatAck answer = membership.MakeAck(heartbeat, mark, now);
    for (std::size_t i = 0; i < wanted; ++i) {
      heartbeat.wanted.emplace_back(StableHash(Numbered("group-", i)));
      answer.grants.push_back({heartbeat.wanted.back(), true, Duration::zero(), false});
    }
    const double bytes_each = BytesOf(heartbeat) + BytesOf(answer);
    for (const HostName& peer : peers) {
      traffic.is_gateway =
          traffic.is_gateway || membership.Find(peer)->data_centre != self.data_centre;
      HeartbeatAck received;
      received.sequence = heartbeat.sequence;
      received.config = mark;
      membership.OnHeartbeatAck({peer, StartId(2)}, received, now);
      traffic.messages_per_second += 2.0 / kSeconds;
      traffic.bytes_per_second += bytes_each / kSeconds;
    }
  }
  return traffic;
}

/// Rows for a host that is a gateway and one that is not.
std::vector<Slope> TrafficRows(const std::string& what, std::size_t hosts,
                               const std::vector<EntryHostEntry>& list, std::size_t wanted) {
  std::vector<Slope> rows;
  bool seen[2] = {false, false};
  for (std::size_t i = 0; i < hosts; ++i) {
    const PeerTraffic traffic = TrafficOf(list[i], list, wanted);
    if (std::exchange(seen[traffic.is_gateway ? 1 : 0], true)) {
      continue;
    }
    const std::string who = what + (traffic.is_gateway ? ", a gateway" : ", another host");
    const auto size = static_cast<double>(hosts);
    rows.push_back({who + ": messages", size, "hosts in data centre", traffic.messages_per_second,
                    "messages/s"});
    rows.push_back(
        {who + ": bytes", size, "hosts in data centre", traffic.bytes_per_second, "bytes/s"});
  }
  return rows;
}

/// Calls of one call tree in which every attempt fails and is retried as far as budgets allow.
class FailingTree {
 public:
  FailingTree(int depth, double share, bool no_retry_flag)
      : budgets_(static_cast<std::size_t>(depth), RetryBudget(share)),
        no_retry_flag_(no_retry_flag) {}

  void Call(std::size_t level, bool from_retry) {
    if (level == budgets_.size()) {
      return;
    }
    budgets_[level].Deposit();
    Attempt(level, from_retry);
    constexpr int kRetries = 2;
    for (int i = 0; i < kRetries && MayRetry(level, from_retry); ++i) {
      Attempt(level, true);
    }
  }

  double lowest_calls() const { return lowest_calls_; }

 private:
  bool MayRetry(std::size_t level, bool from_retry) {
    return !(no_retry_flag_ && from_retry) && budgets_[level].TakeRetry();
  }

  void Attempt(std::size_t level, bool from_retry) {
    if (level + 1 == budgets_.size()) {
      ++lowest_calls_;
    }
    Call(level + 1, from_retry);
  }

  std::vector<RetryBudget> budgets_;
  bool no_retry_flag_;
  double lowest_calls_ = 0;
};

}  // namespace

std::vector<Slope> MeasureCalls() {
  constexpr std::uint64_t kCalls = 20000;
  constexpr int kIdleSeconds = 5;
  std::vector<Slope> slopes;
  for (const std::size_t groups : {1, 7, 142}) {
    BenchHost bench(MakeListOfGroups(groups), {ClassRecord(0, "service-0", true)});
    bench.Run(seconds(10));
    const double idle_us = MicrosOf([&] { bench.Run(seconds(kIdleSeconds)); });
    std::uint64_t answered = 0;
    const double us = MicrosOf([&] {
      for (std::uint64_t id = 1; id <= kCalls; ++id) {
        answered += bench.Call(id) ? 1 : 0;
      }
    });
    const auto size = static_cast<double>(groups);
    const char* unit = "groups owned";
    slopes.push_back({"call: answered without sockets", size, unit,
                      100.0 * static_cast<double>(answered) / kCalls, "%"});
    slopes.push_back({"call: time in the decisions", size, unit, us / kCalls, "us"});
    slopes.push_back(
        {"idle host: time in the decisions", size, unit, idle_us / kIdleSeconds / 1000, "ms/s"});
  }
  return slopes;
}

std::vector<Slope> MeasureAddresses(const TargetSize& target) {
  constexpr int kAnswers = 2000;
  std::vector<Slope> slopes;
  for (const std::size_t part : {10, 3, 1}) {
    TargetSize size = target;
    size.servers = target.servers / part;
    size.services = target.services / part;
    HostList list{MakeEntryHosts(target.data_centres, 20 / part + 1), MakeServers(size)};
    const std::string text = ToJson(list).dump();
    nlohmann::json parsed;
    const double parse_us = MicrosOf([&] { parsed = nlohmann::json::parse(text); });
    std::vector<std::string> log;
    for (std::size_t i = 0; i < size.services * size.classes_per_service; ++i) {
      log.push_back(ClassRecord(i, Numbered("service-", i % size.services), i % 2 == 0));
    }
    const double before = HeapBytes();
    BenchHost bench(list, log);
    bench.Run(seconds(3));
    const double memory = HeapBytes() - before;
    EntryActions actions;
    const double list_us = MicrosOf([&] { bench.host().OnHostList(list, bench.now(), actions); });
    const auto micros = [&](const char* class_name) {
      return MicrosOf([&] {
               for (int i = 0; i < kAnswers; ++i) {
                 (void)bench.host().Addresses(ClassName(class_name), DataCentreName("dc-3"),
                                              bench.now());
               }
             }) /
             kAnswers;
    };
    const auto servers = static_cast<double>(size.servers);
    slopes.push_back({"address answer, idempotent", servers, "servers", micros("class-0"), "us"});
    slopes.push_back({"address answer with a ticket", servers, "servers", micros("class-1"), "us"});
    slopes.push_back(
        {"host list: size", servers, "servers", static_cast<double>(text.size()) / kKiB, "KiB"});
    slopes.push_back({"host list: time to parse", servers, "servers", parse_us / 1000, "ms"});
    slopes.push_back({"host list: time to take in", servers, "servers", list_us / 1000, "ms"});
    slopes.push_back({"decisions: memory in all", servers, "servers", memory / kKiB, "KiB"});
  }
  return slopes;
}

std::vector<Slope> MeasurePeerTraffic(const TargetSize& target) {
  constexpr std::size_t kHostsPerDataCentre = 20;
  constexpr std::size_t kHostsPerCell = 5;
  const std::size_t groups = target.services * kGroupsPerService / target.data_centres;
  std::vector<Slope> slopes;
  const auto add = [&](const char* what, std::size_t hosts, std::size_t wanted) {
    const auto rows = TrafficRows(what, hosts, MakeEntryHosts(target.data_centres, hosts), wanted);
    slopes.insert(slopes.end(), rows.begin(), rows.end());
  };
  for (const std::size_t hosts : {4, 10, 20, 40}) {
    add("peers", hosts, groups / hosts + 1);
  }
  add("peers in a cell", kHostsPerCell, groups / kHostsPerDataCentre + 1);
  return slopes;
}

std::vector<Slope> ComputeRetryAmplification() {
  constexpr int kDepth = 7;
  constexpr int kCalls = 20000;
  constexpr double kShare = 0.1;
  const auto factor = [](double share, bool flag, int calls) {
    FailingTree tree(kDepth, share, flag);
    for (int i = 0; i < calls; ++i) {
      tree.Call(0, false);
    }
    return tree.lowest_calls() / calls;
  };
  constexpr double kUnlimited = 100;
  return {{"retries: lowest calls for each, no budget", kDepth, "levels",
           factor(kUnlimited, false, 10), "calls"},
          {"retries: lowest calls for each, budget 0.1", kDepth, "levels",
           factor(kShare, false, kCalls), "calls"},
          {"retries: the same with the no-retry flag", kDepth, "levels",
           factor(kShare, true, kCalls), "calls"}};
}

}  // namespace mulberry::bench
