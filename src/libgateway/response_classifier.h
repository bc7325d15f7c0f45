#pragma once

#include <string>

#include "libgateway/http_client_connection.h"
#include "libgateway/platform_adapter.h"
#include "libgateway/retry_policy.h"

namespace mulberry::gateway {

/// Distinguishes a server's own response to a request from responses that only look like one. An
/// empty `request_id` is not compared. Thread safety: any thread.
AttemptOutcome ClassifyResponse(const ExchangeResult& answer, const std::string& request_id,
                                const PlatformAdapter& adapter);

}  // namespace mulberry::gateway
