#pragma once

#include "libgateway/types.h"
#include "libworkspace/workspace.h"

namespace mulberry::gateway {

/// Decides whether requests of workspaces with a rate limit may be sent to servers. Only for the
/// thread that runs the io_context.
class CapGate {
 public:
  virtual ~CapGate() = default;

  /// Counts a request that has arrived.
  virtual void OnArrival(const WorkspaceName& workspace) = 0;
  /// Decides about one more request; takes nothing.
  virtual workspace::CapDecision Decide(const WorkspaceName& workspace) = 0;
  /// Takes a token for a send that happens now; false if there is none.
  virtual bool Take(const WorkspaceName& workspace) = 0;
  /// Adds a call to those that wait for a token. Its owner is told when to decide again, at the
  /// latest after some tens of milliseconds.
  virtual void Wait(const WorkspaceName& workspace, CallId call) = 0;
  /// A call was refused because no token is available.
  virtual void OnRefused(const WorkspaceName& workspace, Duration retry_after) = 0;
};

}  // namespace mulberry::gateway
