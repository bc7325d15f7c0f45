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

/// Takes a value's text; returns what the value must be, empty when it was taken.
using ValueParser = std::function<std::string(const std::string& text)>;

/// One key that an INI file may hold.
struct IniKey {
  std::string section;
  std::string name;
  bool required = false;
  ValueParser parse_value;
};

/// Takers of the usual kinds. `target` must outlive the taker; it is written when the text is in
/// range. Thread safety: as the target.
ValueParser IntegerParser(std::uint64_t least, std::uint64_t most, const char* unit,
                          const std::function<void(std::uint64_t)>& store);

template <class Number>
ValueParser CountParser(std::uint64_t least, std::uint64_t most, const char* unit, Number* target) {
  return IntegerParser(least, most, unit,
                       [target](std::uint64_t number) { *target = static_cast<Number>(number); });
}

ValueParser MillisecondsParser(std::uint64_t least, std::uint64_t most, Duration* target);
ValueParser PortParser(std::uint16_t* target);
/// A number from `least` to `most`, with a fraction.
ValueParser DecimalParser(double least, double most, const char* unit, double* target);
ValueParser BooleanParser(bool* target);
ValueParser IpAddressParser(std::string* target);
ValueParser AddressParser(std::string* target);  ///< "IPv4:port".
ValueParser LogLevelParser(std::string* target);
/// A name as items of the configuration have, see IsItemName.
ValueParser ItemNameTextParser(const std::function<void(const std::string&)>& store);

template <class Name>
ValueParser ItemNameParser(Name* target) {
  return ItemNameTextParser([target](const std::string& text) { *target = Name(text); });
}

/// Reads the lines of a settings text through libinih and collects every fault. Not thread safe.
class IniParser {
 public:
  IniParser(const std::string& text, std::string file, std::vector<IniKey> keys);

  /// Reads all lines; values go to the keys' targets. Call once.
  void Parse();

  /// Adds a fault at the line of a key, with its default where the file does not give it.
  void AddErrorAt(const std::string& section, const std::string& name, const std::string& fault,
                  std::int64_t default_value = 0);

  /// Returns every fault, one a line: file, line, section, key, value, allowed range and unit.
  Result<void> Finish();

 private:
  struct Seen {
    int line = 0;
    std::string value;
  };

  static char* NextLine(char* buffer, int size, void* user);
  static int OnValue(void* user, const char* section, const char* name, const char* value);
  /// Notes whether libinih must find a value in the current line, and checks section names.
  void Classify(const std::string& line);
  /// Adds a fault when libinih found no value in a line that should hold one.
  void CheckLineTaken();
  bool IsSection(const std::string& section) const;
  void Take(const std::string& section, const std::string& name, const std::string& value);
  void CheckRequired();
  /// Describes a setting; a secret's value is not shown.
  static std::string Describe(const std::string& section, const std::string& name,
                              const std::string& value);
  void AddFault(int line, const std::string& subject, const std::string& fault);

  std::istringstream stream_;
  std::string file_;
  std::vector<IniKey> keys_;
  int line_ = 0;
  bool expects_value_ = false;
  std::map<std::pair<std::string, std::string>, Seen> seen_;
  std::vector<std::pair<int, std::string>> faults_;
};

}  // namespace mulberry
