#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "libgateway/topic_follower.h"
#include "libgateway/types.h"

namespace mulberry::gateway {

/// Decides which entries of a server hold. The store may execute a write seconds late, so an entry
/// may be of a lifetime that has ended, and a restored store may hold entries from before the
/// server left. Also keeps a server in its service within a lifetime. Does no I/O. Not thread safe.
///
/// Start times tell lifetimes apart but not their order, since clocks are set back:
/// - A lifetime that was replaced has ended, once its successor has gone on writing while it was
///   silent. Until then, the successor may have been a late entry of an earlier lifetime.
/// - A lifetime whose entry was removed while it still wrote has left, and must go on writing.
/// - A lifetime that was never seen is a new one. If the server is leaving or gone, it may also be
///   a former one, and must go on writing while the known one is silent.
class ServerHistory {
 public:
  /// `max_removed`: how many removed servers are remembered; the oldest are forgotten first.
  /// `entry_interval`: a server that is alive writes once in this time; its entry lapses after
  /// three times as long.
  ServerHistory(std::size_t max_removed, Duration entry_interval);

  /// Returns the entry that holds for the server now, empty when this one must be ignored. `era`:
  /// that of the store from which it comes.
  std::optional<ServerEntry> Accept(const ServerEntry& entry, RecordSource source, StoreEra era,
                                    TimePoint now);
  /// True when an entry of the server was accepted and the server is remembered.
  bool Knows(const ServerName& id) const { return servers_.count(id) != 0; }
  /// True when entries of two lifetimes have come so recently that another host may hold the wrong
  /// one.
  bool IsContested(const ServerName& id, TimePoint now) const;
  /// True for an entry of a lifetime that may come into use if it goes on writing.
  bool IsCandidate(const ServerEntry& entry) const;
  /// The server has said in a response that it is leaving.
  void OnLeavingAnnounced(const ServerName& id);
  /// The server counts as removed since this era.
  void OnRemoved(const ServerName& id, StoreEra era, TimePoint now);

  std::size_t size() const { return servers_.size(); }

 private:
  enum class State { kPresent, kLeaving, kRemoved };
  struct Lifetime {
    std::int64_t started_at_ms = 0;
    std::uint64_t sequence = 0;
    /// When it was first heard of after the last entry of another lifetime.
    TimePoint heard_since;
    TimePoint heard_at;
    std::uint64_t heard_as = 0;  ///< Number of its last entry among all entries of the server.
    bool settled = false;        ///< It has gone on writing while those before it were silent.
  };
  struct Known {
    State state = State::kPresent;
    bool service_confirmed = false;  ///< Two entries of this lifetime in a row have named it.
    StoreEra era;
    Lifetime current;
    ServerEntry entry;  ///< The last one of the current lifetime.
    /// Not known before, and not in use yet.
    std::optional<Lifetime> candidate;
    std::vector<Lifetime> former;  ///< The last ones that were replaced, oldest first.
    std::uint64_t entries = 0;
    TimePoint contested_until;
    /// It was removed although it had just written, so it has left; an entry that lapses is older.
    bool removed_while_writing = false;
  };
  using Accepted = std::optional<ServerEntry>;

  Accepted AcceptCurrent(Known& known, const ServerEntry& entry, RecordSource source, StoreEra era,
                         TimePoint now) const;
  Accepted AcceptFormer(Known& known, Lifetime& former, const ServerEntry& entry, StoreEra era,
                        TimePoint now) const;
  Accepted AcceptUnknown(Known& known, const ServerEntry& entry, RecordSource source, StoreEra era,
                         TimePoint now) const;
  static Accepted Replace(Known& known, const Lifetime& next, const ServerEntry& entry,
                          StoreEra era);
  /// True when the entry shows that its lifetime goes on writing while the current one is silent;
  /// otherwise notes it as the candidate.
  bool GoesOnWriting(Known& known, const ServerEntry& entry, TimePoint now) const;
  static bool IsCandidate(const Known& known, const ServerEntry& entry);
  /// Whether an entry of the current lifetime must be ignored.
  static bool MustIgnore(const ServerEntry& entry, const Known& known, RecordSource source,
                         StoreEra era);
  void ForgetOldest();

  std::size_t max_removed_;
  /// Longer than the pause between two entries of a server that is alive.
  Duration max_entry_pause_;
  /// A silent server's entry does not lapse before this time.
  Duration min_lapse_time_;
  std::map<ServerName, Known> servers_;
  std::deque<ServerName> removed_;  ///< In order of removal; may hold servers that returned.
};

}  // namespace mulberry::gateway
