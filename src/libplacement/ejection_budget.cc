#include "libplacement/ejection_budget.h"

namespace mulberry::placement {
namespace {

/// Fraction of a service's servers that ejection may take: a third, with rounding.
constexpr double kMaxEjectedFraction = 0.34;

}  // namespace

bool EjectionBudget::HasRoom() const {
  return static_cast<double>(ejected_) + 1 <= kMaxEjectedFraction * static_cast<double>(servers_);
}

}  // namespace mulberry::placement
