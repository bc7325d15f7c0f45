#include "libbase/text.h"

#include <algorithm>

namespace mulberry {
namespace {

char ToLowerAscii(char character) {
  return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a')
                                              : character;
}

}  // namespace

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(), ToLowerAscii);
  return lower;
}

bool EqualsIgnoreCase(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](char a, char b) { return ToLowerAscii(a) == ToLowerAscii(b); });
}

std::string_view Trim(std::string_view text) {
  const auto first = text.find_first_not_of(" \t\r\n");
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

std::vector<std::string_view> Split(std::string_view text, char separator) {
  std::vector<std::string_view> parts;
  while (true) {
    const std::size_t separator_position = text.find(separator);
    parts.push_back(text.substr(0, separator_position));
    if (separator_position == std::string_view::npos) return parts;
    text.remove_prefix(separator_position + 1);
  }
}

}  // namespace mulberry
