#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "libgateway/types.h"

namespace mulberry::gateway {

/// The state that an entry host sends to the other hosts many times a minute.
struct HostHeartbeat {
  HostRecord record;
  StartId start;
  std::string caller_address;  ///< "ip:port" for callers.
  bool leaving = false;
  bool ready = false;
  ConfigVersion version;
  /// The host has applied the operators' topic up to this position.
  TopicPosition operator_position;
  /// The host can reach the store.
  bool store_reachable = false;
  /// Fraction of the servers in the host's data centre that accept requests, as the host sees it.
  double local_usable_share = 1;
  /// Requests per second that the host received recently.
  double request_rate = 0;
};

/// A host's position among the hosts advertised to the callers of its data centre.
struct AdvertisedPosition {
  std::uint32_t index = 0;
  std::uint32_t count = 0;  ///< Zero when the host is not advertised.
};

/// Hosts to ask for a proof that the configuration is the newest.
struct ProofSources {
  /// Of all alive hosts that can reach the store, this one ranks first: the others ask it.
  bool self_is_first = false;
  /// Peer addresses of the other alive hosts: those that can reach the store, then the rest, each
  /// by rank.
  std::vector<std::string> peers;
};

/// An alive host, see FleetView::FirstRanked.
struct RankedHost {
  HostName host;
  std::string peer_address;
  bool is_self = false;
  StartId start;  ///< Not set for this host.
};

struct FleetOptions {
  HostRecord self;
  std::string self_caller_address;
  /// Minimum number of hosts per data centre that are advertised to callers; more are advertised
  /// when the request rate needs more capacity.
  std::uint32_t min_advertised_hosts = 2;
  /// A host without a heartbeat for this long is no longer advertised to callers.
  Duration heartbeat_timeout = std::chrono::milliseconds(1600);
  /// The same for hosts of other data centres that send heartbeats less often.
  Duration remote_heartbeat_timeout = std::chrono::milliseconds(3600);
};

/// Recipients of a heartbeat.
enum class HeartbeatScope {
  kNear,  ///< Hosts of the data centre, and remote hosts that are advertised or next in rank.
  kFar,   ///< Hosts of the data centre; if the sender is advertised or next in rank, all hosts.
  kAll,   ///< All hosts, for a host's first and last heartbeats.
};

/// The known entry hosts, which of them are alive, and which are advertised to callers. Does no
/// I/O: time is passed in. Not thread safe.
class FleetView {
 public:
  explicit FleetView(FleetOptions options);

  /// Adds a host from the store's list; it counts as alive only after its first heartbeat.
  void Register(const HostRecord& record);
  /// Applies a heartbeat; returns false when it is from an earlier start of the sender or from this
  /// host.
  bool OnHeartbeat(const HostHeartbeat& heartbeat, TimePoint now);
  /// Sets the state of this host.
  void SetOwnState(bool ready, bool leaving, bool store_reachable);

  /// Addresses to send a heartbeat to. Hosts of other data centres need heartbeats only from hosts
  /// that are advertised or next in rank, which limits the traffic of a large fleet.
  std::vector<std::string> HeartbeatTargets(HeartbeatScope scope, TimePoint now) const;
  /// Number of hosts of this host's data centre that are registered or sent a heartbeat, including
  /// this one.
  std::size_t HostCountInDataCentre() const;
  std::size_t HostCount() const { return peers_.size() + 1; }

  /// Addresses for a caller of a data centre: its advertised hosts. If it has none, or few of its
  /// servers accept requests, the advertised hosts of other data centres are returned, which know
  /// the load of the servers there. Never empty while this host is ready.
  std::vector<std::string> AddressesFor(const DataCentreName& data_centre, TimePoint now) const;
  /// This host's position among the hosts advertised to the callers of its data centre.
  AdvertisedPosition OwnAdvertisedPosition(TimePoint now) const;
  /// Peer addresses of the other hosts advertised in this data centre, with which server state is
  /// shared.
  std::vector<std::string> OtherAdvertisedPeers(TimePoint now) const;
  /// Peer addresses of the hosts advertised in the other data centres.
  std::vector<std::string> RemoteAdvertisedPeers(TimePoint now) const;
  /// Sets HostHeartbeat::local_usable_share of this host.
  void SetLocalUsableShare(double share) { local_usable_share_ = share; }
  /// Sets HostHeartbeat::request_rate of this host.
  void SetRequestRate(double rate) { request_rate_ = rate; }
  /// True when this host reads the store on behalf of others. Each large data centre has one
  /// reader. All other data centres share two readers, in two different data centres if possible:
  /// the hosts first in rank that are alive and can reach the store. If no host can reach it, the
  /// readers are chosen from all alive hosts.
  bool IsStoreReader(TimePoint now) const;
  /// True when no host of this host's reader group can reach the store.
  bool IsStoreUnreachable(TimePoint now) const;
  ProofSources FindProofSources(TimePoint now) const;
  /// Addresses of the hosts of this host's reader group, for which it may have to read.
  std::vector<std::string> StoreUpdateTargets() const;
  /// Up to `count` alive hosts of all data centres in order of rank: those that reach the store, or
  /// all if none does.
  std::vector<RankedHost> FirstRanked(std::size_t count, TimePoint now) const;
  /// True when this host would be advertised even if every registered host were alive.
  bool IsAdvertisedByDefault() const;
  /// Number of such hosts over all data centres.
  std::size_t DefaultAdvertisedCount() const;
  /// The registered host that ranks first in each data centre, alive or not; this host's own data
  /// centre comes first, the others by name.
  std::vector<HostRecord> FirstInRank() const;
  /// False when this host may be cut off, so that its configuration may be outdated: neither it nor
  /// a host that it hears reaches the store, and fewer than half of the hosts that are first in
  /// rank are heard. If the store is down for all, the latter are.
  bool HasRecentContact(TimePoint now) const;

 private:
  struct Peer {
    HostHeartbeat heartbeat;
    bool seen = false;
    TimePoint last_heartbeat;
    /// Its last two heartbeats came in quick succession, so the next one is expected as soon.
    bool frequent = false;
    /// The previous start of the host; late datagrams from it are ignored.
    StartId old_start;
  };
  /// Hosts with more capacity come first; equal ones are ordered by a hash.
  using Rank = std::pair<double, std::uint64_t>;

  struct HostState {
    Rank rank;
    HostName host;
    DataCentreName data_centre;
    std::string caller_address;
    std::string peer_address;
    bool is_self = false;
    bool ready = false;
    bool store_reachable = false;
    double local_usable_share = 1;
    double request_rate = 0;
    bool operator<(const HostState& other) const { return rank < other.rank; }
  };

  /// Alive hosts that are not leaving, by rank.
  std::vector<HostState> AliveHosts(TimePoint now) const;
  bool IsAlive(const Peer& peer, TimePoint now) const;
  /// Data centres with a reader of their own.
  std::set<DataCentreName> LargeDataCentres() const;
  /// The alive hosts of this host's reader group, which read the store for each other.
  std::vector<HostState> ReaderCandidates(TimePoint now) const;
  /// The hosts of a data centre that are advertised to callers or next in rank.
  std::set<HostName> AdvertisedAndSpareHosts(const DataCentreName& data_centre,
                                             TimePoint now) const;
  /// The alive hosts that are ready to serve callers.
  std::vector<HostState> ReadyHosts(TimePoint now) const;
  std::vector<HostState> AdvertisedHosts(const DataCentreName& data_centre, TimePoint now) const;
  /// True when the servers of the advertised hosts' data centre can serve its callers.
  static bool CanServe(const std::vector<HostState>& advertised);
  static Rank RankOf(const HostRecord& record);

  FleetOptions options_;
  bool ready_ = false;
  bool leaving_ = false;
  bool store_reachable_ = false;
  double local_usable_share_ = 1;
  double request_rate_ = 0;
  std::map<HostName, Peer> peers_;
};

}  // namespace mulberry::gateway
