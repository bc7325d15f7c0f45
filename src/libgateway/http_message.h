#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "libbase/base.h"
#include "libgateway/message_body.h"

namespace mulberry::gateway {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// One complete HTTP/1.1 message. Header names are kept as received.
struct HttpMessage {
  std::string method;  ///< Requests only.
  std::string target;  ///< Requests only.
  int status = 0;      ///< Responses only.
  std::string reason;  ///< Responses only.
  HeaderList headers;
  MessageBody body;
  /// Memory reserved for the rest of the message; empty without a budget.
  MemoryReservation head_memory;
  bool keep_alive = true;
  /// True when the body ended with the connection.
  bool ends_with_connection = false;
};

/// Returns the value of the first header with this name (ignoring case), null when absent.
const std::string* FindHeader(const HeaderList& headers, std::string_view name);

/// True for hop-by-hop headers, including those listed in `connection`, the value of the Connection
/// header.
bool IsConnectionHeader(std::string_view name, std::string_view connection);

/// Parses the seconds, with or without a fraction, of a Retry-After header. Empty for a date, a
/// negative number or anything else.
std::optional<Duration> ParseRetryAfter(std::string_view value);

/// Appends the header line "name: value".
void AppendHeader(std::string& out, std::string_view name, std::string_view value);

}  // namespace mulberry::gateway
