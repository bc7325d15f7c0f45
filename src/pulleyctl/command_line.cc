#include "pulleyctl/command_line.h"

#include <fmt/format.h>

#include "pulleyctl/help.h"

namespace mulberry {

namespace {

struct ChangeWords {
  const char* noun;
  const char* verb;
  ItemKind kind;
  ChangeVerb meaning;
};

constexpr ChangeWords kChangeWords[] = {
    {"class", "set", ItemKind::kClass, ChangeVerb::kSet},
    {"class", "remove", ItemKind::kClass, ChangeVerb::kRemove},
    {"dc", "leave", ItemKind::kDataCentre, ChangeVerb::kLeave},
    {"dc", "return", ItemKind::kDataCentre, ChangeVerb::kReturn},
    {"server", "leave", ItemKind::kServer, ChangeVerb::kLeave},
    {"server", "return", ItemKind::kServer, ChangeVerb::kReturn},
    {"budget", "set", ItemKind::kProbeBudget, ChangeVerb::kSet},
};

auto UsageError(const std::string& message) {
  return Fail(ErrorCode::kInvalidArgument, message + "; see pulleyctl help");
}

/// Returns what is wrong with the flags of a change, empty when nothing is.
std::string FlagFault(const ChangeCommand& command, const Options& options) {
  if (options.author.empty()) return "--author is missing";
  const bool sets_class = command.kind == ItemKind::kClass && command.verb == ChangeVerb::kSet;
  const bool class_flag =
      options.service || options.idempotent || options.latency_ms || options.reliability;
  if (class_flag && !sets_class) {
    return "--service, --idempotent, --latency_ms and --reliability go with class set only";
  }
  const bool sets_budget = command.kind == ItemKind::kProbeBudget;
  if (sets_budget != options.probes_per_second.has_value()) {
    return sets_budget ? "--probes_per_second is missing"
                       : "--probes_per_second goes with budget set only";
  }
  return "";
}

Result<Command> ParseChange(const std::vector<std::string>& words, const Options& options) {
  for (const ChangeWords& known : kChangeWords) {
    if (words[0] != known.noun || words[1] != known.verb) continue;
    if (words.size() != 3) return UsageError(fmt::format("{} {} NAME", known.noun, known.verb));
    const ChangeCommand command{known.kind, known.meaning, words[2]};
    const std::string fault = FlagFault(command, options);
    if (!fault.empty()) return UsageError(fault);
    return Command(command);
  }
  return UsageError(fmt::format("unknown command: {} {}", words[0], words[1]));
}

Result<Command> ParseExplain(const std::vector<std::string>& words) {
  if (words.size() == 3 && words[1] == "server") {
    return Command(ExplainServerCommand{ServerName(words[2])});
  }
  if (words.size() == 3 && words[1] == "dc") {
    return Command(ExplainDataCentreCommand{DataCentreName(words[2])});
  }
  if (words.size() == 2 && words[1] == "refusals") return Command(ExplainRefusalsCommand{});
  return UsageError("explain server NAME | dc NAME | refusals");
}

std::string JoinFrom(const std::vector<std::string>& words, std::size_t first) {
  std::string joined;
  for (std::size_t i = first; i < words.size(); ++i) joined += (i > first ? " " : "") + words[i];
  return joined;
}

Result<Command> ParseWords(const std::vector<std::string>& words, const Options& options) {
  const std::string& verb = words[0];
  const std::size_t count = words.size();
  if (verb == "show" && count == 1) return Command(ShowCommand{});
  if (verb == "status" && count <= 2) return Command(StatusCommand{count == 2 ? words[1] : ""});
  if (verb == "fate" && count == 2) return Command(FateCommand{ChangeId(words[1])});
  if (verb == "explain") return ParseExplain(words);
  if (count >= 2) return ParseChange(words, options);
  return UsageError("unknown command: " + verb);
}

}  // namespace

Result<Command> ParseCommand(const std::vector<std::string>& words, const Options& options) {
  if (words.empty()) return UsageError("a command is missing");
  if (words[0] == "help") {
    const std::string topic = JoinFrom(words, 1);
    if (HelpText(topic).empty()) return UsageError("unknown command: " + topic);
    return Command(HelpCommand{topic});
  }
  if (options.platform.empty()) return UsageError("--platform is missing");
  if (options.timeout <= Duration::zero()) return UsageError("--timeout_ms must be 1 at least");
  return ParseWords(words, options);
}

}  // namespace mulberry
