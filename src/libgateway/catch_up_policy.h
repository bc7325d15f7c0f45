#pragma once

#include <optional>

#include "libbase/base.h"

namespace mulberry::gateway {

/// What a host does about records of a topic that another host has and this one lacks.
struct CatchUp {
  bool ask_peer = false;
  bool read_store = false;
};

/// Decides how a host that missed an update catches up. An update is usually a moment behind the
/// heartbeat that shows it. After that, the host asks the hosts that have the records, which works
/// also while the store refuses this host, and then reads the store too, which works also for
/// records that are too large for a datagram. Does no I/O. Not thread safe.
class CatchUpPolicy {
 public:
  /// Another host has applied the topic up to `theirs`, this one up to `own`.
  CatchUp OnPeerOffset(Offset own, Offset theirs, TimePoint now);

 private:
  /// Offset here when records were first found to be missing.
  Offset own_;
  std::optional<TimePoint> missing_since_;
  std::optional<TimePoint> asked_at_;
};

}  // namespace mulberry::gateway
