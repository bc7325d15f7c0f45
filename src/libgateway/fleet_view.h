#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "libgateway/types.h"

namespace mulberry::gateway {

/// What one entry host says of itself to the others, many times a minute.
struct HostHeartbeat {
  HostRecord record;
  StartId start;
  std::string caller_address;  ///< "ip:port" for callers.
  bool leaving = false;
  bool ready = false;
  ConfigVersion version;
  /// The next offset of the operators' topic that the host would read.
  Offset operator_offset;
  /// The store answers this host.
  bool store_reachable = false;
  /// Part of the servers of the host's data centre that take requests, as the host sees it.
  double local_usable_share = 1;
  /// Requests a second that the host has taken lately.
  double request_rate = 0;
};

/// A host's place among those named to the callers of its data centre.
struct AdvertisedPosition {
  std::uint32_t index = 0;
  std::uint32_t count = 0;  ///< Zero when the host is none of them.
};

struct FleetOptions {
  HostRecord self;
  std::string self_caller_address;
  /// Hosts a data centre that are named to callers at least; more when its request rate asks for
  /// more capacity.
  std::uint32_t min_advertised_hosts = 2;
  /// A host that has been silent for this long is not named to callers.
  Duration heartbeat_timeout = std::chrono::milliseconds(1600);
  /// The same for hosts elsewhere whose beats come more rarely.
  Duration remote_heartbeat_timeout = std::chrono::milliseconds(3600);
};

/// Which hosts a beat is for.
enum class HeartbeatScope {
  kNear,  ///< Hosts of the data centre, and hosts elsewhere that are likely to be named.
  kFar,   ///< Those, and hosts elsewhere that only need to know where to send callers.
  kAll,   ///< All, for the first and the last word of a host.
};

/// Which entry hosts there are, which of them are alive, and which are named to callers. Pure:
/// time is passed in. Not thread safe.
class FleetView {
 public:
  explicit FleetView(FleetOptions options);

  /// Takes a host from the store's list; alive only once it is heard.
  void Register(const HostRecord& record);
  /// Takes a host's own word; false when it comes from a former start or is about this host.
  bool OnHeartbeat(const HostHeartbeat& beat, TimePoint now);
  /// This host itself stops or is not ready.
  void SetOwnState(bool ready, bool leaving, bool store_reachable);

  /// Addresses to send a beat to. Hosts elsewhere need to hear only of hosts that are named to
  /// callers or are next in rank, so that the beats of a large fleet stay few.
  std::vector<std::string> HeartbeatTargets(HeartbeatScope reach, TimePoint now) const;
  /// Hosts of this host's data centre that are registered or alive, this one included.
  std::size_t HostCountInDataCentre() const;
  std::size_t HostCount() const { return peers_.size() + 1; }

  /// Addresses for a caller of a data centre: its deciders. When it has none, or few of its servers
  /// take requests, callers are better served by hosts elsewhere, which know the load there.
  /// Never empty while this host is ready.
  std::vector<std::string> AddressesFor(const DataCentreName& data_centre, TimePoint now) const;
  /// This host's place among those named to the callers of its data centre.
  AdvertisedPosition OwnAdvertisedPosition(TimePoint now) const;
  /// The other hosts that are named there, for sharing what is known of servers.
  std::vector<std::string> OtherAdvertisedPeers(TimePoint now) const;
  /// The hosts that are named in the other data centres.
  std::vector<std::string> RemoteAdvertisedPeers(TimePoint now) const;
  /// What this host says of HostHeartbeat::local_usable_share.
  void SetLocalUsableShare(double part) { local_part_ = part; }
  /// What this host says of HostHeartbeat::request_rate.
  void SetRequestRate(double rate) { request_rate_ = rate; }
  /// True when this host reads the store for others. Large data centres have a reader each, the
  /// hosts of all other ones have two, in two data centres where there are: the first in rank of
  /// those that are alive and that the store answers. Where it answers none, they are chosen from
  /// all.
  bool IsStoreReader(TimePoint now) const;
  /// True when the store answers no host for which this one might read.
  bool IsStoreUnreachable(TimePoint now) const;
  /// Addresses of the hosts for which this one might read.
  std::vector<std::string> StoreUpdateTargets() const;
  /// True when it would be named also if every registered host were alive.
  bool IsAdvertisedByDefault() const;

 private:
  struct Peer {
    HostHeartbeat beat;
    bool heard = false;
    TimePoint last_heard;
    /// Its last two beats came soon after each other, so that the next one is expected as soon.
    bool frequent = false;
    /// The start before the present one; its late datagrams are ignored.
    StartId former_start;
  };
  /// Hosts of more capacity come first, those of the same in the order of a hash.
  using Rank = std::pair<double, std::uint64_t>;

  struct Candidate {
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
    bool operator<(const Candidate& other) const { return rank < other.rank; }
  };

  /// Hosts that are alive and not leaving, by rank.
  std::vector<Candidate> Alive(TimePoint now) const;
  bool IsHeard(const Peer& peer, TimePoint now) const;
  /// Data centres that have a reader of their own.
  std::set<DataCentreName> LargeDataCentres() const;
  /// Those of the hosts that are alive which read for each other and for this host.
  std::vector<Candidate> ReadingGroup(TimePoint now) const;
  /// The hosts of a data centre that are named to callers or come next in rank.
  std::set<HostName> SpeakersOf(const DataCentreName& data_centre, TimePoint now) const;
  /// Those of them that serve callers.
  std::vector<Candidate> Live(TimePoint now) const;
  std::vector<Candidate> AdvertisedHosts(const DataCentreName& data_centre, TimePoint now) const;
  /// True when the servers of the deciders' data centre can serve its callers.
  static bool CanServe(const std::vector<Candidate>& deciders);
  static Rank RankOf(const HostRecord& record);

  FleetOptions options_;
  bool ready_ = false;
  bool leaving_ = false;
  bool store_answers_ = false;
  double local_part_ = 1;
  double request_rate_ = 0;
  std::map<HostName, Peer> peers_;
};

}  // namespace mulberry::gateway
