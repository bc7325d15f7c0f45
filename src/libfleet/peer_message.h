#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "libbase/base.h"

namespace mulberry {

/// One run of an entry host's process, identified by host name and start id.
struct Incarnation {
  HostName host;
  StartId start;
  auto operator<=>(const Incarnation&) const = default;
};

/// Log offset up to which a host has applied the configuration, and a digest of the result.
struct ConfigMark {
  Offset offset;
  std::uint64_t digest = 0;
  auto operator<=>(const ConfigMark&) const = default;
};

/// Sent to the other entry hosts of the data centre, and by the heartbeat gateways of each data
/// centre (two by default) to those of every other one. Requests or renews the leases on `wanted`.
struct Heartbeat {
  std::uint64_t sequence = 0;
  DataCentreName data_centre;
  bool leaving = false;
  ConfigMark config;
  /// As in HeartbeatAck, but informational only, since the delay of a heartbeat is not bounded.
  Duration log_age = Duration::max();
  std::vector<DataCentreName> heard;
  std::vector<GroupKey> wanted;
};

/// Answer of a grantor to the request for one lease.
struct LeaseGrant {
  GroupKey group;
  bool granted = false;
  /// Time until the former owner's lease has expired and its last request must have ended; zero if
  /// it released the lease or there was no former owner.
  Duration former_remaining{};
  /// True if the grantor has not run long enough to know a former owner. If also not granted, the
  /// grantor abstains, since a lease granted by its former incarnation may still be valid.
  bool fresh = false;
};

/// Answer to a Heartbeat with the same sequence.
struct HeartbeatAck {
  std::uint64_t sequence = 0;
  ConfigMark config;
  bool leaving = false;
  /// Age of the newest log read that `config` includes, at the time of the acknowledgement; the
  /// maximum if there is none.
  Duration log_age = Duration::max();
  /// Data centres of the hosts that acknowledged the sender's own heartbeats recently.
  std::vector<DataCentreName> heard;
  std::vector<LeaseGrant> grants;
};

/// The owner releases leases. None of its requests in these groups is running any more.
struct LeaseRelease {
  std::vector<GroupKey> groups;
};

/// A caller's request, forwarded once to the owner of a group.
struct ForwardRequest {
  RequestId id;  ///< Assigned by the sender.
  ClassName class_name;
  DataCentreName data_centre;  ///< Data centre whose group is to run the request.
  std::string method;
  std::string path;
  std::string content_type;
  std::string body;
  Duration time_left{};
  WallTime deadline;  ///< Wall-clock form of time_left, for messages delayed in transit.
  std::uint32_t depth = 0;
  bool no_retry = false;
  IdempotencyKey key;  ///< Empty for idempotent classes.
  std::string ticket;  ///< Empty for idempotent classes.
  /// True if the sender won the claim. It transfers the exclusive right to run the request.
  bool claimed = false;
  /// True if no data centre can answer within the class's target, so the request may queue longer.
  bool last_resort = false;
};

/// Result of running a request, as far as it is known.
enum class RunOutcome {
  kAnswered,
  kNotRun,
  kMayHaveRun,
};

/// Answer to a ForwardRequest.
struct ForwardAnswer {
  RequestId id;
  RunOutcome outcome = RunOutcome::kNotRun;
  std::uint32_t status = 0;  ///< Status of the backend server when answered.
  std::string reason;        ///< snake_case reason when not answered.
  bool saturated = false;    ///< The group is at capacity; the sender should try another one.
  bool not_owner = false;
  bool no_retry = false;
  std::string content_type;
  std::string body;
  std::string server;
};

/// The caller of a forwarded request has disconnected.
struct ForwardCancel {
  RequestId id;
};

/// Asks a claim holder to record that only the sender may run the request with this key.
struct ClaimRequest {
  IdempotencyKey key;
  std::uint64_t round = 0;
  std::uint64_t request_digest = 0;  ///< Hash of class, method, path and body.
  StartId holder_start;              ///< Incarnation of the holder that the ticket names.
  WallTime expires;                  ///< Expiry of the ticket; the claim is kept for longer.
};

/// A claim holder's decision on a ClaimRequest.
enum class ClaimVerdict {
  kGranted,
  kHeldByOther,
  kWrongIncarnation,
  kKeyReused,  ///< A different request was claimed under this key.
  kExpired,
  kFull,
};

/// Answer to a ClaimRequest.
struct ClaimAnswer {
  IdempotencyKey key;
  std::uint64_t round = 0;
  ClaimVerdict verdict = ClaimVerdict::kExpired;
  /// Incarnation that holds the claim: the sender of the request for kGranted, the other claimant
  /// for kHeldByOther, otherwise empty.
  Incarnation claimant;
};

/// The claimant abandoned this round without winning. The holder frees the claim if it belongs to
/// this round.
struct ClaimRelease {
  IdempotencyKey key;
  std::uint64_t round = 0;
};

/// Asks a claimant for the outcome of a request.
struct OutcomeQuery {
  IdempotencyKey key;
  StartId claimant_start;
  RequestId id;  ///< Assigned by the sender of the query.
  /// How long the sender waits if the request is still running.
  Duration time_left{};
};

/// Answer to an OutcomeQuery, sent immediately or when the request has ended.
struct OutcomeAnswer {
  IdempotencyKey key;
  RequestId id;
  RunOutcome outcome = RunOutcome::kMayHaveRun;
  std::uint32_t status = 0;
  std::string content_type;
  std::string body;
};

/// Asks a peer for the configuration records after an offset.
struct ConfigFetch {
  Offset after;
};

/// One record of the configuration log.
struct LogRecord {
  Offset offset;
  std::string data;
};

/// Answer to a ConfigFetch: the records after the offset, or a snapshot if the peer no longer has
/// them.
struct ConfigContent {
  std::vector<LogRecord> records;
  std::string snapshot;  ///< Empty when `records` suffice.
};

/// An owner's warm-up state for one start of a backend server.
struct KnownServer {
  ServerName name;
  StartId start;
  /// True if the server has served all of its slots at some time since that start.
  bool warm = false;
  /// Concurrent requests that the owner gives a server that is not warm; zero from a version of
  /// this program that tells neither this nor `cold_left`.
  std::uint32_t limit = 0;
  /// Rest of the time in which such a server gets at most the cold limit.
  Duration cold_left{};
};

/// Warm-up state of a group's servers. The owner sends it to the hosts that may own the group next,
/// on change and periodically. A new owner gives a server its full limit immediately only if the
/// server still reports the start id given here.
struct GroupKnowledge {
  GroupKey group;
  std::vector<KnownServer> servers;
};

/// Any message between entry hosts.
using PeerMessage =
    std::variant<Heartbeat, HeartbeatAck, LeaseRelease, ForwardRequest, ForwardAnswer,
                 ForwardCancel, ClaimRequest, ClaimAnswer, ClaimRelease, OutcomeQuery,
                 OutcomeAnswer, ConfigFetch, ConfigContent, GroupKnowledge>;

/// A message with its sender.
struct PeerEnvelope {
  Incarnation from;
  PeerMessage message;
};

}  // namespace mulberry
