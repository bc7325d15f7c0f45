#include "libadmission/fair_shares.h"

#include <algorithm>
#include <cmath>

namespace mulberry::admission {
namespace {

/// A priority gets at least this fraction of the served share of all calls. Below a quarter it
/// would count as starved; the rest is margin for the delay of the counts.
constexpr double kPriorityFloor = 0.4;
/// The same for a flow. It is below kPriorityFloor, so that what a priority at its floor gets
/// suffices for all of its flows.
constexpr double kFlowFloor = 0.35;
/// A flow whose counts have decayed below this is forgotten: it moves a call by less than one
/// place.
constexpr double kNegligibleCalls = 0.01;
/// With fewer recent calls than this the parts of the flows say nothing.
constexpr double kFewCalls = 10;
/// Calls by which a floor must be missed. With a fraction of a call, each first call of a priority
/// or a flow would count as under-served and overtake urgent ones.
constexpr double kMinOwedCalls = 1;
/// Unserved fraction of the recent calls from which on the service of calls that come first counts
/// in full; while all calls are served, a queue is short and empties before it is overtaken.
constexpr double kFullOverload = 0.1;
/// Even the last flow gets a minimum part, see the floors.
constexpr double kMinAvailableFraction = 0.1;

}  // namespace

FairShares::Counts FairShares::At(Counts counts, TimePoint now) {
  if (now <= counts.at) return counts;
  const auto elapsed = std::chrono::duration<double>(now - counts.at);
  const double factor = std::exp(-elapsed / std::chrono::duration<double>(kShareTimeConstant));
  return {counts.arrived * factor, counts.served * factor, now};
}

void FairShares::OnArrival(const Flow& flow, TimePoint now) {
  for (Counts* counts : {&all_, &priorities_[flow.priority], &CountsOf(flow, now)}) {
    *counts = At(*counts, now);
    counts->arrived += 1;
  }
}

void FairShares::OnServed(const Flow& flow, TimePoint now) {
  for (Counts* counts : {&all_, &priorities_[flow.priority], &CountsOf(flow, now)}) {
    *counts = At(*counts, now);
    counts->served += 1;
  }
}

double FairShares::ServedOf(const Flow& flow, TimePoint now) const {
  return CountsOf(flow, now).served;
}

bool FairShares::IsUnderServed(std::uint32_t priority, TimePoint now) const {
  const auto found = priorities_.find(priority);
  return found != priorities_.end() && IsBelow(At(found->second, now), kPriorityFloor, now);
}

bool FairShares::IsUnderServed(const Flow& flow, TimePoint now) const {
  return IsBelow(CountsOf(flow, now), kFlowFloor, now);
}

double FairShares::AvailableFraction(const Flow& flow, TimePoint now) const {
  const Counts all = At(all_, now);
  if (all.served < kFewCalls) return 1;
  double ahead = 0;
  for (const auto& [priority, counts] : priorities_) {
    if (priority < flow.priority) ahead += At(counts, now).served;
  }
  const double own = ServedOf(flow, now);
  for (const auto& [other, counts] : flows_) {
    if (other.priority != flow.priority) continue;
    const double served = At(counts, now).served;
    if (served < own) ahead += served;
  }
  const double overload = std::clamp((1 - all.served / all.arrived) / kFullOverload, 0.0, 1.0);
  return std::max(kMinAvailableFraction, 1 - overload * ahead / all.served);
}

bool FairShares::IsBelow(const Counts& counts, double floor, TimePoint now) const {
  const Counts all = At(all_, now);
  if (all.arrived <= 0) return false;
  const double owed = floor * all.served / all.arrived * counts.arrived;
  return owed - counts.served >= kMinOwedCalls;
}

FairShares::Counts& FairShares::CountsOf(const Flow& flow, TimePoint now) {
  const auto found = flows_.find(flow);
  if (found != flows_.end()) return found->second;
  if (flows_.size() >= kMaxFlows) {
    std::erase_if(flows_, [&](const auto& entry) {
      const Counts counts = At(entry.second, now);
      return counts.arrived + counts.served < kNegligibleCalls;
    });
  }
  if (flows_.size() >= kMaxFlows) return flows_[{flow.priority, std::nullopt}];
  return flows_[flow];
}

FairShares::Counts FairShares::CountsOf(const Flow& flow, TimePoint now) const {
  auto found = flows_.find(flow);
  if (found == flows_.end()) found = flows_.find({flow.priority, std::nullopt});
  return found == flows_.end() ? Counts() : At(found->second, now);
}

}  // namespace mulberry::admission
