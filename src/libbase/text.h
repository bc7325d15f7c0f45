#pragma once

#include <charconv>
#include <string>
#include <string_view>
#include <vector>

namespace mulberry {

/// Returns the text with the letters A to Z in lower case. Thread safety of all: any thread.
std::string LowerCase(std::string_view text);

/// True when both texts differ at most in the case of A to Z.
bool EqualsIgnoreCase(std::string_view one, std::string_view other);

/// Returns the text without spaces, tabs and line ends around it.
std::string_view Trim(std::string_view text);

/// Returns the parts between the separators, empty ones included; at least one.
std::vector<std::string_view> Split(std::string_view text, char separator);

/// Reads a whole text as a decimal number; false when it is none or out of range.
template <class Number>
bool ParseNumber(std::string_view text, Number* number) {
  const char* end = text.data() + text.size();
  const auto [parsed_to, error] = std::from_chars(text.data(), end, *number);
  return error == std::errc() && parsed_to == end;
}

}  // namespace mulberry
