#include "pulleyctl/command_line.h"

#include <fmt/format.h>

#include "pulleyctl/help.h"

namespace mulberry {

namespace {

struct ChangeSyntax {
  const char* noun;
  const char* verb;
  ItemKind kind;
  ChangeVerb change_verb;
};

constexpr ChangeSyntax kChangeSyntaxes[] = {
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

/// Returns an error message when the flags do not match the change command, otherwise empty.
std::string FlagError(const ChangeCommand& command, const Options& options) {
  if (options.author.empty()) return "--author is missing";
  const bool sets_class = command.kind == ItemKind::kClass && command.verb == ChangeVerb::kSet;
  const bool class_flag =
      options.service || options.idempotent || options.latency_ms || options.reliability;
  if (class_flag && !sets_class) {
    return "--service, --idempotent, --latency_ms and --reliability are only valid for class set";
  }
  const bool sets_budget = command.kind == ItemKind::kProbeBudget;
  if (sets_budget != options.probes_per_second.has_value()) {
    return sets_budget ? "--probes_per_second is missing"
                       : "--probes_per_second is only valid for budget set";
  }
  return "";
}

Result<Command> ParseChange(const std::vector<std::string>& args, const Options& options) {
  for (const ChangeSyntax& syntax : kChangeSyntaxes) {
    if (args[0] != syntax.noun || args[1] != syntax.verb) continue;
    if (args.size() != 3) return UsageError(fmt::format("{} {} NAME", syntax.noun, syntax.verb));
    const ChangeCommand command{syntax.kind, syntax.change_verb, args[2]};
    const std::string flag_error = FlagError(command, options);
    if (!flag_error.empty()) return UsageError(flag_error);
    return Command(command);
  }
  return UsageError(fmt::format("unknown command: {} {}", args[0], args[1]));
}

Result<Command> ParseExplain(const std::vector<std::string>& args) {
  if (args.size() == 3 && args[1] == "server") {
    return Command(ExplainServerCommand{ServerName(args[2])});
  }
  if (args.size() == 3 && args[1] == "dc") {
    return Command(ExplainDataCentreCommand{DataCentreName(args[2])});
  }
  if (args.size() == 2 && args[1] == "refusals") return Command(ExplainRefusalsCommand{});
  return UsageError("explain server NAME | dc NAME | refusals");
}

std::string JoinFrom(const std::vector<std::string>& args, std::size_t first) {
  std::string joined;
  for (std::size_t i = first; i < args.size(); ++i) joined += (i > first ? " " : "") + args[i];
  return joined;
}

Result<Command> ParseArguments(const std::vector<std::string>& args, const Options& options) {
  const std::string& verb = args[0];
  const std::size_t count = args.size();
  if (verb == "show" && count == 1) return Command(ShowCommand{});
  if (verb == "status" && count <= 2) return Command(StatusCommand{count == 2 ? args[1] : ""});
  if (verb == "fate" && count == 2) return Command(ChangeResultCommand{ChangeId(args[1])});
  if (verb == "explain") return ParseExplain(args);
  if (count >= 2) return ParseChange(args, options);
  return UsageError("unknown command: " + verb);
}

}  // namespace

Result<Command> ParseCommand(const std::vector<std::string>& args, const Options& options) {
  if (args.empty()) return UsageError("no command given");
  if (args[0] == "help") {
    const std::string topic = JoinFrom(args, 1);
    if (HelpText(topic).empty()) return UsageError("unknown command: " + topic);
    return Command(HelpCommand{topic});
  }
  if (options.platform.empty()) return UsageError("--platform is missing");
  if (options.timeout <= Duration::zero()) return UsageError("--timeout_ms must be at least 1");
  return ParseArguments(args, options);
}

}  // namespace mulberry
