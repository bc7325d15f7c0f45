#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "libgateway/active_config.h"
#include "libgateway/caller_session.h"
#include "libgateway/fleet_view.h"
#include "libgateway/forwarder.h"
#include "libgateway/gateway_metrics.h"
#include "libgateway/gateway_settings.h"
#include "libgateway/host_list.h"
#include "libgateway/load_sharing.h"
#include "libgateway/load_watch.h"
#include "libgateway/peer_channel.h"
#include "libgateway/platform_adapter.h"
#include "libgateway/question_server.h"
#include "libgateway/server_pool.h"
#include "libgateway/store_client.h"
#include "libgateway/store_view.h"

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
  void OnOperatorFact(OperatorUpdate fact) override;
  bool OnServerEntry(const ServerEntry& entry) override;
  void OnServerGone(const ServerName& id) override;
  void OnStoreUpdated() override;
  void OnStoreReachable(bool reachable) override;
  void OnNews(PeerMessage message) override;

  void TakeConfig(Config config, TimePoint now);
  HostHeartbeat OwnBeat() const;
  void MeasureRate(TimePoint now);
  QuestionAnswer AnswerReadiness(const HttpMessage& question) const;
  QuestionAnswer AnswerAddresses(const HttpMessage& question) const;
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
  ActiveConfig config_;
  ServerPool pool_;
  FleetView fleet_;
  StoreClient store_;
  StoreView store_view_;
  HostList host_list_;
  PeerChannel peers_;
  Forwarder forwarder_;
  LoadWatch load_watch_;
  LoadSharing load_sharing_;
  QuestionServer readiness_;
  QuestionServer directory_;
  QuestionServer metrics_server_;
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
