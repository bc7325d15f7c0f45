#pragma once

#include <optional>
#include <vector>

#include "libpolicy/class_table.h"
#include "libpolicy/group_dispatcher.h"
#include "libpolicy/probe_rate_limiter.h"
#include "libpolicy/request_table.h"
#include "libpolicy/server_table.h"

namespace mulberry {

/// Implementation of the dispatcher. Each event updates the tables, and ProcessQueues then starts
/// every attempt that has become possible.
class GroupDispatcher::Impl {
 public:
  explicit Impl(DispatcherOptions options);

  void SetClasses(std::vector<ClassTarget> classes, TimePoint now, PolicyActions& actions);
  void SetServers(std::vector<ServerInfo> servers, TimePoint now, PolicyActions& actions);
  void SetLimitShare(LimitShare share, TimePoint until, TimePoint now, PolicyActions& actions);
  void SetDraining(bool draining, TimePoint now, PolicyActions& actions);
  void SetProbeRate(double rate, TimePoint now) { probe_limiter_.SetRate(rate, now); }
  std::vector<ServerHandover> Handovers() const { return servers_.Handovers(); }
  void ApplyHandovers(const std::vector<ServerHandover>& handovers, TimePoint now) {
    servers_.ApplyHandovers(handovers, now);
  }
  void MarkAllUnverified(TimePoint now) { servers_.MarkAllUnverified(now); }
  void Submit(const RequestInfo& info, TimePoint now, PolicyActions& actions);
  void Cancel(RequestId id, TimePoint now, PolicyActions& actions);
  void OnDispatchEnd(const DispatchReport& report, TimePoint now, PolicyActions& actions);
  void OnProbe(const ProbeReport& report, TimePoint now, PolicyActions& actions);
  void Tick(TimePoint now, PolicyActions& actions);

  TimePoint NextTick() const;
  Duration ExpectedWait(const ClassName& class_name) const;
  bool Idle() const { return requests_.Idle(); }
  std::vector<ServerState> Servers(TimePoint now) const;
  DispatcherStats Stats() const;

 private:
  LimitShare ShareAt(TimePoint now) const;
  Duration ServiceTime(const ClassState& class_state) const;
  Duration ExpectedWaitFor(const ClassState& class_state, TimePoint now) const;

  // Admission.
  std::optional<RefusalReason> CheckAdmission(const RequestInfo& info,
                                              const ClassState& class_state, TimePoint now) const;
  bool MakeRoom(ClassState& arriving_class, TimePoint now, PolicyActions& actions);

  // End of requests.
  void Relay(Request& request, DispatchId dispatch, TimePoint now, PolicyActions& actions);
  void ReturnOrRefuse(Request& request, RefusalReason reason, PolicyActions& actions);
  void Refuse(Request& request, RefusalReason reason, PolicyActions& actions);
  void CancelAttempts(const Request& request, PolicyActions& actions) const;
  void ReturnOrRefuseAll(RefusalReason reason, PolicyActions& actions);
  void RefuseRemovedClasses(PolicyActions& actions);

  // Queues, attempts and probes.
  void ProcessQueues(TimePoint now, PolicyActions& actions);
  void RefuseExpired(TimePoint now, PolicyActions& actions);
  void DispatchRetries(LimitShare share, TimePoint now, PolicyActions& actions);
  void DispatchQueued(LimitShare share, TimePoint now, PolicyActions& actions);
  void DispatchHedges(LimitShare share, TimePoint now, PolicyActions& actions);
  void ReturnOrRefuseUnservable(LimitShare share, TimePoint now, PolicyActions& actions);
  void Probe(TimePoint now, PolicyActions& actions);
  BackendServer* PickServer(const Request& request, bool healthy_only, LimitShare share,
                            TimePoint now);
  void StartAttempt(Request& request, BackendServer& server, std::optional<RetryReason> retry,
                    TimePoint now, PolicyActions& actions);
  void ArmHedge(Request& request, TimePoint now);

  // Failures.
  std::optional<RefusalReason> CheckRetry(const Request& request, const DispatchReport& report,
                                          TimePoint now) const;
  void OnFailure(Request& request, const DispatchReport& report, TimePoint now,
                 PolicyActions& actions);

  DispatcherOptions options_;
  ServerTable servers_;
  ClassTable classes_;
  RequestTable requests_;
  ProbeRateLimiter probe_limiter_;
  LimitShare limit_share_ = LimitShare::kNone;
  TimePoint limit_share_until_;
  bool draining_ = false;
  TimePoint now_;
  DispatcherStats stats_;
};

}  // namespace mulberry
