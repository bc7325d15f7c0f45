#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "libgateway/fleet_view.h"
#include "libgateway/gateway_metrics.h"
#include "libgateway/peer_channel.h"
#include "libgateway/platform_adapter.h"
#include "libgateway/rollout_status_log.h"
#include "libgateway/server_pool.h"
#include "librollout/rollout.h"

namespace mulberry::gateway {

/// The request that an attempt belongs to, and its server.
struct RolloutAttempt {
  const ServiceName& service;
  const std::string& route;
  const ServerName& server;
};

/// Restricts requests to the versions of servers that an order allows, and carries out orders with
/// the other hosts. Exists only where rollouts are on. Only for the thread that runs the
/// io_context.
class RolloutController {
 public:
  struct Parts {
    const PlatformAdapter& adapter;
    ServerPool& pool;
    FleetView& fleet;
    StoreClient& store;
    GatewayMetrics& metrics;
    HostName self;
    StartId start;
    rollout::Limits limits;
    /// Sends a message, with this host's heartbeat added, to the address.
    std::function<void(PeerMessage, const std::string&)> send;
  };

  explicit RolloutController(Parts parts);

  void SetLimits(const rollout::Limits& limits) { parts_.limits = limits; }
  /// Applies an operators' record; ignores those of other kinds.
  void OnOperatorUpdate(const OperatorUpdate& update, TimePoint now);
  /// Call when servers have changed; determines the versions in force.
  void OnServersChanged();
  void OnStoreEra(StoreEra era);
  void OnPeerMessage(const PeerMessage& message, TimePoint now);
  /// Call five times a second. `store_reachable`: the store responds to this host.
  void Tick(bool store_reachable, TimePoint now);

  /// Counts a caller's request.
  void OnRequest(const ServiceName& service);
  /// Selects a server of an allowed version. `first_attempt`: neither a retry nor a hedge.
  std::variant<NoServerReason, Selection> Select(SelectionRequest request, const std::string& route,
                                                 bool first_attempt, TimePoint now) const;
  /// An attempt starts, and ends.
  void OnSent(const ServiceName& service, const std::string& route, const AttemptContext& context);
  void OnEnd(const RolloutAttempt& attempt, const AttemptContext& context, AttemptOutcome end,
             TimePoint now);

 private:
  /// What is known of one service.
  struct ServiceState {
    /// Decided by a rollout or first known; empty while no server is known.
    ServerVersion in_force;
    /// The version for requests that do not go to the target: in_force while it has servers.
    ServerVersion usable;
    std::size_t target_servers = 0;
    /// The last order; stays after its end.
    std::optional<rollout::HostRollout> order;
    /// While this host is the coordinator.
    std::optional<rollout::Coordinator> coordinator;
    rollout::Phase logged_phase = rollout::Phase::kCanary;
    /// The current coordinator knows that the final state is recorded.
    bool acknowledged = false;
    TimePoint answered_at;
    /// Servers of the target that get requests in the canary phase.
    std::set<ServerName> canary_servers;
    std::map<ServerVersion, std::uint32_t> in_flight;
    /// The last invalid order.
    std::optional<InvalidRolloutUpdate> invalid;
  };

  void OnOrder(const rollout::Order& order, TimePoint now);
  void OnWithdrawn(const ServiceName& service);
  void OnInvalid(const InvalidRolloutUpdate& update);
  void OnRecorded(const rollout::Status& status);
  void OnReport(const PeerMessage& message, TimePoint now);
  void UpdateVersions(const ServiceName& service, const std::vector<const ServerEntry*>& entries);
  void ChooseCanaryServers(ServiceState& state,
                           const std::vector<const ServerEntry*>& entries) const;
  void TickCoordinator(ServiceState& state, TimePoint now);
  void ApplyState(ServiceState& state, const rollout::StateUpdate& update, TimePoint now);
  void SendReport(ServiceState& state, const std::vector<RankedHost>& ranked, TimePoint now);
  static std::uint32_t OthersInFlight(const ServiceState& state);
  /// The states that the store should hold, in the order in which they are to be written.
  std::deque<rollout::Status> WantedStatuses() const;
  std::optional<rollout::Status> WantedStatus(const ServiceName& service,
                                              const ServiceState& state) const;

  Parts parts_;
  RolloutStatusLog status_log_;
  std::map<ServiceName, ServiceState> services_;
  /// Final states of orders that were replaced before they were recorded.
  std::deque<rollout::Status> replaced_;
  HostName coordinator_host_;
  StartId coordinator_start_;
};

}  // namespace mulberry::gateway
