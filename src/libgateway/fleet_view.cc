#include "libgateway/fleet_view.h"

#include <algorithm>

namespace mulberry::gateway {
namespace {

/// Seed of the rank, so that it differs from other uses of the hash.
constexpr std::uint64_t kRankSeed = 0x6d756c;
/// With fewer servers taking requests, those of a data centre can't bear its
/// callers.
constexpr double kLeastLocalPart = 0.3;
/// Hosts next in rank that are known elsewhere before they are needed there: as many as are named
/// at least, so that all of those may be lost at once.
constexpr std::size_t kSpareSpeakers = 2;
/// Hosts of a data centre from which on a reader of its own (1.6 calls of the store a second) costs
/// less than the news of readers elsewhere; see docs/CAPACITY.md.
constexpr std::size_t kLargeDataCentre = 12;

}  // namespace

FleetView::FleetView(FleetOptions options) : options_(std::move(options)) {}

void FleetView::Register(const HostRecord& record) {
  if (record.host == options_.self.host) return;
  Peer& peer = peers_[record.host];
  // A beat is newer than the list.
  if (!peer.heard) peer.beat.record = record;
}

bool FleetView::OnHeartbeat(const HostHeartbeat& beat, TimePoint now) {
  if (beat.record.host == options_.self.host) return false;
  Peer& peer = peers_[beat.record.host];
  // Start ids are random, so that only a former one can be told from a new one.
  if (peer.heard && beat.start == peer.former_start) return false;
  if (peer.heard && beat.start != peer.beat.start) peer.former_start = peer.beat.start;
  peer.beat = beat;
  peer.frequent = peer.heard && now - peer.last_heard < options_.heartbeat_timeout / 2;
  peer.heard = true;
  peer.last_heard = now;
  return true;
}

void FleetView::SetOwnState(bool ready, bool leaving, bool store_reachable) {
  store_answers_ = store_reachable;
  ready_ = ready;
  leaving_ = leaving;
}

std::size_t FleetView::HostCountInDataCentre() const {
  const auto others = std::count_if(peers_.begin(), peers_.end(), [this](const auto& entry) {
    return entry.second.beat.record.data_centre == options_.self.data_centre;
  });
  return static_cast<std::size_t>(others) + 1;
}

std::vector<std::string> FleetView::AddressesFor(const DataCentreName& data_centre,
                                                 TimePoint now) const {
  std::vector<Candidate> own = AdvertisedHosts(data_centre, now);
  std::vector<Candidate> chosen;
  if (CanServe(own)) chosen = own;
  if (chosen.empty()) {
    std::set<DataCentreName> names;
    for (const Candidate& candidate : Live(now)) names.insert(candidate.data_centre);
    for (const DataCentreName& name : names) {
      std::vector<Candidate> others = AdvertisedHosts(name, now);
      if (!CanServe(others)) continue;
      for (Candidate& candidate : others) chosen.push_back(std::move(candidate));
    }
  }
  if (chosen.empty()) chosen = std::move(own);
  std::vector<std::string> addresses;
  addresses.reserve(chosen.size());
  for (Candidate& candidate : chosen) addresses.push_back(std::move(candidate.caller_address));
  return addresses;
}

AdvertisedPosition FleetView::OwnAdvertisedPosition(TimePoint now) const {
  const std::vector<Candidate> deciders = AdvertisedHosts(options_.self.data_centre, now);
  for (std::size_t i = 0; i < deciders.size(); ++i) {
    if (!deciders[i].is_self) continue;
    return {static_cast<std::uint32_t>(i), static_cast<std::uint32_t>(deciders.size())};
  }
  return {};
}

std::vector<std::string> FleetView::OtherAdvertisedPeers(TimePoint now) const {
  std::vector<std::string> addresses;
  for (Candidate& decider : AdvertisedHosts(options_.self.data_centre, now)) {
    if (!decider.is_self) addresses.push_back(std::move(decider.peer_address));
  }
  return addresses;
}

std::vector<std::string> FleetView::RemoteAdvertisedPeers(TimePoint now) const {
  std::set<DataCentreName> names;
  for (const Candidate& candidate : Live(now)) names.insert(candidate.data_centre);
  names.erase(options_.self.data_centre);
  std::vector<std::string> addresses;
  for (const DataCentreName& name : names) {
    for (Candidate& decider : AdvertisedHosts(name, now)) {
      addresses.push_back(std::move(decider.peer_address));
    }
  }
  return addresses;
}

bool FleetView::CanServe(const std::vector<Candidate>& deciders) {
  return std::any_of(deciders.begin(), deciders.end(), [](const Candidate& candidate) {
    return candidate.local_usable_share >= kLeastLocalPart;
  });
}

std::set<DataCentreName> FleetView::LargeDataCentres() const {
  std::map<DataCentreName, std::size_t> hosts;
  ++hosts[options_.self.data_centre];
  for (const auto& [name, peer] : peers_) ++hosts[peer.beat.record.data_centre];
  std::set<DataCentreName> large;
  for (const auto& [name, count] : hosts) {
    if (count >= kLargeDataCentre) large.insert(name);
  }
  return large;
}

std::vector<FleetView::Candidate> FleetView::ReadingGroup(TimePoint now) const {
  const std::set<DataCentreName> large = LargeDataCentres();
  const bool own = large.contains(options_.self.data_centre);
  std::vector<Candidate> group = Alive(now);
  std::erase_if(group, [&](const Candidate& candidate) {
    return own ? candidate.data_centre != options_.self.data_centre
               : large.contains(candidate.data_centre);
  });
  return group;
}

std::vector<std::string> FleetView::StoreUpdateTargets() const {
  const std::set<DataCentreName> large = LargeDataCentres();
  const bool own = large.contains(options_.self.data_centre);
  std::vector<std::string> addresses;
  for (const auto& [name, peer] : peers_) {
    const HostRecord& record = peer.beat.record;
    const bool in_group =
        own ? record.data_centre == options_.self.data_centre : !large.contains(record.data_centre);
    if (in_group) addresses.push_back(record.peer_address);
  }
  return addresses;
}

bool FleetView::IsStoreReader(TimePoint now) const {
  std::vector<Candidate> able = ReadingGroup(now);
  if (!IsStoreUnreachable(now)) {
    std::erase_if(able, [](const Candidate& candidate) { return !candidate.store_reachable; });
  }
  if (able.empty()) return true;
  if (able.front().is_self) return true;
  if (LargeDataCentres().contains(options_.self.data_centre)) return false;
  const auto second = std::find_if(able.begin(), able.end(), [&](const Candidate& candidate) {
    return candidate.data_centre != able.front().data_centre;
  });
  if (second != able.end()) return second->is_self;
  return able.size() > 1 && able[1].is_self;
}

bool FleetView::IsStoreUnreachable(TimePoint now) const {
  const std::vector<Candidate> group = ReadingGroup(now);
  return std::none_of(group.begin(), group.end(),
                      [](const Candidate& candidate) { return candidate.store_reachable; });
}

std::set<HostName> FleetView::SpeakersOf(const DataCentreName& data_centre, TimePoint now) const {
  const std::size_t count = AdvertisedHosts(data_centre, now).size() + kSpareSpeakers;
  std::set<HostName> speakers;
  for (const Candidate& candidate : Alive(now)) {
    if (speakers.size() == count) break;
    if (candidate.data_centre == data_centre) speakers.insert(candidate.host);
  }
  return speakers;
}

std::vector<std::string> FleetView::HeartbeatTargets(HeartbeatScope reach, TimePoint now) const {
  const bool speaks = reach == HeartbeatScope::kAll ||
                      SpeakersOf(options_.self.data_centre, now).contains(options_.self.host);
  std::map<DataCentreName, std::set<HostName>> listeners;
  std::vector<std::string> addresses;
  for (const auto& [name, peer] : peers_) {
    const HostRecord& record = peer.beat.record;
    bool sends = record.data_centre == options_.self.data_centre;
    if (!sends && speaks && reach == HeartbeatScope::kNear) {
      auto [known, is_new] = listeners.try_emplace(record.data_centre);
      if (is_new) known->second = SpeakersOf(record.data_centre, now);
      sends = known->second.contains(name);
    } else if (!sends) {
      sends = speaks;
    }
    if (sends) addresses.push_back(record.peer_address);
  }
  return addresses;
}

bool FleetView::IsAdvertisedByDefault() const {
  std::uint32_t before = 0;
  const Rank own = RankOf(options_.self);
  for (const auto& [name, peer] : peers_) {
    const HostRecord& record = peer.beat.record;
    if (record.data_centre == options_.self.data_centre && RankOf(record) < own) ++before;
  }
  return before < options_.min_advertised_hosts;
}

bool FleetView::IsHeard(const Peer& peer, TimePoint now) const {
  const bool far = peer.beat.record.data_centre != options_.self.data_centre;
  const Duration allowed =
      far && !peer.frequent ? options_.remote_heartbeat_timeout : options_.heartbeat_timeout;
  return peer.heard && now - peer.last_heard <= allowed;
}

std::vector<FleetView::Candidate> FleetView::Alive(TimePoint now) const {
  std::vector<Candidate> alive;
  if (!leaving_) {
    alive.push_back({RankOf(options_.self), options_.self.host, options_.self.data_centre,
                     options_.self_caller_address, options_.self.peer_address, true, ready_,
                     store_answers_, local_part_, request_rate_});
  }
  for (const auto& [name, peer] : peers_) {
    if (!IsHeard(peer, now) || peer.beat.leaving) continue;
    const HostHeartbeat& beat = peer.beat;
    alive.push_back({RankOf(beat.record), name, beat.record.data_centre, beat.caller_address,
                     beat.record.peer_address, false, beat.ready, beat.store_reachable,
                     beat.local_usable_share, beat.request_rate});
  }
  std::sort(alive.begin(), alive.end());
  return alive;
}

std::vector<FleetView::Candidate> FleetView::Live(TimePoint now) const {
  std::vector<Candidate> live = Alive(now);
  std::erase_if(live, [](const Candidate& candidate) { return !candidate.ready; });
  return live;
}

std::vector<FleetView::Candidate> FleetView::AdvertisedHosts(const DataCentreName& data_centre,
                                                             TimePoint now) const {
  std::vector<Candidate> live = Live(now);
  std::erase_if(live,
                [&](const Candidate& candidate) { return candidate.data_centre != data_centre; });
  double rate = 0;
  for (const Candidate& candidate : live) rate += candidate.request_rate;
  std::size_t count = 0;
  double capacity = 0;
  while (count < live.size() && (count < options_.min_advertised_hosts || capacity < rate)) {
    capacity -= live[count].rank.first;
    ++count;
  }
  live.resize(count);
  return live;
}

FleetView::Rank FleetView::RankOf(const HostRecord& record) {
  return {-record.capacity, StableHash(record.host.str(), kRankSeed)};
}

}  // namespace mulberry::gateway
