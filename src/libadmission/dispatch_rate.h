#pragma once

#include <deque>

#include "libbase/base.h"

namespace mulberry::admission {

/// Rate at which a queue recently passed requests to servers. Not thread safe.
class DispatchRate {
 public:
  void OnDispatch(TimePoint now);
  /// Returns dispatches per second, at least `min_rate`, which also serves as the value while there
  /// are few samples.
  double PerSecond(double min_rate, TimePoint now) const;

 private:
  std::deque<TimePoint> dispatches_;
};

}  // namespace mulberry::admission
