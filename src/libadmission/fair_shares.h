#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "libbase/base.h"

namespace mulberry::admission {

/// Calls of one workspace and one priority.
struct Flow {
  std::uint32_t priority = 0;
  /// Empty for calls that belong to no workspace.
  std::optional<WorkspaceName> workspace;
  auto operator<=>(const Flow&) const = default;
};

/// Recent demand and service of one queue by priority and by flow. Counts decay with
/// kShareTimeConstant, so nothing that happened longer ago influences the order. At most kMaxFlows
/// are counted one by one; those beyond count as calls without a workspace. Does no I/O: time is
/// passed in and does not go back. Not thread safe.
class FairShares {
 public:
  /// Time constant of the counts: longer than the 150 ms for which machines stay slow, and short
  /// enough that an under-served priority is noticed within a second.
  static constexpr Duration kShareTimeConstant = std::chrono::seconds(1);
  /// Bound of the memory; a deployment has some tens of workspaces and a few priorities.
  static constexpr std::size_t kMaxFlows = 1024;

  void OnArrival(const Flow& flow, TimePoint now);
  void OnServed(const Flow& flow, TimePoint now);

  /// Calls of the flow that were served recently.
  double ServedOf(const Flow& flow, TimePoint now) const;
  /// True when the served share of the priority is so much below that of all calls that its calls
  /// come before those of lower priority numbers.
  bool IsUnderServed(std::uint32_t priority, TimePoint now) const;
  /// True when the served share of the flow is so much below that of all calls that its calls come
  /// before those of flows that were served less often.
  bool IsUnderServed(const Flow& flow, TimePoint now) const;
  /// Returns the fraction, above 0 and at most 1, of recent service that did not go to lower
  /// priority numbers or, with the same one, to flows that were served less often.
  double AvailableFraction(const Flow& flow, TimePoint now) const;

  /// Number of flows that are counted.
  std::size_t size() const { return flows_.size(); }

 private:
  /// Decaying numbers of calls as of `at`.
  struct Counts {
    double arrived = 0;
    double served = 0;
    TimePoint at;
  };
  static Counts At(Counts counts, TimePoint now);
  bool IsBelow(const Counts& counts, double floor, TimePoint now) const;
  Counts& CountsOf(const Flow& flow, TimePoint now);
  Counts CountsOf(const Flow& flow, TimePoint now) const;

  Counts all_;
  std::map<std::uint32_t, Counts> priorities_;
  std::map<Flow, Counts> flows_;
};

}  // namespace mulberry::admission
