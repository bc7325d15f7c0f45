#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

#include "libbase/base.h"
#include "librollout/state.h"

namespace mulberry::rollout {

/// Decides the phase of one order and how many requests each host may send to the target version.
/// Exists on the host that is the coordinator. Does no I/O: time is passed in. Not thread safe.
class Coordinator {
 public:
  /// `seen_at`: when the order was first known here. `in_force`: the target is the version in
  /// force already.
  Coordinator(Order order, Limits limits, TimePoint seen_at, bool in_force, TimePoint now);

  /// Applies a host's report.
  void OnReport(const HostName& host, StartId start, const Report& report, TimePoint now);
  /// The answer to the host's last report. Precondition: OnReport was called for the host.
  StateUpdate AnswerTo(const HostName& host, StartId start, TimePoint now);
  /// Moves to the next phase when it is time. `target_servers`: servers of the target that are
  /// known.
  void Tick(std::size_t target_servers, TimePoint now);
  /// Takes the version back unless the order is committed or final.
  void Cancel(const std::string& reason);
  /// The store holds this final state of the order, which stands whatever was decided here.
  void OnRecorded(State state, const std::string& reason);

  const Order& order() const { return order_; }
  Phase phase() const { return phase_; }
  /// What the phase rests on, for the log and the status.
  const std::string& reason() const { return reason_; }
  bool recorded() const { return recorded_; }
  /// Requests seen, and the number of them that the target may have received, for the log.
  std::uint64_t seen() const;
  std::uint64_t exposed() const;

 private:
  struct Grant {
    std::int64_t ends_at = 0;  ///< By the host's clock.
    std::uint64_t total = 0;
  };
  struct Host {
    Report report;
    TimePoint reported_at;
    std::uint64_t new_requests = 0;  ///< Requests between the last two reports.
    std::deque<Grant> grants;        ///< Those that may still be in use.
  };
  using HostKey = std::pair<HostName, StartId>;

  static std::uint64_t Charge(const Host& host);
  bool TakingOver(TimePoint now) const;
  bool GrantsNow(TimePoint now) const;
  double ElapsedFraction(TimePoint now) const;
  bool AllLeftOthers(TimePoint now) const;
  void Enter(Phase phase, std::string reason, TimePoint now);
  void TickCanary(const Verdict& verdict, std::size_t target_servers, TimePoint now);
  Evidence AllEvidence() const;

  Order order_;
  Limits limits_;
  TimePoint seen_at_;
  TimePoint created_at_;
  TimePoint entered_at_;
  bool in_force_;
  Phase phase_ = Phase::kCanary;
  bool recorded_ = false;
  std::string reason_;
  std::map<HostKey, Host> hosts_;
  /// The greatest exposure that a former coordinator told a host.
  std::uint64_t former_exposed_ = 0;
  /// The part of it that no host has reported; fixed at the end of the takeover.
  std::uint64_t unreported_ = 0;
  bool took_over_ = false;
};

}  // namespace mulberry::rollout
