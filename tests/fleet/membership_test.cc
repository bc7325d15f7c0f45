#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include "libfleet/fleet.h"

namespace mulberry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};

HostName Name(const std::string& name) { return HostName(name); }

EntryHostEntry Entry(const std::string& name, bool leaving = false) {
  return {Name(name), DataCentreName(name.substr(0, 1)), name + ":80", name + ":81", leaving};
}

Membership Member(const std::string& name, std::uint64_t start = 1, TimePoint at = kStart) {
  const EntryHostEntry entry = Entry(name);
  return Membership({{entry.name, StartId(start)}, entry.data_centre, "", ""}, {}, at);
}

Incarnation From(const std::string& name, std::uint64_t start = 1) {
  return {Name(name), StartId(start)};
}

Heartbeat HeartbeatFrom(const std::string& data_centre) {
  Heartbeat heartbeat;
  heartbeat.data_centre = DataCentreName(data_centre);
  return heartbeat;
}

std::vector<HostName> Names(const std::vector<std::string>& names) {
  std::vector<HostName> hosts;
  std::transform(names.begin(), names.end(), std::back_inserter(hosts), Name);
  return hosts;
}

/// Entry hosts that exchange heartbeats without loss or delay where `reaches` allows it.
class Fleet {
 public:
  explicit Fleet(const std::vector<std::string>& names) : names_(names) {
    std::vector<EntryHostEntry> list;
    for (const std::string& name : names_) list.push_back(Entry(name));
    for (const std::string& name : names_) {
      members_.push_back(Member(name));
      members_.back().SetHostList(list, kStart);
    }
  }

  std::function<bool(const std::string& from, const std::string& to)> reaches =
      [](const auto&, const auto&) { return true; };
  std::function<bool(const std::string& host)> reads_log = [](const auto&) { return true; };

  void Run(Duration duration) {
    for (const TimePoint end = now_ + duration; now_ < end; now_ += milliseconds(50)) {
      for (std::size_t i = 0; i < names_.size(); ++i) Step(i);
    }
  }

  WorkPermission May(const std::string& name) { return At(name).MayTakeWork(true, now_); }
  Membership& At(const std::string& name) { return members_[IndexOf(name)]; }
  TimePoint now() const { return now_; }

 private:
  std::size_t IndexOf(const std::string& name) const {
    return static_cast<std::size_t>(std::find(names_.begin(), names_.end(), name) - names_.begin());
  }

  void Step(std::size_t i) {
    Membership& member = members_[i];
    if (reads_log(names_[i])) member.OnLogRead(now_);
    if (!member.HeartbeatDue(now_)) return;
    const std::vector<HostName> peers = member.NextHeartbeatPeers(now_);
    const Heartbeat heartbeat = member.MakeHeartbeat({}, now_);
    for (const HostName& peer : peers) {
      if (!reaches(names_[i], peer.str())) continue;
      Membership& other = At(peer.str());
      other.OnHeartbeat(From(names_[i]), heartbeat, now_);
      if (!reaches(peer.str(), names_[i])) continue;
      member.OnHeartbeatAck(From(peer.str()), other.MakeAck(heartbeat, {}, now_), now_);
    }
  }

  std::vector<std::string> names_;
  std::vector<Membership> members_;
  TimePoint now_ = kStart;
};

}  // namespace

TEST_CASE("membership: who is live, known and in which order") {
  Membership member = Member("a1");
  member.SetHostList({Entry("a1"), Entry("a2"), Entry("a3"), Entry("a4", true), Entry("b1")},
                     kStart);
  CHECK(member.LiveInOwnDataCentre(kStart) == Names({"a1", "a2", "a3"}));
  const TimePoint later = kStart + milliseconds(1100);
  member.OnHeartbeat(From("a3"), HeartbeatFrom("a"), later);
  const Heartbeat unlisted = HeartbeatFrom("a");
  CHECK(member.OnHeartbeat(From("a9"), unlisted, later));
  CHECK_FALSE(member.OnHeartbeat(From("a9"), unlisted, later));
  // No address of a9 is known yet.
  CHECK(member.LiveInOwnDataCentre(later) == Names({"a1", "a3"}));
  CHECK(member.KnownInOwnDataCentre(later) == Names({"a1", "a2", "a3", "a4", "a9"}));
  CHECK(member.HostsIn(DataCentreName("a"), later) == Names({"a1", "a3", "a9", "a2", "a4"}));
  CHECK(member.DataCentres().size() == 2);

  member.Suspect(Name("a3"), later);
  CHECK(member.LiveInOwnDataCentre(later) == Names({"a1"}));
  CHECK(member.OnHeartbeat(From("a3", 2), HeartbeatFrom("a"), later));
  // A late message of the former incarnation changes nothing; a lasting one does.
  CHECK_FALSE(member.OnHeartbeat(From("a3", 1), HeartbeatFrom("a"), later));
  CHECK(member.IncarnationOf(Name("a3")) == From("a3", 2));
  CHECK(member.OnHeartbeat(From("a3", 1), unlisted, later + seconds(4)));
  Heartbeat leaving = HeartbeatFrom("a");
  leaving.leaving = true;
  member.OnHeartbeat(From("a3", 1), leaving, later + seconds(4));
  CHECK(member.LiveInOwnDataCentre(later + seconds(4)) == Names({"a1"}));

  member.SetLeaving();
  CHECK(member.LiveInOwnDataCentre(later + seconds(4)).empty());
  // Hosts that left the list stay known until they have been silent for three heartbeat_timeout.
  for (int second = 5; second <= 7; ++second) {
    member.SetHostList({Entry("a1")}, later + seconds(second));
    CHECK(member.KnownInOwnDataCentre(later + seconds(second)) == Names({"a1", "a3", "a9"}));
  }
  member.SetHostList({Entry("a1")}, later + milliseconds(7500));
  CHECK(member.KnownInOwnDataCentre(later + milliseconds(7500)) == Names({"a1"}));
}

TEST_CASE("membership: owners in another data centre are looked for among live hosts") {
  Membership member = Member("a1");
  const DataCentreName b("b");
  member.SetHostList({Entry("a1"), Entry("b1"), Entry("b2", true), Entry("b3")}, kStart);
  CHECK(member.LiveHostsIn(b, kStart) == Names({"b1", "b3"}));
  member.Suspect(Name("b1"), kStart);
  CHECK(member.LiveHostsIn(b, kStart) == Names({"b3"}));
  member.Suspect(Name("b3"), kStart);
  CHECK(member.LiveHostsIn(b, kStart).size() == 3);
}

TEST_CASE("membership: a pause takes nobody for dead and makes no burst") {
  Fleet fleet({"a1", "a2"});
  fleet.Run(seconds(2));
  Membership& member = fleet.At("a1");
  const TimePoint woken = fleet.now() + seconds(60);
  CHECK(member.LiveInOwnDataCentre(woken) == Names({"a1", "a2"}));
  CHECK(member.MayTakeWork(true, woken) == WorkPermission::kCutOff);
  CHECK(member.MayTakeWork(true, fleet.now()) == WorkPermission::kLogRead);
  CHECK(member.HeartbeatDue(woken));
  CHECK(member.NextHeartbeatPeers(woken) == Names({"a2"}));
  CHECK_FALSE(member.HeartbeatDue(woken));
  CHECK(member.MayTakeWork(true, woken) == WorkPermission::kCutOff);
  CHECK(member.LiveInOwnDataCentre(woken + milliseconds(900)) == Names({"a1", "a2"}));
  member.NextHeartbeatPeers(woken + milliseconds(1000));
  CHECK(member.LiveInOwnDataCentre(woken + milliseconds(1100)) == Names({"a1"}));
}

TEST_CASE("membership: two gateways of each data centre meet once a second") {
  Fleet fleet({"a1", "a2", "a3", "a4", "b1", "b2", "b3", "b4"});
  std::size_t remote = 0;
  std::string silent;
  fleet.reaches = [&](const std::string& from, const std::string& to) {
    if (from[0] == 'a' && to[0] == 'b') ++remote;
    return from != silent && to != silent;
  };
  fleet.Run(seconds(2));
  remote = 0;
  fleet.Run(seconds(8));
  // Two gateways to two, once a second; each heartbeat back is acknowledged too.
  CHECK(remote == 2 * 2 * 8 * 2);

  for (const char* host : {"b1", "b2", "b3", "b4"}) {
    silent = host;
    fleet.Run(seconds(10));
    CHECK(fleet.At("a1").MakeHeartbeat({}, fleet.now()).heard.size() <= 2);
    fleet.reads_log = [](const auto&) { return false; };
    fleet.Run(seconds(3));
    CHECK(fleet.May("a1") == WorkPermission::kLogDownForAll);
    fleet.reads_log = [](const auto&) { return true; };
  }
}

TEST_CASE(
    "membership: work stops within three seconds on a host or a data centre that is cut off") {
  for (const bool log_is_down : {false, true}) {
    for (const std::string cut : {"a1", "a"}) {
      Fleet fleet({"a1", "a2", "b1", "b2", "c1", "c2"});
      fleet.Run(seconds(3));
      if (log_is_down) fleet.reads_log = [](const auto&) { return false; };
      fleet.Run(seconds(5));
      CHECK(fleet.May("a1") ==
            (log_is_down ? WorkPermission::kLogDownForAll : WorkPermission::kLogRead));
      const auto is_cut = [=](const std::string& host) { return host.rfind(cut, 0) == 0; };
      fleet.reads_log = [=](const auto& host) { return !log_is_down && !is_cut(host); };
      fleet.reaches = [=](const auto& from, const auto& to) { return is_cut(from) == is_cut(to); };
      fleet.Run(seconds(3));
      CHECK(fleet.May("a1") == WorkPermission::kCutOff);
      CHECK(fleet.May("b1") != WorkPermission::kCutOff);
    }
  }
}

TEST_CASE("membership: one data centre, a host alone, and no configuration") {
  Fleet alone({"a1"});
  alone.reads_log = [](const auto&) { return false; };
  alone.Run(seconds(3));
  CHECK(alone.May("a1") == WorkPermission::kLogDownForAll);
  CHECK(alone.At("a1").MayTakeWork(false, alone.now()) == WorkPermission::kNoConfig);

  Fleet four({"a1", "a2", "a3", "a4"});
  four.reads_log = [](const auto&) { return false; };
  four.reaches = [](const auto& from, const auto& to) { return from != "a4" && to != "a4"; };
  four.Run(seconds(3));
  CHECK(four.May("a1") == WorkPermission::kLogDownForAll);
  CHECK(four.May("a4") == WorkPermission::kCutOff);
}

TEST_CASE("membership: a peer's news of the log counts from the question and for known offsets") {
  Membership member = Member("a1");
  member.SetHostList({Entry("a1"), Entry("a2"), Entry("a3"), Entry("a4")}, kStart);
  const ConfigMark old_mark{Offset(5), 1};
  const Heartbeat sent = member.MakeHeartbeat(old_mark, kStart);
  HeartbeatAck ack;
  ack.sequence = sent.sequence;
  ack.config = {Offset(6), 2};
  ack.log_age = milliseconds(500);
  const TimePoint late = kStart + milliseconds(1200);
  member.OnHeartbeatAck(From("a2"), ack, late);
  CHECK(member.MayTakeWork(true, late) == WorkPermission::kCutOff);
  CHECK(member.NewestPeerConfig(late).second.offset == Offset(6));
  member.SetConfigMark({Offset(6), 2});
  CHECK(member.MayTakeWork(true, late) == WorkPermission::kLogRead);
  CHECK(member.MayTakeWork(true, kStart + milliseconds(1500)) == WorkPermission::kLogRead);
  CHECK(member.MayTakeWork(true, kStart + milliseconds(1501)) == WorkPermission::kCutOff);
  // Acknowledgements of another incarnation's heartbeats, and any heartbeat, are no news.
  ack.sequence = Member("a1", 2).MakeHeartbeat({}, kStart).sequence;
  CHECK(ack.sequence != sent.sequence);
  const TimePoint woken = kStart + seconds(9);
  member.OnHeartbeatAck(From("a3"), ack, woken);
  Heartbeat queued = HeartbeatFrom("a");
  queued.log_age = Duration::zero();
  member.OnHeartbeat(From("a2"), queued, woken);
  CHECK(member.MayTakeWork(true, woken) == WorkPermission::kCutOff);
}

}  // namespace mulberry
