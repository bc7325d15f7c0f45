#pragma once

#include <cstdint>
#include <set>
#include <tuple>

#include "libgateway/admission.h"
#include "libgateway/types.h"

namespace mulberry::gateway {

/// A call as a queue sees it.
struct QueuedCall {
  CallId id;
  std::uint32_t priority = 0;
  /// Answered later, it misses its target.
  TimePoint due;
  TimePoint deadline;

  bool operator<(const QueuedCall& other) const {
    return std::tie(priority, due, id) < std::tie(other.priority, other.due, other.id);
  }
};

/// Calls of one service that wait for a server. Those that can still be in target come first, of
/// these the most urgent, of these the one whose target passes first. Answers a load above what the
/// servers bear: in the order of arrival, all calls would wait until they are late. Pure: time is
/// passed in. Not thread safe.
class CallQueue {
 public:
  /// Takes a call, unless it would wait too long; see ShouldQueue.
  bool TryEnqueue(const QueuedCall& call, Duration service_time, TimePoint now);
  void Remove(const QueuedCall& call) { waiting_.erase(call); }
  /// Counts a call that got a server, whether it had waited or not.
  void OnDispatch(TimePoint now) { rate_.OnDispatch(now); }

  /// What the call waits behind, or would wait behind.
  QueuePosition PositionOf(const QueuedCall& call, Duration service_time, TimePoint now) const;

  bool empty() const { return waiting_.empty(); }
  std::size_t size() const { return waiting_.size(); }
  /// The call that is next. Precondition: not empty().
  const QueuedCall& Next(Duration service_time, TimePoint now) const;

 private:
  std::set<QueuedCall> waiting_;
  DispatchRate rate_;
};

}  // namespace mulberry::gateway
