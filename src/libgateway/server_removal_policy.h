#pragma once

#include <set>
#include <vector>

#include "libgateway/types.h"

namespace mulberry::gateway {

/// Decides when a server or a data centre whose entry is missing from the store is removed from
/// what is known. Entries expire during a store outage although their servers still run, and a
/// restored store lacks what was written last; so afterwards there is a grace time in which they
/// can be written again. Does no I/O: time is passed in. Not thread safe.
template <class Id>
class RemovalPolicy {
 public:
  /// `grace_time`: how long after a store outage or a restore missing entries may return.
  explicit RemovalPolicy(Duration grace_time) : grace_time_(grace_time) {}

  /// Report whether the store is reachable.
  void OnStoreReachable(TimePoint now);
  /// The store was restored; the grace time begins with the next read.
  void OnStoreRestored() { OnStoreUnreachable(); }
  void OnStoreUnreachable() { store_unreachable_ = outage_seen_ = true; }

  /// Remaining time in which a missing entry may return; zero when a missing entry means that its
  /// server is gone.
  Duration GraceTimeLeft(TimePoint now) const;
  /// Records that another host saw an outage and waits for this long.
  void OnPeerGraceTime(Duration time_left, TimePoint now);
  void OnEntryPresent(const Id& id) { missing_.erase(id); }
  /// Returns true when the server is to be removed now; otherwise TakeRemovable may return it
  /// later.
  bool OnEntryMissing(const Id& id, TimePoint now);
  /// Returns the servers whose grace time has expired without a new entry.
  std::vector<Id> TakeRemovable(TimePoint now);

 private:
  bool MissingMeansGone(TimePoint now) const { return !store_unreachable_ && now >= grace_until_; }

  Duration grace_time_;
  bool store_unreachable_ = true;
  /// False since the start: the first grace time is a precaution against an outage that this host
  /// did not see.
  bool outage_seen_ = false;
  TimePoint grace_until_;
  std::set<Id> missing_;
};

using ServerRemovalPolicy = RemovalPolicy<ServerName>;

}  // namespace mulberry::gateway
