#pragma once

#include <asio/io_context.hpp>
#include <random>
#include <vector>

#include "libgateway/entry_keeper.h"
#include "libgateway/news_relay.h"
#include "libgateway/peer_channel.h"
#include "libgateway/platform_adapter.h"
#include "libgateway/store_reader.h"

namespace mulberry::gateway {

/// What a StoreView tells its owner. Called from the io_context's thread.
class StoreEvents {
 public:
  virtual ~StoreEvents() = default;
  virtual void OnOperatorFact(OperatorFact fact) = 0;
  /// Returns true when the entry changes what is known of the server.
  virtual bool OnServerEntry(const ServerEntry& entry) = 0;
  virtual void OnServerRemoved(const ServerName& id) = 0;
  /// All records of a read, or of what another host has read, have been taken.
  virtual void OnStoreUpdated() = 0;
  /// A read has failed, or has succeeded again.
  virtual void OnStoreReachable(bool reachable) = 0;
  /// To be sent to the hosts that rely on this one's reads.
  virtual void OnUpdateForPeers(PeerMessage message) = 0;
};

struct StoreViewOptions {
  /// Time after which news of a leaving server binds.
  Duration leaving_bound{};
};

/// This host's view of the operators' and the servers' topics. Few hosts read the store and tell
/// the others; a host that hears nothing for half of the time in which news binds reads for itself.
/// Only for the thread that runs the io_context.
class StoreView {
 public:
  StoreView(asio::io_context& io, StoreClient& store, const PlatformAdapter& adapter,
            StoreViewOptions options, StoreEvents& events);

  void Start();
  /// Call a few times a second. `is_reader`: this host reads for all; `nobody_reads`: the store
  /// answers no host.
  void Tick(bool is_reader, bool nobody_reads, TimePoint now);
  /// Takes what another host has read.
  void OnPeerUpdate(const PeerMessage& message, TimePoint now);
  /// Another host has read the operators' topic up to this offset.
  void OnPeerOffset(Offset operator_offset);
  void SetLeavingBound(Duration bound);

  /// True once both topics have been read since the start.
  bool complete() const { return operators_.complete() && servers_.complete(); }
  /// The store answers this host.
  bool reachable() const { return servers_.complete() && !servers_.failing(); }
  Offset operator_offset() const { return operators_.next_offset(); }

 private:
  void OnOperatorRecord(const TopicRecord& record);
  void OnServerRecord(const TopicRecord& record);
  void OnOperatorsRead(Offset before);
  void OnServersRead(Offset before);
  bool Hears(TimePoint now) const { return now - news_heard_ < patience_; }
  void ChoosePatience();

  const PlatformAdapter& adapter_;
  StoreViewOptions options_;
  StoreEvents& events_;
  EntryKeeper entries_;
  StoreReader operators_;
  StoreReader servers_;
  /// Records of the read that is being taken that change something.
  std::vector<TopicRecord> operator_changes_;
  std::vector<TopicRecord> server_changes_;
  NewsRelay operator_relay_;
  NewsRelay server_relay_;
  /// When another host last sent what it has read.
  TimePoint news_heard_;
  /// Silence of the readers after which this host reads for itself.
  Duration patience_{};
  bool caught_up_ = false;
  bool tells_others_ = false;
  std::minstd_rand random_{std::random_device{}()};
};

}  // namespace mulberry::gateway
