#include "libbase/http_syntax.h"

#include <algorithm>

#include "libbase/text.h"

namespace mulberry {
namespace {

constexpr int kMinStatus = 100;
constexpr int kMinFinalStatus = 200;
constexpr int kMaxStatus = 599;
constexpr int kStatusNoContent = 204;
constexpr int kStatusSwitchingProtocols = 101;

bool IsDigit(char c) { return c >= '0' && c <= '9'; }

bool IsTokenCharacter(char c) {
  constexpr std::string_view kPunctuation = "!#$%&'*+-.^_`|~";
  const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  return letter || IsDigit(c) || kPunctuation.find(c) != std::string_view::npos;
}

bool IsControlCharacter(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return (byte < 0x20 && c != '\t') || byte == 0x7f;
}

}  // namespace

bool IsFieldName(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), IsTokenCharacter);
}

bool IsFieldValue(std::string_view text) {
  return std::none_of(text.begin(), text.end(), IsControlCharacter);
}

std::optional<int> ParseStatusLine(std::string_view line) {
  constexpr std::string_view kVersion = "HTTP/1.";
  constexpr std::size_t kStatusAt = kVersion.size() + 2;
  constexpr std::size_t kStatusEnd = kStatusAt + 3;
  if (!line.starts_with(kVersion) || line.size() < kStatusEnd) return std::nullopt;
  if (!IsDigit(line[kVersion.size()]) || line[kStatusAt - 1] != ' ') return std::nullopt;
  const std::string_view digits = line.substr(kStatusAt, kStatusEnd - kStatusAt);
  int status = 0;
  if (!std::all_of(digits.begin(), digits.end(), IsDigit) || !ParseNumber(digits, &status)) {
    return std::nullopt;
  }
  if (line.size() > kStatusEnd && line[kStatusEnd] != ' ') return std::nullopt;
  if (!IsFieldValue(line.substr(kStatusEnd))) return std::nullopt;
  if (!IsInterimStatus(status) && !IsFinalStatus(status)) return std::nullopt;
  if (status == kStatusSwitchingProtocols) return std::nullopt;
  return status;
}

bool IsInterimStatus(int status) { return status >= kMinStatus && status < kMinFinalStatus; }

bool IsFinalStatus(int status) { return status >= kMinFinalStatus && status <= kMaxStatus; }

bool MustNotStateLength(int status) {
  return IsInterimStatus(status) || status == kStatusNoContent;
}

}  // namespace mulberry
