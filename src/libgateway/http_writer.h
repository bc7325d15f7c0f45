#pragma once

#include <optional>
#include <string>

#include "libgateway/http_message.h"
#include "libgateway/platform_adapter.h"
#include "libgateway/types.h"

namespace mulberry::gateway {

/// What a server learns of the caller's workspace.
struct WorkspaceHeaders {
  /// Callers have keys: their credentials, and what they send as the workspace's name, are dropped.
  bool in_use = false;
  /// The caller's workspace; empty on an open route.
  WorkspaceName name;
};

/// Returns the head of the request to send to a server for a caller's request whose body has
/// `body_bytes`. Replaces the remaining time and
/// the target server, and drops the headers of the caller's connection; all else is unchanged but
/// the headers of `workspace`.
/// Thread safety: any thread.
std::string WriteServerRequestHead(const HttpMessage& request, std::size_t body_bytes,
                                   const HeaderNames& names, const ServerName& target,
                                   Duration time_left, const WorkspaceHeaders& workspace = {});

/// Returns the head (status line and headers) for relaying a server's response. `is_head`: the
/// response to a HEAD request, whose Content-Length is kept. Thread safety: any thread.
std::string WriteRelayedResponseHead(const HttpMessage& message, const HeaderNames& names,
                                     bool is_head);

/// Returns the head of a response produced by this host. Thread safety: any thread.
std::string WriteLocalResponseHead(int status, std::optional<Duration> retry_after,
                                   const std::string& request_id, const HeaderNames& names);

}  // namespace mulberry::gateway
