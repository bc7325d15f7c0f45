#include "pulleyctl/explainer.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

#include "pulleyctl/config_printer.h"

namespace mulberry {

namespace {

using Json = nlohmann::json;
using Findings = std::vector<std::string>;

Report ReportOfFindings(const std::string& subject, const Findings& findings) {
  Report report;
  report.text = subject + ":\n";
  for (const std::string& finding : findings) report.text += "  - " + finding + "\n";
  report.json = {{"subject", subject}, {"findings", findings}};
  return report;
}

/// Returns a refusal reason's explanation for operators, empty for an unknown reason.
std::string DescribeRefusalReason(const std::string& reason) {
  static const std::map<std::string, std::string> meanings = {
      {"queue_full", "the queue limit, which depends on the servers' slots, was reached"},
      {"deadline_unreachable", "the expected wait was longer than the caller's deadline"},
      {"deadline_passed", "the deadline passed while the request waited"},
      {"shed_for_other_class", "overload: another class was further from its target"},
      {"no_server", "no server could accept the request: see explain server and explain dc"},
      {"retry_budget_spent", "attempts failed and the retry budget was spent"},
      {"attempts_exhausted", "all attempts failed"},
      {"server_failed", "a server failed and another attempt was not allowed"},
      {"not_owner", "the entry host lost the lease on the group"},
      {"leaving", "the data centre or the entry host was leaving"},
      {"cancelled", "the caller closed the connection"},
      {"too_many_requests", "the entry host had reached its limit of pending requests"},
      {"config_stale", "the entry host could not verify that its configuration was current"},
      {"claimed_elsewhere", "another attempt with the same ticket held the claim"},
      {"forward_lost", "the owner did not answer a forwarded request"},
  };
  const auto found = meanings.find(reason);
  return found == meanings.end() ? "" : found->second;
}

const BackendServerEntry* FindServer(const HostList& list, const ServerName& name) {
  const auto& servers = list.backend_servers;
  const auto found = std::find_if(servers.begin(), servers.end(),
                                  [&](const auto& server) { return server.name == name; });
  return found == servers.end() ? nullptr : &*found;
}

std::string GroupName(const Json& group) {
  return TextField(group, "service") + "/" + TextField(group, "data_centre");
}

/// Adds the state of a backend server as reported by the entry host that owns its group.
void AddServerState(const HostStatus& host, const ServerName& name, Findings* findings) {
  for (const Json& group : ListField(host.json, "groups")) {
    for (const Json& server : ListField(group, "servers")) {
      if (TextField(server, "name") != name.str()) continue;
      const std::string reason = TextField(server, "reason");
      findings->push_back(fmt::format(
          "{} (lease {} on group {}): {}{}{}, {} of {} requests in flight{}", host.name,
          TextField(group, "lease"), GroupName(group), TextField(server, "state"),
          reason.empty() ? "" : ", ", reason, NumberField(server, "in_flight"),
          NumberField(server, "limit"), FlagField(group, "out") ? "; the group is out" : ""));
    }
  }
}

void AddDataCentreGroups(const HostStatus& host, const DataCentreName& name, Findings* findings) {
  for (const Json& group : ListField(host.json, "groups")) {
    if (TextField(group, "data_centre") != name.str()) continue;
    const auto& servers = ListField(group, "servers");
    if (servers.empty()) continue;
    std::map<std::string, int> states;
    for (const Json& server : servers) ++states[TextField(server, "state")];
    std::string counts;
    for (const auto& [state, count] : states) counts += fmt::format(", {} {}", count, state);
    findings->push_back(fmt::format("{} (lease {}) has group {}: {} servers{}{}", host.name,
                                    TextField(group, "lease"), GroupName(group), servers.size(),
                                    counts, FlagField(group, "out") ? "; out" : ""));
  }
}

/// Adds the reasons for which an entry host accepts no new requests.
void AddHostRestrictions(const HostStatus& host, Findings* findings) {
  const std::string permission = TextField(ObjectField(host.json, "config"), "permission");
  if (permission == "cut_off") {
    findings->push_back(host.name +
                        " takes no new work: it reaches neither the log nor most data "
                        "centres, so its configuration may be old");
  } else if (permission == "no_config") {
    findings->push_back(host.name + " takes no new work: it has not read the configuration yet");
  }
  if (FlagField(host.json, "leaving")) findings->push_back(host.name + " is shutting down");
}

}  // namespace

void Explainer::AddUnreachableHosts(Findings* findings) const {
  for (const HostStatus& host : hosts_) {
    if (host.error.empty()) continue;
    findings->push_back(fmt::format("entry host {} did not answer: {}", host.name, host.error));
  }
}

void Explainer::AddDataCentreConfig(const DataCentreName& name, Findings* findings) const {
  const auto item = config_.data_centres.find(name);
  if (item == config_.data_centres.end()) return;
  findings->push_back(fmt::format("data centre {} is {} by configuration ({})", name.str(),
                                  item->second.out ? "out" : "in",
                                  FormatVersion(item->second.version)));
}

Result<Report> Explainer::Server(const ServerName& name) const {
  Findings findings;
  const auto item = config_.servers.find(name);
  if (item != config_.servers.end() && item->second.out) {
    findings.push_back(
        fmt::format("out by configuration ({})", FormatVersion(item->second.version)));
  }
  const BackendServerEntry* entry = FindServer(list_, name);
  if (entry != nullptr) {
    findings.push_back(
        fmt::format("listed by the platform: service {}, data centre {}, {} slots{}{}",
                    entry->service.str(), entry->data_centre.str(), entry->slots,
                    entry->leaving ? ", leaving" : "", entry->cold ? ", cold" : ""));
    AddDataCentreConfig(entry->data_centre, &findings);
    const bool has_class =
        std::any_of(config_.classes.begin(), config_.classes.end(),
                    [&](const auto& named) { return named.second.service == entry->service; });
    if (!has_class) findings.push_back("no class uses service " + entry->service.str());
  } else {
    findings.emplace_back("not in the platform's host list, which may be outdated");
  }
  const std::size_t count_before_owner_reports = findings.size();
  for (const HostStatus& host : hosts_) AddServerState(host, name, &findings);
  const bool no_owner_report = findings.size() == count_before_owner_reports;
  if (no_owner_report && entry == nullptr && item == config_.servers.end()) {
    return Fail(ErrorCode::kNotFound, "there is no server " + name.str());
  }
  if (no_owner_report) findings.emplace_back("no entry host that answered sends work to it");
  AddUnreachableHosts(&findings);
  return ReportOfFindings("server " + name.str(), findings);
}

Result<Report> Explainer::DataCentre(const DataCentreName& name) const {
  Findings findings;
  AddDataCentreConfig(name, &findings);
  const auto in_data_centre = [&](const auto& entry) { return entry.data_centre == name; };
  const auto takes_work = [&](const auto& entry) {
    return in_data_centre(entry) && !entry.leaving;
  };
  const auto& entries = list_.entry_hosts;
  const auto& servers = list_.backend_servers;
  const auto entry_count = std::count_if(entries.begin(), entries.end(), in_data_centre);
  const auto server_count = std::count_if(servers.begin(), servers.end(), in_data_centre);
  if (findings.empty() && entry_count == 0 && server_count == 0) {
    return Fail(ErrorCode::kNotFound, "there is no data centre " + name.str());
  }
  findings.push_back(fmt::format(
      "listed by the platform: {} entry hosts ({} leaving), {} backend servers ({} leaving)",
      entry_count, entry_count - std::count_if(entries.begin(), entries.end(), takes_work),
      server_count, server_count - std::count_if(servers.begin(), servers.end(), takes_work)));
  for (const HostStatus& host : hosts_) {
    if (TextField(host.json, "data_centre") == name.str()) AddHostRestrictions(host, &findings);
    AddDataCentreGroups(host, name, &findings);
  }
  AddUnreachableHosts(&findings);
  return ReportOfFindings("data centre " + name.str(), findings);
}

Report Explainer::Refusals() const {
  struct RefusalCount {
    int count = 0;
    std::uint64_t last_ms = 0;
  };
  std::map<std::tuple<std::string, std::string, std::string>, RefusalCount> refusal_counts;
  for (const HostStatus& host : hosts_) {
    for (const Json& refusal : ListField(host.json, "refusals")) {
      RefusalCount& refusal_count =
          refusal_counts[{TextField(refusal, "class"), TextField(refusal, "reason"),
                          TextField(refusal, "outcome")}];
      ++refusal_count.count;
      refusal_count.last_ms = std::max(refusal_count.last_ms, NumberField(refusal, "at_ms"));
    }
  }
  Findings findings;
  Json list = Json::array();
  for (const auto& [key, refusal_count] : refusal_counts) {
    const auto& [class_name, reason, outcome] = key;
    const std::string meaning = DescribeRefusalReason(reason);
    findings.push_back(fmt::format("class {}: {} {} ({}){}{}, last at {}", class_name,
                                   refusal_count.count, reason, outcome,
                                   meaning.empty() ? "" : ": ", meaning,
                                   FormatTime(static_cast<std::int64_t>(refusal_count.last_ms))));
    list.push_back({{"class", class_name},
                    {"reason", reason},
                    {"outcome", outcome},
                    {"count", refusal_count.count},
                    {"meaning", meaning},
                    {"last_ms", refusal_count.last_ms}});
  }
  if (findings.empty()) findings.emplace_back("none");
  for (const HostStatus& host : hosts_) AddHostRestrictions(host, &findings);
  AddUnreachableHosts(&findings);
  Report report = ReportOfFindings("last refusals of each entry host", findings);
  report.json["refusals"] = std::move(list);
  return report;
}

}  // namespace mulberry
