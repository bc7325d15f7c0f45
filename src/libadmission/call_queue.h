#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "libadmission/dispatch_rate.h"
#include "libadmission/fair_shares.h"
#include "libadmission/wait_policy.h"
#include "libbase/base.h"

namespace mulberry::admission {

/// Identifies a call in its queue.
using CallId = StrongNumber<struct QueuedCallIdTag>;

/// The data of a call that a queue needs. A call's demand, place and dispatch are counted by the
/// same values, even if a later configuration gives its workspace another name or priority.
struct QueuedCall {
  CallId id;
  std::uint32_t priority = 0;
  /// A later answer misses the latency target.
  TimePoint target_time;
  TimePoint deadline;
  /// Empty for calls that belong to no workspace.
  std::optional<WorkspaceName> workspace = std::nullopt;
  TimePoint arrived = {};
  /// When the caller first sent the request, as far as it can be known; at most `arrived`.
  TimePoint first_arrived = {};

  bool operator<(const QueuedCall& other) const {
    return std::tie(priority, target_time, id) <
           std::tie(other.priority, other.target_time, other.id);
  }
};

/// Calls of one service that wait for a server. Calls that can still meet their target come first,
/// among these those with the lowest priority number, then the earliest target time. In order of
/// arrival, all calls would be late under overload. With fair shares, see SetFairShares, workspaces
/// come between priority and target time. Does no I/O: time is passed in. Not thread safe.
class CallQueue {
 public:
  /// Turns the order among workspaces and the minimum parts of FairShares on or off; off at first.
  /// Calls that wait are kept.
  void SetFairShares(bool on) { fair_ = on; }
  bool has_fair_shares() const { return fair_; }

  /// Counts the arrival of a call, whether it will be queued or not. Not needed without fair
  /// shares.
  void OnArrival(const QueuedCall& call, TimePoint now);
  /// Adds a call; returns false if it would wait too long, see ShouldQueue. Precondition: no call
  /// with this id waits.
  bool TryEnqueue(const QueuedCall& call, Duration service_time, TimePoint now);
  /// Removes the call as it was added; does nothing if it does not wait.
  void Remove(CallId id);
  /// Counts a dispatched call, whether it was queued or not.
  void OnDispatch(const QueuedCall& call, TimePoint now);

  /// Returns the position that the call has, or would have.
  QueuePosition PositionOf(const QueuedCall& call, Duration service_time, TimePoint now) const;
  /// False when the call would miss its target. With fair shares this is asked again at FailTime.
  bool ShouldKeep(const QueuedCall& call, Duration service_time, TimePoint now) const;
  /// Returns when a queued call is failed if it still has no server. With fair shares there are two
  /// such times: an early one, at which the call is kept if ShouldKeep, and one before its
  /// deadline.
  TimePoint FailTime(const QueuedCall& call, Duration service_time, TimePoint now) const;

  /// Returns the Retry-After value for a call that is refused now. `random` is between 0 and 1.
  Duration RetryAfterFor(const QueuedCall& call, Duration service_time, double random,
                         TimePoint now) const;

  bool empty() const { return waiting_.empty(); }
  std::size_t size() const { return waiting_.size(); }
  /// Returns the call to dispatch next. Precondition: not empty().
  const QueuedCall& Next(Duration service_time, TimePoint now) const;

 private:
  /// Order of the calls of one flow: by target time, as if they had arrived when first sent.
  struct SentEarlier {
    bool operator()(const QueuedCall& left, const QueuedCall& right) const {
      return std::make_pair(KeyOf(left), left.id) < std::make_pair(KeyOf(right), right.id);
    }
    static TimePoint KeyOf(const QueuedCall& call) {
      return call.target_time - (call.arrived - call.first_arrived);
    }
  };
  /// Priority first, unless one is under-served; then the under-served workspaces.
  using Rank = std::tuple<int, std::uint32_t, int>;
  static Flow FlowOf(const QueuedCall& call) { return {call.priority, call.workspace}; }
  Rank RankOf(const Flow& flow, TimePoint now) const;
  static TimePoint ReviewTime(const QueuedCall& call);
  const QueuedCall& NextFairly(Duration service_time, TimePoint now) const;
  std::size_t CountAheadFairly(const QueuedCall& call, Duration service_time, TimePoint now) const;

  bool fair_ = false;
  std::uint64_t dispatches_ = 0;
  std::set<QueuedCall> waiting_;
  /// The same calls by id, with the values under which they stand in the other two containers.
  std::unordered_map<CallId, QueuedCall> by_id_;
  /// The same calls by flow.
  std::map<Flow, std::set<QueuedCall, SentEarlier>> flows_;
  DispatchRate rate_;
  FairShares shares_;
};

}  // namespace mulberry::admission
