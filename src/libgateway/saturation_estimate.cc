#include "libgateway/saturation_estimate.h"

#include <algorithm>

namespace mulberry::gateway {
namespace {

/// Samples of each kind needed before they are compared.
constexpr std::uint32_t kMinSamples = 12;
/// Weight of a new sample; small because single samples vary with the current speed of the machine.
constexpr double kMinSampleWeight = 1.0 / 32;

}  // namespace

void SaturationEstimate::Mean::Add(double value) {
  ++count;
  const double weight = std::max(kMinSampleWeight, 1.0 / count);
  time_us += weight * (value - time_us);
}

void SaturationEstimate::OnResponse(bool near_full, Duration took) {
  (near_full ? near_full_ : other_).Add(static_cast<double>(took.count()));
}

double SaturationEstimate::Slowdown() const {
  if (near_full_.count < kMinSamples || other_.count < kMinSamples || other_.time_us <= 0) {
    return 1;
  }
  return std::max(1.0, near_full_.time_us / other_.time_us);
}

}  // namespace mulberry::gateway
