#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>

#include "libpolicy/group_dispatcher.h"

namespace mulberry {

/// Limits how many requests one server may run concurrently, depending on what is known about its
/// start.
///
/// A server is cold when its start id changed or when it is announced as cold. Its limit is
/// `cold_slots` for at least `cold_hold` and then rises by one slot for every
/// `cold_answers_per_slot` answers in time, at most once per `cold_step`. A sign of overload halves
/// the limit but does not prolong `cold_hold`, since the server has not started again. A server
/// that may have restarted unnoticed is unverified: it gets one request at a time until an answer
/// contains its start id. A server without any known start counts as cold. Answers count only if
/// their attempt began in the current epoch (see epoch()), and reports of a load endpoint never
/// raise the limit. Not thread safe.
class ConcurrencyLimit {
 public:
  enum class Phase {
    kUnverified,  ///< May have restarted.
    kCold,        ///< Known to have restarted.
    kRecovering,  ///< Same start, but few answers in time since the limit was lowered.
    kWarm,        ///< May use all of its slots.
  };

  /// What an answer shows about the server's capacity.
  enum class CapacitySignal {
    kInTime,    ///< In time: counts for the ramp.
    kNeutral,   ///< Confirms only the start id.
    kLate,      ///< Late while the server is cold: several in a row show an overload.
    kOverload,  ///< A shed, or an error while the server is cold.
  };

  ConcurrencyLimit(const DispatcherOptions& options, std::uint32_t slots, bool announced_cold,
                   TimePoint now);

  Phase phase() const { return phase_; }
  /// Last known start id of the server, zero when unknown.
  StartId start() const { return start_; }
  /// Number that increases whenever earlier answers stop counting. An attempt keeps the epoch in
  /// which it began.
  std::uint32_t epoch() const { return epoch_; }
  /// Returns the limit under this share of the group's limits.
  std::uint32_t UsableSlots(LimitShare share, TimePoint now) const;

  /// Sets the limit for the warm phase.
  void SetSlots(std::uint32_t slots);
  /// Restarts the cold ramp.
  void MarkCold(TimePoint now);
  /// Returns what the group's next owner needs. An unverified server counts as what it was before.
  ServerHandover Handover(const ServerName& name) const;
  /// Applies the state from the group's former owner; a cold server continues its ramp. Ignored
  /// once an answer has been received here.
  void ApplyHandover(const ServerHandover& handover, TimePoint now);
  /// Marks that the server may have restarted. A cold server stays cold and restarts its ramp.
  void MarkUnverified(TimePoint now);
  /// Starts the short ramp of a server that answers again after failures.
  void StartRecovery(TimePoint now);

  /// Handles an answer of the server. `epoch` is the epoch of its attempt.
  void OnAnswer(StartId start, std::uint32_t epoch, CapacitySignal signal, TimePoint now);
  /// Handles an attempt that timed out.
  void OnTimeout(std::uint32_t epoch, TimePoint now);
  /// Handles a report of the load endpoint, which can only lower the limit.
  void OnProbe(StartId start, bool reported_cold, TimePoint now);

  /// Raises the limit by the steps of the ramp that are due.
  void Advance(TimePoint now);
  /// Returns the time of the next rise that needs no further answer, TimePoint::max() when there is
  /// none.
  TimePoint NextStep() const;

 private:
  bool Ramping() const { return phase_ == Phase::kCold || phase_ == Phase::kRecovering; }
  std::uint32_t RequiredAnswers() const;
  Duration StepDuration() const;
  std::uint32_t ColdSlots() const { return std::max(1U, options_->cold_slots); }
  Phase ConfirmedPhase() const { return phase_ == Phase::kUnverified ? confirmed_phase_ : phase_; }
  bool ExpectsFirstStartId() const;
  void HandleRestart(StartId start, TimePoint now);
  void ConfirmStart(StartId start, TimePoint now);
  void HalveLimit(TimePoint now);
  void StartRamp(Phase phase, std::uint32_t limit, TimePoint now);
  bool IsFormerStart(StartId start) const;
  void SetKnownCold(TimePoint until);
  TimePoint NextRampStep() const;
  std::uint32_t SharedSlots(LimitShare share, TimePoint now) const;

  const DispatcherOptions* options_;
  std::uint32_t slots_;
  Phase phase_ = Phase::kUnverified;
  /// Phase that a confirmed start id restores. limit_ keeps the limit of that phase meanwhile.
  Phase confirmed_phase_ = Phase::kCold;
  std::uint32_t limit_ = 1;
  std::uint32_t answers_in_time_ = 0;
  std::uint32_t late_in_a_row_ = 0;
  std::uint32_t epoch_ = 0;
  TimePoint step_started_at_;
  /// True once the server has answered, has been marked cold or was handed over.
  bool has_start_history_ = false;
  /// False for a server that counts as cold only because nothing is known about its start.
  bool known_cold_ = false;
  /// End of the cold time of a server that is known to be cold.
  TimePoint known_cold_until_;
  /// Until then a cold server gets at most `cold_slots`; none before its first answer.
  std::optional<TimePoint> hold_until_;
  /// True until known_cold_until_ has passed; used by NextStep.
  bool in_cold_time_ = false;
  StartId start_;
  /// Former start ids, which late answers may still contain.
  std::array<StartId, 4> former_starts_{};
  std::size_t next_former_start_ = 0;
};

}  // namespace mulberry
