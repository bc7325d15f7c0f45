#pragma once

#include <cstdint>
#include <vector>

#include "libpolicy/concurrency_limit.h"
#include "libpolicy/group_dispatcher.h"
#include "libpolicy/server_health.h"

namespace mulberry {

/// State of one backend server in its group's dispatcher: attempts in flight, limit, health and
/// speed. Not thread safe.
class BackendServer {
 public:
  BackendServer(const DispatcherOptions& options, ServerInfo info, TimePoint now);

  /// Applies a new entry of the server in the platform's list.
  void Update(ServerInfo info, TimePoint now);
  /// Marks that the server is no longer in the list.
  void SetAbsent(TimePoint now);
  /// Marks that the server may have restarted.
  void MarkUnverified(TimePoint now) { limit_.MarkUnverified(now); }

  /// Returns the state that the next owner needs.
  ServerHandover Handover() const { return limit_.Handover(info_.name); }
  /// Applies the state from the former owner.
  void ApplyHandover(const ServerHandover& handover, TimePoint now) {
    limit_.ApplyHandover(handover, now);
  }

  const ServerName& name() const { return info_.name; }
  std::uint32_t slots() const { return info_.slots; }
  std::uint32_t in_flight() const { return static_cast<std::uint32_t>(running_.size()); }
  bool absent() const { return absent_; }
  TimePoint absent_since() const { return absent_since_; }
  /// True when the server is in the list, not leaving and not draining.
  bool InService() const { return !absent_ && !info_.leaving && !draining_; }
  ServerHealth& health() { return health_; }
  const ServerHealth& health() const { return health_; }
  ConcurrencyLimit::Phase phase() const { return limit_.phase(); }
  std::uint32_t epoch() const { return limit_.epoch(); }

  /// Marks a server that fails but stays in service, because too many servers are ejected already.
  /// It gets one request at a time.
  void SetFailing(bool failing) { failing_ = failing; }
  bool failing() const { return failing_; }

  /// Applies the state changes that are due at `now`. Call before Limit.
  void Advance(TimePoint now);
  /// Returns the number of requests that the server may run concurrently now.
  std::uint32_t Limit(LimitShare share, TimePoint now) const;
  /// Returns the time at which the limit can rise without an event, TimePoint::max() when never.
  TimePoint NextChange() const;

  /// Records the start of an attempt that counts as overdue from `overdue_at`.
  void OnAttemptStart(DispatchId dispatch, TimePoint overdue_at, TimePoint now);
  /// Records the end of an attempt. `median` is the median latency of its class, zero when unknown.
  /// `in_time`: the attempt took no longer than the latency target, or than twice the median.
  void OnAttemptEnd(const DispatchReport& report, TimePoint started, std::uint32_t epoch,
                    Duration median, bool in_time, TimePoint now);
  /// Handles the result of a probe.
  void OnProbe(const ProbeReport& report, TimePoint now);

  /// True when a running attempt is overdue or recent answers took much longer than the median.
  bool SuspectedSlow(TimePoint now) const;
  /// Estimates the extra time that a request sent now takes because the server is slow.
  Duration ExpectedDelay(TimePoint now) const;
  /// Returns the next time at which a running attempt becomes overdue, TimePoint::max() when there
  /// is none.
  TimePoint NextOverdueTime(TimePoint now) const;
  /// Returns the recent answer times as a multiple of the median of their class.
  double Slowness(TimePoint now) const;

  /// Returns the earliest time at which a probe is useful, TimePoint::max() when never.
  TimePoint ProbeTime() const;
  /// Records the start of a probe.
  void OnProbeStart(TimePoint now) { last_probe_at_ = now; }

  ServerState Describe(LimitShare share, TimePoint now) const;

 private:
  struct RunningAttempt {
    DispatchId dispatch;
    TimePoint started;
    TimePoint overdue_at;
  };
  TimePoint IdleRecheckTime() const;
  void RecordLatency(Duration latency, Duration median, TimePoint now);
  void UpdateLimit(const DispatchReport& report, std::uint32_t epoch, bool in_time, TimePoint now);

  const DispatcherOptions* options_;
  ServerInfo info_;
  ConcurrencyLimit limit_;
  ServerHealth health_;
  bool absent_ = false;
  bool failing_ = false;
  bool draining_ = false;
  TimePoint absent_since_;
  TimePoint draining_until_;
  std::vector<RunningAttempt> running_;
  double slowness_ = 1.0;
  double latency_us_ = 0;
  /// The server does not count as slow before this time, because of a recent answer at normal
  /// speed.
  TimePoint normal_speed_until_;
  TimePoint last_answer_at_;
  TimePoint last_probe_at_;
};

}  // namespace mulberry
