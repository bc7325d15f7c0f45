#pragma once

#include <charconv>
#include <string>
#include <string_view>
#include <vector>

namespace mulberry {

/// Returns the text with A to Z converted to lower case. Any thread may call the functions of this
/// file.
std::string LowerCase(std::string_view text);

/// Compares two texts, ignoring the case of A to Z.
bool EqualsIgnoreCase(std::string_view left, std::string_view right);

/// Removes leading and trailing spaces, tabs and line breaks.
std::string_view Trim(std::string_view text);

/// Splits the text at each separator. Empty parts are kept, so there is always at least one part.
std::vector<std::string_view> Split(std::string_view text, char separator);

/// Parses the whole text as a decimal number. Returns false if the text is not a number or the
/// value is out of range.
template <class Number>
bool ParseNumber(std::string_view text, Number* number) {
  const char* end = text.data() + text.size();
  const auto [parsed_to, error] = std::from_chars(text.data(), end, *number);
  return error == std::errc() && parsed_to == end;
}

}  // namespace mulberry
