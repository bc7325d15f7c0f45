#include "libtransport/http_client.h"
#include "libtransport/http_server.h"

namespace mulberry {

namespace {

template <class Message>
std::string FindHeader(const Message& message, std::string_view name) {
  for (const auto& [key, value] : message.headers) {
    if (key == name) return value;
  }
  return {};
}

int HexDigit(char digit) {
  if (digit >= '0' && digit <= '9') return digit - '0';
  if (digit >= 'a' && digit <= 'f') return digit - 'a' + 10;
  if (digit >= 'A' && digit <= 'F') return digit - 'A' + 10;
  return -1;
}

/// Decodes %XX and '+'; a malformed escape is kept unchanged.
std::string DecodeQueryValue(std::string_view text) {
  std::string decoded;
  decoded.reserve(text.size());
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool escape = text[i] == '%' && i + 2 < text.size();
    const int high = escape ? HexDigit(text[i + 1]) : -1;
    const int low = escape ? HexDigit(text[i + 2]) : -1;
    if (high >= 0 && low >= 0) {
      decoded.push_back(static_cast<char>(high * 16 + low));
      i += 2;
    } else {
      decoded.push_back(text[i] == '+' ? ' ' : text[i]);
    }
  }
  return decoded;
}

}  // namespace

std::string HeaderOf(const HttpAnswer& answer, std::string_view name) {
  return FindHeader(answer, name);
}

std::string HeaderOf(const ServerRequest& request, std::string_view name) {
  return FindHeader(request, name);
}

std::string QueryOf(const ServerRequest& request, std::string_view name) {
  std::string_view remaining = request.query;
  while (!remaining.empty()) {
    const std::string_view pair = remaining.substr(0, remaining.find('&'));
    remaining.remove_prefix(std::min(remaining.size(), pair.size() + 1));
    const std::size_t equals = pair.find('=');
    if (pair.substr(0, equals) != name) continue;
    return equals == std::string_view::npos ? "" : DecodeQueryValue(pair.substr(equals + 1));
  }
  return {};
}

}  // namespace mulberry
