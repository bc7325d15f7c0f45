#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "libpolicy/types.h"

namespace mulberry {

/// Limits and constants of a dispatcher.
struct DispatcherOptions {
  /// Maximum number of queued requests per slot of the group's servers.
  std::uint32_t queue_per_slot = 16;
  /// Maximum number of attempts per request, including the first.
  std::uint32_t max_attempts = 3;
  /// Maximum ratio of retries and hedges to first attempts, per class.
  double retry_budget_ratio = 0.1;
  /// Concurrent requests to a server that has just started.
  std::uint32_t cold_slots = 1;
  /// Answers in time that a cold server must give for each additional slot.
  std::uint32_t cold_answers_per_slot = 8;
  /// Minimum duration of each step of the cold ramp.
  Duration cold_step = std::chrono::milliseconds(250);
  /// Minimum time for which a server that has just started gets at most `cold_slots`. Must not be
  /// shorter than the time for which the services are cold after a start.
  Duration cold_hold = std::chrono::milliseconds(2000);
  /// Concurrent requests to a server whose start is unverified while requests of another owner may
  /// run on it (share below kFull); 0 or 1. With 0 a new owner serves no requests until its share
  /// is full. With 1 a server that restarted unnoticed in that time may get one request from each
  /// owner.
  std::uint32_t shared_unverified_slots = 1;
  /// Idle time after which a server counts as unverified until it has answered.
  Duration idle_recheck = std::chrono::seconds(30);
  /// Maximum rate of probes in this group; zero disables probes.
  double probes_per_second = 1.0;
  /// Determines which of several equal servers is chosen first.
  std::uint64_t random_seed = 1;
  /// Id of the first attempt. Each further attempt gets the next id.
  std::uint64_t first_dispatch_id = 1;
};

/// State of one server for operators.
struct ServerState {
  ServerName name;
  /// "warm", "cold", "unverified", "ejected", "leaving" or "absent".
  std::string state;
  /// Why the server gets no or fewer requests; empty when there is no restriction.
  std::string reason;
  std::uint32_t in_flight = 0;
  std::uint32_t limit = 0;
  /// Exponentially smoothed answer time.
  Duration latency{};
  StartId start;
};

/// Counters and gauges of a group.
struct DispatcherStats {
  std::uint32_t queued = 0;
  std::uint32_t in_flight = 0;
  std::uint64_t first_attempts = 0;
  std::uint64_t retries = 0;
  std::uint64_t hedges = 0;
  std::uint64_t probes = 0;
};

/// Decides which request goes to which server of one group, and when.
///
/// A group consists of all servers of one service in one data centre, or of one shard of them. Only
/// the entry host that holds the group's lease has a dispatcher with the full limits. Requests wait
/// in the dispatcher and are assigned to a server only when one has a free slot (late binding).
///
/// Uses no sockets, threads or clocks. Each call gets the current time, which must not go back, and
/// appends its actions to `actions`. The caller must carry them out in order. Not thread safe.
class GroupDispatcher {
 public:
  explicit GroupDispatcher(DispatcherOptions options);
  ~GroupDispatcher();
  GroupDispatcher(GroupDispatcher&&) noexcept;
  GroupDispatcher& operator=(GroupDispatcher&&) noexcept;

  /// Replaces the classes. Queued requests of a removed class are refused.
  void SetClasses(std::vector<ClassTarget> classes, TimePoint now, PolicyActions& actions);

  /// Replaces the servers. Running attempts on a removed or leaving server continue, and it gets no
  /// new ones.
  void SetServers(std::vector<ServerInfo> servers, TimePoint now, PolicyActions& actions);

  /// Sets which share of the servers' limits may be used until the time `until`, which is the end
  /// of the lease. From `until` on the share is kNone. It is checked against `now` before each
  /// dispatch.
  void SetLimitShare(LimitShare share, TimePoint until, TimePoint now, PolicyActions& actions);

  /// Starts or ends draining the group, which is done when its data centre leaves. While the group
  /// drains, queued requests without an attempt are returned to the router, other queued requests
  /// are refused, and no new attempts start.
  void SetDraining(bool draining, TimePoint now, PolicyActions& actions);

  /// Changes DispatcherOptions::probes_per_second.
  void SetProbeRate(double probes_per_second, TimePoint now);

  /// Marks every server unverified. Call it when the lease is newly acquired.
  void MarkAllUnverified(TimePoint now);

  /// Returns the server states that the next owner of the group needs, sorted by server name.
  std::vector<ServerHandover> Handovers() const;

  /// Applies the server states from the former owner, for servers that have not answered here. A
  /// server that answers with the same start id gets its former limit after that one answer. A
  /// server with any other start id is cold.
  void ApplyHandovers(const std::vector<ServerHandover>& handovers, TimePoint now);

  /// Accepts a request, or returns it to the router. Preconditions: its id is new, and for a
  /// non-idempotent class its claim has been acquired.
  void Submit(const RequestInfo& info, TimePoint now, PolicyActions& actions);

  /// Ends a request whose caller disconnected. Unknown ids are ignored.
  void Cancel(RequestId request, TimePoint now, PolicyActions& actions);

  /// Handles the end of an attempt. Unknown or ended attempts are ignored.
  void OnDispatchEnd(const DispatchReport& report, TimePoint now, PolicyActions& actions);

  /// Handles the result of a probe.
  void OnProbe(const ProbeReport& report, TimePoint now, PolicyActions& actions);

  /// Handles everything that is due: expired requests, hedges, ramps and probes. Must be called at
  /// NextTick() at the latest.
  void Tick(TimePoint now, PolicyActions& actions);

  /// Returns the time at which Tick must be called, TimePoint::max() when never.
  TimePoint NextTick() const;

  /// Returns the expected wait of a new request of this class, for routing. Duration::max() when
  /// the group cannot serve it.
  Duration ExpectedWait(const ClassName& class_name) const;

  /// True when no request is open and no attempt is running.
  bool Idle() const;

  std::vector<ServerState> Servers(TimePoint now) const;
  DispatcherStats Stats() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace mulberry
