#include "libgateway/fleet_view.h"

#include <algorithm>

namespace mulberry::gateway {
namespace {

/// Hash seed of the rank, so that the order differs from other uses of the hash.
constexpr std::uint64_t kRankSeed = 0x6d756c;
/// Below this fraction of usable servers, a data centre cannot serve its own callers.
constexpr double kMinLocalUsableShare = 0.3;
/// Number of hosts next in rank that are kept known in other data centres: as many as the minimum
/// that is advertised, so that all of those may fail at once.
constexpr std::size_t kSpareHosts = 2;
/// From this number of hosts on, a reader of its own (1.6 store requests per second) costs a data
/// centre less than updates from readers elsewhere; see docs/CAPACITY.md.
constexpr std::size_t kLargeDataCentre = 12;

}  // namespace

FleetView::FleetView(FleetOptions options) : options_(std::move(options)) {}

void FleetView::Register(const HostRecord& record) {
  if (record.host == options_.self.host) return;
  Peer& peer = peers_[record.host];
  // A heartbeat is more recent than the list.
  if (!peer.seen) peer.heartbeat.record = record;
}

bool FleetView::OnHeartbeat(const HostHeartbeat& heartbeat, TimePoint now) {
  if (heartbeat.record.host == options_.self.host) return false;
  Peer& peer = peers_[heartbeat.record.host];
  // Start ids are random and have no order, so an old start is recognised only by remembering it.
  if (peer.seen && heartbeat.start == peer.old_start) return false;
  if (peer.seen && heartbeat.start != peer.heartbeat.start) peer.old_start = peer.heartbeat.start;
  peer.heartbeat = heartbeat;
  peer.frequent = peer.seen && now - peer.last_heartbeat < options_.heartbeat_timeout / 2;
  peer.seen = true;
  peer.last_heartbeat = now;
  return true;
}

void FleetView::SetOwnState(bool ready, bool leaving, bool store_reachable) {
  store_reachable_ = store_reachable;
  ready_ = ready;
  leaving_ = leaving;
}

std::size_t FleetView::HostCountInDataCentre() const {
  const auto others = std::count_if(peers_.begin(), peers_.end(), [this](const auto& entry) {
    return entry.second.heartbeat.record.data_centre == options_.self.data_centre;
  });
  return static_cast<std::size_t>(others) + 1;
}

std::vector<std::string> FleetView::AddressesFor(const DataCentreName& data_centre,
                                                 TimePoint now) const {
  std::vector<HostState> local_hosts = AdvertisedHosts(data_centre, now);
  std::vector<HostState> chosen;
  if (CanServe(local_hosts)) chosen = local_hosts;
  if (chosen.empty()) {
    std::set<DataCentreName> names;
    for (const HostState& candidate : ReadyHosts(now)) names.insert(candidate.data_centre);
    for (const DataCentreName& name : names) {
      std::vector<HostState> others = AdvertisedHosts(name, now);
      if (!CanServe(others)) continue;
      for (HostState& candidate : others) chosen.push_back(std::move(candidate));
    }
  }
  if (chosen.empty()) chosen = std::move(local_hosts);
  std::vector<std::string> addresses;
  addresses.reserve(chosen.size());
  for (HostState& candidate : chosen) addresses.push_back(std::move(candidate.caller_address));
  return addresses;
}

AdvertisedPosition FleetView::OwnAdvertisedPosition(TimePoint now) const {
  const std::vector<HostState> advertised = AdvertisedHosts(options_.self.data_centre, now);
  for (std::size_t i = 0; i < advertised.size(); ++i) {
    if (!advertised[i].is_self) continue;
    return {static_cast<std::uint32_t>(i), static_cast<std::uint32_t>(advertised.size())};
  }
  return {};
}

std::vector<std::string> FleetView::OtherAdvertisedPeers(TimePoint now) const {
  std::vector<std::string> addresses;
  for (HostState& host : AdvertisedHosts(options_.self.data_centre, now)) {
    if (!host.is_self) addresses.push_back(std::move(host.peer_address));
  }
  return addresses;
}

std::vector<std::string> FleetView::RemoteAdvertisedPeers(TimePoint now) const {
  std::set<DataCentreName> names;
  for (const HostState& candidate : ReadyHosts(now)) names.insert(candidate.data_centre);
  names.erase(options_.self.data_centre);
  std::vector<std::string> addresses;
  for (const DataCentreName& name : names) {
    for (HostState& host : AdvertisedHosts(name, now)) {
      addresses.push_back(std::move(host.peer_address));
    }
  }
  return addresses;
}

bool FleetView::CanServe(const std::vector<HostState>& advertised) {
  return std::any_of(advertised.begin(), advertised.end(), [](const HostState& candidate) {
    return candidate.local_usable_share >= kMinLocalUsableShare;
  });
}

std::set<DataCentreName> FleetView::LargeDataCentres() const {
  std::map<DataCentreName, std::size_t> hosts;
  ++hosts[options_.self.data_centre];
  for (const auto& [name, peer] : peers_) ++hosts[peer.heartbeat.record.data_centre];
  std::set<DataCentreName> large;
  for (const auto& [name, count] : hosts) {
    if (count >= kLargeDataCentre) large.insert(name);
  }
  return large;
}

std::vector<FleetView::HostState> FleetView::ReaderCandidates(TimePoint now) const {
  const std::set<DataCentreName> large = LargeDataCentres();
  const bool own_is_large = large.contains(options_.self.data_centre);
  std::vector<HostState> group = AliveHosts(now);
  std::erase_if(group, [&](const HostState& candidate) {
    return own_is_large ? candidate.data_centre != options_.self.data_centre
                        : large.contains(candidate.data_centre);
  });
  return group;
}

std::vector<std::string> FleetView::StoreUpdateTargets() const {
  const std::set<DataCentreName> large = LargeDataCentres();
  const bool own_is_large = large.contains(options_.self.data_centre);
  std::vector<std::string> addresses;
  for (const auto& [name, peer] : peers_) {
    const HostRecord& record = peer.heartbeat.record;
    const bool in_group = own_is_large ? record.data_centre == options_.self.data_centre
                                       : !large.contains(record.data_centre);
    if (in_group) addresses.push_back(record.peer_address);
  }
  return addresses;
}

bool FleetView::IsStoreReader(TimePoint now) const {
  std::vector<HostState> candidates = ReaderCandidates(now);
  if (!IsStoreUnreachable(now)) {
    std::erase_if(candidates,
                  [](const HostState& candidate) { return !candidate.store_reachable; });
  }
  if (candidates.empty()) return true;
  if (candidates.front().is_self) return true;
  if (LargeDataCentres().contains(options_.self.data_centre)) return false;
  const auto second =
      std::find_if(candidates.begin(), candidates.end(), [&](const HostState& candidate) {
        return candidate.data_centre != candidates.front().data_centre;
      });
  if (second != candidates.end()) return second->is_self;
  return candidates.size() > 1 && candidates[1].is_self;
}

bool FleetView::IsStoreUnreachable(TimePoint now) const {
  const std::vector<HostState> group = ReaderCandidates(now);
  return std::none_of(group.begin(), group.end(),
                      [](const HostState& candidate) { return candidate.store_reachable; });
}

ProofSources FleetView::FindProofSources(TimePoint now) const {
  std::vector<HostState> hosts = AliveHosts(now);
  std::stable_partition(hosts.begin(), hosts.end(),
                        [](const HostState& candidate) { return candidate.store_reachable; });
  ProofSources sources;
  sources.self_is_first = !hosts.empty() && hosts.front().is_self && hosts.front().store_reachable;
  for (HostState& candidate : hosts) {
    if (!candidate.is_self) sources.peers.push_back(std::move(candidate.peer_address));
  }
  return sources;
}

std::vector<RankedHost> FleetView::FirstRanked(std::size_t count, TimePoint now) const {
  std::vector<HostState> hosts = AliveHosts(now);
  const auto reaches_store = [](const HostState& candidate) { return candidate.store_reachable; };
  if (std::any_of(hosts.begin(), hosts.end(), reaches_store)) {
    std::erase_if(hosts, [](const HostState& candidate) { return !candidate.store_reachable; });
  }
  std::vector<RankedHost> first;
  for (const HostState& candidate : hosts) {
    if (first.size() == count) break;
    const auto peer = peers_.find(candidate.host);
    first.push_back({candidate.host, candidate.peer_address, candidate.is_self,
                     peer == peers_.end() ? StartId() : peer->second.heartbeat.start});
  }
  return first;
}

std::set<HostName> FleetView::AdvertisedAndSpareHosts(const DataCentreName& data_centre,
                                                      TimePoint now) const {
  const std::size_t count = AdvertisedHosts(data_centre, now).size() + kSpareHosts;
  std::set<HostName> hosts;
  for (const HostState& candidate : AliveHosts(now)) {
    if (hosts.size() == count) break;
    if (candidate.data_centre == data_centre) hosts.insert(candidate.host);
  }
  return hosts;
}

std::vector<std::string> FleetView::HeartbeatTargets(HeartbeatScope scope, TimePoint now) const {
  const bool sends_remote =
      scope == HeartbeatScope::kAll ||
      AdvertisedAndSpareHosts(options_.self.data_centre, now).contains(options_.self.host);
  std::map<DataCentreName, std::set<HostName>> remote_receivers;
  std::vector<std::string> addresses;
  for (const auto& [name, peer] : peers_) {
    const HostRecord& record = peer.heartbeat.record;
    bool sends = record.data_centre == options_.self.data_centre;
    if (!sends && sends_remote && scope == HeartbeatScope::kNear) {
      auto [known, is_new] = remote_receivers.try_emplace(record.data_centre);
      if (is_new) known->second = AdvertisedAndSpareHosts(record.data_centre, now);
      sends = known->second.contains(name);
    } else if (!sends) {
      sends = sends_remote;
    }
    if (sends) addresses.push_back(record.peer_address);
  }
  return addresses;
}

bool FleetView::IsAdvertisedByDefault() const {
  std::uint32_t before = 0;
  const Rank own_rank = RankOf(options_.self);
  for (const auto& [name, peer] : peers_) {
    const HostRecord& record = peer.heartbeat.record;
    if (record.data_centre == options_.self.data_centre && RankOf(record) < own_rank) ++before;
  }
  return before < options_.min_advertised_hosts;
}

std::size_t FleetView::DefaultAdvertisedCount() const {
  std::map<DataCentreName, std::size_t> hosts;
  ++hosts[options_.self.data_centre];
  for (const auto& [name, peer] : peers_) ++hosts[peer.heartbeat.record.data_centre];
  std::size_t count = 0;
  for (const auto& [name, in_data_centre] : hosts) {
    count += std::min<std::size_t>(in_data_centre, options_.min_advertised_hosts);
  }
  return count;
}

std::vector<HostRecord> FleetView::FirstInRank() const {
  std::map<DataCentreName, const HostRecord*> first;
  first[options_.self.data_centre] = &options_.self;
  for (const auto& [name, peer] : peers_) {
    const HostRecord& record = peer.heartbeat.record;
    const HostRecord*& best = first[record.data_centre];
    if (best == nullptr || RankOf(record) < RankOf(*best)) best = &record;
  }
  std::vector<HostRecord> records = {*first.at(options_.self.data_centre)};
  for (const auto& [data_centre, record] : first) {
    if (data_centre != options_.self.data_centre) records.push_back(*record);
  }
  return records;
}

bool FleetView::HasRecentContact(TimePoint now) const {
  const std::vector<HostState> alive = AliveHosts(now);
  if (peers_.empty() || store_reachable_) return true;
  if (std::any_of(alive.begin(), alive.end(),
                  [](const HostState& host) { return host.store_reachable; })) {
    return true;
  }
  const std::vector<HostRecord> first = FirstInRank();
  const auto heard = std::count_if(first.begin(), first.end(), [&](const HostRecord& record) {
    return std::any_of(alive.begin(), alive.end(),
                       [&](const HostState& host) { return host.host == record.host; });
  });
  return 2 * static_cast<std::size_t>(heard) >= first.size();
}

bool FleetView::IsAlive(const Peer& peer, TimePoint now) const {
  const bool remote = peer.heartbeat.record.data_centre != options_.self.data_centre;
  const Duration timeout =
      remote && !peer.frequent ? options_.remote_heartbeat_timeout : options_.heartbeat_timeout;
  return peer.seen && now - peer.last_heartbeat <= timeout;
}

std::vector<FleetView::HostState> FleetView::AliveHosts(TimePoint now) const {
  std::vector<HostState> alive;
  if (!leaving_) {
    alive.push_back({RankOf(options_.self), options_.self.host, options_.self.data_centre,
                     options_.self_caller_address, options_.self.peer_address, true, ready_,
                     store_reachable_, local_usable_share_, request_rate_});
  }
  for (const auto& [name, peer] : peers_) {
    if (!IsAlive(peer, now) || peer.heartbeat.leaving) continue;
    const HostHeartbeat& heartbeat = peer.heartbeat;
    alive.push_back({RankOf(heartbeat.record), name, heartbeat.record.data_centre,
                     heartbeat.caller_address, heartbeat.record.peer_address, false,
                     heartbeat.ready, heartbeat.store_reachable, heartbeat.local_usable_share,
                     heartbeat.request_rate});
  }
  std::sort(alive.begin(), alive.end());
  return alive;
}

std::vector<FleetView::HostState> FleetView::ReadyHosts(TimePoint now) const {
  std::vector<HostState> live = AliveHosts(now);
  std::erase_if(live, [](const HostState& candidate) { return !candidate.ready; });
  return live;
}

std::vector<FleetView::HostState> FleetView::AdvertisedHosts(const DataCentreName& data_centre,
                                                             TimePoint now) const {
  std::vector<HostState> live = ReadyHosts(now);
  std::erase_if(live,
                [&](const HostState& candidate) { return candidate.data_centre != data_centre; });
  double rate = 0;
  for (const HostState& candidate : live) rate += candidate.request_rate;
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
