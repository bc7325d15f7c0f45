#pragma once

#include <map>

#include "libfleet/lease.h"
#include "libfleet/peer_message.h"

namespace mulberry {

/// Records the leases that this host has granted. A group is granted to one incarnation at a time;
/// another incarnation can get it once the last granted lease has expired or been released.
/// Performs no I/O; not thread safe.
class LeaseGrantor {
 public:
  LeaseGrantor(LeaseOptions options, TimePoint start);

  /// Answers a request for a lease.
  LeaseGrant OnLeaseRequest(GroupKey group, const Incarnation& candidate, TimePoint now);

  /// Ends a lease if the sender holds it. Precondition: no request under the lease is running.
  void OnRelease(GroupKey group, const Incarnation& holder, TimePoint now);

  /// Returns the incarnation that holds the lease at `now`; start id zero if there is none.
  Incarnation HolderOf(GroupKey group, TimePoint now) const;

 private:
  struct Record {
    Incarnation holder;
    /// End of the holder's lease.
    TimePoint until;
    /// Requests of earlier holders can run until this time.
    TimePoint former_until;
    bool released = false;
  };
  /// Latest time at which a request of the current or an earlier holder can still run.
  TimePoint RequestsEndBy(const Record& record) const;
  void EraseExpired(TimePoint now);

  LeaseOptions options_;
  TimePoint start_;
  TimePoint next_sweep_;
  std::map<GroupKey, Record> records_;
};

}  // namespace mulberry
