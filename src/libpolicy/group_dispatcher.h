#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "libpolicy/types.h"

namespace mulberry {

/// Limits and constants of a dispatcher; the defaults suit the services of the brief.
struct DispatcherOptions {
  /// Requests that wait at most, per slot of the group's servers.
  std::uint32_t queue_per_slot = 16;
  /// Attempts per request at most, the first included.
  std::uint32_t max_attempts = 3;
  /// Retries and hedges as a share of first attempts, per class.
  double retry_budget_ratio = 0.1;
  /// Requests at once to a server that has just started.
  std::uint32_t cold_slots = 1;
  /// Answers in time that a cold server must give for each further slot.
  std::uint32_t cold_answers_per_slot = 8;
  /// Least time on each step of the cold ramp.
  Duration cold_step = std::chrono::milliseconds(250);
  /// Least time for which a server that has just started gets no more than `cold_slots`; at least
  /// the services' cold time.
  Duration cold_hold = std::chrono::milliseconds(2000);
  /// Requests at once to a server whose start is unverified while another owner's requests may
  /// run there (share below kFull); 0 or 1. With 0 a new owner serves nothing until its share is
  /// full; with 1 a server that restarted unnoticed in that time may get one from each owner.
  std::uint32_t shared_unverified_slots = 1;
  /// Idle time after which a server counts as cold again until it has answered.
  Duration idle_recheck = std::chrono::seconds(30);
  /// Probes a second that this group may spend at most; zero switches probes off.
  double probes_per_second = 1.0;
  /// Decides which of several equal servers is taken first.
  std::uint64_t random_seed = 1;
  /// Number of the first attempt; the following ones count on from it.
  std::uint64_t first_dispatch_id = 1;
};

/// State of one server as operators see it.
struct ServerState {
  ServerName name;
  /// "warm", "cold", "unverified", "ejected", "leaving" or "absent".
  std::string state;
  /// Why it gets no or less work; empty when it is served fully.
  std::string reason;
  std::uint32_t in_flight = 0;
  std::uint32_t limit = 0;
  /// Smoothed answer time.
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
/// A group is all servers of one service in one data centre (or one shard of them). The entry
/// host that holds the group's lease owns its only full dispatcher. Requests wait in one queue
/// and are bound to a server when one has a free slot (late binding).
///
/// Pure: no sockets, threads, clocks; time comes in with each call and must not go back. Each call
/// appends its orders to `actions`; they must be carried out in their sequence. Not thread safe.
class GroupDispatcher {
 public:
  explicit GroupDispatcher(DispatcherOptions options);
  ~GroupDispatcher();
  GroupDispatcher(GroupDispatcher&&) noexcept;
  GroupDispatcher& operator=(GroupDispatcher&&) noexcept;

  /// Replaces the classes. Requests of a class that is gone are refused.
  void SetClasses(std::vector<ClassTarget> classes, TimePoint now, PolicyActions& actions);

  /// Replaces the servers. Attempts at a server that is gone or leaving go on; it gets no new ones.
  void SetServers(std::vector<ServerInfo> servers, TimePoint now, PolicyActions& actions);

  /// Sets how much of the servers' limits may be used, and until when; after `until` the share is
  /// kNone. Before each dispatch the lease is checked against `now`.
  void SetLimitShare(LimitShare share, TimePoint until, TimePoint now, PolicyActions& actions);

  /// Takes the group out (its data centre leaves) or back. When taken out, everything queued goes
  /// back to the router if no attempt was made, and is refused otherwise; no retry or hedge
  /// starts.
  void SetDraining(bool out, TimePoint now, PolicyActions& actions);

  /// Sets DispatcherOptions::probes_per_second anew.
  void SetProbeRate(double probes_per_second, TimePoint now);

  /// Marks every server unverified; called when the lease is newly won.
  void MarkAllUnverified(TimePoint now);

  /// Returns what the next owner of the group must know, by name.
  std::vector<ServerHandover> Handovers() const;

  /// Takes what the former owner knew. It counts for servers that never answered here: one that
  /// names the same start id has its known limit again after one answer, any other one is cold.
  void ApplyHandovers(const std::vector<ServerHandover>& knowledge, TimePoint now);

  /// Takes a request. Precondition: its id is new. For a non-idempotent class its claim was won.
  void Submit(const RequestInfo& item, TimePoint now, PolicyActions& actions);

  /// Ends a request whose caller went away. Unknown ids are ignored.
  void Cancel(RequestId request, TimePoint now, PolicyActions& actions);

  /// Takes the end of an attempt. Unknown or ended attempts are ignored.
  void OnDispatchEnd(const DispatchReport& report, TimePoint now, PolicyActions& actions);

  /// Takes the answer to a probe.
  void OnProbe(const ProbeReport& report, TimePoint now, PolicyActions& actions);

  /// Does what is due: expired requests, hedges, ramps, probes. Call at NextTick() at the latest.
  void Tick(TimePoint now, PolicyActions& actions);

  /// Returns the time at which Tick has something to do, TimePoint::max() when never.
  TimePoint NextTick() const;

  /// Returns the time a new request of this class would wait now, for routing.
  Duration ExpectedWait(const ClassName& class_name) const;

  /// True when no request waits and no attempt is running.
  bool Idle() const;

  std::vector<ServerState> Servers(TimePoint now) const;
  DispatcherStats Stats() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace mulberry
