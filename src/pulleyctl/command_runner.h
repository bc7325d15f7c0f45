#pragma once

#include "pulleyctl/command_line.h"
#include "pulleyctl/host_status.h"
#include "pulleyctl/platform_session.h"
#include "pulleyctl/report.h"

namespace mulberry {

/// Executes one command; a visitor of Command. Not thread safe.
class CommandRunner {
 public:
  CommandRunner(const Options& options, PlatformSession& session)
      : options_(options), session_(session) {}

  Report operator()(const ChangeCommand& command);
  Report operator()(const ChangeResultCommand& command);
  Report operator()(const ShowCommand& command);
  Report operator()(const StatusCommand& command);
  Report operator()(const ExplainServerCommand& command);
  Report operator()(const ExplainDataCentreCommand& command);
  Report operator()(const ExplainRefusalsCommand& command);
  Report operator()(const HelpCommand& command);

 private:
  /// Builds a change. Without --force, also checks the log for lost records and, when the change
  /// takes something out of service, the platform's host list. Errors: as BuildChange, kConflict.
  Result<Change> BuildCheckedChange(const ChangeCommand& command, const ChangeId& id,
                                    const ConfigState& state);
  /// Returns an error message when an entry host has applied more records than the log holds,
  /// otherwise empty.
  std::string FindLogInconsistency();
  /// Fetches the host statuses, the configuration and the host list, and calls `explain` with an
  /// Explainer of them.
  template <class Explain>
  Report ExplainWith(const Explain& explain);

  const Options& options_;
  PlatformSession& session_;
};

}  // namespace mulberry
