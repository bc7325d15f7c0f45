#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <set>
#include <vector>

#include "libgateway/caller_session.h"
#include "libgateway/config_keeper.h"
#include "libgateway/entry_keeper.h"
#include "libgateway/fleet_view.h"
#include "libgateway/forwarder.h"
#include "libgateway/gateway_metrics.h"
#include "libgateway/gateway_settings.h"
#include "libgateway/load_watch.h"
#include "libgateway/news_relay.h"
#include "libgateway/peer_channel.h"
#include "libgateway/platform_adapter.h"
#include "libgateway/question_server.h"
#include "libgateway/server_pool.h"
#include "libgateway/store_reader.h"

namespace mulberry::gateway {

/// The process of one entry host on a platform with a metadata store: wires connections, decisions
/// and the store. Only for the thread that runs the io_context.
class GatewayNode {
 public:
  GatewayNode(asio::io_context& io, const GatewaySettings& settings, const PlatformAdapter& adapter,
              StartId start);
  ~GatewayNode();

  /// Errors: a port can't be opened.
  Result<void> Start();

  /// Takes settings that were read anew. Addresses and names stay as they are until a restart.
  void Reload(const GatewaySettings& settings);

  /// Leaves: not ready, gone from the directory, and ended when idle or shortly before the kill.
  void Stop();

 private:
  void OnOperatorRecord(const TopicRecord& record);
  void OnServerRecord(const TopicRecord& record);
  void OnHostRecord(const TopicRecord& record);
  void OnServersRead(Offset before);
  void OnOperatorRead(Offset before);
  void OnNews(const PeerMessage& message, TimePoint now);
  void ChooseReaders(TimePoint now);
  void WatchLoad();
  PeerMessage LoadMessage(const std::set<ServerName>& servers, TimePoint now) const;
  HostBeat OwnBeat() const;
  void MeasureRate(TimePoint now);
  std::vector<std::string> AllPeers() const;
  QuestionAnswer AnswerReadiness(const HttpMessage& question) const;
  QuestionAnswer AnswerAddresses(const HttpMessage& question) const;
  void OnPeer(const PeerMessage& message);
  void SendBeat();
  void Announce();
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
  EntryKeeper entries_;
  FleetView fleet_;
  StoreClient store_;
  StoreReader operator_reader_;
  StoreReader server_reader_;
  StoreReader host_reader_;
  PeerChannel peers_;
  Forwarder forwarder_;
  LoadWatch load_watch_;
  QuestionServer readiness_;
  QuestionServer directory_;
  QuestionServer metrics_server_;
  CallerServer callers_;
  asio::steady_timer tick_timer_;
  asio::steady_timer beat_timer_;
  asio::steady_timer announce_timer_;
  asio::steady_timer load_timer_;
  asio::steady_timer end_timer_;
  TimePoint started_;
  TimePoint stop_began_;
  /// When another host last sent what it has read of the store.
  TimePoint news_heard_;
  bool caught_up_ = false;
  double request_rate_ = 0;  ///< Requests a second, smoothed.
  std::uint64_t counted_requests_ = 0;
  TimePoint counted_at_;
  /// Records of the reads that are being taken, for the other hosts.
  std::vector<TopicRecord> server_changes_;
  std::vector<TopicRecord> operator_changes_;
  NewsRelay server_relay_;
  NewsRelay operator_relay_;
  /// Servers whose load the other data centres have not been told yet.
  std::set<ServerName> remote_news_;
  TimePoint remote_told_;
  bool stopping_ = false;
  bool was_ready_ = false;
};

}  // namespace mulberry::gateway
