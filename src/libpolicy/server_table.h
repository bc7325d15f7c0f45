#pragma once

#include <memory>
#include <vector>

#include "libpolicy/backend_server.h"

namespace mulberry {

/// What the choice of a server has to respect.
struct PickRequest {
  bool idempotent = true;
  /// Servers that the request was sent to before; they are taken only when no other is in service.
  const std::vector<BackendServer*>* tried = nullptr;
  /// True for a hedge: only a server that is neither suspected slow nor on trial will do.
  bool healthy_only = false;
  /// Requests waiting, this one included.
  std::size_t queued = 1;
  /// Mean time that an attempt occupies a slot.
  Duration service_time{};
};

/// The servers of a group: knows their limits, ejects failing ones and chooses among those with a
/// free slot. Not thread safe.
class ServerTable {
 public:
  explicit ServerTable(const DispatcherOptions& options)
      : options_(&options), first_(options.random_seed) {}

  /// Replaces the list of servers. Servers that are gone are remembered for a while, so that a
  /// restart in between is noticed when they come back.
  void Set(std::vector<ServerInfo> servers, TimePoint now);
  void MarkAllUnverified(TimePoint now);
  /// What the next owner must know: servers with a known start, by name.
  std::vector<ServerHandover> Handovers() const;
  /// Takes what the former owner knew.
  void ApplyHandovers(const std::vector<ServerHandover>& knowledge, TimePoint now);

  /// Chooses a server with a free slot; null when there is none, or when waiting for a server that
  /// is not suspected slow is likely to take less time.
  BackendServer* Pick(const PickRequest& request, LimitShare share, TimePoint now);

  /// Ends an attempt and decides on ejection.
  void End(BackendServer& server, const DispatchReport& report, TimePoint started,
           std::uint32_t epoch, Duration median, bool in_time, TimePoint now);
  /// Takes the answer to a probe; unknown servers are ignored.
  void OnProbe(const ProbeReport& report, TimePoint now);

  /// Server whose probe has been due longest, null when none is due.
  BackendServer* DueForProbe(TimePoint now) const;
  /// Time at which a probe becomes due, TimePoint::max() when never.
  TimePoint NextProbeTime() const;

  /// Time at which a waiting request may find a server without another event.
  TimePoint NextChange(TimePoint now) const;

  /// Sum of the limits now.
  std::uint32_t Capacity(LimitShare share, TimePoint now) const;
  /// Sum of the slots of the servers in service.
  std::uint32_t Slots() const { return slots_; }
  /// Attempts running now, on servers that are gone too.
  std::uint32_t InFlight() const { return in_flight_; }
  /// True when a server is in service and neither ejected nor failing.
  bool AnyHealthy() const;
  /// True when a server is in service.
  bool AnyInService() const;

  void Begin(BackendServer& server, DispatchId dispatch, TimePoint overdue_at, TimePoint now);
  std::vector<ServerState> Describe(LimitShare share, TimePoint now) const;

 private:
  BackendServer* Find(const ServerName& name) const;
  void ForgetAbsent(TimePoint now);
  void CountSlots();
  bool ShouldEject(const BackendServer& server) const;
  bool MayEjectOneMore() const;
  bool AnyOther(const std::vector<BackendServer*>& tried, LimitShare share, TimePoint now) const;

  const DispatcherOptions* options_;
  std::vector<std::unique_ptr<BackendServer>> servers_;
  std::uint32_t slots_ = 0;
  std::uint32_t in_flight_ = 0;
  /// Where the next scan begins, so that equal servers take turns.
  std::size_t first_;
};

}  // namespace mulberry
