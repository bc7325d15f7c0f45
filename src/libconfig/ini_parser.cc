#include "libconfig/ini_parser.h"

#include <fmt/format.h>
#include <ini.h>

#include <algorithm>

#include "libconfig/item_rules.h"

namespace mulberry {

namespace {

/// Length of a line that libinih reads whole.
constexpr std::size_t kMaxLineBytes = 190;

bool IsIpNumber(const std::string& text) {
  std::istringstream stream(text + ".");
  std::string field;
  int fields = 0;
  while (std::getline(stream, field, '.')) {
    std::uint32_t number = 0;
    if (field.size() > 3 || !ParseNumber(field, &number) || number > 255) return false;
    if (field.size() > 1 && field[0] == '0') return false;
    ++fields;
  }
  return fields == 4;
}

}  // namespace

ValueParser IntegerParser(std::uint64_t least, std::uint64_t most, const char* unit,
                          const std::function<void(std::uint64_t)>& store) {
  return [=](const std::string& text) -> std::string {
    std::uint64_t number = 0;
    if (!ParseNumber(text, &number) || number < least || number > most) {
      return fmt::format("{} to {} ({})", least, most, unit);
    }
    store(number);
    return "";
  };
}

ValueParser MillisecondsParser(std::uint64_t least, std::uint64_t most, Duration* target) {
  return IntegerParser(least, most, "milliseconds", [target](std::uint64_t number) {
    *target = std::chrono::milliseconds(number);
  });
}

ValueParser PortParser(std::uint16_t* target) { return CountParser(1, 65535, "TCP port", target); }

ValueParser DecimalParser(double least, double most, const char* unit, double* target) {
  return [=](const std::string& text) -> std::string {
    double number = 0;
    if (!ParseNumber(text, &number) || !(number >= least && number <= most)) {
      return fmt::format("{:g} to {:g} ({})", least, most, unit);
    }
    *target = number;
    return "";
  };
}

ValueParser BooleanParser(bool* target) {
  return [target](const std::string& text) -> std::string {
    if (text != "true" && text != "false") return "true or false";
    *target = text == "true";
    return "";
  };
}

ValueParser ItemNameTextParser(const std::function<void(const std::string&)>& store) {
  return [=](const std::string& text) -> std::string {
    if (!IsItemName(text)) return "1 to 64 characters of a-z, 0-9 and '-'";
    store(text);
    return "";
  };
}

ValueParser IpAddressParser(std::string* target) {
  return [target](const std::string& text) -> std::string {
    if (!IsIpNumber(text)) return "an IPv4 number such as 10.0.0.1";
    *target = text;
    return "";
  };
}

ValueParser AddressParser(std::string* target) {
  return [target](const std::string& text) -> std::string {
    const std::size_t colon = text.find(':');
    std::uint32_t port = 0;
    if (colon == std::string::npos || !IsIpNumber(text.substr(0, colon)) ||
        !ParseNumber(text.substr(colon + 1), &port) || port == 0 || port > 65535) {
      return "IPv4 number and port such as 10.0.0.1:8080";
    }
    *target = text;
    return "";
  };
}

ValueParser LogLevelParser(std::string* target) {
  return [target](const std::string& text) -> std::string {
    LogLevel level = LogLevel::kInfo;
    if (!ParseLogLevel(text, &level)) return "debug, info, warning or error";
    *target = text;
    return "";
  };
}

IniParser::IniParser(const std::string& text, std::string file, std::vector<IniKey> keys)
    : stream_(text), file_(std::move(file)), keys_(std::move(keys)) {}

void IniParser::Parse() {
  if (ini_parse_stream(&NextLine, this, &OnValue, this) < 0) AddFault(0, "", "could not be read");
  CheckLineTaken();
  CheckRequired();
}

Result<void> IniParser::Finish() {
  if (faults_.empty()) return boost::outcome_v2::success();
  std::stable_sort(faults_.begin(), faults_.end(),
                   [](const auto& a, const auto& b) { return a.first < b.first; });
  std::string message;
  for (const auto& [line, fault] : faults_) message += (message.empty() ? "" : "\n") + fault;
  return Fail(ErrorCode::kInvalidArgument, message);
}

char* IniParser::NextLine(char* buffer, int size, void* user) {
  auto* parser = static_cast<IniParser*>(user);
  parser->CheckLineTaken();
  std::string line;
  if (!std::getline(parser->stream_, line)) return nullptr;
  ++parser->line_;
  if (line.size() > kMaxLineBytes || line.size() + 2 > static_cast<std::size_t>(size)) {
    parser->AddFault(parser->line_, "",
                     fmt::format("line must be {} bytes at most", kMaxLineBytes));
    line.clear();
  }
  if (line.find('\0') != std::string::npos) {
    parser->AddFault(parser->line_, "", "line must not hold a zero byte");
    line.clear();
  }
  parser->Classify(line);
  line += '\n';
  buffer[line.copy(buffer, line.size())] = '\0';
  return buffer;
}

void IniParser::Classify(const std::string& line) {
  const std::size_t first = line.find_first_not_of(" \t\r\xef\xbb\xbf");
  if (first == std::string::npos || line[first] == ';' || line[first] == '#') return;
  expects_value_ = line[first] != '[';
  if (expects_value_) return;
  const std::size_t end = line.find(']', first);
  if (end == std::string::npos) {
    AddFault(line_, "", "must be [section], key = value or a comment");
    return;
  }
  const std::string section = line.substr(first + 1, end - first - 1);
  if (!IsSection(section)) AddFault(line_, "[" + section + "]", "unknown section");
}

void IniParser::CheckLineTaken() {
  if (std::exchange(expects_value_, false)) {
    AddFault(line_, "", "must be [section], key = value or a comment");
  }
}

bool IniParser::IsSection(const std::string& section) const {
  return std::any_of(keys_.begin(), keys_.end(),
                     [&](const IniKey& key) { return key.section == section; });
}

int IniParser::OnValue(void* user, const char* section, const char* name, const char* value) {
  static_cast<IniParser*>(user)->Take(section, name, value);
  return 1;
}

void IniParser::Take(const std::string& section, const std::string& name,
                     const std::string& value) {
  expects_value_ = false;
  if (section.empty()) AddFault(line_, Describe(section, name, value), "must be in a section");
  if (!IsSection(section)) return;
  const auto key = std::find_if(keys_.begin(), keys_.end(), [&](const IniKey& candidate) {
    return candidate.section == section && candidate.name == name;
  });
  if (key == keys_.end()) {
    AddFault(line_, Describe(section, name, value), "unknown key");
    return;
  }
  const auto [first, is_first] = seen_.emplace(std::pair(section, name), Seen{line_, value});
  if (!is_first) {
    AddFault(line_, Describe(section, name, value),
             fmt::format("duplicate of line {}", first->second.line));
    return;
  }
  const std::string wanted = key->parse_value(value);
  if (!wanted.empty()) AddFault(line_, Describe(section, name, value), "must be " + wanted);
}

void IniParser::CheckRequired() {
  for (const IniKey& key : keys_) {
    if (!key.required || seen_.count({key.section, key.name}) != 0) continue;
    AddFault(0, fmt::format("[{}] {}", key.section, key.name), "missing, must be given");
  }
}

std::string IniParser::Describe(const std::string& section, const std::string& name,
                                const std::string& value) {
  const bool secret = name.find("secret") != std::string::npos;
  return fmt::format("[{}] {} = {}", section, name, secret ? "(hidden)" : value);
}

void IniParser::AddFault(int line, const std::string& subject, const std::string& fault) {
  faults_.emplace_back(
      line, fmt::format("{}:{}{}{}: {}", file_, line, subject.empty() ? "" : " ", subject, fault));
}

void IniParser::AddErrorAt(const std::string& section, const std::string& name,
                           const std::string& fault, std::int64_t default_value) {
  const auto seen = seen_.find({section, name});
  const bool given = seen != seen_.end();
  AddFault(given ? seen->second.line : 0,
           Describe(section, name, given ? seen->second.value : std::to_string(default_value)),
           fault);
}

}  // namespace mulberry
