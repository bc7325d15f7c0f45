#include "libbase/text.h"

#include <algorithm>

namespace mulberry {
namespace {

char LowerLetter(char letter) {
  return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

}  // namespace

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(), LowerLetter);
  return lower;
}

bool EqualsIgnoreCase(std::string_view one, std::string_view other) {
  return std::equal(one.begin(), one.end(), other.begin(), other.end(),
                    [](char a, char b) { return LowerLetter(a) == LowerLetter(b); });
}

std::string_view Trim(std::string_view text) {
  const auto first = text.find_first_not_of(" \t\r\n");
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

std::vector<std::string_view> Split(std::string_view text, char separator) {
  std::vector<std::string_view> parts;
  while (true) {
    const std::size_t at = text.find(separator);
    parts.push_back(text.substr(0, at));
    if (at == std::string_view::npos) return parts;
    text.remove_prefix(at + 1);
  }
}

}  // namespace mulberry
