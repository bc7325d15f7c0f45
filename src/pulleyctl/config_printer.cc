#include "pulleyctl/config_printer.h"

#include <fmt/format.h>

namespace mulberry {

namespace {

using Json = nlohmann::json;

Json VersionJson(const ItemVersion& version) {
  return {{"version", version.offset.value()},
          {"author", version.author},
          {"change_id", version.change.str()},
          {"at_ms", version.at.time_since_epoch().count()}};
}

/// Adds an item as one line of text and one entry of a JSON list.
void AddItem(Report* report, const char* list, const ItemVersion& version,
             const std::string& description, Json json) {
  report->text += fmt::format("  {}  [{}]\n", description, FormatVersion(version));
  json.update(VersionJson(version));
  report->json[list].push_back(std::move(json));
}

void AddHeading(Report* report, const char* list, const char* heading) {
  report->text += heading;
  report->text += ":\n";
  report->json[list] = Json::array();
}

double Milliseconds(Duration value) { return static_cast<double>(value.count()) / 1000.0; }

void AddClasses(Report* report, const ConfigState& state) {
  AddHeading(report, "classes", "classes");
  for (const auto& [name, item] : state.classes) {
    AddItem(report, "classes", item.version,
            fmt::format("{}: service {}, {}, {} ms for {} of requests", name.str(),
                        item.service.str(), item.idempotent ? "idempotent" : "non-idempotent",
                        Milliseconds(item.latency_target), item.reliability_target),
            {{"name", name.str()},
             {"service", item.service.str()},
             {"idempotent", item.idempotent},
             {"latency_ms", Milliseconds(item.latency_target)},
             {"reliability", item.reliability_target}});
  }
}

template <class Items>
void AddInOutItems(Report* report, const char* list, const char* heading, const Items& items) {
  AddHeading(report, list, heading);
  for (const auto& [name, item] : items) {
    AddItem(report, list, item.version, fmt::format("{}: {}", name.str(), item.out ? "out" : "in"),
            {{"name", name.str()}, {"out", item.out}});
  }
}

void AddProbeBudgets(Report* report, const ConfigState& state) {
  AddHeading(report, "budgets", "budgets");
  for (const auto& [name, item] : state.probe_budgets) {
    AddItem(report, "budgets", item.version,
            fmt::format("{}: {} probes per second", name.str(), item.probes_per_second),
            {{"service", name.str()}, {"probes_per_second", item.probes_per_second}});
  }
}

ExitStatus ExitStatusOf(PublishCode code) {
  switch (code) {
    case PublishCode::kAccepted:
      return ExitStatus::kDone;
    case PublishCode::kRejected:
      return ExitStatus::kRejected;
    case PublishCode::kUnknown:
      return ExitStatus::kUnknown;
    case PublishCode::kInvalid:
      return ExitStatus::kInvalid;
    case PublishCode::kUnreachable:
      return ExitStatus::kUnreachable;
  }
  return ExitStatus::kUnknown;
}

std::string PublishText(const PublishReport& published, const std::string& item) {
  const ItemVersion& conflict = published.conflict;
  switch (published.code) {
    case PublishCode::kAccepted:
      return fmt::format("accepted version {}", published.version.value());
    case PublishCode::kRejected:
      if (conflict.offset == Offset() || conflict.author.empty()) {
        return fmt::format("rejected: {}: {}", item, published.message);
      }
      return fmt::format("rejected: {} (version {} by {} at {})", published.message,
                         conflict.offset.value(), conflict.author,
                         FormatTime(conflict.at.time_since_epoch().count()));
    case PublishCode::kUnknown:
      return fmt::format("unknown: {}; ask later: pulleyctl fate {}", published.message,
                         published.change.str());
    case PublishCode::kInvalid:
      return fmt::format("invalid: {}; nothing was published", published.message);
    case PublishCode::kUnreachable:
      return fmt::format("unreachable: {}; nothing was published", published.message);
  }
  return "";
}

}  // namespace

std::string FormatVersion(const ItemVersion& version) {
  return fmt::format("version {} by {} at {}", version.offset.value(), version.author,
                     FormatTime(version.at.time_since_epoch().count()));
}

Report ConfigReport(const ConfigState& state) {
  Report report;
  report.text = fmt::format("version {}, digest {:016x}\n", state.applied.value(), state.digest);
  report.json = {{"version", state.applied.value()},
                 {"digest", fmt::format("{:016x}", state.digest)}};
  AddClasses(&report, state);
  AddInOutItems(&report, "data_centres", "data centres", state.data_centres);
  AddInOutItems(&report, "servers", "servers", state.servers);
  AddProbeBudgets(&report, state);
  report.json["lost"] = Json::array();
  for (const LostRange& range : state.lost_ranges) {
    report.text += fmt::format("records {} to {} were lost before any entry host read them\n",
                               range.from.value() + 1, range.to.value());
    report.json["lost"].push_back({{"from", range.from.value()}, {"to", range.to.value()}});
  }
  return report;
}

Report PublishedReport(const PublishReport& published, const std::string& item) {
  Report report;
  report.status = ExitStatusOf(published.code);
  report.text = PublishText(published, item) + "\n";
  report.json = {{"result", PublishCodeName(published.code)},
                 {"item", item},
                 {"change_id", published.change.str()},
                 {"message", published.message}};
  if (published.code == PublishCode::kAccepted) report.json["version"] = published.version.value();
  if (published.conflict.offset != Offset()) report.json["rival"] = VersionJson(published.conflict);
  return report;
}

}  // namespace mulberry
