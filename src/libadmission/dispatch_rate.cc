#include "libadmission/dispatch_rate.h"

#include <algorithm>

namespace mulberry::admission {
namespace {

/// Window over which the dispatch rate is measured.
constexpr Duration kRateWindow = std::chrono::milliseconds(500);

}  // namespace

void DispatchRate::OnDispatch(TimePoint now) {
  dispatches_.push_back(now);
  while (dispatches_.front() < now - kRateWindow) dispatches_.pop_front();
}

double DispatchRate::PerSecond(double min_rate, TimePoint now) const {
  const auto recent = std::count_if(dispatches_.begin(), dispatches_.end(),
                                    [&](TimePoint at) { return at >= now - kRateWindow; });
  const double window = std::chrono::duration<double>(kRateWindow).count();
  return std::max(min_rate, static_cast<double>(recent) / window);
}

}  // namespace mulberry::admission
