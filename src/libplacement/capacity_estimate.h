#pragma once

#include <cstdint>
#include <string_view>

#include "libbase/base.h"

namespace mulberry::placement {

/// The hosts that may send requests to a server, and this host's place among them. All hosts see
/// nearly the same, since it follows from the hosts that are alive.
struct SenderPosition {
  std::uint32_t local_hosts = 1;  ///< Advertised hosts of this data centre, this one included.
  std::uint32_t local_index = 0;  ///< Below local_hosts, different for each of them.
  std::uint32_t all_hosts = 1;    ///< Advertised hosts of all data centres.
  std::uint32_t all_index = 0;    ///< Below all_hosts, different for each of them.
};

/// What is learnt of the servers of one service: whether they hang when full, that is, never answer
/// a request beyond their queue, or refuse it, and how many requests a server holds. Does no I/O.
/// Not thread safe.
class CapacityEstimate {
 public:
  /// Records the requests that run and wait at a server according to a load report.
  void OnReport(std::uint32_t running, std::uint32_t waiting, std::uint32_t slots);
  /// Records that a server refused a request while it held `held` requests.
  void OnRefusal(double held, std::uint32_t slots);
  /// Records that a silent request (SilenceTracker) ended without an answer. `held`: requests at
  /// the server around the time when it was sent. Returns true when the service is one whose
  /// servers hang from now on.
  bool OnSilence(double held, std::uint32_t slots);

  /// Records that a request that was taken as silent was answered in the end.
  void OnLateAnswer() { Weaken(); }

  bool Hangs() const { return hangs_; }
  /// Requests that a server with `slots` holds, running and waiting.
  std::uint32_t Capacity(std::uint32_t slots) const;
  /// Maximum number of requests that this host may have at a server whose service hangs. The limits
  /// of all hosts add up to less than the capacity, whatever they know of each other.
  /// `local`: the server is in this host's data centre. `server`: its name.
  std::uint32_t HostLimit(std::uint32_t slots, bool local, const SenderPosition& position,
                          std::string_view server) const;

 private:
  void Weaken();

  std::uint32_t longest_queue_ = 0;
  double evidence_ = 0;
  bool hangs_ = false;
};

}  // namespace mulberry::placement
