#include "libfleet/membership.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "libfleet/peer_record.h"

namespace mulberry {
namespace {

/// Heartbeats go to other data centres in every fourth interval.
constexpr std::uint64_t kIntervalsPerRemoteRound = 4;
/// Another data centre counts as heard for this many intervals after the heartbeat that one of its
/// hosts acknowledged.
constexpr int kRemoteHeardIntervals = 7;
/// Sent heartbeats whose time is remembered.
constexpr std::size_t kMaxSent = 64;
/// A host that left the platform's list is forgotten after so many heartbeat_timeout of silence.
constexpr int kForgetAfter = 3;
/// A gateway that answers nothing for so many heartbeat_timeout is replaced by the next host.
constexpr int kSilentGatewayAfter = 4;

}  // namespace

class Membership::Impl {
 public:
  Impl(SelfDescription self, MembershipOptions options, TimePoint start)
      : self_(std::move(self)),
        options_(options),
        start_(start),
        last_call_(start),
        resumed_(start),
        next_due_(start),
        gateway_group_(StableHash("gateways")),
        next_sequence_(FirstSequence(self_.self.start)) {
    PeerRecord& me = peers_[self_.self.host];
    me.entry = {self_.self.host, self_.data_centre, self_.http_address, self_.peer_address, false};
    me.incarnation = self_.self;
  }

  void SetHostList(const std::vector<EntryHostEntry>& entry_hosts, TimePoint now) {
    Touch(now);
    for (auto& [name, peer] : peers_) peer.listed = false;
    for (const EntryHostEntry& entry : entry_hosts) {
      PeerRecord& peer = peers_[entry.name];
      peer.entry = entry;
      peer.listed = true;
    }
    const Duration silence = kForgetAfter * options_.heartbeat_timeout;
    std::erase_if(peers_, [&](const auto& item) {
      const PeerRecord& peer = item.second;
      return item.first != self_.self.host && !peer.listed && !peer.HeardWithin(silence, now);
    });
  }

  void SetLeaving() { Self().says_leaving = true; }

  void OnLogRead(TimePoint sent) {
    if (!log_read_ || *log_read_ < sent) log_read_ = sent;
  }

  void SetConfigMark(ConfigMark config) { config_ = config; }

  bool OnHeartbeat(const Incarnation& from, const Heartbeat& heartbeat, TimePoint now) {
    Touch(now);
    bool is_new = false;
    PeerRecord* peer = Hear(from, heartbeat.config, heartbeat.leaving, now, &is_new);
    if (peer != nullptr && !peer->listed) peer->entry.data_centre = heartbeat.data_centre;
    return is_new;
  }

  bool OnHeartbeatAck(const Incarnation& from, const HeartbeatAck& ack, TimePoint now) {
    Touch(now);
    bool is_new = false;
    PeerRecord* peer = Hear(from, ack.config, ack.leaving, now, &is_new);
    const auto sent = sent_.find(ack.sequence);
    if (peer != nullptr && sent != sent_.end()) peer->TakeNews(ack, sent->second);
    return is_new;
  }

  bool HeartbeatDue(TimePoint now) const { return now >= next_due_; }

  std::vector<HostName> NextHeartbeatPeers(TimePoint now) {
    Touch(now);
    next_due_ = now + options_.heartbeat_interval;
    std::vector<HostName> hosts = OwnPeers(now);
    const bool remote_round = round_++ % kIntervalsPerRemoteRound == 0;
    if (remote_round && IsGateway(now)) {
      for (const DataCentreName& data_centre : DataCentres()) {
        AppendGateways(data_centre, now, &hosts);
      }
    }
    for (const HostName& host : hosts) {
      PeerRecord& peer = peers_.at(host);
      if (!peer.unanswered_since) peer.unanswered_since = now;
    }
    return hosts;
  }

  Heartbeat MakeHeartbeat(ConfigMark config, TimePoint now) {
    Touch(now);
    config_ = config;
    Heartbeat heartbeat;
    heartbeat.sequence = next_sequence_++;
    heartbeat.data_centre = self_.data_centre;
    heartbeat.leaving = Self().IsLeaving();
    heartbeat.config = config;
    heartbeat.log_age = LogAge(now);
    heartbeat.heard = HeardDirectly(now);
    sent_[heartbeat.sequence] = now;
    if (sent_.size() > kMaxSent) sent_.erase(sent_.begin());
    return heartbeat;
  }

  HeartbeatAck MakeAck(const Heartbeat& heartbeat, ConfigMark config, TimePoint now) {
    Touch(now);
    config_ = config;
    HeartbeatAck ack;
    ack.sequence = heartbeat.sequence;
    ack.config = config;
    ack.leaving = Self().IsLeaving();
    ack.log_age = LogAge(now);
    ack.heard = HeardDirectly(now);
    return ack;
  }

  std::vector<HostName> LiveInOwnDataCentre(TimePoint now) const {
    std::vector<HostName> hosts;
    for (const auto& [name, peer] : peers_) {
      if (!InOwnDataCentre(peer) || peer.IsLeaving()) continue;
      if (name == self_.self.host || IsLiveOwner(peer, now)) hosts.push_back(name);
    }
    return hosts;
  }

  std::vector<HostName> KnownInOwnDataCentre(TimePoint now) const {
    std::vector<HostName> hosts;
    const Duration lately = kForgetAfter * options_.heartbeat_timeout;
    for (const auto& [name, peer] : peers_) {
      if (!InOwnDataCentre(peer)) continue;
      const bool known = name == self_.self.host || peer.listed || peer.HeardWithin(lately, now);
      if (known) hosts.push_back(name);
    }
    return hosts;
  }

  std::vector<HostName> HostsIn(const DataCentreName& data_centre, TimePoint now) const {
    std::vector<std::pair<Belief, HostName>> ranked;
    for (const auto& [name, peer] : peers_) {
      if (peer.entry.data_centre != data_centre) continue;
      const Belief belief = BeliefIn(peer, now);
      if (!peer.listed && belief == Belief::kSilent) continue;
      ranked.emplace_back(belief, name);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<HostName> hosts;
    hosts.reserve(ranked.size());
    for (auto& [belief, name] : ranked) hosts.push_back(std::move(name));
    return hosts;
  }

  std::vector<HostName> LiveHostsIn(const DataCentreName& data_centre, TimePoint now) const {
    const std::vector<HostName> hosts = HostsIn(data_centre, now);
    std::vector<HostName> live;
    for (const HostName& host : hosts) {
      const Belief belief = BeliefIn(peers_.at(host), now);
      if (belief == Belief::kLive || belief == Belief::kNotYetHeard) live.push_back(host);
    }
    return live.empty() ? hosts : live;
  }

  std::vector<HostName> RecentlyHeardIn(const DataCentreName& data_centre, TimePoint now) const {
    std::vector<HostName> hosts;
    for (const HostName& host : HostsIn(data_centre, now)) {
      const PeerRecord& peer = peers_.at(host);
      const Duration limit = kRemoteHeardIntervals * options_.heartbeat_interval;
      const bool heard = host == self_.self.host || peer.HeardWithin(limit, now);
      if (heard && !peer.IsLeaving() && BeliefIn(peer, now) == Belief::kLive) {
        hosts.push_back(host);
      }
    }
    return hosts;
  }

  bool HeardSince(const HostName& host, TimePoint since) const {
    const auto found = peers_.find(host);
    return found != peers_.end() && found->second.heard && *found->second.heard > since;
  }

  std::vector<DataCentreName> DataCentres() const {
    std::set<DataCentreName> names;
    for (const auto& [name, peer] : peers_) {
      if (peer.listed) names.insert(peer.entry.data_centre);
    }
    return {names.begin(), names.end()};
  }

  void Suspect(const HostName& host, TimePoint now) {
    const auto found = peers_.find(host);
    if (found != peers_.end() && host != self_.self.host) found->second.suspected = now;
  }

  const EntryHostEntry* Find(const HostName& host) const {
    const auto found = peers_.find(host);
    return found == peers_.end() ? nullptr : &found->second.entry;
  }

  Incarnation IncarnationOf(const HostName& host) const {
    const auto found = peers_.find(host);
    return found == peers_.end() ? Incarnation{host, StartId()} : found->second.incarnation;
  }

  WorkPermission MayTakeWork(bool has_config, TimePoint now) const {
    if (!has_config) return WorkPermission::kNoConfig;
    if (LogAge(now) <= options_.max_log_age) return WorkPermission::kLogRead;
    const bool current = NewestPeerConfig(now).second.offset <= config_.offset;
    return current && HearsMost(now) ? WorkPermission::kLogDownForAll : WorkPermission::kCutOff;
  }

  std::pair<HostName, ConfigMark> NewestPeerConfig(TimePoint now) const {
    std::pair<HostName, ConfigMark> newest;
    for (const auto& [name, peer] : peers_) {
      if (name == self_.self.host || !peer.HeardWithin(HeardLimit(peer), now)) continue;
      if (peer.config.offset > newest.second.offset) newest = {name, peer.config};
    }
    return newest;
  }

 private:
  /// How this host sees another one, best first.
  enum class Belief { kLive, kNotYetHeard, kSilent, kLeaving };

  static std::uint64_t FirstSequence(StartId start) {
    constexpr std::uint64_t kSequenceBits = 32;
    return StableHash(std::to_string(start.value())) << kSequenceBits;
  }

  PeerRecord& Self() { return peers_.at(self_.self.host); }

  bool InOwnDataCentre(const PeerRecord& peer) const {
    return peer.entry.data_centre == self_.data_centre;
  }

  /// After a pause of this process, gives each peer that was live before it one more
  /// heartbeat_timeout.
  void Touch(TimePoint now) {
    if (now - last_call_ > options_.heartbeat_timeout) {
      resumed_ = now;
      for (auto& [name, peer] : peers_) {
        if (peer.HeardWithin(HeardLimit(peer), last_call_)) peer.heard = now;
      }
    }
    last_call_ = std::max(last_call_, now);
  }

  /// Liveness right after a pause is judged as of the last call before it.
  TimePoint LivenessTime(TimePoint now) const {
    return now - last_call_ > options_.heartbeat_timeout ? last_call_ : now;
  }

  Duration HeardLimit(const PeerRecord& peer) const {
    return InOwnDataCentre(peer) ? options_.heartbeat_timeout
                                 : kSilentGatewayAfter * options_.heartbeat_timeout;
  }

  Belief BeliefIn(const PeerRecord& peer, TimePoint now) const {
    if (peer.IsLeaving()) return Belief::kLeaving;
    if (peer.entry.name == self_.self.host) return Belief::kLive;
    if (!InOwnDataCentre(peer)) {
      const bool suspected = peer.suspected && now - *peer.suspected <= options_.suspicion_time;
      return suspected ? Belief::kSilent : Belief::kLive;
    }
    if (peer.suspected) return Belief::kSilent;
    if (!peer.heard) return Belief::kNotYetHeard;
    const bool live = peer.HeardWithin(options_.heartbeat_timeout, LivenessTime(now));
    return live ? Belief::kLive : Belief::kSilent;
  }

  bool IsLiveOwner(const PeerRecord& peer, TimePoint now) const {
    // A host that no list has named yet can't be answered, so it can't get a lease either.
    if (peer.entry.peer_address.empty()) return false;
    const Belief belief = BeliefIn(peer, now);
    if (belief == Belief::kLive) return true;
    return belief == Belief::kNotYetHeard && now - start_ <= options_.heartbeat_timeout;
  }

  /// Notes a sign of life; nullptr for a late message of a former incarnation.
  PeerRecord* Hear(const Incarnation& from, const ConfigMark& config, bool leaving, TimePoint now,
                   bool* is_new) {
    if (from.host == self_.self.host) return nullptr;
    PeerRecord& peer = peers_[from.host];
    peer.entry.name = from.host;
    const Duration lateness = kForgetAfter * options_.heartbeat_timeout;
    if (peer.IsLate(from, now - lateness)) return nullptr;
    *is_new = peer.SetIncarnation(from, now);
    peer.Hear(config, leaving, now);
    return &peer;
  }

  std::vector<HostName> OwnPeers(TimePoint now) const {
    std::vector<HostName> hosts;
    for (const HostName& host : KnownInOwnDataCentre(now)) {
      const bool reachable = !peers_.at(host).entry.peer_address.empty();
      if (host != self_.self.host && reachable) hosts.push_back(host);
    }
    return hosts;
  }

  bool IsGateway(TimePoint now) const {
    std::vector<HostName> order = RendezvousOrder(gateway_group_, LiveInOwnDataCentre(now));
    order.resize(std::min<std::size_t>(order.size(), options_.heartbeat_gateways));
    return std::find(order.begin(), order.end(), self_.self.host) != order.end();
  }

  bool IsSilentGateway(const PeerRecord& peer, TimePoint now) const {
    const Duration limit = kSilentGatewayAfter * options_.heartbeat_timeout;
    return peer.unanswered_since && now - *peer.unanswered_since > limit;
  }

  /// Appends the first hosts that answer, and in turn one of those that do not.
  void AppendGateways(const DataCentreName& data_centre, TimePoint now,
                      std::vector<HostName>* hosts) const {
    if (data_centre == self_.data_centre) return;
    std::vector<HostName> answering;
    std::vector<HostName> silent;
    for (const HostName& host : RendezvousOrder(gateway_group_, HostsIn(data_centre, now))) {
      const PeerRecord& peer = peers_.at(host);
      if (peer.IsLeaving()) continue;
      (IsSilentGateway(peer, now) ? silent : answering).push_back(host);
    }
    answering.resize(std::min<std::size_t>(answering.size(), options_.heartbeat_gateways));
    hosts->insert(hosts->end(), answering.begin(), answering.end());
    const std::uint64_t turn = round_ / kIntervalsPerRemoteRound;
    if (!silent.empty()) hosts->push_back(silent[turn % silent.size()]);
  }

  Duration LogAge(TimePoint now) const {
    std::optional<TimePoint> newest = log_read_;
    for (const auto& [name, peer] : peers_) {
      if (!peer.log_news || peer.log_news_offset > config_.offset) continue;
      if (!newest || *newest < *peer.log_news) newest = peer.log_news;
    }
    return newest ? std::max(Duration::zero(), now - *newest) : kUnknownAge;
  }

  std::vector<DataCentreName> HeardDirectly(TimePoint now) const {
    std::set<DataCentreName> heard;
    const Duration limit = kRemoteHeardIntervals * options_.heartbeat_interval;
    for (const auto& [name, peer] : peers_) {
      if (peer.AckedWithin(limit, now)) heard.insert(peer.entry.data_centre);
    }
    return {heard.begin(), heard.end()};
  }

  /// True when the hosts that answer this one stand for most of the fleet.
  bool HearsMost(TimePoint now) const {
    // Right after a start or a pause, the log may be up and just not read yet.
    const bool paused = now - last_call_ > options_.heartbeat_timeout;
    if (paused || now - resumed_ < options_.heartbeat_timeout) return false;
    const std::vector<HostName> known = KnownInOwnDataCentre(now);
    std::vector<DataCentreName> heard_list = HeardDirectly(now);
    std::set<DataCentreName> heard(heard_list.begin(), heard_list.end());
    std::size_t answering = 1;
    for (const HostName& host : known) {
      const PeerRecord& peer = peers_.at(host);
      if (!peer.AckedWithin(options_.heartbeat_timeout, now)) continue;
      ++answering;
      heard.insert(peer.heard_data_centres.begin(), peer.heard_data_centres.end());
    }
    heard.insert(self_.data_centre);
    if (answering == 1 && known.size() > 1) return false;
    const std::vector<DataCentreName> listed = DataCentres();
    if (listed.size() <= 1) return 2 * answering >= known.size();
    const auto heard_count = std::count_if(listed.begin(), listed.end(),
                                           [&](const auto& name) { return heard.count(name) > 0; });
    return 2 * static_cast<std::size_t>(heard_count) > listed.size();
  }

  SelfDescription self_;
  MembershipOptions options_;
  TimePoint start_;
  TimePoint last_call_;
  TimePoint resumed_;  ///< Start, or end of the last pause of this process.
  TimePoint next_due_;
  GroupKey gateway_group_;
  std::uint64_t next_sequence_;
  std::uint64_t round_ = 0;
  ConfigMark config_;
  std::optional<TimePoint> log_read_;
  std::map<std::uint64_t, TimePoint> sent_;
  std::map<HostName, PeerRecord> peers_;
};

Membership::Membership(SelfDescription self, MembershipOptions options, TimePoint start)
    : impl_(std::make_unique<Impl>(std::move(self), options, start)) {}

Membership::~Membership() = default;
Membership::Membership(Membership&&) noexcept = default;

void Membership::SetHostList(const std::vector<EntryHostEntry>& entry_hosts, TimePoint now) {
  impl_->SetHostList(entry_hosts, now);
}

void Membership::SetLeaving() { impl_->SetLeaving(); }

void Membership::OnLogRead(TimePoint sent) { impl_->OnLogRead(sent); }

void Membership::SetConfigMark(ConfigMark config) { impl_->SetConfigMark(config); }

bool Membership::OnHeartbeat(const Incarnation& from, const Heartbeat& heartbeat, TimePoint now) {
  return impl_->OnHeartbeat(from, heartbeat, now);
}

bool Membership::OnHeartbeatAck(const Incarnation& from, const HeartbeatAck& ack, TimePoint now) {
  return impl_->OnHeartbeatAck(from, ack, now);
}

bool Membership::HeartbeatDue(TimePoint now) const { return impl_->HeartbeatDue(now); }

std::vector<HostName> Membership::NextHeartbeatPeers(TimePoint now) {
  return impl_->NextHeartbeatPeers(now);
}

Heartbeat Membership::MakeHeartbeat(ConfigMark config, TimePoint now) {
  return impl_->MakeHeartbeat(config, now);
}

HeartbeatAck Membership::MakeAck(const Heartbeat& heartbeat, ConfigMark config, TimePoint now) {
  return impl_->MakeAck(heartbeat, config, now);
}

std::vector<HostName> Membership::LiveInOwnDataCentre(TimePoint now) const {
  return impl_->LiveInOwnDataCentre(now);
}

std::vector<HostName> Membership::KnownInOwnDataCentre(TimePoint now) const {
  return impl_->KnownInOwnDataCentre(now);
}

std::vector<HostName> Membership::HostsIn(const DataCentreName& data_centre, TimePoint now) const {
  return impl_->HostsIn(data_centre, now);
}

std::vector<HostName> Membership::LiveHostsIn(const DataCentreName& data_centre,
                                              TimePoint now) const {
  return impl_->LiveHostsIn(data_centre, now);
}

std::vector<HostName> Membership::RecentlyHeardIn(const DataCentreName& data_centre,
                                                  TimePoint now) const {
  return impl_->RecentlyHeardIn(data_centre, now);
}

bool Membership::HeardSince(const HostName& host, TimePoint since) const {
  return impl_->HeardSince(host, since);
}

std::vector<DataCentreName> Membership::DataCentres() const { return impl_->DataCentres(); }

void Membership::Suspect(const HostName& host, TimePoint now) { impl_->Suspect(host, now); }

const EntryHostEntry* Membership::Find(const HostName& host) const { return impl_->Find(host); }

Incarnation Membership::IncarnationOf(const HostName& host) const {
  return impl_->IncarnationOf(host);
}

WorkPermission Membership::MayTakeWork(bool has_config, TimePoint now) const {
  return impl_->MayTakeWork(has_config, now);
}

std::pair<HostName, ConfigMark> Membership::NewestPeerConfig(TimePoint now) const {
  return impl_->NewestPeerConfig(now);
}

}  // namespace mulberry
