#include "libplacement/silence_tracker.h"

#include <algorithm>

namespace mulberry::placement {
namespace {

/// Answers to later requests that make an unanswered one silent; one or two can overtake a slow
/// request through the other slots by chance.
constexpr std::uint32_t kMinOvertaken = 3;
/// A silent request is at least this many times as old as usual; machines are up to five times
/// slower than usual for a time.
constexpr int kMinAgeFactor = 6;
/// Lower bound of that age, for services that answer within milliseconds.
constexpr Duration kMinAge = std::chrono::milliseconds(250);
/// Reports that arrive within this time after a request was sent tell how full the server was then;
/// older load reports are not used either.
constexpr Duration kReportTime = std::chrono::milliseconds(400);

}  // namespace

bool SilenceTracker::OnEnd(TimePoint sent, bool answered) {
  const auto found = std::find_if(pending_.begin(), pending_.end(),
                                  [&](const Pending& pending) { return pending.sent == sent; });
  if (found == pending_.end()) return false;
  const bool was_taken = found->taken;
  pending_.erase(found);
  if (!answered) return false;
  for (Pending& pending : pending_) {
    if (pending.sent < sent) ++pending.overtaken;
  }
  return was_taken;
}

bool SilenceTracker::IsSilent(const Pending& pending, Duration usual_time, TimePoint now) {
  return pending.overtaken >= kMinOvertaken &&
         now - pending.sent >= std::max(kMinAge, usual_time * kMinAgeFactor);
}

void SilenceTracker::OnReport(double held, TimePoint now) {
  for (Pending& pending : pending_) {
    if (now - pending.sent <= kReportTime) pending.held = std::max(pending.held, held);
  }
}

bool SilenceTracker::IsSilent(TimePoint sent, Duration usual_time, TimePoint now) const {
  const auto found = std::find_if(pending_.begin(), pending_.end(),
                                  [&](const Pending& pending) { return pending.sent == sent; });
  return found != pending_.end() && IsSilent(*found, usual_time, now);
}

std::vector<double> SilenceTracker::TakeSilent(Duration usual_time, TimePoint now) {
  std::vector<double> silent;
  for (Pending& pending : pending_) {
    if (pending.taken || !IsSilent(pending, usual_time, now)) continue;
    pending.taken = true;
    silent.push_back(pending.held);
  }
  return silent;
}

std::uint32_t SilenceTracker::SilentCount(Duration usual_time, TimePoint now) const {
  return static_cast<std::uint32_t>(
      std::count_if(pending_.begin(), pending_.end(),
                    [&](const Pending& pending) { return IsSilent(pending, usual_time, now); }));
}

}  // namespace mulberry::placement
