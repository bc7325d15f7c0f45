// The operators' command line tool: publishes configuration changes, shows the state of the entry
// hosts and explains it.
#include <cstdio>

#include "pulleyctl/command_line.h"
#include "pulleyctl/command_runner.h"
#include "pulleyctl/options.h"
#include "pulleyctl/report.h"

namespace {

int Print(const mulberry::Report& report, bool as_json) {
  const bool failed = report.status != mulberry::ExitStatus::kDone;
  const std::string json =
      report.json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
  std::fputs(as_json ? json.c_str() : report.text.c_str(), failed && !as_json ? stderr : stdout);
  return static_cast<int>(report.status);
}

}  // namespace

int main(int argc, char** argv) {
  mulberry::Options options;
  const std::vector<std::string> args = mulberry::ParseFlags(argc, argv, &options);
  const auto command = mulberry::ParseCommand(args, options);
  if (!command) {
    return Print(mulberry::FailureReport(mulberry::ExitStatus::kInvalid, command.error().message),
                 options.json);
  }
  mulberry::PlatformSession session(options.platform, options.timeout);
  return Print(std::visit(mulberry::CommandRunner(options, session), command.value()),
               options.json);
}
