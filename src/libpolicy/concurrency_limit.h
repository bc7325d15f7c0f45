#pragma once

#include <array>
#include <cstdint>

#include "libpolicy/group_dispatcher.h"

namespace mulberry {

/// How many requests one server may run at once, by what is known of its start.
///
/// A server whose start id changed, or that is announced as cold, is cold: it begins with
/// `cold_slots`, keeps it for `cold_hold`, and gets a further slot for `cold_answers_per_slot`
/// answers in time and `cold_step` of time. A server that may have restarted unnoticed is
/// unverified: one request at a time until an answer names its start id. A server of which nothing
/// is known counts as cold. Only answers to attempts that began after the last doubt count (see
/// epoch()), and nothing that a load endpoint says raises the limit. Not thread safe.
class ConcurrencyLimit {
 public:
  enum class Phase {
    kUnverified,  ///< May have restarted.
    kCold,        ///< Known to have restarted.
    kRecovering,  ///< Same start, but its answers after a setback are few.
    kWarm,        ///< Serves all of its slots.
  };

  /// What an answer says of the server's capacity.
  enum class Evidence {
    kInTime,    ///< Counts for the ramp.
    kNeutral,   ///< Only names the start id.
    kOverload,  ///< A shed, or too late while the server is cold.
  };

  ConcurrencyLimit(const DispatcherOptions& options, std::uint32_t slots, bool announced_cold,
                   TimePoint now);

  Phase phase() const { return phase_; }
  /// Start id that the server's answers named last, zero when none did.
  StartId start() const { return start_; }
  /// Number of the present phase of doubt; an attempt carries the number it began with.
  std::uint32_t epoch() const { return epoch_; }
  /// Limit under this share of the group's limits.
  std::uint32_t Usable(LimitShare share, TimePoint now) const;

  /// Sets the limit of the warm server.
  void SetSlots(std::uint32_t slots);
  /// Starts the cold ramp again.
  void MarkCold(TimePoint now);
  /// Takes the start id and state that the group's former owner knew; only before any answer here.
  void ApplyHandover(StartId start, bool warm, TimePoint now);
  /// True when the server is warm, or was before it became unverified.
  bool WasWarm() const;
  /// Notes that the server may have restarted. A cold server stays cold and starts its ramp again.
  void MarkUnverified(TimePoint now);
  /// Starts the short ramp of a server that works again after failures.
  void Recover(TimePoint now);

  /// Takes an answer of the server; `epoch` is that of its attempt.
  void OnAnswer(StartId start, std::uint32_t epoch, Evidence evidence, TimePoint now);
  /// Takes an attempt that timed out.
  void OnTimeout(std::uint32_t epoch, TimePoint now);
  /// Takes what the load endpoint says; it can only lower the limit.
  void OnProbe(StartId start, bool reported_cold, TimePoint now);

  /// Takes the steps of the ramp that are due.
  void Advance(TimePoint now);
  /// Time of the next step that needs no further answer, TimePoint::max() when there is none.
  TimePoint NextStep() const;

 private:
  bool Ramping() const { return phase_ == Phase::kCold || phase_ == Phase::kRecovering; }
  std::uint32_t AnswersNeeded() const;
  Duration StepTime() const;
  bool FirstStartId() const;
  void NoteRestart(StartId start, TimePoint now);
  void Verify(StartId start, TimePoint now);
  void SetBack(TimePoint now);
  void StartRamp(Phase phase, std::uint32_t limit, TimePoint now);
  bool Retired(StartId start) const;
  void NoteKnownCold(TimePoint now);
  TimePoint NextRampStep() const;
  std::uint32_t SharedSlots(LimitShare share, TimePoint now) const;

  const DispatcherOptions* options_;
  std::uint32_t slots_;
  Phase phase_ = Phase::kUnverified;
  /// Phase and limit that a confirmed start id restores.
  Phase confirmed_phase_ = Phase::kCold;
  std::uint32_t limit_ = 1;
  std::uint32_t answers_ = 0;
  std::uint32_t epoch_ = 0;
  TimePoint step_since_;
  bool contacted_ = false;
  /// False for a server that counts as cold only because nothing is known of it.
  bool known_cold_ = false;
  /// By then a server that is known to be cold has had its cold time.
  TimePoint known_cold_until_;
  /// True while that time is to come, for NextStep.
  bool in_cold_time_ = false;
  StartId start_;
  /// Former start ids; late answers may still name them.
  std::array<StartId, 4> retired_{};
  std::size_t next_retired_ = 0;
};

}  // namespace mulberry
