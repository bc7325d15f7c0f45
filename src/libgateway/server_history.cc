#include "libgateway/server_history.h"

#include <algorithm>

namespace mulberry::gateway {
namespace {

/// The store may execute a server's write some seconds after the server has sent it. A lifetime
/// that has ended is silent after this time.
constexpr Duration kMaxLateWrite = std::chrono::seconds(10);
/// Former lifetimes that are remembered for each server; more don't end within kMaxLateWrite.
constexpr std::size_t kMaxFormer = 4;

}  // namespace

ServerHistory::ServerHistory(std::size_t max_removed, Duration entry_interval)
    : max_removed_(max_removed),
      max_entry_pause_(entry_interval * 4 / 3),
      min_lapse_time_(entry_interval * 8 / 3) {}

std::optional<ServerEntry> ServerHistory::Accept(const ServerEntry& entry, RecordSource source,
                                                 StoreEra era, TimePoint now) {
  const auto [found, is_new] = servers_.try_emplace(entry.id);
  Known& known = found->second;
  if (is_new) {
    known.current = {entry.started_at_ms, entry.sequence, now, now};
    known.state = entry.leaving ? State::kLeaving : State::kPresent;
    known.era = era;
    known.entry = entry;
    return entry;
  }
  if (entry.started_at_ms == known.current.started_at_ms) {
    return AcceptCurrent(known, entry, source, era, now);
  }
  known.contested_until = now + kMaxLateWrite;
  const auto former = std::find_if(
      known.former.begin(), known.former.end(),
      [&](const Lifetime& lifetime) { return lifetime.started_at_ms == entry.started_at_ms; });
  if (former != known.former.end()) return AcceptFormer(known, *former, entry, era, now);
  return AcceptUnknown(known, entry, source, era, now);
}

ServerHistory::Accepted ServerHistory::AcceptCurrent(Known& known, const ServerEntry& entry,
                                                     RecordSource source, StoreEra era,
                                                     TimePoint now) const {
  if (MustIgnore(entry, known, source, era)) return std::nullopt;
  if (known.state == State::kRemoved && known.removed_while_writing && !entry.leaving &&
      now - known.current.heard_at < kMaxLateWrite && !GoesOnWriting(known, entry, now)) {
    return std::nullopt;
  }
  ++known.entries;
  if (entry.sequence > known.current.sequence) {
    known.candidate.reset();
    const bool interrupted = std::any_of(
        known.former.begin(), known.former.end(),
        [&](const Lifetime& former) { return former.heard_as > known.current.heard_as; });
    if (interrupted) known.current.heard_since = now;
    if (now - known.current.heard_since >= max_entry_pause_) known.current.settled = true;
  }
  known.service_confirmed = entry.service == known.entry.service;
  known.current.sequence = entry.sequence;
  known.current.heard_at = now;
  known.current.heard_as = known.entries;
  known.state = entry.leaving ? State::kLeaving : State::kPresent;
  known.era = era;
  known.entry = entry;
  return entry;
}

ServerHistory::Accepted ServerHistory::AcceptFormer(Known& known, Lifetime& former,
                                                    const ServerEntry& entry, StoreEra era,
                                                    TimePoint now) const {
  if (entry.sequence <= former.sequence) return std::nullopt;
  if (former.heard_as < known.current.heard_as) former.heard_since = now;
  former.sequence = entry.sequence;
  former.heard_at = now;
  former.heard_as = ++known.entries;
  const bool goes_on_writing = now - former.heard_since >= max_entry_pause_;
  if (now - known.current.heard_at >= kMaxLateWrite ||
      (!known.current.settled && goes_on_writing)) {
    former.settled = goes_on_writing;
    return Replace(known, former, entry, era);
  }
  if (known.current.settled || !entry.leaving) return std::nullopt;
  // Which of the two is alive is open, so the server is not used.
  ServerEntry held = known.entry;
  held.leaving = true;
  return held;
}

ServerHistory::Accepted ServerHistory::AcceptUnknown(Known& known, const ServerEntry& entry,
                                                     RecordSource source, StoreEra era,
                                                     TimePoint now) const {
  // The newest record of a key after a restore, in place of what was known before it.
  const bool from_copy = source == RecordSource::kNewest && known.era < era;
  const bool is_candidate = IsCandidate(known, entry);
  Lifetime next{entry.started_at_ms, entry.sequence, now, now};
  if (is_candidate) next.heard_since = known.candidate->heard_since;
  next.settled = now - next.heard_since >= max_entry_pause_;
  const bool is_new_one = known.state == State::kPresent && !from_copy;
  if (is_new_one || now - known.current.heard_at >= kMaxLateWrite ||
      GoesOnWriting(known, entry, now)) {
    return Replace(known, next, entry, era);
  }
  return std::nullopt;
}

bool ServerHistory::GoesOnWriting(Known& known, const ServerEntry& entry, TimePoint now) const {
  Lifetime next{entry.started_at_ms, entry.sequence, now, now};
  if (IsCandidate(known, entry)) {
    if (entry.sequence <= known.candidate->sequence) return false;
    next.heard_since = known.candidate->heard_since;
  }
  known.candidate = next;
  return now - next.heard_since >= max_entry_pause_;
}

bool ServerHistory::IsCandidate(const Known& known, const ServerEntry& entry) {
  return known.candidate && known.candidate->started_at_ms == entry.started_at_ms;
}

ServerHistory::Accepted ServerHistory::Replace(Known& known, const Lifetime& next,
                                               const ServerEntry& entry, StoreEra era) {
  Lifetime added = next;
  added.heard_as = ++known.entries;
  std::erase_if(known.former, [&](const Lifetime& lifetime) {
    return lifetime.started_at_ms == added.started_at_ms;
  });
  if (known.former.size() >= kMaxFormer) known.former.erase(known.former.begin());
  known.former.push_back(known.current);
  known.current = added;
  known.candidate.reset();
  known.service_confirmed = false;
  known.state = entry.leaving ? State::kLeaving : State::kPresent;
  known.era = era;
  known.entry = entry;
  return entry;
}

bool ServerHistory::MustIgnore(const ServerEntry& entry, const Known& known, RecordSource source,
                               StoreEra era) {
  // A server changes its service only with a restart, so this is another writer's entry.
  if (known.service_confirmed && entry.service != known.entry.service) return true;
  if (known.state == State::kPresent || entry.leaving) return false;
  const std::uint64_t sequence = known.current.sequence;
  const bool from_copy = source == RecordSource::kNewest && known.era < era;
  // Hosts for which others read the store don't know the last sequence number of a server that was
  // removed, so there it proves nothing.
  if (from_copy && (known.state == State::kRemoved || entry.sequence == sequence)) return true;
  return entry.sequence < sequence;
}

bool ServerHistory::IsContested(const ServerName& id, TimePoint now) const {
  const auto found = servers_.find(id);
  return found != servers_.end() && now < found->second.contested_until;
}

bool ServerHistory::IsCandidate(const ServerEntry& entry) const {
  const auto found = servers_.find(entry.id);
  if (found == servers_.end() || !IsCandidate(found->second, entry)) return false;
  return entry.started_at_ms != found->second.current.started_at_ms;
}

void ServerHistory::OnLeavingAnnounced(const ServerName& id) {
  const auto found = servers_.find(id);
  if (found == servers_.end() || found->second.state != State::kPresent) return;
  found->second.state = State::kLeaving;
}

void ServerHistory::OnRemoved(const ServerName& id, StoreEra era, TimePoint now) {
  const auto found = servers_.find(id);
  if (found == servers_.end() || found->second.state == State::kRemoved) return;
  found->second.removed_while_writing = now - found->second.current.heard_at < min_lapse_time_;
  found->second.state = State::kRemoved;
  found->second.era = era;
  found->second.current.heard_at = now;
  removed_.push_back(id);
  while (removed_.size() > max_removed_) ForgetOldest();
}

void ServerHistory::ForgetOldest() {
  const auto oldest = servers_.find(removed_.front());
  removed_.pop_front();
  if (oldest != servers_.end() && oldest->second.state == State::kRemoved) servers_.erase(oldest);
}

}  // namespace mulberry::gateway
