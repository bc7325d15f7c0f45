#include "libgateway/fleet_view.h"

#include <algorithm>
#include <set>

namespace mulberry::gateway {
namespace {

/// Seed of the rank, so that it differs from other uses of the hash.
constexpr std::uint64_t kRankSeed = 0x6d756c;
/// With fewer servers taking requests, those of a data centre can't bear its callers.
constexpr double kLeastLocalPart = 0.3;

}  // namespace

FleetView::FleetView(FleetOptions options) : options_(std::move(options)) {}

void FleetView::Register(const HostRecord& record) {
  if (record.host == options_.self.host) return;
  Peer& peer = peers_[record.host];
  // A beat is newer than the list.
  if (!peer.heard) peer.beat.record = record;
}

bool FleetView::OnBeat(const HostBeat& beat, TimePoint now) {
  if (beat.record.host == options_.self.host) return false;
  Peer& peer = peers_[beat.record.host];
  // Start ids are random, so that only a former one can be told from a new one.
  if (peer.heard && beat.start == peer.former_start) return false;
  if (peer.heard && beat.start != peer.beat.start) peer.former_start = peer.beat.start;
  peer.beat = beat;
  peer.heard = true;
  peer.last_heard = now;
  return true;
}

void FleetView::SetSelf(bool ready, bool leaving, bool store_answers) {
  store_answers_ = store_answers;
  ready_ = ready;
  leaving_ = leaving;
}

std::vector<HostRecord> FleetView::Others() const {
  std::vector<HostRecord> others;
  others.reserve(peers_.size());
  for (const auto& [name, peer] : peers_) others.push_back(peer.beat.record);
  return others;
}

std::size_t FleetView::HostsOfDataCentre() const {
  const auto others = std::count_if(peers_.begin(), peers_.end(), [this](const auto& entry) {
    return entry.second.beat.record.data_centre == options_.self.data_centre;
  });
  return static_cast<std::size_t>(others) + 1;
}

std::vector<std::string> FleetView::AddressesFor(const DataCentreName& data_centre,
                                                 TimePoint now) const {
  std::vector<Candidate> own = DecidersOf(data_centre, now);
  std::vector<Candidate> chosen;
  if (CanServe(own)) chosen = own;
  if (chosen.empty()) {
    std::set<DataCentreName> names;
    for (const Candidate& candidate : Live(now)) names.insert(candidate.data_centre);
    for (const DataCentreName& name : names) {
      std::vector<Candidate> others = DecidersOf(name, now);
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

DeciderPlace FleetView::PlaceOfSelf(TimePoint now) const {
  const std::vector<Candidate> deciders = DecidersOf(options_.self.data_centre, now);
  for (std::size_t i = 0; i < deciders.size(); ++i) {
    if (!deciders[i].is_self) continue;
    return {static_cast<std::uint32_t>(i), static_cast<std::uint32_t>(deciders.size())};
  }
  return {};
}

std::vector<std::string> FleetView::OtherDeciders(TimePoint now) const {
  std::vector<std::string> addresses;
  for (Candidate& decider : DecidersOf(options_.self.data_centre, now)) {
    if (!decider.is_self) addresses.push_back(std::move(decider.peer_address));
  }
  return addresses;
}

std::vector<std::string> FleetView::RemoteDeciders(TimePoint now) const {
  std::set<DataCentreName> names;
  for (const Candidate& candidate : Live(now)) names.insert(candidate.data_centre);
  names.erase(options_.self.data_centre);
  std::vector<std::string> addresses;
  for (const DataCentreName& name : names) {
    for (Candidate& decider : DecidersOf(name, now)) {
      addresses.push_back(std::move(decider.peer_address));
    }
  }
  return addresses;
}

bool FleetView::CanServe(const std::vector<Candidate>& deciders) {
  return std::any_of(deciders.begin(), deciders.end(), [](const Candidate& candidate) {
    return candidate.local_part >= kLeastLocalPart;
  });
}

bool FleetView::IsReader(TimePoint now) const {
  std::vector<Candidate> able = Alive(now);
  std::erase_if(able, [](const Candidate& candidate) { return !candidate.store_answers; });
  if (able.empty()) return true;
  if (able.front().is_self) return true;
  const auto second = std::find_if(able.begin(), able.end(), [&](const Candidate& candidate) {
    return candidate.data_centre != able.front().data_centre;
  });
  if (second != able.end()) return second->is_self;
  return able.size() > 1 && able[1].is_self;
}

bool FleetView::IsFirstChoice() const {
  std::uint32_t before = 0;
  const Rank own = RankOf(options_.self);
  for (const auto& [name, peer] : peers_) {
    const HostRecord& record = peer.beat.record;
    if (record.data_centre == options_.self.data_centre && RankOf(record) < own) ++before;
  }
  return before < options_.deciders;
}

std::vector<FleetView::Candidate> FleetView::Alive(TimePoint now) const {
  std::vector<Candidate> alive;
  if (!leaving_) {
    alive.push_back({RankOf(options_.self), options_.self.data_centre, options_.self_caller_address,
                     options_.self.peer_address, true, ready_, store_answers_, local_part_,
                     request_rate_});
  }
  for (const auto& [name, peer] : peers_) {
    if (!peer.heard || now - peer.last_heard > options_.silent_after) continue;
    const HostBeat& beat = peer.beat;
    if (beat.leaving) continue;
    alive.push_back({RankOf(beat.record), beat.record.data_centre, beat.caller_address,
                     beat.record.peer_address, false, beat.ready, beat.store_answers,
                     beat.local_part, beat.request_rate});
  }
  std::sort(alive.begin(), alive.end());
  return alive;
}

std::vector<FleetView::Candidate> FleetView::Live(TimePoint now) const {
  std::vector<Candidate> live = Alive(now);
  std::erase_if(live, [](const Candidate& candidate) { return !candidate.ready; });
  return live;
}

std::vector<FleetView::Candidate> FleetView::DecidersOf(const DataCentreName& data_centre,
                                                        TimePoint now) const {
  std::vector<Candidate> live = Live(now);
  std::erase_if(live,
                [&](const Candidate& candidate) { return candidate.data_centre != data_centre; });
  double rate = 0;
  for (const Candidate& candidate : live) rate += candidate.request_rate;
  std::size_t count = 0;
  double capacity = 0;
  while (count < live.size() && (count < options_.deciders || capacity < rate)) {
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
