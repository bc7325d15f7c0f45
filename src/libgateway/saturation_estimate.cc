#include "libgateway/saturation_estimate.h"

#include <algorithm>

namespace mulberry::gateway {
namespace {

/// Answers of each kind before the comparison says something.
constexpr std::uint32_t kLeastAnswers = 12;
/// Weight of a new answer; machines of different speed at the moment make single ones vary.
constexpr double kWeight = 1.0 / 32;

}  // namespace

void SaturationEstimate::Mean::Add(double value) {
  ++count;
  const double weight = std::max(kWeight, 1.0 / count);
  time_us += weight * (value - time_us);
}

void SaturationEstimate::OnAnswer(bool near_full, Duration took) {
  (near_full ? near_full_ : others_).Add(static_cast<double>(took.count()));
}

double SaturationEstimate::Factor() const {
  if (near_full_.count < kLeastAnswers || others_.count < kLeastAnswers || others_.time_us <= 0) {
    return 1;
  }
  return std::max(1.0, near_full_.time_us / others_.time_us);
}

}  // namespace mulberry::gateway
