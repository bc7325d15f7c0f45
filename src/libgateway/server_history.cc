#include "libgateway/server_history.h"

namespace mulberry::gateway {
namespace {

/// The store may execute a server's write some seconds after the server has sent it. An earlier
/// start time that is still there later is that of a server whose clock was set back.
constexpr Duration kMaxLateWrite = std::chrono::seconds(10);

}  // namespace

bool ServerHistory::Accept(const ServerEntry& entry, RecordSource source, StoreEra era,
                           TimePoint now) {
  const auto [found, is_new] = servers_.try_emplace(entry.id);
  Known& known = found->second;
  if (!is_new && MustIgnore(entry, known, source, era, now)) return false;
  const bool same_service =
      !is_new && entry.started_at_ms == known.started_at_ms && entry.service == known.service;
  known = {entry.leaving ? State::kLeaving : State::kPresent,
           entry.service,
           same_service,
           entry.started_at_ms,
           entry.sequence,
           era,
           now};
  return true;
}

bool ServerHistory::MustIgnore(const ServerEntry& entry, const Known& known, RecordSource source,
                               StoreEra era, TimePoint now) {
  // The newest record of a key after a restore, in place of what was known before it.
  const bool from_copy = source == RecordSource::kNewest && known.era < era;
  if (entry.started_at_ms != known.started_at_ms) {
    const bool is_earlier = entry.started_at_ms < known.started_at_ms;
    return is_earlier && (from_copy || now - known.heard_at < kMaxLateWrite);
  }
  // A server changes its service only with a restart, so this is another writer's entry.
  if (known.service_confirmed && entry.service != known.service) return true;
  if (known.state == State::kPresent || entry.leaving) return false;
  // Hosts for which others read the store don't know the last sequence number of a server that was
  // removed, so there it proves nothing.
  if (from_copy && (known.state == State::kRemoved || entry.sequence == known.sequence)) {
    return true;
  }
  return entry.sequence < known.sequence;
}

void ServerHistory::OnRemoved(const ServerName& id, StoreEra era, TimePoint now) {
  const auto found = servers_.find(id);
  if (found == servers_.end() || found->second.state == State::kRemoved) return;
  found->second.state = State::kRemoved;
  found->second.era = era;
  found->second.heard_at = now;
  removed_.push_back(id);
  while (removed_.size() > max_removed_) ForgetOldest();
}

void ServerHistory::ForgetOldest() {
  const auto oldest = servers_.find(removed_.front());
  removed_.pop_front();
  if (oldest != servers_.end() && oldest->second.state == State::kRemoved) servers_.erase(oldest);
}

}  // namespace mulberry::gateway
