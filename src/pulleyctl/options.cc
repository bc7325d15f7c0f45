#include "pulleyctl/options.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdlib>

#include "pulleyctl/help.h"

ABSL_FLAG(std::string, platform, "", "ip:port of the platform");
ABSL_FLAG(std::vector<std::string>, entry, {}, "ip:port of entry hosts, separated by commas");
ABSL_FLAG(std::string, author, "", "author of a change; $USER when absent");
ABSL_FLAG(bool, json, false, "print one JSON object");
ABSL_FLAG(bool, force, false, "publish even if a safety check fails");
ABSL_FLAG(std::uint32_t, timeout_ms, 10'000, "longest time for the command, milliseconds");
ABSL_FLAG(std::optional<std::uint64_t>, base, std::nullopt, "version that the change is based on");
ABSL_FLAG(std::optional<std::string>, service, std::nullopt, "service of a class");
ABSL_FLAG(std::optional<bool>, idempotent, std::nullopt, "whether requests may run twice");
ABSL_FLAG(std::optional<double>, latency_ms, std::nullopt, "latency target, milliseconds");
ABSL_FLAG(std::optional<double>, reliability, std::nullopt, "share served within the latency");
ABSL_FLAG(std::optional<double>, probes_per_second, std::nullopt, "probe budget of a service");

namespace mulberry {

std::vector<std::string> ParseFlags(int argc, char** argv, Options* options) {
  absl::SetProgramUsageMessage(HelpText(""));
  const std::vector<char*> parsed = absl::ParseCommandLine(argc, argv);
  options->platform = absl::GetFlag(FLAGS_platform);
  options->entry_addresses = absl::GetFlag(FLAGS_entry);
  options->author = absl::GetFlag(FLAGS_author);
  const char* user = std::getenv("USER");
  if (options->author.empty() && user != nullptr) options->author = user;
  options->json = absl::GetFlag(FLAGS_json);
  options->force = absl::GetFlag(FLAGS_force);
  options->timeout = std::chrono::milliseconds(absl::GetFlag(FLAGS_timeout_ms));
  options->base = absl::GetFlag(FLAGS_base);
  options->service = absl::GetFlag(FLAGS_service);
  options->idempotent = absl::GetFlag(FLAGS_idempotent);
  options->latency_ms = absl::GetFlag(FLAGS_latency_ms);
  options->reliability = absl::GetFlag(FLAGS_reliability);
  options->probes_per_second = absl::GetFlag(FLAGS_probes_per_second);
  return {parsed.begin() + 1, parsed.end()};
}

}  // namespace mulberry
