#include "pulleyctl/status_printer.h"

#include <fmt/format.h>

namespace mulberry {

namespace {

using Json = nlohmann::json;

std::string FormatGroup(const Json& group) {
  std::string text =
      fmt::format("  group {}/{}: lease {}, owner {}{}", TextField(group, "service"),
                  TextField(group, "data_centre"), TextField(group, "lease"),
                  TextField(group, "owner").empty() ? "none" : TextField(group, "owner"),
                  FlagField(group, "out") ? ", out" : "");
  if (ListField(group, "servers").empty()) return text + "\n";
  text += fmt::format(", {} queued, {} in flight, {} retries, {} hedges, {} probes\n",
                      NumberField(group, "queued"), NumberField(group, "in_flight"),
                      NumberField(group, "retries"), NumberField(group, "hedges"),
                      NumberField(group, "probes"));
  for (const Json& server : ListField(group, "servers")) {
    const std::string reason = TextField(server, "reason");
    text += fmt::format("    server {}: {}{}{}, {} of {} in flight\n", TextField(server, "name"),
                        TextField(server, "state"), reason.empty() ? "" : ", ", reason,
                        NumberField(server, "in_flight"), NumberField(server, "limit"));
  }
  return text;
}

std::string FormatHost(const HostStatus& host) {
  if (!host.error.empty()) {
    return fmt::format("{} ({}): unreachable: {}\n", host.name, host.address, host.error);
  }
  const Json& config = ObjectField(host.json, "config");
  std::string text =
      fmt::format("{} ({}): {}{}, configuration version {}, {}, {} requests held\n", host.name,
                  host.address, TextField(host.json, "data_centre"),
                  FlagField(host.json, "leaving") ? ", leaving" : "", NumberField(config, "offset"),
                  TextField(config, "permission"), NumberField(host.json, "pending"));
  for (const Json& group : ListField(host.json, "groups")) text += FormatGroup(group);
  return text;
}

}  // namespace

Report StatusReport(const std::vector<HostStatus>& hosts) {
  Report report;
  report.json["hosts"] = Json::array();
  std::size_t answered = 0;
  for (const HostStatus& host : hosts) {
    report.text += FormatHost(host);
    Json entry = {{"name", host.name}, {"address", host.address}};
    if (host.error.empty()) {
      entry["status"] = host.json;
      ++answered;
    } else {
      entry["error"] = host.error;
    }
    report.json["hosts"].push_back(std::move(entry));
  }
  if (answered < hosts.size()) {
    report.text +=
        fmt::format("{} of {} entry hosts did not answer\n", hosts.size() - answered, hosts.size());
  }
  if (answered == 0) report.status = ExitStatus::kUnreachable;
  return report;
}

}  // namespace mulberry
