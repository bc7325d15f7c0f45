#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "libentry/claim_coordinator.h"
#include "libentry/group_table.h"
#include "libentry/request_router.h"
#include "libentry/service_map.h"
#include "libentry/types.h"

namespace mulberry {

/// Decision logic of one entry host: membership, leases, claims, configuration and request
/// routing.
///
/// Uses no sockets, threads or clocks. Each event handler receives the current time and appends
/// actions to `actions`, which the transports execute in order. Before it decides anything, a
/// handler checks leases and the permission to take work against that time, so that a process that
/// was paused does not act on expired state. Not thread safe.
class EntryHost {
 public:
  /// Precondition: `observer` outlives the host.
  EntryHost(EntryOptions options, EntryObserver& observer, Instant now);

  /// Starts reading the configuration log.
  void Start(Instant now, EntryActions& actions);

  // Events from callers.
  void OnCaller(CallerRequest request, Instant now, EntryActions& actions);
  void OnCallerGone(RequestId request, Instant now, EntryActions& actions);

  /// Returns the addresses to use for a class, best first; `caller_data_centre` may be
  /// empty. Errors: kNotFound for an unknown class; kUnavailable while no configuration or no host
  /// is known, or while fewer than three hosts can hold claims.
  Result<AddressAnswer> Addresses(const ClassName& class_name,
                                  const DataCentreName& caller_data_centre, Instant now);

  // Events from backend servers.
  void OnServerReply(ServerReply reply, Instant now, EntryActions& actions);
  void OnProbe(const ProbeReport& report, Instant now, EntryActions& actions);

  // Events from other entry hosts.
  void OnPeer(const PeerEnvelope& envelope, Instant now, EntryActions& actions);

  // Events from the platform.
  void OnHostList(const HostList& list, Instant now, EntryActions& actions);
  void OnLogPage(const LogPage& page, Instant now, EntryActions& actions);
  void OnLogFailed(Instant now, EntryActions& actions);
  void OnAppended(bool ok, Instant now, EntryActions& actions);

  /// Runs due timers. Call no later than NextTick().
  void Tick(Instant now, EntryActions& actions);
  TimePoint NextTick() const;

  /// Starts the graceful shutdown: this host no longer appears in address answers, and its groups
  /// are handed over.
  void BeginLeaving(Instant now, EntryActions& actions);

  /// True when addresses cached by callers have expired and no work is left.
  bool Drained(TimePoint now) const;

  /// Returns what is next in the shutdown; `open_connections` is the number of callers'
  /// connections. kExit comes at the latest when each connection has ended: the step kCloseIdle
  /// ends those without a request, and reading, handling and answering a request are limited in
  /// time. Precondition: BeginLeaving was called.
  LeavingStep NextLeavingStep(std::size_t open_connections, TimePoint now) const;

  /// Returns the state for operators in the format of docs/protocols.md.
  nlohmann::json Status(Instant now) const;

  const ConfigState& config() const { return follower_.state_machine().state(); }

 private:
  void Refresh(Instant now, EntryActions& actions);
  void RefreshNow(Instant now, EntryActions& actions);
  void UpdateServices();
  void SendHandovers(Instant now, EntryActions& actions);
  void SendHeartbeats(Instant now, EntryActions& actions);
  std::vector<LeaseGrant> GrantsFor(const std::vector<GroupKey>& wanted, const Incarnation& to,
                                    TimePoint now);
  void ReleaseDrainedLeases(Instant now, EntryActions& actions);
  void ReportLeaseChanges();
  void SendTo(const HostName& host, PeerMessage message, EntryActions& actions) const;
  void ApplyFollowerActions(FollowerActions follower_actions, Instant now, EntryActions& actions);
  bool AddressesExpired(TimePoint now) const;
  std::optional<Ticket> MakeTicket(Instant now);
  std::vector<HostName> EntryHostsFor(const ServiceName& service,
                                      const DataCentreName& caller_data_centre,
                                      std::uint64_t tie_break_seed, TimePoint now) const;
  ConfigMark CurrentConfigMark() const;
  nlohmann::json GroupStatus(GroupKey key, TimePoint now) const;

  void Handle(const Incarnation& from, const Heartbeat& message, Instant now,
              EntryActions& actions);
  void Handle(const Incarnation& from, const HeartbeatAck& message, Instant now,
              EntryActions& actions);
  void Handle(const Incarnation& from, const LeaseRelease& message, Instant now,
              EntryActions& actions);
  void Handle(const Incarnation& from, const ForwardRequest& message, Instant now,
              EntryActions& actions);
  void Handle(const Incarnation& from, const ForwardAnswer& message, Instant now,
              EntryActions& actions);
  void Handle(const Incarnation& from, const ForwardCancel& message, Instant now,
              EntryActions& actions);
  void Handle(const Incarnation& from, const ClaimRequest& message, Instant now,
              EntryActions& actions);
  void Handle(const Incarnation& from, const ClaimAnswer& message, Instant now,
              EntryActions& actions);
  void Handle(const Incarnation& from, const ClaimRelease& message, Instant now,
              EntryActions& actions);
  void Handle(const Incarnation& from, const OutcomeQuery& message, Instant now,
              EntryActions& actions);
  void Handle(const Incarnation& from, const OutcomeAnswer& message, Instant now,
              EntryActions& actions);
  void Handle(const Incarnation& from, const ConfigFetch& message, Instant now,
              EntryActions& actions);
  void Handle(const Incarnation& from, const ConfigContent& message, Instant now,
              EntryActions& actions);
  void Handle(const Incarnation& from, const GroupKnowledge& message, Instant now,
              EntryActions& actions);

  EntryOptions options_;
  Membership membership_;
  LeaseGrantor grantor_;
  LeaseHolder leases_;
  ConfigFollower follower_;
  ServiceMap services_;
  GroupTable groups_;
  RequestRouter router_;
  TicketSigner signer_;
  EntryObserver& observer_;
  std::map<GroupName, LeasePhase> reported_leases_;
  std::vector<BackendServerEntry> servers_;
  WorkPermission permission_ = WorkPermission::kNoConfig;
  TimePoint refreshed_at_;
  bool dirty_ = true;
  bool leaving_ = false;
  TimePoint leaving_since_;
  TimePoint config_changed_at_;
  TimePoint log_read_sent_at_;
  std::uint64_t ticket_nonce_;
  std::uint64_t address_requests_ = 0;
};

/// Returns the snake_case name of a permission.
const char* WorkPermissionName(WorkPermission permission);

}  // namespace mulberry
