#include "libplacement/spill_policy.h"

#include <algorithm>
#include <cmath>

namespace mulberry::placement {
namespace {

/// Gain at which requests start to leave, and below which they stop. Expected times of equal
/// servers differ by several milliseconds.
constexpr Duration kStartGain = std::chrono::milliseconds(10);
constexpr Duration kStopGain = Duration::zero();
/// For how long the gain has to last: two reports within the data centre, three between them.
constexpr Duration kStartTime = std::chrono::milliseconds(50);
constexpr Duration kStopTime = std::chrono::milliseconds(300);
/// Interval at which the spare capacity is divided anew; that of load reports between data centres.
constexpr Duration kGrantInterval = std::chrono::milliseconds(100);
/// Older load reports tell nothing about spare capacity. Younger ones count less with their age.
constexpr Duration kNewsLifetime = std::chrono::milliseconds(400);
/// Part of the requests in flight that is kept while the servers there have too many.
constexpr double kBackOff = 0.5;
constexpr double kBytesPerMib = 1024 * 1024;

}  // namespace

Duration SpillPolicy::CostOf(double bytes) const {
  const double price_us = bytes / kBytesPerMib * settings_.price_ms_per_mib * 1000;
  return 2 * settings_.one_way + Duration(std::llround(price_us));
}

bool SpillPolicy::Allows(const SpillInputs& inputs, TimePoint now) {
  const bool must_leave = inputs.here == Duration::max();
  const Duration gain = must_leave ? Duration::max() : inputs.here - inputs.there;
  UpdateActive(must_leave ? gain : gain - CostOf(0), now);
  if (must_leave) active_ = true;
  if (!active_) return false;
  UpdateAllowance(inputs, now);
  return gain > CostOf(inputs.bytes) && inputs.in_flight < allowance_;
}

void SpillPolicy::UpdateActive(Duration gain, TimePoint now) {
  const bool changes = active_ ? gain < kStopGain : gain > kStartGain;
  if (!changes) {
    changing_since_ = TimePoint::max();
    return;
  }
  changing_since_ = std::min(changing_since_, now);
  if (now - changing_since_ < (active_ ? kStopTime : kStartTime)) return;
  active_ = !active_;
  changing_since_ = TimePoint::max();
  if (active_) allowance_ = 0;
}

void SpillPolicy::UpdateAllowance(const SpillInputs& inputs, TimePoint now) {
  if (now - granted_at_ < kGrantInterval) return;
  granted_at_ = now;
  if (inputs.spare < 0) {
    allowance_ = static_cast<std::uint32_t>(inputs.in_flight * kBackOff);
    return;
  }
  if (inputs.news_age >= kNewsLifetime) {
    // A single request, whose answer brings a load report.
    allowance_ = 1;
    return;
  }
  const double age = std::chrono::duration<double>(inputs.news_age) / kNewsLifetime;
  const double part = inputs.spare * std::clamp(1 - age, 0.0, 1.0) / std::max(1U, inputs.senders);
  credit_ = std::min(credit_ + part, part + 1);
  const double granted = std::floor(credit_);
  credit_ -= granted;
  allowance_ = inputs.in_flight + static_cast<std::uint32_t>(granted);
}

}  // namespace mulberry::placement
