#pragma once

#include <optional>

#include "libgateway/types.h"

namespace mulberry::gateway {

/// How much of the operators' topic a host has applied.
struct OperatorState {
  TopicPosition position;
  /// The configuration in force. A restored store may lack one that some hosts have.
  ConfigVersion version;
  bool operator==(const OperatorState&) const = default;
};

/// What a host does about records of a topic that another host has and this one lacks.
struct CatchUp {
  bool ask_peer = false;
  bool read_store = false;
};

/// Decides how a host that missed an update catches up. An update is usually a moment behind the
/// heartbeat that shows it. After that, the host asks the hosts that have the records, which works
/// also while the store refuses this host, and then reads the store too, which works also for
/// records that are too large for a datagram. A configuration that others have in force is not
/// read, only asked for: it may be missing from a restored store. Does no I/O. Not thread safe.
class CatchUpPolicy {
 public:
  /// Another host has applied `theirs`, this one `own`.
  CatchUp OnPeerState(const OperatorState& own, const OperatorState& theirs, TimePoint now);

 private:
  /// State here when records were first found to be missing.
  OperatorState own_;
  std::optional<TimePoint> missing_since_;
  std::optional<TimePoint> asked_at_;
};

}  // namespace mulberry::gateway
