#include "libgateway/http_writer.h"

#include <fmt/format.h>

#include <algorithm>
#include <string_view>

namespace mulberry::gateway {
namespace {

/// Space for the usual headers, so that building a message does not reallocate.
constexpr std::size_t kTypicalHeadBytes = 512;
constexpr int kStatusUnauthorized = 401;

const char* ReasonPhrase(int status) {
  switch (status) {
    case 400:
      return "Bad Request";
    case kStatusUnauthorized:
      return "Unauthorized";
    case 404:
      return "Not Found";
    case 429:
      return "Too Many Requests";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Bad Gateway";
  }
}

/// Returns the value of the Connection header, a list of header names.
std::string_view ConnectionHeaderNames(const HttpMessage& message) {
  const std::string* connection = FindHeader(message.headers, "connection");
  return connection == nullptr ? std::string_view() : *connection;
}

}  // namespace

std::string WriteServerRequestHead(const HttpMessage& request, std::size_t body_bytes,
                                   const HeaderNames& names, const ServerName& target,
                                   Duration time_left, const WorkspaceHeaders& workspace) {
  const std::string_view connection_headers = ConnectionHeaderNames(request);
  std::string bytes;
  bytes.reserve(kTypicalHeadBytes);
  bytes.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
  for (const auto& [name, value] : request.headers) {
    if (IsConnectionHeader(name, connection_headers) || EqualsIgnoreCase(name, "content-length") ||
        EqualsIgnoreCase(name, "expect") || EqualsIgnoreCase(name, names.time_left) ||
        EqualsIgnoreCase(name, names.target_server)) {
      continue;
    }
    if (workspace.in_use &&
        (EqualsIgnoreCase(name, "authorization") || EqualsIgnoreCase(name, names.workspace))) {
      continue;
    }
    AppendHeader(bytes, name, value);
  }
  if (!workspace.name.empty()) AppendHeader(bytes, names.workspace, workspace.name.str());
  AppendHeader(bytes, names.time_left,
               std::to_string(std::max<std::int64_t>(1, ToMilliseconds(time_left))));
  AppendHeader(bytes, names.target_server, target.str());
  const bool states_length = body_bytes > 0 ||
                             FindHeader(request.headers, "content-length") != nullptr ||
                             FindHeader(request.headers, "transfer-encoding") != nullptr;
  if (states_length) {
    AppendHeader(bytes, "Content-Length", std::to_string(body_bytes));
  }
  bytes += "\r\n";
  return bytes;
}

std::string WriteRelayedResponseHead(const HttpMessage& message, const HeaderNames& names,
                                     bool is_head) {
  const std::string_view connection_headers = ConnectionHeaderNames(message);
  std::string head = fmt::format("HTTP/1.1 {} {}\r\n", message.status, message.reason);
  head.reserve(kTypicalHeadBytes);
  for (const auto& [name, value] : message.headers) {
    if (IsConnectionHeader(name, connection_headers)) continue;
    if (!is_head && EqualsIgnoreCase(name, "content-length")) continue;
    if (EqualsIgnoreCase(name, names.load)) continue;
    AppendHeader(head, name, value);
  }
  return head;
}

std::string WriteLocalResponseHead(int status, std::optional<Duration> retry_after,
                                   const std::string& request_id, const HeaderNames& names) {
  std::string head = fmt::format("HTTP/1.1 {} {}\r\n", status, ReasonPhrase(status));
  if (retry_after) {
    AppendHeader(head, "Retry-After",
                 fmt::format("{:.3f}", std::chrono::duration<double>(*retry_after).count()));
  }
  if (status == kStatusUnauthorized) AppendHeader(head, "WWW-Authenticate", "Bearer");
  if (!request_id.empty()) AppendHeader(head, names.request_id, request_id);
  return head;
}

}  // namespace mulberry::gateway
