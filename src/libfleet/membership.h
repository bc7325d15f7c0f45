#pragma once

#include <memory>
#include <utility>
#include <vector>

#include "libfleet/host_list.h"
#include "libfleet/peer_message.h"

namespace mulberry {

/// Times of membership.
struct MembershipOptions {
  Duration heartbeat_interval = std::chrono::milliseconds(250);
  /// A peer not heard of for this long counts as dead.
  Duration heartbeat_timeout = std::chrono::milliseconds(1000);
  /// Without news of the log for this long a host takes no new work, unless the log is down for
  /// all.
  Duration max_log_age = std::chrono::milliseconds(2000);
  /// A host of another data centre to which a request failed counts as not live for this long.
  Duration suspicion_time = std::chrono::milliseconds(3000);
  /// Hosts of each data centre that exchange heartbeats with other data centres.
  std::uint32_t heartbeat_gateways = 2;
};

/// What this host says about itself.
struct SelfDescription {
  Incarnation self;
  DataCentreName data_centre;
  std::string http_address;
  std::string peer_address;
};

/// Why a host may or may not take new work.
enum class WorkPermission {
  kLogRead,        ///< It, or a peer that it hears, read the log lately.
  kLogDownForAll,  ///< Nobody reads the log, but most data centres are heard.
  kCutOff,         ///< Neither log nor most data centres: the configuration may have changed.
  kNoConfig,       ///< Never learned the configuration.
};

/// Combines the platform's lagging list with what peers say: who is live, who is sent heartbeats,
/// and whether this host may take new work. Pure and not thread safe; time must not go back.
class Membership {
 public:
  Membership(SelfDescription self, MembershipOptions options, TimePoint start);
  ~Membership();
  Membership(Membership&&) noexcept;

  /// Takes a new version of the platform's list. Hosts that left it are forgotten once they are
  /// silent.
  void SetHostList(const std::vector<EntryHostEntry>& entry_hosts, TimePoint now);

  /// Marks this host as leaving; said in each heartbeat from then on.
  void SetLeaving();

  /// Notes a successful read of the log to its end, applied to the configuration; `sent` is when
  /// the read was sent. (An answer can lie in a paused process's socket for long.)
  void OnLogRead(TimePoint sent);

  /// Sets how far this host has applied the configuration.
  void SetConfigMark(ConfigMark config);

  /// Takes a heartbeat or an acknowledgement. Returns true when the sender's incarnation is new.
  bool OnHeartbeat(const Incarnation& from, const Heartbeat& heartbeat, TimePoint now);
  bool OnHeartbeatAck(const Incarnation& from, const HeartbeatAck& ack, TimePoint now);

  /// True when the next heartbeats are due.
  bool HeartbeatDue(TimePoint now) const;

  /// Returns the peers to send the next heartbeats to and starts the next interval. A pause of this
  /// process leads to one round, not to a burst.
  std::vector<HostName> NextHeartbeatPeers(TimePoint now);

  /// Fills all of a heartbeat but `wanted`, and notes that it is sent now. Calls SetConfigMark.
  /// Sequences of two incarnations of a host do not overlap.
  Heartbeat MakeHeartbeat(ConfigMark config, TimePoint now);

  /// Fills all of an acknowledgement but `grants`. Calls SetConfigMark.
  HeartbeatAck MakeAck(const Heartbeat& heartbeat, ConfigMark config, TimePoint now);

  /// Hosts of this data centre that are live and not leaving, this one included unless it leaves.
  std::vector<HostName> LiveInOwnDataCentre(TimePoint now) const;

  /// Hosts of this data centre that the platform lists or that were heard lately, live or not.
  std::vector<HostName> KnownInOwnDataCentre(TimePoint now) const;

  /// Hosts of another data centre, those believed live and not leaving first; for address answers
  /// and forwarding.
  std::vector<HostName> HostsIn(const DataCentreName& data_centre, TimePoint now) const;

  /// Hosts of a data centre that are believed live and not leaving; all that HostsIn knows when
  /// there is none. Owners are looked for among these.
  std::vector<HostName> LiveHostsIn(const DataCentreName& data_centre, TimePoint now) const;

  /// Hosts of a data centre that were heard lately and do not leave, so that their incarnation is
  /// known.
  std::vector<HostName> RecentlyHeardIn(const DataCentreName& data_centre, TimePoint now) const;

  /// True when a message of the host came after `since`.
  bool HeardSince(const HostName& host, TimePoint since) const;

  /// Data centres with at least one listed entry host.
  std::vector<DataCentreName> DataCentres() const;

  /// Notes that a request to a host failed, so that it counts as not live until heard again.
  void Suspect(const HostName& host, TimePoint now);

  /// Returns the entry of a host, nullptr when it is not known.
  const EntryHostEntry* Find(const HostName& host) const;

  /// Incarnation last heard of a host; start id zero when it was never heard.
  Incarnation IncarnationOf(const HostName& host) const;

  /// Whether new work may be taken; `has_config` says if a configuration is known.
  WorkPermission MayTakeWork(bool has_config, TimePoint now) const;

  /// Newest configuration mark that a live peer announced, and who did.
  std::pair<HostName, ConfigMark> NewestPeerConfig(TimePoint now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace mulberry
