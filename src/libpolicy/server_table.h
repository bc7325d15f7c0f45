#pragma once

#include <memory>
#include <vector>

#include "libpolicy/backend_server.h"

namespace mulberry {

/// Constraints and inputs for the choice of a server.
struct PickCriteria {
  bool idempotent = true;
  /// Servers that earlier attempts of the request used. They are chosen only when no other server
  /// has a limit above zero.
  const std::vector<BackendServer*>* tried = nullptr;
  /// True for a hedge, for which only a server that is neither suspected slow, failing nor on trial
  /// may be chosen.
  bool healthy_only = false;
  /// Number of queued requests, including this one.
  std::size_t queued = 1;
  /// Mean time that an attempt occupies a slot.
  Duration service_time{};
};

/// The servers of a group. Tracks their limits, ejects failing servers and chooses among the
/// servers with a free slot. Not thread safe.
class ServerTable {
 public:
  explicit ServerTable(const DispatcherOptions& options)
      : options_(&options), scan_start_(options.random_seed) {}

  /// Replaces the list of servers. A removed server is kept for some time, so that a restart in the
  /// meantime is detected when it returns.
  void SetServers(std::vector<ServerInfo> servers, TimePoint now);
  /// Marks that every server may have restarted.
  void MarkAllUnverified(TimePoint now);
  /// Returns the state that the next owner needs: the listed servers with a known start, sorted by
  /// name.
  std::vector<ServerHandover> Handovers() const;
  /// Applies the state from the former owner.
  void ApplyHandovers(const std::vector<ServerHandover>& handovers, TimePoint now);

  /// Chooses a server with a free slot. Returns null when there is none, or when it is likely
  /// faster to wait for a server that is not suspected slow.
  BackendServer* Pick(const PickCriteria& criteria, LimitShare share, TimePoint now);

  /// Records the end of an attempt and ejects the server if it fails.
  void OnAttemptEnd(BackendServer& server, const DispatchReport& report, TimePoint started,
                    std::uint32_t epoch, Duration median, bool in_time, TimePoint now);
  /// Handles the result of a probe. Unknown servers are ignored.
  void OnProbe(const ProbeReport& report, TimePoint now);

  /// Returns the server whose probe has been due longest, null when none is due.
  BackendServer* DueForProbe(TimePoint now) const;
  /// Returns the time at which a probe becomes due, TimePoint::max() when never.
  TimePoint NextProbeTime() const;

  /// Returns the next time at which a server may become available for a queued request without
  /// another event.
  TimePoint NextChange(TimePoint now) const;

  /// Sum of the servers' current limits.
  std::uint32_t Capacity(LimitShare share, TimePoint now) const;
  /// Sum of the slots of the servers in service.
  std::uint32_t Slots() const { return slots_; }
  /// Number of running attempts, including those on removed servers.
  std::uint32_t InFlight() const { return in_flight_; }
  /// True when at least one server is in service and neither ejected nor failing.
  bool AnyHealthy() const;
  /// True when at least one server is in service.
  bool AnyInService() const;

  void OnAttemptStart(BackendServer& server, DispatchId dispatch, TimePoint overdue_at,
                      TimePoint now);
  std::vector<ServerState> Describe(LimitShare share, TimePoint now) const;

 private:
  BackendServer* Find(const ServerName& name) const;
  void RemoveExpiredAbsent(TimePoint now);
  void UpdateSlots();
  bool ShouldEject(const BackendServer& server) const;
  bool CanEjectAnother() const;
  bool AnyUntried(const std::vector<BackendServer*>& tried, LimitShare share, TimePoint now) const;

  const DispatcherOptions* options_;
  std::vector<std::unique_ptr<BackendServer>> servers_;
  std::uint32_t slots_ = 0;
  std::uint32_t in_flight_ = 0;
  /// Index at which the last scan began. It advances with each scan, so that equal servers are
  /// chosen in turn.
  std::size_t scan_start_;
};

}  // namespace mulberry
