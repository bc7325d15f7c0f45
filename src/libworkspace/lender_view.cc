#include "libworkspace/lender_view.h"

#include <algorithm>

namespace mulberry::workspace {
namespace {

/// Pause after an answer with fewer tokens than asked for. It bounds the queries of a workspace
/// over its cap to 20 per second, host and lender.
constexpr Duration kPauseAfterRefusal = std::chrono::milliseconds(50);
/// Pause after the answer that a workspace is not known. A new configuration reaches the hosts some
/// milliseconds to some hundred milliseconds apart, and requests wait some tens of milliseconds.
constexpr Duration kPauseAfterUnknown = std::chrono::milliseconds(10);

}  // namespace

void LenderView::SetLimits(const BucketLimits& limits) {
  if (limits.capacity > limits_.capacity) known_ = false;
  limits_ = limits;
}

double LenderView::Content(TimePoint now) const {
  if (!known_) return limits_.capacity;
  const double added = limits_.rate_per_s * std::chrono::duration<double>(now - left_at_).count();
  return std::min(limits_.capacity, left_ + added);
}

bool LenderView::CanAsk(TimePoint now) const {
  return asked_tokens_ == 0 && now >= next_query_at_ && Content(now) >= 1;
}

bool LenderView::MayGrant(TimePoint now) const {
  return asked_tokens_ > 0 || lacks_workspace_ || CanAsk(now);
}

Duration LenderView::TimeUntilToken(TimePoint now) const {
  const double missing = 1 - Content(now);
  Duration wait = Duration::zero();
  if (missing > 0) {
    if (limits_.rate_per_s <= 0 || limits_.capacity < 1) return Duration::max();
    wait = std::chrono::ceil<Duration>(std::chrono::duration<double>(missing / limits_.rate_per_s));
  }
  return std::max(wait, next_query_at_ - now);
}

void LenderView::OnAsked(std::uint32_t tokens, TimePoint now) {
  asked_tokens_ = last_asked_tokens_ = tokens;
  next_query_at_ = now;
}

void LenderView::OnAnswer(std::uint32_t granted, double left, TimePoint now) {
  if (granted < last_asked_tokens_) next_query_at_ = now + kPauseAfterRefusal;
  asked_tokens_ = 0;
  known_ = true;
  lacks_workspace_ = false;
  left_ = left;
  left_at_ = now;
}

void LenderView::OnUnknown(TimePoint now) {
  next_query_at_ = now + kPauseAfterUnknown;
  lacks_workspace_ = true;
  asked_tokens_ = 0;
}

}  // namespace mulberry::workspace
