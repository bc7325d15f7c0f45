#pragma once

#include <optional>
#include <string>

#include "libgateway/http_message.h"
#include "libgateway/platform_adapter.h"
#include "libgateway/types.h"

namespace mulberry::gateway {

/// Returns the request that a server gets for a caller's request: unchanged but for the headers of
/// the caller's connection, the time that is left, and the server that is meant. Thread safety: any
/// thread.
std::string WriteServerRequest(const HttpMessage& request, const HeaderNames& names,
                               const ServerName& target, Duration left);

/// Returns the head (status line and header lines) that passes a server's answer on. `is_head`: it
/// answers a HEAD request, whose stated length is the caller's to know. Thread safety: any thread.
std::string WriteRelayedResponseHead(const HttpMessage& message, const HeaderNames& names,
                                     bool is_head);

/// Returns the head of an answer that this host gives itself. Thread safety: any thread.
std::string WriteLocalResponseHead(int status, std::optional<Duration> retry_after,
                                   const std::string& request_id, const HeaderNames& names);

}  // namespace mulberry::gateway
