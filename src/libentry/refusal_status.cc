#include "libentry/refusal_status.h"

#include <algorithm>
#include <array>

namespace mulberry {
namespace {

/// Refusal reasons caused by load: a lower request rate helps.
constexpr std::array<std::string_view, 5> kLoadReasons = {
    "queue_full", "deadline_unreachable", "shed_for_other_class", "retry_budget_spent",
    "too_many_requests"};

}  // namespace

int RefusalStatus(std::string_view reason) {
  const bool load =
      std::find(kLoadReasons.begin(), kLoadReasons.end(), reason) != kLoadReasons.end();
  return load ? kStatusTooManyRequests : kStatusUnavailable;
}

}  // namespace mulberry
