#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "libgateway/cap_gate.h"
#include "libgateway/fleet_view.h"
#include "libgateway/gateway_metrics.h"
#include "libgateway/peer_channel.h"

namespace mulberry::gateway {

/// Connects CapLimiter with the clocks, the datagrams and the calls that wait for tokens. Sends
/// nothing while the configuration has no workspace with a rate limit. Only for the thread that
/// runs the io_context.
class CapSync : public CapGate {
 public:
  struct Parts {
    asio::io_context& io;
    const FleetView& fleet;
    PeerChannel& peer_channel;
    GatewayMetrics& metrics;
    HostName host;
    StartId start;
    /// The deployment starts for the first time, so no host has served anything before.
    bool first_start = false;
    /// Names the sender of a datagram: host, start and addresses.
    std::function<HostHeartbeat()> sender;
  };
  /// Tells that a waiting call should be decided about again; `expired`: it has waited long enough.
  using WaitCallback = std::function<void(CallId, bool expired)>;

  explicit CapSync(Parts parts);

  void SetWaitCallback(WaitCallback callback) { wait_callback_ = std::move(callback); }
  void SetLimits(const workspace::CapLimits& limits);
  void SetWorkspaces(const std::vector<workspace::Workspace>& workspaces);
  /// Derives the roles of this host from the fleet; to be called often. Until the host list is
  /// complete, this host has no role.
  void UpdateRoles(bool host_list_complete);
  /// Handles a query or a grant; returns false if the message has neither.
  bool OnPeerMessage(const PeerMessage& message);

  void OnArrival(const WorkspaceName& workspace) override;
  workspace::CapDecision Decide(const WorkspaceName& workspace) override;
  bool Take(const WorkspaceName& workspace) override;
  void Wait(const WorkspaceName& workspace, CallId call) override;
  void OnRefused(const WorkspaceName& workspace, Duration retry_after) override;

 private:
  struct Waiter {
    CallId call;
    TimePoint until;
  };
  /// Refusals of one workspace since its last log line.
  struct Refusals {
    std::uint64_t count = 0;
    TimePoint logged_at;
  };

  workspace::CapTime ReadClocks();
  void OnGrant(const PeerMessage& message);
  void SendQueries(bool ahead);
  void Send(PeerMessage message, const std::string& address);
  void DecideAgain(const WorkspaceName& workspace);
  void LogSilentLenders(TimePoint now);
  void UpdateSuspension(TimePoint now);
  void Arm();
  void Tick();

  Parts parts_;
  workspace::CapLimiter limiter_;
  WaitCallback wait_callback_;
  asio::steady_timer timer_;
  TimePoint due_ = TimePoint::max();  ///< When the timer expires; max if it is not set.
  TimePoint started_at_;
  TimePoint last_read_;
  TimePoint sent_ahead_at_;
  /// After a pause of the process, its own buckets are not used until then.
  TimePoint suspended_until_;
  bool has_contact_ = true;
  bool suspended_ = false;
  std::map<HostName, std::string> lender_addresses_;
  std::unordered_map<WorkspaceName, std::vector<Waiter>> waiters_;
  std::unordered_map<WorkspaceName, Refusals> refusals_;
  std::vector<HostName> silent_lenders_;
  /// Until when calls may wait that are being decided about again.
  std::unordered_map<CallId, TimePoint> wait_ends_;
};

}  // namespace mulberry::gateway
