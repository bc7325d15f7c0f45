#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mulberry::gateway {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// One HTTP/1.1 message, whole. Header names are as received.
struct HttpMessage {
  std::string method;  ///< Of a request.
  std::string target;  ///< Of a request.
  int status = 0;      ///< Of an answer.
  std::string reason;  ///< Of an answer.
  HeaderList headers;
  std::string body;
  bool keep_alive = true;
  /// True when the end of the body was the end of the connection.
  bool ends_with_connection = false;
};

/// Returns the value of the first header of this name (case does not matter), null when absent.
const std::string* FindHeader(const HeaderList& headers, std::string_view name);

/// True for headers that concern one connection only, those that `connection` names included.
bool IsConnectionHeader(std::string_view name, std::string_view connection);

/// Appends the header line "name: value".
void AppendHeader(std::string& out, std::string_view name, std::string_view value);

}  // namespace mulberry::gateway
