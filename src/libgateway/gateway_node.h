#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "libgateway/caller_server.h"
#include "libgateway/config_keeper.h"
#include "libgateway/fleet_view.h"
#include "libgateway/forwarder.h"
#include "libgateway/gateway_metrics.h"
#include "libgateway/gateway_settings.h"
#include "libgateway/health_checker.h"
#include "libgateway/host_list.h"
#include "libgateway/load_report_sync.h"
#include "libgateway/peer_channel.h"
#include "libgateway/platform_adapter.h"
#include "libgateway/server_pool.h"
#include "libgateway/store_client.h"
#include "libgateway/store_view.h"
#include "libgateway/sync_http_server.h"

namespace mulberry::gateway {

/// The process of one entry host on a platform with a metadata store: wires connections, decisions
/// and the store. Only for the thread that runs the io_context.
class GatewayNode : public StoreEvents {
 public:
  GatewayNode(asio::io_context& io, const GatewaySettings& settings, const PlatformAdapter& adapter,
              StartId start);
  ~GatewayNode() override;
  GatewayNode(const GatewayNode&) = delete;
  GatewayNode& operator=(const GatewayNode&) = delete;

  /// Errors: a port can't be opened.
  Result<void> Start();

  /// Takes settings that were read anew. Addresses and names stay as they are until a restart.
  void Reload(const GatewaySettings& settings);

  /// Leaves: not ready, gone from the directory, and ended when idle or shortly before the kill.
  void Stop();

 private:
  void OnOperatorFact(OperatorFact fact) override;
  bool OnServerEntry(const ServerEntry& entry) override;
  void OnServerRemoved(const ServerName& id) override;
  void OnStoreUpdated() override;
  void OnStoreReachable(bool reachable) override;
  void OnUpdateForPeers(PeerMessage message) override;

  void TakeConfig(Config config, TimePoint now);
  HostBeat OwnBeat() const;
  void MeasureRate(TimePoint now);
  HttpResponse AnswerReadiness(const HttpMessage& question) const;
  HttpResponse AnswerAddresses(const HttpMessage& question) const;
  void OnPeer(const PeerMessage& message);
  void SendBeat();
  void BeatSoon();
  void Tick();
  void UpdateShares(TimePoint now);
  bool Ready() const;
  double ColdShare(TimePoint now) const;
  void SetGauges();
  bool StopIsDue(TimePoint now) const;
  void End();

  asio::io_context& io_;
  GatewaySettings settings_;
  const PlatformAdapter& adapter_;
  StartId start_;
  GatewayMetrics metrics_;
  ConfigKeeper config_;
  ServerPool pool_;
  FleetView fleet_;
  StoreClient store_;
  StoreView store_view_;
  HostList host_list_;
  PeerChannel peers_;
  Forwarder forwarder_;
  HealthChecker load_watch_;
  LoadReportSync load_sharing_;
  SyncHttpServer readiness_;
  SyncHttpServer directory_;
  SyncHttpServer metrics_server_;
  CallerServer callers_;
  asio::steady_timer tick_timer_;
  asio::steady_timer beat_timer_;
  asio::steady_timer end_timer_;
  TimePoint started_;
  TimePoint stop_began_;
  double request_rate_ = 0;  ///< Requests a second, smoothed.
  std::uint64_t counted_requests_ = 0;
  TimePoint counted_at_;
  std::uint64_t beats_ = 0;
  /// Beats that still go to all hosts.
  std::uint32_t beats_to_all_ = 0;
  bool stopping_ = false;
  bool was_ready_ = false;
};

}  // namespace mulberry::gateway
