#pragma once

#include <memory>
#include <vector>

#include "libpolicy/latency_window.h"
#include "libpolicy/request.h"
#include "libpolicy/retry_budget.h"
#include "libpolicy/time_ordered_set.h"

namespace mulberry {

/// A class of work with its queue and what was measured of it.
struct ClassState {
  ClassState(ClassTarget class_target, double retry_share)
      : target(std::move(class_target)), budget(retry_share) {}

  ClassTarget target;
  /// Requests that wait for their first attempt, by due time.
  TimeOrderedSet<Request> queue;
  RetryBudget budget;
  LatencyWindow latency;
  /// Smoothed share of requests that ended in time.
  double on_time = 1.0;
  /// Slot time used recently; see ClassTable::OnDispatch.
  double recent_use = 0;
  TimePoint recent_use_at;
  /// Requests that have not ended.
  std::uint32_t open = 0;
  /// True when the configuration has no such class any more.
  bool gone = false;
};

/// The classes of a group: decides which class is served next and which is shed.
///
/// While all heads of the queues can be answered when due, the earliest due time goes first, which
/// keeps every target that can be kept. Otherwise some targets are missed whatever the order is;
/// then a class that used less than an equal share of the slots goes first, so that a flood cannot
/// starve another class, next the class that misses its reliability target by most. Not thread
/// safe.
class ClassTable {
 public:
  /// Replaces the classes. Those that are gone keep their requests until they end.
  void Set(std::vector<ClassTarget> classes, double retry_share);

  /// Returns the class of this name, null when there is none.
  ClassState* Find(const ClassName& name) const;

  const std::vector<std::unique_ptr<ClassState>>& all() const { return classes_; }

  /// Chooses the queued request that is served next, null when none waits.
  Request* Next(TimePoint now);

  void Enqueue(Request& request);
  void Dequeue(Request& request);
  std::size_t Queued() const { return queued_; }

  /// Chooses the class that has to give up a request when the queue of `bound` requests is full
  /// and one of `newcomer` arrives: of the classes that hold more than an equal share of the queue
  /// the one with the lowest reliability target, then the one with the longest queue.
  ClassState* Victim(ClassState& newcomer, std::size_t bound);

  /// Notes that an attempt takes a slot for `service_time`.
  void OnDispatch(ClassState& owner_class, Duration service_time, TimePoint now);
  /// Notes how a request ended.
  static void OnEnd(ClassState& owner_class, bool in_time);

  /// Classes with waiting requests.
  std::size_t Backlogged() const;
  /// Part of the slots that a class can count on while others wait too, 0 to 1.
  double FairShare(const ClassState& owner_class) const;

 private:
  ClassState* MostUrgent() const;
  ClassState* MostDeserving(TimePoint now) const;
  bool UnderFairShare(const ClassState& owner_class, double total, TimePoint now) const;

  std::vector<std::unique_ptr<ClassState>> classes_;
  std::size_t queued_ = 0;
};

}  // namespace mulberry
