#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "libentry/claim_desk.h"
#include "libentry/group_table.h"
#include "libentry/request_flow.h"
#include "libentry/service_map.h"
#include "libentry/types.h"

namespace mulberry {

/// All decisions of one entry host: membership, leases, claims, configuration and the way of each
/// request.
///
/// Pure: no sockets, threads or clocks. Each event brings the time and appends orders to
/// `actions`, which the transports carry out in their sequence. Before it decides anything, an
/// event checks leases and the permission to take work against its time, so that a process that
/// was paused acts on nothing old. Not thread safe.
class EntryHost {
 public:
  /// Precondition: `observer` outlives the host.
  EntryHost(EntryOptions options, EntryObserver& observer, Instant now);

  /// Starts to follow the configuration.
  void Start(Instant now, EntryActions& actions);

  // Callers.
  void OnCaller(CallerRequest request, Instant now, EntryActions& actions);
  void OnCallerGone(RequestId request, Instant now, EntryActions& actions);

  /// Returns the addresses to use for a class, best first; `near` is the caller's data centre or
  /// empty. Errors: kNotFound for an unknown class; kUnavailable while no configuration or no host
  /// is known, or while fewer than three hosts can hold claims.
  Result<AddressAnswer> Addresses(const ClassName& class_name, const DataCentreName& near,
                                  Instant now);

  // Backend servers.
  void OnServerReply(ServerReply reply, Instant now, EntryActions& actions);
  void OnProbe(const ProbeReport& report, Instant now, EntryActions& actions);

  // Other entry hosts.
  void OnPeer(const PeerEnvelope& envelope, Instant now, EntryActions& actions);

  // The platform.
  void OnHostList(const HostList& list, Instant now, EntryActions& actions);
  void OnLogPage(const LogPage& page, Instant now, EntryActions& actions);
  void OnLogFailed(Instant now, EntryActions& actions);
  void OnAppended(bool ok, Instant now, EntryActions& actions);

  /// Does what is due. Call at NextTick() at the latest.
  void Tick(Instant now, EntryActions& actions);
  TimePoint NextTick() const;

  /// Starts the graceful stop: no address answer names this host any more, its groups are handed
  /// over.
  void BeginLeaving(Instant now, EntryActions& actions);

  /// True when the stop may be finished: kept addresses have expired and nothing is left to do.
  bool Drained(TimePoint now) const;

  /// State for operators, as docs/protocols.md describes it.
  nlohmann::json Status(Instant now) const;

  const ConfigState& config() const { return follower_.state_machine().state(); }
  bool leaving() const { return leaving_; }

 private:
  void Refresh(Instant now, EntryActions& actions);
  void RefreshNow(Instant now, EntryActions& actions);
  void UpdateServices();
  void TellNextOwners(Instant now, EntryActions& actions);
  void SendHeartbeats(Instant now, EntryActions& actions);
  std::vector<LeaseGrant> GrantsFor(const std::vector<GroupKey>& wanted, const Incarnation& to,
                                    TimePoint now);
  void ReleaseDrained(Instant now, EntryActions& actions);
  void SendTo(const HostName& host, PeerMessage message, EntryActions& actions) const;
  void Carry(FollowerActions follower_actions, Instant now, EntryActions& actions);
  std::optional<Ticket> MakeTicket(Instant now);
  std::vector<HostName> OwnersOf(const ServiceName& service, const DataCentreName& near,
                                 std::uint64_t spread, TimePoint now) const;
  ConfigMark Mark() const;
  nlohmann::json GroupStatus(GroupKey key, TimePoint now) const;

  void Take(const Incarnation& from, const Heartbeat& message, Instant now, EntryActions& actions);
  void Take(const Incarnation& from, const HeartbeatAck& message, Instant now,
            EntryActions& actions);
  void Take(const Incarnation& from, const LeaseRelease& message, Instant now,
            EntryActions& actions);
  void Take(const Incarnation& from, const ForwardRequest& message, Instant now,
            EntryActions& actions);
  void Take(const Incarnation& from, const ForwardAnswer& message, Instant now,
            EntryActions& actions);
  void Take(const Incarnation& from, const ForwardCancel& message, Instant now,
            EntryActions& actions);
  void Take(const Incarnation& from, const ClaimRequest& message, Instant now,
            EntryActions& actions);
  void Take(const Incarnation& from, const ClaimAnswer& message, Instant now,
            EntryActions& actions);
  void Take(const Incarnation& from, const ClaimRelease& message, Instant now,
            EntryActions& actions);
  void Take(const Incarnation& from, const OutcomeQuery& message, Instant now,
            EntryActions& actions);
  void Take(const Incarnation& from, const OutcomeAnswer& message, Instant now,
            EntryActions& actions);
  void Take(const Incarnation& from, const ConfigFetch& message, Instant now,
            EntryActions& actions);
  void Take(const Incarnation& from, const ConfigContent& message, Instant now,
            EntryActions& actions);
  void Take(const Incarnation& from, const GroupKnowledge& message, Instant now,
            EntryActions& actions);

  EntryOptions options_;
  Membership membership_;
  LeaseGrantor grantor_;
  LeaseHolder leases_;
  ConfigFollower follower_;
  ServiceMap services_;
  GroupTable groups_;
  RequestFlow flow_;
  TicketSigner signer_;
  std::vector<BackendServerEntry> servers_;
  WorkPermission permission_ = WorkPermission::kNoConfig;
  TimePoint refreshed_;
  bool dirty_ = true;
  bool leaving_ = false;
  TimePoint leaving_since_;
  TimePoint config_changed_;
  TimePoint read_sent_;
  std::uint64_t ticket_nonce_;
  std::uint64_t address_questions_ = 0;
};

/// Returns the snake_case name of a permission.
const char* WorkPermissionName(WorkPermission permission);

}  // namespace mulberry
