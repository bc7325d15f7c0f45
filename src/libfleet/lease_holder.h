#pragma once

#include <memory>
#include <vector>

#include "libfleet/host_list.h"
#include "libfleet/lease.h"
#include "libfleet/peer_message.h"

namespace mulberry {

/// Decides for which groups this host requests leases, and how much work each lease allows.
///
/// The preferred owner is the first live host in rendezvous order. A holder that is no longer first
/// drains the group (see DrainingGroups) and releases it. Performs no I/O; not thread safe.
class LeaseHolder {
 public:
  LeaseHolder(Incarnation self, LeaseOptions options, TimePoint start);
  ~LeaseHolder();
  LeaseHolder(LeaseHolder&&) noexcept;

  /// Sets the groups of this data centre, its hosts that are live and not leaving (see
  /// Membership::LiveInOwnDataCentre) and all its known hosts (see KnownInOwnDataCentre).
  void SetView(const std::vector<GroupKey>& groups, const std::vector<HostName>& live,
               const std::vector<HostName>& known, TimePoint now);

  /// Groups to request in the next heartbeat: those held (including draining ones) and those that
  /// this host should acquire.
  std::vector<GroupKey> WantedGroups(TimePoint now) const;

  /// Records that heartbeat `sequence` with `wanted` was sent to `peer` at `now`.
  void OnHeartbeatSent(const HostName& peer, std::uint64_t sequence, TimePoint now);

  /// Processes grants from a peer or from this host's own LeaseGrantor. Own grants (`from` = self)
  /// count as requested at `now`.
  void OnGrants(const Incarnation& from, std::uint64_t sequence,
                const std::vector<LeaseGrant>& grants, TimePoint now);

  /// Returns the lease on a group at `now`. Expiry is checked on each call, so a holder that was
  /// paused past the end of its lease gets kNone.
  Lease GetLease(GroupKey group, TimePoint now) const;

  /// First live host of the group's rendezvous order according to this host; empty if unknown.
  HostName PreferredOwner(GroupKey group) const;

  /// Groups that are held but whose preferred owner is another live host. The caller dispatches no
  /// new requests for them and calls Release once none is running.
  std::vector<GroupKey> DrainingGroups(TimePoint now) const;

  /// Releases a group; it is not requested again for two lease times. Returns the hosts to send a
  /// LeaseRelease, including this one (for its own LeaseGrantor). Precondition: no request of the
  /// group is running.
  std::vector<HostName> Release(GroupKey group, TimePoint now);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace mulberry
