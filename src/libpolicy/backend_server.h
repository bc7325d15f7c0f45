#pragma once

#include <cstdint>
#include <vector>

#include "libpolicy/concurrency_limit.h"
#include "libpolicy/group_dispatcher.h"
#include "libpolicy/server_health.h"

namespace mulberry {

/// One backend server as its group's dispatcher sees it: exact in-flight attempts, limit, health
/// and speed. Not thread safe.
class BackendServer {
 public:
  BackendServer(const DispatcherOptions& options, ServerInfo info, TimePoint now);

  /// Takes what the platform says now; the server is in the list.
  void Update(ServerInfo info, TimePoint now);
  /// Notes that the server is no longer in the list.
  void SetAbsent(TimePoint now);
  /// Notes that the server may have restarted.
  void MarkUnverified(TimePoint now) { limit_.MarkUnverified(now); }

  /// What the next owner must know.
  ServerHandover Handover() const { return {info_.name, limit_.start(), limit_.WasWarm()}; }
  /// Takes what the former owner knew.
  void ApplyHandover(const ServerHandover& known, TimePoint now) {
    limit_.ApplyHandover(known.start, known.warm, now);
  }

  const ServerName& name() const { return info_.name; }
  std::uint32_t slots() const { return info_.slots; }
  std::uint32_t in_flight() const { return static_cast<std::uint32_t>(running_.size()); }
  bool absent() const { return absent_; }
  TimePoint absent_since() const { return absent_since_; }
  /// True when the server is in the list and not leaving.
  bool InService() const { return !absent_ && !info_.leaving && !draining_; }
  ServerHealth& health() { return health_; }
  const ServerHealth& health() const { return health_; }
  ConcurrencyLimit::Phase phase() const { return limit_.phase(); }
  std::uint32_t epoch() const { return limit_.epoch(); }

  /// Marks a server that fails but stays in service, because too many are ejected already: it gets
  /// one request at a time.
  void SetFailing(bool failing) { failing_ = failing; }
  bool failing() const { return failing_; }

  /// Does the changes of state that time brings. Call before Limit.
  void Advance(TimePoint now);
  /// Requests that the server may run at once now.
  std::uint32_t Limit(LimitShare share, TimePoint now) const;
  /// Time at which the limit can rise without an event, TimePoint::max() when never.
  TimePoint NextChange() const;

  /// Takes the start of an attempt that should be over by `overdue_at`.
  void Begin(DispatchId dispatch, TimePoint overdue_at, TimePoint now);
  /// Takes the end of an attempt. `median` is that of its class, zero when unknown; `in_time` is
  /// true for an answer that counts for the cold ramp.
  void End(const DispatchReport& report, TimePoint started, std::uint32_t epoch, Duration median,
           bool in_time, TimePoint now);
  /// Takes the answer to a probe.
  void OnProbe(const ProbeReport& report, TimePoint now);

  /// True when a running attempt is overdue or recent answers took much longer than usual.
  bool Suspected(TimePoint now) const;
  /// Extra time that a request sent now is likely to take because the server is slow.
  Duration ExpectedDelay(TimePoint now) const;
  /// Time at which a running attempt becomes overdue, TimePoint::max() when none is left.
  TimePoint NextOverdue(TimePoint now) const;
  /// Recent answer times as a multiple of the usual ones.
  double Slowness(TimePoint now) const;

  /// Earliest time at which a probe would tell something, TimePoint::max() when never.
  TimePoint ProbeTime() const;
  /// Notes that a probe starts.
  void OnProbeStart(TimePoint now) { last_probe_ = now; }

  ServerState Describe(LimitShare share, TimePoint now) const;

 private:
  struct Running {
    DispatchId dispatch;
    TimePoint started;
    TimePoint overdue_at;
  };
  TimePoint IdleTime() const;
  void NoteLatency(Duration latency, Duration median, TimePoint now);
  void NoteLimit(const DispatchReport& report, std::uint32_t epoch, bool in_time, TimePoint now);

  const DispatcherOptions* options_;
  ServerInfo info_;
  ConcurrencyLimit limit_;
  ServerHealth health_;
  bool absent_ = false;
  bool failing_ = false;
  bool draining_ = false;
  TimePoint absent_since_;
  TimePoint draining_until_;
  std::vector<Running> running_;
  double slowness_ = 1.0;
  double latency_us_ = 0;
  /// Recent answers at the usual speed clear the server of suspicion until then.
  TimePoint usual_until_;
  TimePoint last_answer_;
  TimePoint last_probe_;
};

}  // namespace mulberry
