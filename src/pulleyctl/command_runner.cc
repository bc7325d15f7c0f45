#include "pulleyctl/command_runner.h"

#include <fmt/format.h>

#include <algorithm>

#include "pulleyctl/change_builder.h"
#include "pulleyctl/config_printer.h"
#include "pulleyctl/explainer.h"
#include "pulleyctl/help.h"
#include "pulleyctl/leave_check.h"
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

std::string CommandRunner::FindLogInconsistency() {
  if (options_.entry_addresses.empty()) return "";
  const auto hosts = FetchStatuses(session_, options_.entry_addresses);
  if (!hosts || !session_.ReadToEnd()) return "";
  for (const HostStatus& host : hosts.value()) {
    const std::uint64_t offset = NumberField(ObjectField(host.json, "config"), "offset");
    const std::uint64_t applied = session_.state_machine().state().applied.value();
    if (offset <= applied) continue;
    return fmt::format(
        "entry host {} has applied version {} but the log ends at {}: the log has lost "
        "records, and entry hosts do not accept it",
        host.name, offset, applied);
  }
  return "";
}

Result<Change> CommandRunner::BuildCheckedChange(const ChangeCommand& command, const ChangeId& id,
                                                 const ConfigState& state) {
  if (options_.force) return BuildChange(command, options_, state, id, WallNow());
  std::string blocked_reason = FindLogInconsistency();
  BOOST_OUTCOME_TRY(change, BuildChange(command, options_, state, id, WallNow()));
  if (blocked_reason.empty() && command.verb == ChangeVerb::kLeave) {
    const Result<HostList> hosts = session_.FetchHostList();
    blocked_reason = hosts ? LeaveBlockedReason(state, hosts.value(), change)
                           : "the platform's host list can't be read for the safety check: " +
                                 hosts.error().message;
  }
  if (blocked_reason.empty()) return change;
  return Fail(ErrorCode::kConflict, blocked_reason + " (use --force to publish the change anyway)");
}

Report CommandRunner::operator()(const ChangeCommand& command) {
  const ChangeId id = GenerateChangeId();
  ChangePublisher publisher(session_);
  const PublishReport published = publisher.Publish(
      [&](const ConfigState& state) { return BuildCheckedChange(command, id, state); });
  return PublishedReport(published, command.item);
}

Report CommandRunner::operator()(const ChangeResultCommand& command) {
  const Result<void> read = session_.ReadToEnd();
  if (!read) return Unreachable(read.error());
  const ChangeResult* result = session_.state_machine().ResultOf(command.change);
  if (result != nullptr) return PublishedReport(ReportOf(*result), command.change.str());
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
  std::vector<std::string> addresses = options_.entry_addresses;
  if (IsAddress(command.host)) addresses = {command.host};
  auto hosts = FetchStatuses(session_, addresses);
  if (!hosts) return Unreachable(hosts.error());
  std::vector<HostStatus>& shown = hosts.value();
  if (!command.host.empty() && !IsAddress(command.host)) {
    const auto has_other_name = [&](const HostStatus& host) { return host.name != command.host; };
    shown.erase(std::remove_if(shown.begin(), shown.end(), has_other_name), shown.end());
  }
  if (shown.empty()) {
    return FailureReport(ExitStatus::kInvalid, "there is no entry host " + command.host);
  }
  return StatusReport(shown);
}

template <class Explain>
Report CommandRunner::ExplainWith(const Explain& explain) {
  const auto hosts = FetchStatuses(session_, options_.entry_addresses);
  if (!hosts) return Unreachable(hosts.error());
  // When the configuration or the host list can't be read, the explanation uses what is available
  // and reports itself as incomplete.
  const Result<void> read = session_.ReadToEnd();
  const Result<HostList> list = session_.FetchHostList();
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
