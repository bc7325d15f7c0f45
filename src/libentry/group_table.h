#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libentry/service_map.h"
#include "libentry/types.h"

namespace mulberry {

/// The dispatchers of the groups that this host owns, is about to own, or is still draining.
/// Not thread safe.
class GroupTable {
 public:
  /// An action that one group's dispatcher requests.
  struct GroupAction {
    GroupKey group;
    PolicyAction action;
  };
  using GroupActions = std::vector<GroupAction>;

  /// One group that has a dispatcher here.
  struct Group {
    GroupName name;
    Lease lease;
    /// True when the group is draining, its data centre is out, or this host may not take work.
    bool closed = false;
    GroupDispatcher dispatcher;
    /// Server state last sent to the next owners, and the time it was sent.
    std::vector<ServerHandover> sent_handovers;
    TimePoint sent_at;
  };

  explicit GroupTable(DispatcherOptions options);

  /// Updates the dispatchers to the current servers, classes, leases and permission to take work.
  void Refresh(const ServiceMap& services, const ConfigState& config, const LeaseHolder& leases,
               const SelfDescription& self, bool permitted, TimePoint now, GroupActions& actions);

  /// Makes the next Refresh apply changed servers and classes.
  void MarkChanged() { changed_ = true; }

  /// Stores the server state received from a group's owner. It is applied when this host obtains
  /// the group's lease.
  void StoreHandovers(GroupKey key, std::vector<ServerHandover> handovers);

  /// Returns the server state of an owned group if it must be sent to the next owners, because it
  /// has changed or `interval` has passed since it was last sent. Returns empty otherwise.
  std::vector<ServerHandover> HandoversToSend(GroupKey key, Duration interval, TimePoint now);

  /// Returns the group if it has a dispatcher on this host, nullptr otherwise.
  Group* Find(GroupKey key);

  /// True when requests may be submitted to the group now.
  bool AcceptsRequests(GroupKey key, TimePoint now) const;

  void Submit(GroupKey key, const RequestInfo& request_info, TimePoint now, GroupActions& actions);
  void Cancel(GroupKey key, RequestId request, TimePoint now, GroupActions& actions);
  void OnDispatchEnd(GroupKey key, const DispatchReport& report, TimePoint now,
                     GroupActions& actions);
  void OnProbe(const ProbeReport& report, TimePoint now, GroupActions& actions);
  void Tick(TimePoint now, GroupActions& actions);
  TimePoint NextTick() const;

  /// True when no dispatcher has anything queued or running.
  bool Idle() const;

  const std::map<GroupKey, Group>& groups() const { return groups_; }

 private:
  Group& AddGroup(const ServiceMap::Group& group, TimePoint now);
  void Configure(Group& group, const ServiceMap::Group& servers, const ServiceMap& services,
                 const ConfigState& config, TimePoint now);
  void AppendActions(GroupKey key, PolicyActions& from, GroupActions& actions);

  DispatcherOptions options_;
  std::map<GroupKey, Group> groups_;
  std::map<GroupKey, std::vector<ServerHandover>> received_handovers_;
  bool changed_ = true;
  std::uint64_t dispatchers_created_ = 0;
  PolicyActions action_buffer_;
};

/// Returns the share of the concurrency limits that a lease phase allows.
LimitShare LimitShareFor(LeasePhase phase);

/// Returns the snake_case name of a lease phase.
const char* LeasePhaseName(LeasePhase phase);

}  // namespace mulberry
