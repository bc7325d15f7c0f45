#pragma once

#include <cstddef>

namespace mulberry::placement {

/// What to do with a server that gives cause for an ejection.
enum class EjectionVerdict {
  kEject,  ///< It gets no requests for a backoff time.
  kAvoid,  ///< It gets requests only when no other server has room.
};

/// Bounds the ejected servers of one service. If more of them seem to be bad, the cause is probably
/// not the servers, and ejecting them would overload the rest. Not thread safe.
class EjectionBudget {
 public:
  /// `servers`: servers of the service. `ejected`: those of them that are ejected now.
  EjectionBudget(std::size_t servers, std::size_t ejected) : servers_(servers), ejected_(ejected) {}

  /// True when one more server may be ejected.
  bool HasRoom() const;
  /// `unreachable`: this host cannot reach the server, so that requests to it are wasted.
  EjectionVerdict Decide(bool unreachable) const {
    return unreachable || HasRoom() ? EjectionVerdict::kEject : EjectionVerdict::kAvoid;
  }

 private:
  std::size_t servers_;
  std::size_t ejected_;
};

}  // namespace mulberry::placement
