#pragma once

#include <set>
#include <vector>

#include "libgateway/types.h"

namespace mulberry::gateway {

/// Decides when a server whose entry has vanished from the store counts as gone. While the store
/// is away, entries lapse although their servers live; those are back shortly after its return.
/// Pure: time is passed in. Not thread safe.
class ServerRemovalPolicy {
 public:
  /// `return_time`: how long after the store's return entries come back.
  explicit ServerRemovalPolicy(Duration return_time) : return_time_(return_time) {}

  /// The store answers (again) or has stopped answering.
  void OnStoreReachable(TimePoint now);
  void OnStoreUnreachable() { away_ = true; }

  /// How much longer a vanished entry may come back; zero when it means that its server is gone.
  Duration GraceTimeLeft(TimePoint now) const;
  /// Another host has seen an outage; entries may come back for this long.
  void OnPeerGraceTime(Duration left, TimePoint now);
  void OnEntryPresent(const ServerName& id) { lapsed_.erase(id); }
  /// Returns true when the server is gone now; otherwise it may turn up in TakeRemovable.
  bool OnEntryMissing(const ServerName& id, TimePoint now);
  /// Returns the servers whose time to come back is over.
  std::vector<ServerName> TakeRemovable(TimePoint now);

 private:
  bool Settled(TimePoint now) const { return !away_ && now >= back_until_; }

  Duration return_time_;
  bool away_ = true;
  TimePoint back_until_;
  std::set<ServerName> lapsed_;
};

}  // namespace mulberry::gateway
