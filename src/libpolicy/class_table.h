#pragma once

#include <memory>
#include <vector>

#include "libpolicy/latency_window.h"
#include "libpolicy/request.h"
#include "libpolicy/retry_budget.h"
#include "libpolicy/time_ordered_set.h"

namespace mulberry {

/// A class of requests with its queue, retry budget and measurements.
struct ClassState {
  ClassState(ClassTarget class_target, double retry_budget_ratio)
      : target(std::move(class_target)), retry_budget(retry_budget_ratio) {}

  ClassTarget target;
  /// Requests queued for their first attempt, by due time.
  TimeOrderedSet<Request> queue;
  RetryBudget retry_budget;
  LatencyWindow latency;
  /// Smoothed ratio of requests that ended in time, 0 to 1.
  double in_time_ratio = 1.0;
  /// Slot time used recently, in seconds, as of recent_slot_time_at; decays exponentially.
  double recent_slot_time = 0;
  TimePoint recent_slot_time_at;
  /// Requests that have not ended.
  std::uint32_t open_requests = 0;
  /// True once the configuration no longer has this class.
  bool removed = false;
};

/// The classes of a group. Decides which class is served next and which one is shed.
///
/// While the request with the earliest due time can still be answered in time, it is served first
/// (earliest due time first), which meets every target that can be met. Otherwise some targets are
/// missed in any order. Then a class that used less than an equal share of the slots is served
/// first, so that a flood of one class cannot starve another, and after that the class that misses
/// its reliability target by most. Not thread safe.
class ClassTable {
 public:
  /// Replaces the classes. The requests of a removed class stay until they end.
  void SetClasses(std::vector<ClassTarget> classes, double retry_budget_ratio);

  /// Returns the class with this name, null when there is none.
  ClassState* Find(const ClassName& name) const;

  const std::vector<std::unique_ptr<ClassState>>& all() const { return classes_; }

  /// Returns the queued request that is served next, null when none is queued.
  Request* Next(TimePoint now);

  void Enqueue(Request& request);
  void Dequeue(Request& request);
  std::size_t Queued() const { return queued_; }

  /// Chooses the class that loses a request when a request of `arriving_class` arrives and the
  /// queue is full with `max_queued` requests. Among the classes with more than an equal share of
  /// the queue, this is the one with the lowest reliability target, then the one with the longest
  /// queue. Returns `arriving_class` when no class with queued requests exceeds its share.
  ClassState* ChooseClassToShed(ClassState& arriving_class, std::size_t max_queued);

  /// Adds `service_time` to the recent slot time of the class when an attempt starts.
  void OnDispatch(ClassState& class_state, Duration service_time, TimePoint now);
  /// Updates the in-time ratio of the class when a request ends.
  static void OnEnd(ClassState& class_state, bool in_time);

  /// Number of classes with queued requests.
  std::size_t BackloggedCount() const;
  /// Equal share of the slots, 0 to 1, that a class gets while other classes have queued requests.
  double FairShare(const ClassState& class_state) const;

 private:
  ClassState* EarliestDueClass() const;
  ClassState* HighestPriorityClass(TimePoint now) const;
  bool UnderFairShare(const ClassState& class_state, double total, TimePoint now) const;

  std::vector<std::unique_ptr<ClassState>> classes_;
  std::size_t queued_ = 0;
};

}  // namespace mulberry
