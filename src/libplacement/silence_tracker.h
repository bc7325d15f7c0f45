#pragma once

#include <cstdint>
#include <vector>

#include "libbase/base.h"

namespace mulberry::placement {

/// The requests of this host that are unanswered at one server. Tells a silent request from a slow
/// one: a server starts requests in the order of their arrival, so a slow request is overtaken only
/// while it runs. Does no I/O: time is passed in. Not thread safe.
class SilenceTracker {
 public:
  /// `held`: requests at the server, over all hosts, as far as known.
  void OnSent(TimePoint sent, double held) { pending_.push_back({sent, held}); }
  /// Records the requests that run and wait at the server according to a load report.
  void OnReport(double held, TimePoint now);
  /// Records the end of the request that was sent at `sent`. `answered`: the server answered it.
  /// Returns true when that refutes what TakeSilent has returned.
  bool OnEnd(TimePoint sent, bool answered);

  /// True when the unanswered request that was sent at `sent` is silent. `usual_time`: usual answer
  /// time of the service.
  bool IsSilent(TimePoint sent, Duration usual_time, TimePoint now) const;
  /// Returns, for each request that has become silent since the last call, the most requests that
  /// the server is known to have held around the time when it was sent.
  std::vector<double> TakeSilent(Duration usual_time, TimePoint now);
  /// Number of silent requests.
  std::uint32_t SilentCount(Duration usual_time, TimePoint now) const;

 private:
  struct Pending {
    TimePoint sent;
    double held = 0;
    std::uint32_t overtaken = 0;  ///< Requests that were sent later and are answered.
    bool taken = false;           ///< TakeSilent has returned it.
  };
  static bool IsSilent(const Pending& pending, Duration usual_time, TimePoint now);

  std::vector<Pending> pending_;
};

}  // namespace mulberry::placement
