#pragma once

#include <cstdint>

#include "libbase/base.h"

namespace mulberry::placement {

/// Costs of a request to another data centre.
struct SpillSettings {
  /// Network delay to another data centre, one way.
  Duration one_way = std::chrono::milliseconds(4);
  /// Price of the bytes, as the milliseconds of waiting that 1 MiB is worth.
  double price_ms_per_mib = 200;
};

/// What a host knows when it decides about one request.
struct SpillInputs {
  /// Expected time until the answer of a server of the own data centre, waiting included; max()
  /// when none of its servers can be used.
  Duration here{};
  /// Expected time until the answer of the best server there, without the network delay.
  Duration there{};
  /// Requests that the servers there can still take according to their load reports; negative when
  /// they have too many.
  double spare = 0;
  /// Age of the newest load report from there.
  Duration news_age{};
  /// Hosts that may send requests there.
  std::uint32_t senders = 1;
  /// Requests that this host has in flight there.
  std::uint32_t in_flight = 0;
  /// Expected bytes of the request and its answer.
  double bytes = 0;
};

/// Decides for one service when requests leave the own data centre for one other, and how many.
/// The spare capacity there is divided among all hosts that may send, anew with each load report,
/// so that their sum fits whether or not the others send. A difference has to last before requests
/// leave, and its absence has to last before they stop, so that traffic does not swing with every
/// report. Does no I/O: time is passed in. Not thread safe.
class SpillPolicy {
 public:
  /// `phase`, 0 to 1, spreads the hosts' first requests when each one's part is below one.
  SpillPolicy(const SpillSettings& settings, double phase) : settings_(settings), credit_(phase) {}

  /// True when the request may be sent there.
  bool Allows(const SpillInputs& inputs, TimePoint now);
  /// True while leaving the data centre pays.
  bool active() const { return active_; }
  /// Price of the bytes and the network delay, as a time.
  Duration CostOf(double bytes) const;

 private:
  void UpdateActive(Duration gain, TimePoint now);
  void UpdateAllowance(const SpillInputs& inputs, TimePoint now);

  SpillSettings settings_;
  bool active_ = false;
  /// Since when the gain has been on the side that changes `active_`; max(): it is not.
  TimePoint changing_since_ = TimePoint::max();
  TimePoint granted_at_;
  double credit_;                ///< Part of a request that is granted but was not used yet.
  std::uint32_t allowance_ = 0;  ///< Maximum of requests in flight there.
};

}  // namespace mulberry::placement
