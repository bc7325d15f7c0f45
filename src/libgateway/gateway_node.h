#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "libgateway/active_config.h"
#include "libgateway/caller_server.h"
#include "libgateway/cap_sync.h"
#include "libgateway/fleet_view.h"
#include "libgateway/forwarder.h"
#include "libgateway/gateway_metrics.h"
#include "libgateway/gateway_settings.h"
#include "libgateway/health_checker.h"
#include "libgateway/host_list.h"
#include "libgateway/load_report_sync.h"
#include "libgateway/peer_channel.h"
#include "libgateway/platform_adapter.h"
#include "libgateway/proof_exchange.h"
#include "libgateway/rollout_controller.h"
#include "libgateway/server_pool.h"
#include "libgateway/shutdown_policy.h"
#include "libgateway/store_client.h"
#include "libgateway/store_view.h"
#include "libgateway/sync_http_server.h"

namespace mulberry::gateway {

/// Runs one entry host on a platform with a metadata store: connects the HTTP servers, the
/// forwarder, the server pool and the store readers. Only for the thread that runs the io_context.
class GatewayNode : public StoreEvents {
 public:
  GatewayNode(asio::io_context& io, const GatewaySettings& settings, const PlatformAdapter& adapter,
              StartId start);
  ~GatewayNode() override;
  GatewayNode(const GatewayNode&) = delete;
  GatewayNode& operator=(const GatewayNode&) = delete;

  /// Opens all ports and starts serving. Errors: a port can't be opened.
  Result<void> Start();

  /// Applies reloaded settings. Changed addresses and names take effect only after a restart.
  void Reload(const GatewaySettings& settings);

  /// Shuts down gracefully: reports not ready, leaves the directory, serves while callers cache its
  /// address, then closes what is idle, and exits once no connection is left or shortly before the
  /// grace period ends. The grace period is that of the settings at this time.
  void Stop();

 private:
  void OnOperatorUpdate(OperatorUpdate update) override;
  bool OnServerEntry(const ServerEntry& entry) override;
  void OnServerRemoved(const ServerName& id) override;
  bool HasAnnouncedLeaving(const ServerName& id) const override;
  bool MayBeService(const ServiceName& service) const override;
  void OnStoreEra(StoreEra era) override;
  void OnStoreUpdated() override;
  void OnStoreReachable(bool reachable) override;
  void OnOperatorTopicEnd(TimePoint sent) override;
  void OnUpdateForPeers(PeerMessage message) override;

  void ApplyConfig(Config config, TimePoint now);
  std::optional<RolloutController> MakeRolloutController();
  HostHeartbeat OwnHeartbeat() const;
  /// Names this host as the sender of a datagram that is no heartbeat.
  HostHeartbeat SenderOnly() const;
  void MeasureRequestRate(TimePoint now);
  HttpResponse HandleReadiness(const HttpMessage& request) const;
  HttpResponse HandleAddressQuery(const HttpMessage& request) const;
  void OnPeerMessage(const PeerMessage& message);
  void SendOperatorRecords(const HostHeartbeat& receiver);
  void CheckReady();
  void SendHeartbeat();
  void SendHeartbeatNow();
  void Tick();
  void UpdateFleetState(TimePoint now);
  bool Ready() const;
  double ColdShare(TimePoint now) const;
  placement::SenderPosition Senders(TimePoint now) const;
  void UpdateGauges();
  void ContinueShutdown(TimePoint now);
  /// Logs how long the shutdown has lasted and what the callers' connections are doing.
  void LogShutdown(const char* event, TimePoint now) const;
  void FinishShutdown(TimePoint now);
  void ExitOnceWritten();

  asio::io_context& io_;
  GatewaySettings settings_;
  const PlatformAdapter& adapter_;
  StartId start_;
  MemoryBudget memory_;
  GatewayMetrics metrics_;
  ActiveConfig config_;
  ServerPool pool_;
  FleetView fleet_;
  StoreClient store_;
  StoreView store_view_;
  HostList host_list_;
  PeerChannel peer_channel_;
  std::optional<RolloutController> rollout_;  ///< Set where rollouts are on.
  CapSync cap_sync_;
  Forwarder forwarder_;
  ProofExchange proof_exchange_;
  HealthChecker health_checker_;
  LoadReportSync load_report_sync_;
  SyncHttpServer readiness_server_;
  SyncHttpServer directory_server_;
  SyncHttpServer metrics_server_;
  CallerServer caller_server_;
  asio::steady_timer tick_timer_;
  asio::steady_timer heartbeat_timer_;
  asio::steady_timer exit_timer_;
  TimePoint started_at_;
  TimePoint next_tick_at_ = TimePoint::max();
  /// Set once the host shuts down.
  std::optional<ShutdownPolicy> shutdown_;
  TimePoint shutdown_started_at_;
  TimePoint shutdown_logged_at_;
  double request_rate_ = 0;               ///< Requests per second, moving average.
  std::uint64_t rate_request_count_ = 0;  ///< Requests at the last measurement of the rate.
  TimePoint rate_measured_at_;
  std::uint64_t heartbeats_sent_ = 0;
  /// Number of coming heartbeats that go to all hosts.
  std::uint32_t broadcasts_left_ = 0;
  bool was_ready_ = false;
  bool exiting_ = false;
};

}  // namespace mulberry::gateway
