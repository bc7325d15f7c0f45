#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "libbase/base.h"

namespace mulberry {

/// Parses the text of a value and stores it. Returns a description of the allowed values if the
/// text is invalid, else an empty string.
using ValueParser = std::function<std::string(const std::string& text)>;

/// A key that an INI file may contain.
struct IniKey {
  std::string section;
  std::string name;
  bool required = false;
  ValueParser parse_value;
};

/// Parsers for common types. `target` must outlive the parser and is written only if the text is
/// valid. Thread safety: as the target.
ValueParser IntegerParser(std::uint64_t min, std::uint64_t max, const char* unit,
                          const std::function<void(std::uint64_t)>& store);

template <class Number>
ValueParser CountParser(std::uint64_t min, std::uint64_t max, const char* unit, Number* target) {
  return IntegerParser(min, max, unit,
                       [target](std::uint64_t number) { *target = static_cast<Number>(number); });
}

ValueParser MillisecondsParser(std::uint64_t min, std::uint64_t max, Duration* target);
ValueParser PortParser(std::uint16_t* target);
/// A decimal number from `min` to `max`.
ValueParser DecimalParser(double min, double max, const char* unit, double* target);
ValueParser BooleanParser(bool* target);
ValueParser IpAddressParser(std::string* target);
ValueParser AddressParser(std::string* target);  ///< "IPv4:port".
ValueParser LogLevelParser(std::string* target);
/// A name that satisfies IsItemName.
ValueParser ItemNameTextParser(const std::function<void(const std::string&)>& store);

template <class Name>
ValueParser ItemNameParser(Name* target) {
  return ItemNameTextParser([target](const std::string& text) { *target = Name(text); });
}

/// Parses settings text with libinih and collects all errors. Not thread safe.
class IniParser {
 public:
  IniParser(const std::string& text, std::string file, std::vector<IniKey> keys);

  /// Parses all lines and stores the values in the targets of the keys. Call once.
  void Parse();

  /// Adds an error at the line of a key. If the file does not set the key, the error shows its
  /// default value.
  void AddErrorAt(const std::string& section, const std::string& name, const std::string& error,
                  std::int64_t default_value = 0);

  /// Returns all errors, one per line: file, line, section, key, value, allowed range and unit.
  Result<void> Finish();

 private:
  struct ParsedValue {
    int line = 0;
    std::string value;
  };

  static char* NextLine(char* buffer, int size, void* user);
  static int OnValue(void* user, const char* section, const char* name, const char* value);
  /// Determines whether libinih must find a value in the current line, and checks section names.
  void CheckLineForm(const std::string& line);
  /// Adds an error if libinih found no value in a line that must contain one.
  void CheckValueFound();
  bool IsSection(const std::string& section) const;
  void HandleValue(const std::string& section, const std::string& name, const std::string& value);
  void CheckRequired();
  /// Formats a setting for an error message. The value of a secret is not shown.
  static std::string Describe(const std::string& section, const std::string& name,
                              const std::string& value);
  void AddError(int line, const std::string& subject, const std::string& error);

  std::istringstream stream_;
  std::string file_;
  std::vector<IniKey> keys_;
  int line_ = 0;
  bool expects_value_ = false;
  std::map<std::pair<std::string, std::string>, ParsedValue> parsed_values_;
  std::vector<std::pair<int, std::string>> errors_;
};

}  // namespace mulberry
