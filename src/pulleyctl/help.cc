#include "pulleyctl/help.h"

#include <array>
#include <string_view>

namespace mulberry {

namespace {

struct CommandHelp {
  std::string_view name;
  std::string_view arguments;
  std::string_view text;
  std::string_view example;
};

constexpr std::array<CommandHelp, 14> kCommands = {{
    {"class set", "NAME --service S --idempotent=true|false --latency_ms N --reliability R",
     "Creates a class of work, or changes its targets; flags that are absent keep their values.",
     "class set slot-lookup --service reservas --idempotent=true --latency_ms 150 "
     "--reliability 0.999"},
    {"class remove", "NAME", "Removes a class; its requests are refused from then on.",
     "class remove slot-lookup"},
    {"dc leave", "NAME",
     "Takes a data centre out: no new work goes to it. Refused when a service would have no "
     "data centre left, unless --force is given.",
     "dc leave uio-b"},
    {"dc return", "NAME", "Brings a data centre back.", "dc return uio-b"},
    {"server leave", "NAME", "Takes one backend server out: no new work goes to it.",
     "server leave reservas-a-3"},
    {"server return", "NAME", "Brings a backend server back.", "server return reservas-a-3"},
    {"budget set", "SERVICE --probes_per_second X",
     "Sets the rate of probes that all entry hosts together may send to the servers of a service.",
     "budget set reservas --probes_per_second 4"},
    {"fate", "CHANGE_ID", "Shows the result of a change.", "fate c0123456789abcdef"},
    {"show", "", "Shows the configuration, with the author and time of each item's last change.",
     "show"},
    {"status", "[HOST|IP:PORT]", "Shows the state of entry hosts, their groups and servers.",
     "status uio-a-1"},
    {"explain server", "NAME", "Explains why a backend server receives requests or not.",
     "explain server reservas-a-3"},
    {"explain dc", "NAME", "Explains why a data centre receives requests or not.",
     "explain dc uio-b"},
    {"explain refusals", "", "Explains why requests were refused recently.", "explain refusals"},
    {"help", "[COMMAND]", "Shows the commands, or one of them.", "help dc leave"},
}};

constexpr std::string_view kOverviewHead =
    "pulleyctl --platform IP:PORT [FLAGS] COMMAND\n\nCommands:\n";

constexpr std::string_view kOverviewTail = R"(
Flags:
  --platform IP:PORT   the platform (required)
  --entry IP:PORT,...  entry hosts to ask; those that the platform lists when absent
  --author NAME        author of a change; $USER when absent
  --base N             version that a change is based on; the newest one read when absent
  --force              publish even if a safety check fails
  --timeout_ms N       longest time for the command (10000)
  --json               print one JSON object

Exit status: 0 accepted or done, 1 usage or invalid, 2 rejected, 3 result unknown,
4 platform or entry host unreachable (nothing was done).
)";

}  // namespace

std::string HelpText(const std::string& topic) {
  std::string text;
  for (const CommandHelp& command : kCommands) {
    const bool is_topic =
        command.name == topic || command.name.substr(0, topic.size() + 1) == topic + " ";
    if (topic.empty()) {
      text.append("  ").append(command.name);
      if (!command.arguments.empty()) text.append(" ").append(command.arguments);
      text.append("\n");
    } else if (is_topic) {
      text.append("pulleyctl --platform IP:PORT ").append(command.name);
      text.append(command.arguments.empty() ? "" : " ").append(command.arguments);
      text.append("\n  ").append(command.text);
      text.append("\n  Example: pulleyctl --platform 10.1.0.5:7000 ").append(command.example);
      text.append("\n");
    }
  }
  if (!topic.empty()) return text;
  return std::string(kOverviewHead) + text + std::string(kOverviewTail);
}

}  // namespace mulberry
