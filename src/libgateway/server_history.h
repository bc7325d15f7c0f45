#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

#include "libgateway/topic_follower.h"
#include "libgateway/types.h"

namespace mulberry::gateway {

/// Remembers which servers have announced that they are leaving or were removed, so that a restored
/// store, whose entries may be older than that, does not bring them back, and which service a
/// server belongs to, so that another writer's entry does not move it. Does no I/O. Not thread
/// safe.
class ServerHistory {
 public:
  /// `max_removed`: how many removed servers are remembered; the oldest are forgotten first.
  explicit ServerHistory(std::size_t max_removed) : max_removed_(max_removed) {}

  /// Returns false when the entry must be ignored: it is older than what is known, or moves the
  /// server to another service without a restart. `era`: that of the store from which it comes.
  bool Accept(const ServerEntry& entry, RecordSource source, StoreEra era, TimePoint now);
  /// True when an entry of the server was accepted and the server is remembered.
  bool Knows(const ServerName& id) const { return servers_.count(id) != 0; }
  /// The server counts as removed since this era.
  void OnRemoved(const ServerName& id, StoreEra era, TimePoint now);

  std::size_t size() const { return servers_.size(); }

 private:
  enum class State { kPresent, kLeaving, kRemoved };
  struct Known {
    State state = State::kPresent;
    ServiceName service;
    bool service_confirmed = false;  ///< Two entries of this lifetime in a row have named it.
    std::int64_t started_at_ms = 0;
    std::uint64_t sequence = 0;
    StoreEra era;
    TimePoint heard_at;  ///< When this lifetime was last heard of.
  };
  static bool MustIgnore(const ServerEntry& entry, const Known& known, RecordSource source,
                         StoreEra era, TimePoint now);
  void ForgetOldest();

  std::size_t max_removed_;
  std::map<ServerName, Known> servers_;
  std::deque<ServerName> removed_;  ///< In order of removal; may hold servers that returned.
};

}  // namespace mulberry::gateway
