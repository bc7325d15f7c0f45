#include "pulleyctl/command_runner.h"

#include <fmt/format.h>

#include <algorithm>

#include "pulleyctl/change_draft.h"
#include "pulleyctl/config_printer.h"
#include "pulleyctl/departure_check.h"
#include "pulleyctl/explainer.h"
#include "pulleyctl/help.h"
#include "pulleyctl/status_printer.h"

namespace mulberry {

namespace {

WallTime WallNow() {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

Report Unreachable(const Error& error) {
  return FailureReport(ExitStatus::kUnreachable, "unreachable: " + error.message);
}

bool IsAddress(const std::string& host) { return host.find(':') != std::string::npos; }

}  // namespace

std::string CommandRunner::LogObjection() {
  if (options_.entries.empty()) return "";
  const auto hosts = FetchStatuses(session_, options_.entries);
  if (!hosts || !session_.ReadToEnd()) return "";
  for (const HostStatus& host : hosts.value()) {
    const std::uint64_t offset = NumberField(ObjectField(host.json, "config"), "offset");
    const std::uint64_t applied = session_.state_machine().state().applied.value();
    if (offset <= applied) continue;
    return fmt::format(
        "entry host {} has applied version {} but the log ends at {}: it has lost "
        "records, and entry hosts do not follow it",
        host.name, offset, applied);
  }
  return "";
}

Result<Change> CommandRunner::Draft(const ChangeCommand& command, const ChangeId& id,
                                    const ConfigState& state) {
  if (options_.force) return DraftChange(command, options_, state, id, WallNow());
  std::string objection = LogObjection();
  BOOST_OUTCOME_TRY(change, DraftChange(command, options_, state, id, WallNow()));
  if (objection.empty() && command.verb == ChangeVerb::kLeave) {
    const Result<HostList> hosts = session_.Hosts();
    objection = hosts ? DepartureObjection(state, hosts.value(), change)
                      : "the platform's list can't be read to check this: " + hosts.error().message;
  }
  if (objection.empty()) return change;
  return Fail(ErrorCode::kConflict, objection + " (--force publishes it nevertheless)");
}

Report CommandRunner::operator()(const ChangeCommand& command) {
  const ChangeId id = MakeChangeId();
  ChangePublisher publisher(session_);
  const PublishReport published =
      publisher.Publish([&](const ConfigState& state) { return Draft(command, id, state); });
  return PublishedReport(published, command.item);
}

Report CommandRunner::operator()(const FateCommand& command) {
  const Result<void> read = session_.ReadToEnd();
  if (!read) return Unreachable(read.error());
  const ChangeResult* fate = session_.state_machine().ResultOf(command.change);
  if (fate != nullptr) return PublishedReport(ReportOf(*fate), command.change.str());
  PublishReport unknown;
  unknown.code = PublishCode::kUnknown;
  unknown.change = command.change;
  unknown.message = fmt::format("not among the last {} changes of the log", kMaxChangeResults);
  return PublishedReport(unknown, command.change.str());
}

Report CommandRunner::operator()(const ShowCommand& /*command*/) {
  const Result<void> read = session_.ReadToEnd();
  if (!read) return Unreachable(read.error());
  return ConfigReport(session_.state_machine().state());
}

Report CommandRunner::operator()(const StatusCommand& command) {
  std::vector<std::string> addresses = options_.entries;
  if (IsAddress(command.host)) addresses = {command.host};
  auto hosts = FetchStatuses(session_, addresses);
  if (!hosts) return Unreachable(hosts.error());
  std::vector<HostStatus>& shown = hosts.value();
  if (!command.host.empty() && !IsAddress(command.host)) {
    const auto other = [&](const HostStatus& host) { return host.name != command.host; };
    shown.erase(std::remove_if(shown.begin(), shown.end(), other), shown.end());
  }
  if (shown.empty()) {
    return FailureReport(ExitStatus::kInvalid, "there is no entry host " + command.host);
  }
  return StatusReport(shown);
}

template <class Explain>
Report CommandRunner::ExplainWith(const Explain& explain) {
  const auto hosts = FetchStatuses(session_, options_.entries);
  if (!hosts) return Unreachable(hosts.error());
  // The configuration and the list are shown as far as they can be read.
  const Result<void> read = session_.ReadToEnd();
  const Result<HostList> list = session_.Hosts();
  const HostList empty;
  Result<Report> report = explain(
      Explainer(session_.state_machine().state(), list ? list.value() : empty, hosts.value()));
  if (!report) return FailureReport(ExitStatus::kInvalid, report.error().message);
  for (const Error* error : {read ? nullptr : &read.error(), list ? nullptr : &list.error()}) {
    if (error != nullptr) report.value().text += "  - incomplete: " + error->message + "\n";
  }
  report.value().json["complete"] = read.has_value() && list.has_value();
  return std::move(report).value();
}

Report CommandRunner::operator()(const ExplainServerCommand& command) {
  return ExplainWith([&](const Explainer& explainer) { return explainer.Server(command.server); });
}

Report CommandRunner::operator()(const ExplainDataCentreCommand& command) {
  return ExplainWith(
      [&](const Explainer& explainer) { return explainer.DataCentre(command.data_centre); });
}

Report CommandRunner::operator()(const ExplainRefusalsCommand& /*command*/) {
  return ExplainWith(
      [](const Explainer& explainer) -> Result<Report> { return explainer.Refusals(); });
}

Report CommandRunner::operator()(const HelpCommand& command) {
  const std::string text = HelpText(command.topic);
  return {ExitStatus::kDone, text, {{"help", text}}};
}

}  // namespace mulberry
