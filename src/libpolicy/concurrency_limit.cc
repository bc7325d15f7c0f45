#include "libpolicy/concurrency_limit.h"

#include <algorithm>

namespace mulberry {
namespace {

// The recovery ramp doubles the limit in each step. A step takes at least
// cold_step / kRecoveryStepDivisor and needs kRecoveryAnswersPerSlot answers in time per slot of
// the current limit.
constexpr int kRecoveryStepDivisor = 5;
constexpr std::uint32_t kRecoveryAnswersPerSlot = 2;
// Late answers in a row that show an overload. A single one is common where the work differs from
// request to request.
constexpr std::uint32_t kLateAnswers = 2;

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(const DispatcherOptions& options, std::uint32_t slots,
                                   bool announced_cold, TimePoint now)
    : options_(&options),
      slots_(std::max(1U, slots)),
      limit_(std::min(slots_, ColdSlots())),
      step_started_at_(now) {
  if (announced_cold) MarkCold(now);
}

/// Returns the limit of a server that may be cold while requests of another owner may run on it
/// (share below kFull). Under kWarm the former owner's requests have ended. The cold time of the
/// server ends after `cold_hold`.
std::uint32_t ConcurrencyLimit::SharedSlots(LimitShare share, TimePoint now) const {
  const bool cold_time_over = share == LimitShare::kWarm && now >= known_cold_until_;
  if (known_cold_ && !cold_time_over) return 0;
  return std::min(1U, options_->shared_unverified_slots);
}

std::uint32_t ConcurrencyLimit::UsableSlots(LimitShare share, TimePoint now) const {
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
  limit_ = ConfirmedPhase() == Phase::kWarm ? slots_ : std::min(limit_, slots_);
}

void ConcurrencyLimit::SetKnownCold(TimePoint until) {
  known_cold_ = true;
  known_cold_until_ = until;
  hold_until_ = until;
  in_cold_time_ = true;
}

void ConcurrencyLimit::MarkCold(TimePoint now) {
  SetKnownCold(now + options_->cold_hold);
  StartRamp(Phase::kCold, ColdSlots(), now);
}

ServerHandover ConcurrencyLimit::Handover(const ServerName& name) const {
  ServerHandover handover;
  handover.name = name;
  handover.start = start_;
  handover.warm = ConfirmedPhase() == Phase::kWarm;
  if (handover.warm) return handover;
  // The limit of the recovery ramp is not a cold limit.
  handover.limit = ConfirmedPhase() == Phase::kCold ? limit_ : ColdSlots();
  handover.cold_until = hold_until_.value_or(TimePoint());
  return handover;
}

void ConcurrencyLimit::ApplyHandover(const ServerHandover& handover, TimePoint now) {
  if (has_start_history_ || phase_ != Phase::kUnverified || handover.start == StartId()) return;
  start_ = handover.start;
  has_start_history_ = true;
  confirmed_phase_ = handover.warm ? Phase::kWarm : Phase::kCold;
  if (handover.warm) {
    limit_ = slots_;
    return;
  }
  limit_ = std::clamp(handover.limit, 1U, slots_);
  SetKnownCold(std::min(handover.cold_until, now + options_->cold_hold));
}

void ConcurrencyLimit::MarkUnverified(TimePoint now) {
  if (phase_ == Phase::kCold) return MarkCold(now);
  if (phase_ != Phase::kUnverified) confirmed_phase_ = phase_;
  phase_ = Phase::kUnverified;
  ++epoch_;
}

void ConcurrencyLimit::StartRecovery(TimePoint now) {
  if (phase_ == Phase::kWarm || phase_ == Phase::kRecovering) {
    StartRamp(Phase::kRecovering, 1, now);
  }
}

void ConcurrencyLimit::OnAnswer(StartId start, std::uint32_t epoch, CapacitySignal signal,
                                TimePoint now) {
  const bool current = epoch == epoch_;
  if (start != StartId() && start != start_ && !ExpectsFirstStartId()) {
    if (current || !IsFormerStart(start)) HandleRestart(start, now);
    return;
  }
  if (!current) {
    // The attempt is too old to verify the server. Its start id is kept, so that a later answer
    // with another id reveals a restart.
    if (start_ == StartId() && phase_ == Phase::kUnverified) start_ = start;
    return;
  }
  if (phase_ == Phase::kUnverified) ConfirmStart(start, now);
  if (start_ == StartId()) start_ = start;
  has_start_history_ = true;
  const bool late = signal == CapacitySignal::kLate;
  late_in_a_row_ = late ? late_in_a_row_ + 1 : 0;
  const bool overload = signal == CapacitySignal::kOverload || late_in_a_row_ >= kLateAnswers;
  if (overload) return HalveLimit(now);
  if (signal != CapacitySignal::kInTime || !Ramping()) return;
  ++answers_in_time_;
  Advance(now);
}

void ConcurrencyLimit::OnTimeout(std::uint32_t epoch, TimePoint now) {
  if (epoch == epoch_ && phase_ == Phase::kCold) HalveLimit(now);
}

void ConcurrencyLimit::OnProbe(StartId start, bool reported_cold, TimePoint now) {
  const bool restarted = start_ != StartId() && start != StartId() && start != start_;
  if (restarted && !IsFormerStart(start)) return HandleRestart(start, now);
  if (reported_cold && phase_ != Phase::kCold && !IsFormerStart(start)) MarkCold(now);
}

void ConcurrencyLimit::Advance(TimePoint now) {
  if (now >= known_cold_until_) in_cold_time_ = false;
  if (now < NextRampStep()) return;
  limit_ = std::min(slots_, phase_ == Phase::kCold ? limit_ + 1 : limit_ * 2);
  answers_in_time_ = 0;
  step_started_at_ = now;
  if (limit_ < slots_) return;
  phase_ = Phase::kWarm;
  known_cold_ = false;
}

TimePoint ConcurrencyLimit::NextStep() const {
  const TimePoint ramp = NextRampStep();
  return in_cold_time_ ? std::min(ramp, known_cold_until_) : ramp;
}

TimePoint ConcurrencyLimit::NextRampStep() const {
  if (!Ramping() || answers_in_time_ < RequiredAnswers()) return TimePoint::max();
  const TimePoint step_end = step_started_at_ + StepDuration();
  return phase_ == Phase::kCold && hold_until_ ? std::max(step_end, *hold_until_) : step_end;
}

std::uint32_t ConcurrencyLimit::RequiredAnswers() const {
  return phase_ == Phase::kCold ? options_->cold_answers_per_slot
                                : kRecoveryAnswersPerSlot * limit_;
}

Duration ConcurrencyLimit::StepDuration() const {
  if (phase_ != Phase::kCold) return options_->cold_step / kRecoveryStepDivisor;
  return options_->cold_step;
}

/// True when no start id is known yet, so that the next one does not indicate a restart.
bool ConcurrencyLimit::ExpectsFirstStartId() const {
  return start_ == StartId() && (phase_ == Phase::kCold || !has_start_history_);
}

void ConcurrencyLimit::HandleRestart(StartId start, TimePoint now) {
  former_starts_[next_former_start_] = start_;
  next_former_start_ = (next_former_start_ + 1) % former_starts_.size();
  start_ = start;
  MarkCold(now);
}

/// Ends the unverified phase on an answer to an attempt that began in it.
void ConcurrencyLimit::ConfirmStart(StartId start, TimePoint now) {
  if (start == StartId() && has_start_history_) return MarkCold(now);
  phase_ = confirmed_phase_;
  // A server that nothing was known of may have started a moment ago.
  if (phase_ == Phase::kCold && !hold_until_) hold_until_ = now + options_->cold_hold;
  answers_in_time_ = 0;
  step_started_at_ = now;
  ++epoch_;
}

/// Halves the limit and continues the ramp from there.
void ConcurrencyLimit::HalveLimit(TimePoint now) {
  const Phase phase = phase_ == Phase::kWarm ? Phase::kRecovering : phase_;
  StartRamp(phase, std::max(1U, limit_ / 2), now);
}

void ConcurrencyLimit::StartRamp(Phase phase, std::uint32_t limit, TimePoint now) {
  phase_ = phase;
  limit_ = std::min(limit, slots_);
  answers_in_time_ = 0;
  late_in_a_row_ = 0;
  step_started_at_ = now;
  has_start_history_ = has_start_history_ || phase == Phase::kCold;
  ++epoch_;
}

bool ConcurrencyLimit::IsFormerStart(StartId start) const {
  return std::find(former_starts_.begin(), former_starts_.end(), start) != former_starts_.end();
}

}  // namespace mulberry
