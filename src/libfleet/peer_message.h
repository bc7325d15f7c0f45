#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "libbase/base.h"

namespace mulberry {

/// One start of one entry host.
struct Incarnation {
  HostName host;
  StartId start;
  auto operator<=>(const Incarnation&) const = default;
};

/// How far a host has applied the configuration log, and a digest of the result.
struct ConfigMark {
  Offset offset;
  std::uint64_t digest = 0;
  auto operator<=>(const ConfigMark&) const = default;
};

/// Sent to the other entry hosts of the data centre, and by two hosts of each data centre to two
/// of every other one. Asks for or renews the leases in `wanted`.
struct Heartbeat {
  std::uint64_t sequence = 0;
  DataCentreName data_centre;
  bool leaving = false;
  ConfigMark config;
  /// As in HeartbeatAck; informative only, since a heartbeat can be delayed for any time.
  Duration log_age = Duration::max();
  std::vector<DataCentreName> heard;
  std::vector<GroupKey> wanted;
};

/// What a grantor says about one wanted lease.
struct LeaseGrant {
  GroupKey group;
  bool granted = false;
  /// Time until the former owner's lease and its longest running request are over; zero when it
  /// handed over, or when there was none.
  Duration former_remaining{};
  /// True when the grantor has not run long enough to know a former owner. Not granted and fresh:
  /// the grantor abstains, since a lease of its former incarnation may still be valid.
  bool fresh = false;
};

/// Answer to a Heartbeat with the same sequence.
struct HeartbeatAck {
  std::uint64_t sequence = 0;
  ConfigMark config;
  bool leaving = false;
  /// Age, when the acknowledgement was made, of the newest read of the log that `config` includes;
  /// the maximum when there is none.
  Duration log_age = Duration::max();
  /// Data centres that the sender itself has heard lately.
  std::vector<DataCentreName> heard;
  std::vector<LeaseGrant> grants;
};

/// The owner gives leases back; nothing of it is running any more.
struct LeaseRelease {
  std::vector<GroupKey> groups;
};

/// A caller's request, handed once to the owner of a group.
struct ForwardRequest {
  RequestId id;  ///< The sender's number.
  ClassName class_name;
  DataCentreName data_centre;  ///< Whose group shall run it.
  std::string method;
  std::string path;
  std::string content_type;
  std::string body;
  Duration time_left{};
  WallTime deadline;  ///< Wall-clock form of time_left, for a message that was delayed on its way.
  std::uint32_t depth = 0;
  bool no_retry = false;
  IdempotencyKey key;  ///< Empty for idempotent classes.
  std::string ticket;  ///< Empty for idempotent classes.
  /// True when the sender won the claim and passes its only right to run the request on.
  bool claimed = false;
  /// True when no data centre can answer within the class's target: the request may wait longer.
  bool last_resort = false;
};

/// What became of a request.
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
  bool saturated = false;    ///< The group can't take more now; try another one.
  bool not_owner = false;
  bool no_retry = false;
  std::string content_type;
  std::string body;
  std::string server;
};

/// The caller of a forwarded request went away.
struct ForwardCancel {
  RequestId id;
};

/// Asks a claim holder to record that the sender alone may run the request of this key.
struct ClaimRequest {
  IdempotencyKey key;
  std::uint64_t round = 0;
  std::uint64_t request_digest = 0;  ///< Hash of class, method, path and body.
  StartId holder_start;              ///< Incarnation of the holder that the ticket names.
  WallTime expires;                  ///< Of the ticket; the record is kept until later.
};

/// A holder's verdict on a ClaimRequest.
enum class ClaimVerdict {
  kGranted,
  kHeldByOther,
  kWrongIncarnation,
  kKeyReused,  ///< Another request was claimed under this key.
  kExpired,
  kFull,
};

/// Answer to a ClaimRequest.
struct ClaimAnswer {
  IdempotencyKey key;
  std::uint64_t round = 0;
  ClaimVerdict verdict = ClaimVerdict::kExpired;
  /// Who holds the claim: the asker for kGranted, the other one for kHeldByOther, else empty.
  Incarnation claimant;
};

/// The claimant gave up this round before it won; the holder frees the claim if it is of this
/// round.
struct ClaimRelease {
  IdempotencyKey key;
  std::uint64_t round = 0;
};

/// Asks a claimant what became of a request.
struct OutcomeQuery {
  IdempotencyKey key;
  StartId claimant_start;
  RequestId id;  ///< The asker's number.
  /// The asker waits this long for a running request.
  Duration time_left{};
};

/// Answer to an OutcomeQuery, given at once or when the request has ended.
struct OutcomeAnswer {
  IdempotencyKey key;
  RequestId id;
  RunOutcome outcome = RunOutcome::kMayHaveRun;
  std::uint32_t status = 0;
  std::string content_type;
  std::string body;
};

/// Asks a peer for the configuration after an offset.
struct ConfigFetch {
  Offset after;
};

/// One record of the configuration log.
struct LogRecord {
  Offset offset;
  std::string data;
};

/// Answer to a ConfigFetch: records that follow, or a snapshot when the peer no longer has them.
struct ConfigContent {
  std::vector<LogRecord> records;
  std::string snapshot;  ///< Empty when `records` suffice.
};

/// What an owner knows of one backend server's start.
struct KnownServer {
  ServerName name;
  StartId start;
  /// True when the server has been seen to serve all of its slots since that start.
  bool warm = false;
};

/// Sent by a group's owner to the hosts that may own it next, when it changes and regularly. A new
/// owner gives a server its whole limit at once only if it still names the start id said here.
struct GroupKnowledge {
  GroupKey group;
  std::vector<KnownServer> servers;
};

/// Anything that one entry host sends to another.
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
