#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "libentry/claim_desk.h"
#include "libentry/group_table.h"
#include "libentry/service_map.h"
#include "libentry/types.h"

namespace mulberry {

/// A refused request, kept for `pulleyctl explain refusals`.
struct RefusalRecord {
  WallTime at;
  ClassName class_name;
  std::string reason;
  RunOutcome outcome = RunOutcome::kNotRun;
};

/// Takes each request from its arrival to its one answer: chooses the data centre and the entry
/// host, claims the key of a non-idempotent request, and hands it to a dispatcher or a peer.
///
/// Every request that was accepted ends in exactly one AnswerCaller or ForwardAnswer. Pure and not
/// thread safe. The referenced parts must outlive it.
class RequestFlow {
 public:
  RequestFlow(const EntryOptions& options, const ServiceMap& services, const ConfigState& config,
              Membership& membership, const LeaseHolder& leases, GroupTable& groups,
              EntryObserver& observer);

  /// Takes a caller's request. `permitted` is false when this host may not take new work.
  void OnCaller(CallerRequest call, bool permitted, Instant now, EntryActions& actions);

  /// The caller's connection closed. Unknown ids are ignored.
  void OnCallerGone(RequestId id, Instant now, EntryActions& actions);

  void OnForward(const Incarnation& from, const ForwardRequest& message, Instant now,
                 EntryActions& actions);
  void OnForwardAnswer(const ForwardAnswer& message, Instant now, EntryActions& actions);
  void OnForwardCancel(const Incarnation& from, const ForwardCancel& message, Instant now,
                       EntryActions& actions);

  /// Takes the end of an attempt on a backend server.
  void OnServerReply(ServerReply reply, Instant now, EntryActions& actions);

  /// Carries out orders that dispatchers gave outside of a request's own events.
  void Apply(GroupTable::GroupActions orders, Instant now, EntryActions& actions);

  /// Carries out what the claim desk decided.
  void Apply(ClaimEvents events, Instant now, EntryActions& actions);

  void Tick(Instant now, EntryActions& actions);
  TimePoint NextTick() const;

  ClaimDesk& claims() { return claims_; }
  std::size_t pending() const { return pending_.size(); }
  const std::deque<RefusalRecord>& refusals() const { return refusals_; }

  /// True when a request of a caller or peer waits here and can't be told to end sooner.
  bool Idle() const { return pending_.empty() && claims_.open() == 0; }

 private:
  enum class Stage { kRouting, kClaiming, kInGroup, kForwarded, kParked };
  struct PeerOrigin {
    HostName host;
    RequestId id;
  };
  struct Pending {
    CallerRequest call;
    ClassItem item;
    std::optional<PeerOrigin> peer;
    TimePoint arrived;
    TimePoint deadline;
    Stage stage = Stage::kRouting;
    GroupKey group;
    DataCentreName target;
    /// Due time of a forward or of the next round of routing.
    TimePoint due = TimePoint::max();
    /// Numbers of the forwards made so far, the newest last.
    std::vector<RequestId> forwards;
    /// Forwards that were not answered in time.
    std::size_t lost_forwards = 0;
    std::set<DataCentreName> tried;
    std::string reason;
    bool transient = false;
    /// Set when no data centre can answer within the target, so that a longer queue will do.
    bool last_resort = false;
    IdempotencyKey key;
    Ticket ticket;
    /// This host holds the claim.
    bool won = false;
    /// The sender of the forward holds the claim.
    bool claim_passed_in = false;
    bool claim_passed_on = false;
    bool may_have_run = false;
    bool caller_gone = false;
    std::uint32_t attempts = 0;
    /// Set when the request is only claimed in order to say "not run".
    bool refusing = false;
    int refusal_status = 503;
  };
  struct Forward {
    RequestId request;
    HostName host;
  };
  struct ActiveDispatch {
    RequestId request;
    GroupKey group;
    ServerName server;
    std::optional<ServerReply> reply;
  };
  using Table = std::unordered_map<RequestId, Pending>;

  bool Prepare(Pending& pending, Instant now, EntryActions& actions);
  Duration AllowedTime(Duration wish) const;
  void Route(RequestId id, Instant now, EntryActions& actions);
  std::vector<DataCentreName> Targets(const Pending& pending, TimePoint now) const;
  bool TryOwnDataCentre(RequestId id, Instant now, EntryActions& actions);
  bool TryGroup(RequestId id, const ServiceMap::Group& group, Instant now, EntryActions& actions);
  bool TryForward(RequestId id, const DataCentreName& data_centre, Instant now,
                  EntryActions& actions);
  std::optional<HostName> ForwardHost(const DataCentreName& data_centre, GroupKey group,
                                      const Pending& pending, TimePoint now) const;
  void SubmitToGroup(RequestId id, Instant now, EntryActions& actions);
  Duration ForwardTime(const Pending& pending) const;
  void OnForwardLost(RequestId id, Instant now, EntryActions& actions);
  void SetDue(RequestId id, Pending& pending, TimePoint due);
  void ParkOrRefuse(RequestId id, Instant now, EntryActions& actions);
  void BeginClaim(RequestId id, Instant now, EntryActions& actions);
  void Refuse(RequestId id, int status, const std::string& reason, Instant now,
              EntryActions& actions);
  void End(RequestId id, CallerAnswer answer, Instant now, EntryActions& actions);
  void AnswerPeer(const Pending& pending, CallerAnswer answer, EntryActions& actions);
  void NoteRefusal(const Pending& pending, const CallerAnswer& answer, WallTime at);
  SendToServer MakeSend(const Pending& pending, DispatchId dispatch, const ServerName& server,
                        TimePoint deadline, Instant now) const;
  void NextNaiveAttempt(RequestId id, Instant now, EntryActions& actions);
  void OnNaiveReply(ServerReply reply, Instant now, EntryActions& actions);

  void Carry(GroupKey group, const StartDispatch& order, Instant now, EntryActions& actions);
  void Carry(GroupKey group, const CancelDispatch& order, Instant now, EntryActions& actions);
  void Carry(GroupKey group, const RelayAnswer& order, Instant now, EntryActions& actions);
  void Carry(GroupKey group, const RefuseRequest& order, Instant now, EntryActions& actions);
  void Carry(GroupKey group, const ReturnToRouter& order, Instant now, EntryActions& actions);
  void Carry(GroupKey group, const StartProbe& order, Instant now, EntryActions& actions);

  void Carry(const SendPeer& event, Instant now, EntryActions& actions);
  void Carry(const ClaimWon& event, Instant now, EntryActions& actions);
  void Carry(const ClaimEnded& event, Instant now, EntryActions& actions);

  const EntryOptions& options_;
  const ServiceMap& services_;
  const ConfigState& config_;
  Membership& membership_;
  const LeaseHolder& leases_;
  GroupTable& groups_;
  EntryObserver& observer_;
  TicketSigner signer_;
  ClaimDesk claims_;
  Table pending_;
  std::unordered_map<RequestId, Forward> forwards_;
  std::set<std::pair<TimePoint, RequestId>> due_;
  std::map<std::pair<HostName, RequestId>, RequestId> from_peers_;
  std::unordered_map<DispatchId, ActiveDispatch> dispatches_;
  std::map<GroupKey, TimePoint> saturated_until_;
  std::deque<RefusalRecord> refusals_;
  std::uint64_t next_id_;
  std::uint64_t next_naive_ = 0;
};

}  // namespace mulberry
