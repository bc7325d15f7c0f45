#include "libpolicy/concurrency_limit.h"

#include <algorithm>

namespace mulberry {
namespace {

// The short ramp doubles the limit; each step takes this part of the cold step and this many
// answers per slot of the present limit.
constexpr int kRecoverStepDivisor = 5;
constexpr std::uint32_t kRecoverAnswersPerSlot = 2;

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(const DispatcherOptions& options, std::uint32_t slots,
                                   bool announced_cold, TimePoint now)
    : options_(&options),
      slots_(std::max(1U, slots)),
      limit_(std::min(slots_, std::max(1U, options.cold_slots))),
      step_since_(now) {
  if (announced_cold) MarkCold(now);
}

/// Slots of a server that may be cold while another owner's requests may run on it (share below
/// kFull). The former owner's requests are over under kWarm; so is the cold time after the hold.
std::uint32_t ConcurrencyLimit::SharedSlots(LimitShare share, TimePoint now) const {
  const bool cold_time_over = share == LimitShare::kWarm && now >= known_cold_until_;
  if (known_cold_ && !cold_time_over) return 0;
  return std::min(1U, options_->shared_unverified_slots);
}

std::uint32_t ConcurrencyLimit::Usable(LimitShare share, TimePoint now) const {
  if (share == LimitShare::kNone) return 0;
  const std::uint32_t half = std::max(1U, slots_ / 2);
  switch (phase_) {
    case Phase::kUnverified:
      return share == LimitShare::kFull ? 1 : SharedSlots(share, now);
    case Phase::kCold:
      if (share == LimitShare::kFull) return limit_;
      return share == LimitShare::kWarm ? std::max(SharedSlots(share, now), limit_ / 2)
                                        : SharedSlots(share, now);
    case Phase::kRecovering:
    case Phase::kWarm:
      return share == LimitShare::kReduced ? std::min(limit_, half) : limit_;
  }
  return 0;
}

void ConcurrencyLimit::SetSlots(std::uint32_t slots) {
  slots_ = std::max(1U, slots);
  const Phase phase = phase_ == Phase::kUnverified ? confirmed_phase_ : phase_;
  limit_ = phase == Phase::kWarm ? slots_ : std::min(limit_, slots_);
}

void ConcurrencyLimit::NoteKnownCold(TimePoint now) {
  known_cold_ = true;
  known_cold_until_ = now + options_->cold_hold;
  in_cold_time_ = true;
}

void ConcurrencyLimit::MarkCold(TimePoint now) {
  NoteKnownCold(now);
  StartRamp(Phase::kCold, std::max(1U, options_->cold_slots), now);
}

void ConcurrencyLimit::ApplyHandover(StartId start, bool warm, TimePoint now) {
  if (contacted_ || phase_ != Phase::kUnverified || start == StartId()) return;
  start_ = start;
  contacted_ = true;
  confirmed_phase_ = warm ? Phase::kWarm : Phase::kCold;
  if (warm) {
    limit_ = slots_;
  } else {
    NoteKnownCold(now);
  }
}

bool ConcurrencyLimit::WasWarm() const {
  const Phase phase = phase_ == Phase::kUnverified ? confirmed_phase_ : phase_;
  return phase == Phase::kWarm;
}

void ConcurrencyLimit::MarkUnverified(TimePoint now) {
  if (phase_ == Phase::kCold) return MarkCold(now);
  if (phase_ != Phase::kUnverified) confirmed_phase_ = phase_;
  phase_ = Phase::kUnverified;
  ++epoch_;
}

void ConcurrencyLimit::Recover(TimePoint now) {
  if (phase_ == Phase::kWarm || phase_ == Phase::kRecovering) {
    StartRamp(Phase::kRecovering, 1, now);
  }
}

void ConcurrencyLimit::OnAnswer(StartId start, std::uint32_t epoch, Evidence evidence,
                                TimePoint now) {
  const bool current = epoch == epoch_;
  if (start != StartId() && start != start_ && !FirstStartId()) {
    if (current || !Retired(start)) NoteRestart(start, now);
    return;
  }
  if (!current) {
    // Too old to verify anything, yet a later answer with another id reveals a restart.
    if (start_ == StartId() && phase_ == Phase::kUnverified) start_ = start;
    return;
  }
  if (phase_ == Phase::kUnverified) Verify(start, now);
  if (start_ == StartId()) start_ = start;
  contacted_ = true;
  if (evidence == Evidence::kOverload) return SetBack(now);
  if (evidence != Evidence::kInTime || !Ramping()) return;
  ++answers_;
  Advance(now);
}

void ConcurrencyLimit::OnTimeout(std::uint32_t epoch, TimePoint now) {
  if (epoch == epoch_ && phase_ == Phase::kCold) SetBack(now);
}

void ConcurrencyLimit::OnProbe(StartId start, bool reported_cold, TimePoint now) {
  const bool restarted = start_ != StartId() && start != StartId() && start != start_;
  if (restarted && !Retired(start)) return NoteRestart(start, now);
  if (reported_cold && phase_ != Phase::kCold && !Retired(start)) MarkCold(now);
}

void ConcurrencyLimit::Advance(TimePoint now) {
  if (now >= known_cold_until_) in_cold_time_ = false;
  if (now < NextRampStep()) return;
  limit_ = std::min(slots_, phase_ == Phase::kCold ? limit_ + 1 : limit_ * 2);
  answers_ = 0;
  step_since_ = now;
  if (limit_ < slots_) return;
  phase_ = Phase::kWarm;
  known_cold_ = false;
}

TimePoint ConcurrencyLimit::NextStep() const {
  const TimePoint ramp = NextRampStep();
  return in_cold_time_ ? std::min(ramp, known_cold_until_) : ramp;
}

TimePoint ConcurrencyLimit::NextRampStep() const {
  if (!Ramping() || answers_ < AnswersNeeded()) return TimePoint::max();
  return step_since_ + StepTime();
}

std::uint32_t ConcurrencyLimit::AnswersNeeded() const {
  return phase_ == Phase::kCold ? options_->cold_answers_per_slot : kRecoverAnswersPerSlot * limit_;
}

Duration ConcurrencyLimit::StepTime() const {
  if (phase_ != Phase::kCold) return options_->cold_step / kRecoverStepDivisor;
  const bool first_step = limit_ <= std::max(1U, options_->cold_slots);
  return first_step ? std::max(options_->cold_hold, options_->cold_step) : options_->cold_step;
}

/// True while an answer's start id is the first that this server is known by.
bool ConcurrencyLimit::FirstStartId() const {
  return start_ == StartId() && (phase_ == Phase::kCold || !contacted_);
}

void ConcurrencyLimit::NoteRestart(StartId start, TimePoint now) {
  retired_[next_retired_] = start_;
  next_retired_ = (next_retired_ + 1) % retired_.size();
  start_ = start;
  MarkCold(now);
}

/// Ends the unverified phase by an answer to an attempt that began in it.
void ConcurrencyLimit::Verify(StartId start, TimePoint now) {
  if (start == StartId() && contacted_) return MarkCold(now);
  phase_ = confirmed_phase_;
  answers_ = 0;
  step_since_ = now;
  ++epoch_;
}

/// Halves the limit and starts the ramp again from there.
void ConcurrencyLimit::SetBack(TimePoint now) {
  const Phase phase = phase_ == Phase::kWarm ? Phase::kRecovering : phase_;
  StartRamp(phase, std::max(1U, limit_ / 2), now);
}

void ConcurrencyLimit::StartRamp(Phase phase, std::uint32_t limit, TimePoint now) {
  phase_ = phase;
  limit_ = std::min(limit, slots_);
  answers_ = 0;
  step_since_ = now;
  contacted_ = contacted_ || phase == Phase::kCold;
  ++epoch_;
}

bool ConcurrencyLimit::Retired(StartId start) const {
  return std::find(retired_.begin(), retired_.end(), start) != retired_.end();
}

}  // namespace mulberry
