#pragma once

#include <string>
#include <variant>
#include <vector>

#include "libconfig/config.h"
#include "pulleyctl/options.h"

namespace mulberry {

/// Operation of a change command on its item.
enum class ChangeVerb { kSet, kRemove, kLeave, kReturn };

struct ChangeCommand {
  ItemKind kind = ItemKind::kClass;
  ChangeVerb verb = ChangeVerb::kSet;
  std::string item;
};
struct ChangeResultCommand {
  ChangeId change;
};
struct ShowCommand {};
struct StatusCommand {
  std::string host;  ///< Name or "ip:port"; empty for all entry hosts.
};
struct ExplainServerCommand {
  ServerName server;
};
struct ExplainDataCentreCommand {
  DataCentreName data_centre;
};
struct ExplainRefusalsCommand {};
struct HelpCommand {
  std::string topic;
};

using Command = std::variant<ChangeCommand, ChangeResultCommand, ShowCommand, StatusCommand,
                             ExplainServerCommand, ExplainDataCentreCommand, ExplainRefusalsCommand,
                             HelpCommand>;

/// Parses the positional arguments and checks the flags against the command. Errors:
/// kInvalidArgument with a message for the operator. Thread safety: any thread.
Result<Command> ParseCommand(const std::vector<std::string>& args, const Options& options);

}  // namespace mulberry
