#include "libgateway/http_message.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

#include "libbase/base.h"

namespace mulberry::gateway {
namespace {

constexpr std::array<std::string_view, 9> kConnectionHeaders = {
    "connection",        "keep-alive", "proxy-authenticate", "proxy-authorization", "te", "trailer",
    "transfer-encoding", "upgrade",    "proxy-connection"};

}  // namespace

const std::string* FindHeader(const HeaderList& headers, std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (EqualsIgnoreCase(key, name)) return &value;
  }
  return nullptr;
}

std::optional<Duration> ParseRetryAfter(std::string_view value) {
  constexpr double kMaxSeconds = 1e9;  // More does not fit into a time point.
  double seconds = 0;
  const char* end = value.data() + value.size();
  const auto parsed = std::from_chars(value.data(), end, seconds, std::chars_format::fixed);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  if (!std::isfinite(seconds) || seconds < 0) return std::nullopt;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(seconds, kMaxSeconds)));
}

bool IsConnectionHeader(std::string_view name, std::string_view connection) {
  const bool is_fixed =
      std::any_of(kConnectionHeaders.begin(), kConnectionHeaders.end(),
                  [&](std::string_view fixed) { return EqualsIgnoreCase(fixed, name); });
  if (is_fixed || connection.empty()) return is_fixed;
  for (const std::string_view named : Split(connection, ',')) {
    if (EqualsIgnoreCase(Trim(named), name)) return true;
  }
  return false;
}

void AppendHeader(std::string& out, std::string_view name, std::string_view value) {
  out.append(name).append(": ").append(value).append("\r\n");
}

}  // namespace mulberry::gateway
