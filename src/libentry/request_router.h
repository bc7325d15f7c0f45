#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "libentry/claim_coordinator.h"
#include "libentry/group_table.h"
#include "libentry/service_map.h"
#include "libentry/types.h"

namespace mulberry {

/// A refused request, recorded for `pulleyctl explain refusals`.
struct RefusalRecord {
  WallTime at;
  ClassName class_name;
  std::string reason;
  RunOutcome outcome = RunOutcome::kNotRun;
};

/// Handles each request from arrival to its answer: selects the data centre and the entry host,
/// claims the key of a non-idempotent request, and passes it to a dispatcher or a peer.
///
/// Every accepted request ends in exactly one AnswerCaller or ForwardAnswer. Does no I/O and reads
/// no clock. Not thread safe. The objects passed by reference must outlive the router.
class RequestRouter {
 public:
  RequestRouter(const EntryOptions& options, const ServiceMap& services, const ConfigState& config,
                Membership& membership, const LeaseHolder& leases, GroupTable& groups,
                EntryObserver& observer);

  /// Handles a caller's request. `permitted` is false when this host may not take new work.
  void OnCaller(CallerRequest call, bool permitted, Instant now, EntryActions& actions);

  /// Handles a closed caller connection. Unknown ids are ignored.
  void OnCallerGone(RequestId id, Instant now, EntryActions& actions);

  void OnForward(const Incarnation& from, const ForwardRequest& message, Instant now,
                 EntryActions& actions);
  void OnForwardAnswer(const ForwardAnswer& message, Instant now, EntryActions& actions);
  void OnForwardCancel(const Incarnation& from, const ForwardCancel& message, Instant now,
                       EntryActions& actions);

  /// Handles the result of an attempt on a backend server.
  void OnServerReply(ServerReply reply, Instant now, EntryActions& actions);

  /// Executes actions that group dispatchers return.
  void Apply(GroupTable::GroupActions group_actions, Instant now, EntryActions& actions);

  /// Executes the events that the claim coordinator returns.
  void Apply(ClaimEvents events, Instant now, EntryActions& actions);

  void Tick(Instant now, EntryActions& actions);
  TimePoint NextTick() const;

  ClaimCoordinator& claims() { return claims_; }
  std::size_t pending() const { return pending_.size(); }
  const std::deque<RefusalRecord>& refusals() const { return refusals_; }

  /// True when no request of a caller or peer is pending and no claim is unfinished.
  bool Idle() const { return pending_.empty() && claims_.unfinished() == 0; }

 private:
  enum class Stage { kRouting, kClaiming, kDispatched, kForwarded, kAwaitingReroute };
  struct PeerOrigin {
    HostName host;
    RequestId id;
  };
  struct PendingRequest {
    CallerRequest call;
    ClassItem class_item;
    std::optional<PeerOrigin> peer;
    TimePoint arrived;
    TimePoint deadline;
    Stage stage = Stage::kRouting;
    GroupKey group;
    DataCentreName target_data_centre;
    /// Timeout of the current forward, or time of the next routing attempt.
    TimePoint due = TimePoint::max();
    /// Ids of the forwards sent so far, newest last.
    std::vector<RequestId> forwards;
    /// Number of forwards that timed out.
    std::size_t timed_out_forwards = 0;
    std::set<DataCentreName> tried_data_centres;
    std::string reason;
    bool reason_is_transient = false;
    /// Set when no data centre can answer within the latency target; a longer queue is then
    /// accepted.
    bool last_resort = false;
    IdempotencyKey key;
    Ticket ticket;
    /// This host holds the claim.
    bool claim_won = false;
    /// The sender of the forward holds the claim.
    bool claimed_by_sender = false;
    bool claim_forwarded = false;
    bool may_have_run = false;
    bool caller_gone = false;
    std::uint32_t attempts = 0;
    /// Set when the key is claimed only so that the request can be refused as "not run".
    bool claiming_to_refuse = false;
    int refusal_status = 503;
  };
  struct OutboundForward {
    RequestId request;
    HostName host;
  };
  struct ActiveDispatch {
    RequestId request;
    GroupKey group;
    ServerName server;
    std::optional<ServerReply> reply;
  };
  using PendingTable = std::unordered_map<RequestId, PendingRequest>;

  bool ResolveClassAndTicket(PendingRequest& pending, Instant now, EntryActions& actions);
  Duration ClampTimeout(Duration requested) const;
  void Route(RequestId id, Instant now, EntryActions& actions);
  std::vector<DataCentreName> CandidateDataCentres(const PendingRequest& pending,
                                                   TimePoint now) const;
  bool TryOwnDataCentre(RequestId id, Instant now, EntryActions& actions);
  bool TryGroup(RequestId id, const ServiceMap::Group& group, Instant now, EntryActions& actions);
  bool TryForward(RequestId id, const DataCentreName& data_centre, Instant now,
                  EntryActions& actions);
  std::optional<HostName> ForwardHost(const DataCentreName& data_centre, GroupKey group,
                                      const PendingRequest& pending, TimePoint now) const;
  void SubmitToGroup(RequestId id, Instant now, EntryActions& actions);
  Duration ForwardTimeout(const PendingRequest& pending) const;
  void OnForwardTimeout(RequestId id, Instant now, EntryActions& actions);
  void SetDue(RequestId id, PendingRequest& pending, TimePoint due);
  void RerouteLaterOrRefuse(RequestId id, Instant now, EntryActions& actions);
  void BeginClaim(RequestId id, Instant now, EntryActions& actions);
  void Refuse(RequestId id, int status, const std::string& reason, Instant now,
              EntryActions& actions);
  void Complete(RequestId id, CallerAnswer answer, Instant now, EntryActions& actions);
  void AnswerPeer(const PendingRequest& pending, CallerAnswer answer, EntryActions& actions);
  void RecordRefusal(const PendingRequest& pending, const CallerAnswer& answer, WallTime at);
  SendToServer MakeSend(const PendingRequest& pending, DispatchId dispatch,
                        const ServerName& server, TimePoint deadline, Instant now) const;
  void StartNaiveAttempt(RequestId id, Instant now, EntryActions& actions);
  void OnNaiveReply(ServerReply reply, Instant now, EntryActions& actions);

  void Execute(GroupKey group, const StartDispatch& group_action, Instant now,
               EntryActions& actions);
  void Execute(GroupKey group, const CancelDispatch& group_action, Instant now,
               EntryActions& actions);
  void Execute(GroupKey group, const RelayAnswer& group_action, Instant now, EntryActions& actions);
  void Execute(GroupKey group, const RefuseRequest& group_action, Instant now,
               EntryActions& actions);
  void Execute(GroupKey group, const ReturnToRouter& group_action, Instant now,
               EntryActions& actions);
  void Execute(GroupKey group, const StartProbe& group_action, Instant now, EntryActions& actions);

  void Execute(const SendPeer& event, Instant now, EntryActions& actions);
  void Execute(const ClaimWon& event, Instant now, EntryActions& actions);
  void Execute(const ClaimEnded& event, Instant now, EntryActions& actions);

  const EntryOptions& options_;
  const ServiceMap& services_;
  const ConfigState& config_;
  Membership& membership_;
  const LeaseHolder& leases_;
  GroupTable& groups_;
  EntryObserver& observer_;
  TicketSigner signer_;
  ClaimCoordinator claims_;
  PendingTable pending_;
  std::unordered_map<RequestId, OutboundForward> outbound_forwards_;
  std::set<std::pair<TimePoint, RequestId>> requests_by_due_time_;
  std::map<std::pair<HostName, RequestId>, RequestId> inbound_forwards_;
  std::unordered_map<DispatchId, ActiveDispatch> dispatches_;
  std::map<GroupKey, TimePoint> saturated_until_;
  std::deque<RefusalRecord> refusals_;
  std::uint64_t next_id_;
  std::uint64_t next_naive_server_ = 0;
};

}  // namespace mulberry
