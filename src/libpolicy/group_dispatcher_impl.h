#pragma once

#include <optional>
#include <vector>

#include "libpolicy/class_table.h"
#include "libpolicy/group_dispatcher.h"
#include "libpolicy/probe_rate_limiter.h"
#include "libpolicy/request_table.h"
#include "libpolicy/server_table.h"

namespace mulberry {

/// Wires the parts of a dispatcher: each event changes the tables, then everything that became
/// possible is started (Pump).
class GroupDispatcher::Impl {
 public:
  explicit Impl(DispatcherOptions options);

  void SetClasses(std::vector<ClassTarget> classes, TimePoint now, PolicyActions& actions);
  void SetServers(std::vector<ServerInfo> servers, TimePoint now, PolicyActions& actions);
  void SetLimitShare(LimitShare share, TimePoint until, TimePoint now, PolicyActions& actions);
  void SetDraining(bool out, TimePoint now, PolicyActions& actions);
  void SetProbeRate(double rate, TimePoint now) { probe_budget_.SetRate(rate, now); }
  std::vector<ServerHandover> Handovers() const { return servers_.Handovers(); }
  void ApplyHandovers(const std::vector<ServerHandover>& knowledge, TimePoint now) {
    servers_.ApplyHandovers(knowledge, now);
  }
  void MarkAllUnverified(TimePoint now) { servers_.MarkAllUnverified(now); }
  void Submit(const RequestInfo& item, TimePoint now, PolicyActions& actions);
  void Cancel(RequestId id, TimePoint now, PolicyActions& actions);
  void OnDispatchEnd(const DispatchReport& report, TimePoint now, PolicyActions& actions);
  void OnProbe(const ProbeReport& report, TimePoint now, PolicyActions& actions);
  void Tick(TimePoint now, PolicyActions& actions);

  TimePoint NextTick() const;
  Duration ExpectedWait(const ClassName& class_name) const;
  bool Idle() const { return book_.Idle(); }
  std::vector<ServerState> Servers(TimePoint now) const;
  DispatcherStats Stats() const;

 private:
  LimitShare ShareAt(TimePoint now) const;
  Duration ServiceTime(const ClassState& owner_class) const;
  Duration WaitOf(const ClassState& owner_class, TimePoint now) const;

  // Admission.
  std::optional<RefusalReason> Inadmissible(const RequestInfo& item, const ClassState& owner_class,
                                            TimePoint now) const;
  bool MakeRoom(ClassState& newcomer, TimePoint now, PolicyActions& actions);

  // Ends of requests.
  void Relay(Request& request, DispatchId dispatch, TimePoint now, PolicyActions& actions);
  void Drop(Request& request, RefusalReason reason, PolicyActions& actions);
  void Refuse(Request& request, RefusalReason reason, PolicyActions& actions);
  void CancelAttempts(const Request& request, PolicyActions& actions) const;
  void DropAllWaiting(RefusalReason reason, PolicyActions& actions);
  void DropClassesThatAreGone(PolicyActions& actions);

  // What time or a free slot allows.
  void Pump(TimePoint now, PolicyActions& actions);
  void Expire(TimePoint now, PolicyActions& actions);
  void DispatchRetries(LimitShare share, TimePoint now, PolicyActions& actions);
  void DispatchQueued(LimitShare share, TimePoint now, PolicyActions& actions);
  void DispatchHedges(LimitShare share, TimePoint now, PolicyActions& actions);
  void DropUnservable(LimitShare share, TimePoint now, PolicyActions& actions);
  void Probe(TimePoint now, PolicyActions& actions);
  BackendServer* PickFor(const Request& request, bool healthy_only, LimitShare share,
                         TimePoint now);
  void Start(Request& request, BackendServer& server, std::optional<RetryReason> retry,
             TimePoint now, PolicyActions& actions);
  void ArmHedge(Request& request, TimePoint now);

  // Failures.
  std::optional<RefusalReason> RetryForbidden(const Request& request, const DispatchReport& report,
                                              TimePoint now) const;
  void OnFailure(Request& request, const DispatchReport& report, TimePoint now,
                 PolicyActions& actions);

  DispatcherOptions options_;
  ServerTable servers_;
  ClassTable classes_;
  RequestTable book_;
  ProbeRateLimiter probe_budget_;
  LimitShare share_ = LimitShare::kNone;
  TimePoint share_until_;
  bool out_ = false;
  TimePoint now_;
  DispatcherStats stats_;
};

}  // namespace mulberry
