#pragma once

#include <memory>
#include <vector>

#include "libfleet/host_list.h"
#include "libfleet/lease.h"
#include "libfleet/peer_message.h"

namespace mulberry {

/// Decides which groups this host asks for and how much it may do with each.
///
/// The owner is the first live host in rendezvous order. A holder that is no longer the first
/// drains the group (see DrainingGroups) and releases it. Pure and not thread safe.
class LeaseHolder {
 public:
  LeaseHolder(Incarnation self, LeaseOptions options, TimePoint start);
  ~LeaseHolder();
  LeaseHolder(LeaseHolder&&) noexcept;

  /// Sets the groups of this data centre, the hosts that are live and not leaving (see
  /// Membership::LiveInOwnDataCentre) and all that are known (KnownInOwnDataCentre).
  void SetView(const std::vector<GroupKey>& groups, const std::vector<HostName>& live,
               const std::vector<HostName>& known, TimePoint now);

  /// Groups to name in the next heartbeat: those held (also while draining) and those wished for.
  std::vector<GroupKey> WantedGroups(TimePoint now) const;

  /// Notes that heartbeat `sequence` with `wanted` was sent to `peer`.
  void OnHeartbeatSent(const HostName& peer, std::uint64_t sequence, TimePoint now);

  /// Takes grants from a peer, or from this host's own LeaseGrantor (with `from` = self and `sent`
  /// = now).
  void OnGrants(const Incarnation& from, std::uint64_t sequence,
                const std::vector<LeaseGrant>& grants, TimePoint now);

  /// Returns the lease on a group; checked against `now`, so a paused holder finds kNone.
  Lease GetLease(GroupKey group, TimePoint now) const;

  /// Preferred live owner of a group, as this host sees it.
  HostName PreferredOwner(GroupKey group) const;

  /// Groups that are held but whose preferred owner is another live host: nothing new is
  /// dispatched, and Release is called when nothing is running any more.
  std::vector<GroupKey> DrainingGroups(TimePoint now) const;

  /// Gives a group up; it is not asked for again for two lease times. Returns the hosts that must
  /// get a LeaseRelease, this one (its own LeaseGrantor) included. Precondition: nothing of the
  /// group is running.
  std::vector<HostName> Release(GroupKey group, TimePoint now);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace mulberry
