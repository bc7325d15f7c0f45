#pragma once

#include <string_view>

namespace mulberry {

/// HTTP status that asks the caller to reduce its request rate.
inline constexpr int kStatusTooManyRequests = 429;
/// HTTP status of a request that was not run and may be retried.
inline constexpr int kStatusUnavailable = 503;
/// HTTP status of a request that may have run.
inline constexpr int kStatusUnknownOutcome = 504;

/// Returns the HTTP status for a request that was refused and not run.
int RefusalStatus(std::string_view reason);

}  // namespace mulberry
