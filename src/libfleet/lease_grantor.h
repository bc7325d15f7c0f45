#pragma once

#include <map>

#include "libfleet/lease.h"
#include "libfleet/peer_message.h"

namespace mulberry {

/// Records the leases that this host granted. A group is granted to one incarnation at a time;
/// another one gets it after the lease that was granted last has run out, or after its release.
/// Pure and not thread safe.
class LeaseGrantor {
 public:
  LeaseGrantor(LeaseOptions options, TimePoint start);

  /// Answers a wish for a lease.
  LeaseGrant OnLeaseRequest(GroupKey group, const Incarnation& candidate, TimePoint now);

  /// Ends a lease if the sender holds it; nothing of it is running any more.
  void OnRelease(GroupKey group, const Incarnation& holder, TimePoint now);

  /// Incarnation that holds the group now; start id zero when none.
  Incarnation HolderOf(GroupKey group, TimePoint now) const;

 private:
  struct Record {
    Incarnation holder;
    /// End of the holder's lease.
    TimePoint until;
    /// Requests of earlier holders can run until then.
    TimePoint former_until;
    bool released = false;
  };
  TimePoint RunningUntil(const Record& record) const;
  void ForgetOld(TimePoint now);

  LeaseOptions options_;
  TimePoint start_;
  TimePoint next_sweep_;
  std::map<GroupKey, Record> records_;
};

}  // namespace mulberry
