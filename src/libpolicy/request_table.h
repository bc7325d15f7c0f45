#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>

#include "libpolicy/class_table.h"
#include "libpolicy/object_pool.h"
#include "libpolicy/request.h"
#include "libpolicy/time_ordered_set.h"

namespace mulberry {

/// The open requests and running attempts of a group, with their queues, expiry timers and hedge
/// timers. Makes no dispatch decisions. Not thread safe.
class RequestTable {
 public:
  /// The first dispatch id is `last_dispatch_id` + 1.
  RequestTable(ClassTable& classes, std::uint64_t last_dispatch_id)
      : classes_(&classes), last_dispatch_(last_dispatch_id) {}

  /// Opens a request and queues it for its first attempt.
  Request& Open(const RequestInfo& info, ClassState& class_state);
  /// Returns the open request with this id, null when there is none.
  Request* Find(RequestId id) const;
  /// Closes a request. Its running attempts continue without it.
  void Close(Request& request);

  /// Queues a request for a further attempt. Precondition: none of its attempts is running.
  void QueueRetry(Request& request);

  /// Starts an attempt and takes the request out of its queue.
  Attempt& StartAttempt(Request& request, BackendServer& server, TimePoint now);
  /// Returns the running attempt with this id, null when there is none.
  Attempt* FindAttempt(DispatchId id) const;
  /// Ends an attempt and detaches it from its request.
  void EndAttempt(Attempt& attempt);

  /// Arms the hedge timer of a request. Precondition: it is not armed.
  void ArmHedge(Request& request, TimePoint at);
  void DisarmHedge(Request& request);

  /// Queued requests by deadline.
  const TimeOrderedSet<Request>& expiry() const { return expiry_; }
  /// Requests queued for a further attempt, by due time.
  const TimeOrderedSet<Request>& retries() const { return retries_; }
  /// Requests with an armed hedge timer, by the time of the hedge.
  const TimeOrderedSet<Request>& hedges() const { return hedges_; }
  /// Number of requests queued for a first or further attempt.
  std::size_t TotalQueued() const { return classes_->Queued() + retries_.size(); }
  bool Idle() const { return requests_.empty() && attempts_.empty(); }

 private:
  void RemoveFromQueue(Request& request);

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
