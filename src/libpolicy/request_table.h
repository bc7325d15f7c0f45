#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>

#include "libpolicy/class_table.h"
#include "libpolicy/object_pool.h"
#include "libpolicy/request.h"
#include "libpolicy/time_ordered_set.h"

namespace mulberry {

/// The open requests and running attempts of a group, with the orders in which they are waited
/// for: queues, expiry and hedge timers. Holds no policy. Not thread safe.
class RequestTable {
 public:
  /// Dispatch ids begin after `first_id`.
  RequestTable(ClassTable& classes, std::uint64_t first_id)
      : classes_(&classes), last_dispatch_(first_id) {}

  /// Opens a request that waits for its first attempt.
  Request& Open(const RequestInfo& item, ClassState& owner_class);
  /// Returns the open request of this id, null when there is none.
  Request* Find(RequestId id) const;
  /// Ends a request. Its running attempts go on without it.
  void Close(Request& request);

  /// Lets a request wait for a further attempt. Precondition: no attempt of it is running.
  void WaitForRetry(Request& request);

  /// Starts an attempt; the request waits no longer.
  Attempt& Start(Request& request, BackendServer& server, TimePoint now);
  /// Returns the running attempt of this id, null when there is none.
  Attempt* FindAttempt(DispatchId id) const;
  /// Ends an attempt and detaches it from its request.
  void End(Attempt& attempt);

  /// Sets the time at which a second attempt is due. Precondition: none is set.
  void ArmHedge(Request& request, TimePoint at);
  void DisarmHedge(Request& request);

  /// Waiting requests by deadline.
  const TimeOrderedSet<Request>& expiry() const { return expiry_; }
  /// Requests that wait for a further attempt, by due time.
  const TimeOrderedSet<Request>& retries() const { return retries_; }
  /// Requests with an armed hedge timer.
  const TimeOrderedSet<Request>& hedges() const { return hedges_; }
  /// Requests that wait, for the first attempt or a further one.
  std::size_t Waiting() const { return classes_->Queued() + retries_.size(); }
  bool Idle() const { return requests_.empty() && attempts_.empty(); }

 private:
  void StopWaiting(Request& request);

  ClassTable* classes_;
  std::uint64_t last_dispatch_;
  absl::flat_hash_map<std::uint64_t, Request*> requests_;
  absl::flat_hash_map<std::uint64_t, Attempt*> attempts_;
  ObjectPool<Request> request_pool_;
  ObjectPool<Attempt> attempt_pool_;
  TimeOrderedSet<Request> expiry_;
  TimeOrderedSet<Request> retries_;
  TimeOrderedSet<Request> hedges_;
};

}  // namespace mulberry
