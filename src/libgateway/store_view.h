#pragma once

#include <asio/io_context.hpp>
#include <optional>
#include <random>
#include <vector>

#include "libgateway/catch_up_policy.h"
#include "libgateway/peer_channel.h"
#include "libgateway/platform_adapter.h"
#include "libgateway/server_history.h"
#include "libgateway/server_removal_policy.h"
#include "libgateway/store_reader.h"
#include "libgateway/store_update_relay.h"

namespace mulberry::gateway {

/// Receives the events of a StoreView. Called on the io_context's thread.
class StoreEvents {
 public:
  virtual ~StoreEvents() = default;
  virtual void OnOperatorUpdate(OperatorUpdate update) = 0;
  /// Returns true when the entry changes the known state of the server.
  virtual bool OnServerEntry(const ServerEntry& entry) = 0;
  virtual void OnServerRemoved(const ServerName& id) = 0;
  /// True when the server, in the lifetime last passed to OnServerEntry, has said in a response
  /// that it is leaving.
  virtual bool HasAnnouncedLeaving(const ServerName& id) const = 0;
  /// False when the configuration in force doesn't name the service.
  virtual bool MayBeService(const ServiceName& service) const = 0;
  /// The store was restored: it is in a newer era, and what was written last may be missing.
  virtual void OnStoreEra(StoreEra era) = 0;
  /// All records of a read, or of the update of another host, have been delivered.
  virtual void OnStoreUpdated() = 0;
  /// The store has stopped responding to reads, or responds again.
  virtual void OnStoreReachable(bool reachable) = 0;
  /// All operators' records that were in the store at `sent` have been delivered.
  virtual void OnOperatorTopicEnd(TimePoint sent) = 0;
  /// The message is to be sent to the hosts for which this one reads the store.
  virtual void OnUpdateForPeers(PeerMessage message) = 0;
};

struct StoreViewOptions {
  /// Time within which every host must stop using a server that has announced that it is leaving.
  Duration leaving_bound{};
  /// Interval at which a server writes its entry.
  Duration server_heartbeat{};
};

/// This host's view of the operators' and the servers' topics. Few hosts read the store and relay
/// changes to the others; a host that receives no update for half of
/// StoreViewOptions::leaving_bound reads the store itself. Only for the thread that runs the
/// io_context.
class StoreView {
 public:
  StoreView(asio::io_context& io, StoreClient& store, const PlatformAdapter& adapter,
            StoreViewOptions options, StoreEvents& events);

  /// Call before the first Tick.
  void Start();
  /// Call a few times a second. `is_reader`: this host is chosen to read the store for others.
  /// `store_unreachable`: the store responds to no host.
  void Tick(bool is_reader, bool store_unreachable, TimePoint now);
  /// The store is in this era, as another host or a response says.
  void OnEra(StoreEra era, TimePoint now);
  /// Applies what another host has read. Precondition: OnEra was called with the updates' eras.
  void OnPeerUpdate(const PeerMessage& message, TimePoint now);
  /// Another host has applied `theirs`, this one `own`. Returns true when that host should be asked
  /// for what is missing here.
  bool OnPeerState(const OperatorState& own, const OperatorState& theirs, TimePoint now);
  /// Returns the operators' records for a host that has applied them up to `from`, as far as they
  /// are kept; empty if it lacks none.
  std::vector<TopicUpdate> OperatorUpdatesFor(TopicPosition from) const;
  /// The record of the newest configuration; empty without one.
  const std::optional<TopicRecord>& newest_config() const { return newest_config_; }
  /// Applies the newest configuration of another host.
  void OnPeerConfig(const TopicRecord& record);
  void SetLeavingBound(Duration bound);
  /// Reads the operators' topic now, see StoreEvents::OnOperatorTopicEnd; does nothing if such a
  /// read is running or the store does not respond.
  void ReadOperatorTopicEnd() { operators_.ReadBeside(); }

  /// True once both topics have been read since the start.
  bool complete() const { return operators_.complete() && servers_.complete(); }
  /// The store responds to this host.
  bool reachable() const { return servers_.complete() && !servers_.failing(); }
  TopicPosition operator_position() const { return operators_.position(); }
  /// What others need not send again, see TopicFollower::applied_position.
  TopicPosition applied_operator_position() const { return operators_.applied_position(); }

 private:
  void OnOperatorRecord(const TopicRecord& record, RecordSource source);
  void ApplyDataCentre(const DataCentreOutUpdate& update, RecordSource source);
  void OnServerRecord(const TopicRecord& record, RecordSource source);
  void RemoveServer(const ServerName& id);
  void OnOperatorTopicRead(TopicPosition before);
  void KeepOperatorChanges(TopicPosition before);
  void OnServerTopicRead(TopicPosition before);
  bool ReceivesUpdates(TimePoint now) const { return now - last_peer_update_ < silence_timeout_; }
  void ChooseSilenceTimeout();

  const PlatformAdapter& adapter_;
  StoreViewOptions options_;
  StoreEvents& events_;
  ServerRemovalPolicy removal_policy_;
  RemovalPolicy<DataCentreName> data_centre_policy_;
  ServerHistory history_;
  StoreReader operators_;
  StoreReader servers_;
  /// Records of the current read that change the state.
  std::vector<TopicRecord> operator_changes_;
  std::vector<TopicRecord> server_changes_;
  StoreUpdateRelay operator_relay_;
  CatchUpPolicy catch_up_;
  StoreUpdateRelay server_relay_;
  std::optional<TopicRecord> newest_config_;
  ConfigVersion newest_version_;
  StoreEra era_;
  /// Until then, all entries read are relayed, not only those that are news here: after a restore
  /// each host has put together what it knew and what it read.
  TimePoint relay_all_until_;
  /// When another host last sent records that it had read.
  TimePoint last_peer_update_;
  /// Time without updates after which this host reads the store itself.
  Duration silence_timeout_{};
  TimePoint started_at_;
  bool initial_read_done_ = false;
  bool relays_to_peers_ = false;
  std::minstd_rand random_{std::random_device{}()};
};

}  // namespace mulberry::gateway
