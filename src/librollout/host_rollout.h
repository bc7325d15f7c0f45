#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "libbase/base.h"
#include "librollout/state.h"

namespace mulberry::rollout {

/// Which servers a request may go to.
enum class Use : std::uint8_t {
  kOther,        ///< The version in force.
  kNotTarget,    ///< The version in force, and never the target.
  kTargetFirst,  ///< The target, or the version in force where the target has no room.
  kTargetOnly,
};

/// One host's part in an order: which version a request may go to, and the evidence. Does no I/O:
/// time is passed in. Not thread safe.
class HostRollout {
 public:
  HostRollout(Order order, TimePoint seen_at);

  /// Counts a caller's request.
  void OnRequest() { ++requests_; }
  /// Decides for a request of the route. `first_attempt`: neither a retry nor a hedge; only
  /// first attempts are sent to the target in the canary phase.
  Use UseFor(const std::string& route, bool first_attempt, TimePoint now) const;
  /// A request of the route was sent to a server of the target; uses up a grant.
  void OnSentToTarget(const std::string& route);
  /// A warm server has responded, or not in time. Failures are responses that say so.
  void OnResponse(const std::string& route, ServerGroup group, bool failed, Duration took);

  Report MakeReport(std::uint32_t others_in_flight, TimePoint now) const;
  /// Applies the coordinator's answer to a report of this host. Returns true when the phase has
  /// changed.
  bool OnState(const StateUpdate& state, TimePoint now);
  /// Ends the order here before the coordinator says so, unless it is committed.
  void Cancel(const std::string& reason);
  /// The store holds this final state.
  void OnRecorded(State state, const std::string& reason);

  const Order& order() const { return order_; }
  Phase phase() const { return phase_; }
  const std::string& reason() const { return reason_; }
  bool recorded() const { return recorded_; }
  TimePoint seen_at() const { return seen_at_; }
  const Evidence& evidence() const { return evidence_; }
  std::uint64_t sent() const { return sent_; }

 private:
  bool IsRecent(TimePoint now) const;
  bool MayUseGrant(const std::string& route) const;

  Order order_;
  TimePoint seen_at_;
  std::uint64_t requests_ = 0;
  std::uint64_t sent_ = 0;
  std::map<std::string, std::uint64_t> sent_by_route_;
  Phase phase_ = Phase::kCanary;
  bool recorded_ = false;
  std::string reason_;
  std::uint64_t granted_ = 0;
  std::uint64_t exposed_ = 0;
  /// Time of the question that the last state answers.
  TimePoint state_of_;
  Evidence evidence_;
};

}  // namespace mulberry::rollout
