#pragma once

#include <memory>
#include <utility>
#include <vector>

#include "libfleet/host_list.h"
#include "libfleet/peer_message.h"

namespace mulberry {

/// Timing and size limits of membership.
struct MembershipOptions {
  Duration heartbeat_interval = std::chrono::milliseconds(250);
  /// A peer from which no message arrives for this long counts as dead.
  Duration heartbeat_timeout = std::chrono::milliseconds(1000);
  /// If neither this host nor a peer has read the log for this long, the host takes no new work,
  /// unless the log is down for all hosts.
  Duration max_log_age = std::chrono::milliseconds(2000);
  /// After a failed request to a host of another data centre, the host counts as not live for this
  /// long.
  Duration suspicion_time = std::chrono::milliseconds(3000);
  /// Hosts of each data centre that exchange heartbeats with other data centres.
  std::uint32_t heartbeat_gateways = 2;
};

/// Identity and addresses of this host.
struct SelfDescription {
  Incarnation self;
  DataCentreName data_centre;
  std::string http_address;
  std::string peer_address;
};

/// Why a host may or may not take new work.
enum class WorkPermission {
  kLogRead,        ///< This host, or a peer that answers it, has read the log recently.
  kLogDownForAll,  ///< No host can read the log, but most data centres are reachable.
  kCutOff,    ///< Neither the log nor most data centres are reachable; configuration may be stale.
  kNoConfig,  ///< No configuration has been received yet.
};

/// Combines the platform's host list, which may be out of date, with messages from peers. Decides
/// which hosts are live, which are sent heartbeats, and whether this host may take new work.
/// Performs no I/O; not thread safe. Times passed in must not decrease.
class Membership {
 public:
  Membership(SelfDescription self, MembershipOptions options, TimePoint start);
  ~Membership();
  Membership(Membership&&) noexcept;

  /// Applies a new version of the platform's list. Hosts that are no longer listed are removed once
  /// they have been silent for three heartbeat timeouts.
  void SetHostList(const std::vector<EntryHostEntry>& entry_hosts, TimePoint now);

  /// Marks this host as leaving. All later heartbeats and acknowledgements announce it.
  void SetLeaving();

  /// Records a successful read of the log to its end that was applied to the configuration. `sent`
  /// is when the read was sent, since the answer can wait in the socket of a paused process.
  void OnLogRead(TimePoint sent);

  /// Sets how far this host has applied the configuration.
  void SetConfigMark(ConfigMark config);

  /// Processes a heartbeat or an acknowledgement. Returns true if the sender's incarnation is new.
  bool OnHeartbeat(const Incarnation& from, const Heartbeat& heartbeat, TimePoint now);
  bool OnHeartbeatAck(const Incarnation& from, const HeartbeatAck& ack, TimePoint now);

  /// True when the next heartbeats are due.
  bool HeartbeatDue(TimePoint now) const;

  /// Returns the peers to send the next heartbeats to and starts the next interval. After a pause
  /// of this process, missed intervals are skipped rather than sent in a burst.
  std::vector<HostName> NextHeartbeatPeers(TimePoint now);

  /// Returns a heartbeat with all fields but `wanted` set, and records it as sent at `now`. Calls
  /// SetConfigMark. Sequence numbers of two incarnations of a host do not overlap.
  Heartbeat MakeHeartbeat(ConfigMark config, TimePoint now);

  /// Returns an acknowledgement with all fields but `grants` set. Calls SetConfigMark.
  HeartbeatAck MakeAck(const Heartbeat& heartbeat, ConfigMark config, TimePoint now);

  /// Hosts of this data centre that are live and not leaving, including this one unless it is
  /// leaving.
  std::vector<HostName> LiveInOwnDataCentre(TimePoint now) const;

  /// Hosts of this data centre, live or not, that the platform lists or that sent a message within
  /// three heartbeat timeouts.
  std::vector<HostName> KnownInOwnDataCentre(TimePoint now) const;

  /// Hosts of a data centre, those presumed live and not leaving first. Used for address answers
  /// and forwarding.
  std::vector<HostName> HostsIn(const DataCentreName& data_centre, TimePoint now) const;

  /// Hosts of a data centre that are presumed live and not leaving; the result of HostsIn if there
  /// are none. Group owners are chosen from these.
  std::vector<HostName> LiveHostsIn(const DataCentreName& data_centre, TimePoint now) const;

  /// Hosts of a data centre that sent a message recently and are not leaving, so that their
  /// incarnation is known.
  std::vector<HostName> RecentlyHeardIn(const DataCentreName& data_centre, TimePoint now) const;

  /// True if a message from the host arrived after `since`.
  bool HeardSince(const HostName& host, TimePoint since) const;

  /// Data centres with at least one listed entry host.
  std::vector<DataCentreName> DataCentres() const;

  /// Records that a request to a host failed. The host counts as not live until its next message;
  /// in another data centre at most for suspicion_time.
  void Suspect(const HostName& host, TimePoint now);

  /// Returns the list entry of a host; nullptr if the host is unknown.
  const EntryHostEntry* Find(const HostName& host) const;

  /// Last known incarnation of a host; start id zero if no message from it has arrived.
  Incarnation IncarnationOf(const HostName& host) const;

  /// Whether this host may take new work. `has_config`: a configuration has been received.
  WorkPermission MayTakeWork(bool has_config, TimePoint now) const;

  /// Newest configuration mark that a live peer announced, and that peer.
  std::pair<HostName, ConfigMark> NewestPeerConfig(TimePoint now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace mulberry
