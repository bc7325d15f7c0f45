#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libentry/service_map.h"
#include "libentry/types.h"

namespace mulberry {

/// The dispatchers of the groups that this host owns, is about to own, or still drains.
/// Not thread safe.
class GroupTable {
 public:
  /// An order of one group's dispatcher.
  struct GroupAction {
    GroupKey group;
    PolicyAction action;
  };
  using GroupActions = std::vector<GroupAction>;

  /// One group that has a dispatcher here.
  struct Group {
    GroupName name;
    Lease lease;
    /// Groups that are drained, of a data centre that is out, or of a host that may not take work.
    bool closed = false;
    GroupDispatcher dispatcher;
    /// What the next owners were told last, and when.
    std::vector<ServerHandover> told;
    TimePoint told_at;
  };

  explicit GroupTable(DispatcherOptions options);

  /// Brings the dispatchers in line with servers, classes, leases and the permission to take work.
  void Refresh(const ServiceMap& services, const ConfigState& config, const LeaseHolder& leases,
               const SelfDescription& self, bool permitted, TimePoint now, GroupActions& actions);

  /// Applies what has changed in servers and classes at the next Refresh.
  void MarkChanged() { changed_ = true; }

  /// Takes what a group's owner knows of its servers, for the time when this host owns it.
  void Learn(GroupKey key, std::vector<ServerHandover> knowledge);

  /// Returns what this host knows of the servers of a group that it owns, when the next owners must
  /// be told: it has changed, or `interval` has passed. Empty otherwise.
  std::vector<ServerHandover> KnowledgeToTell(GroupKey key, Duration interval, TimePoint now);

  /// Returns a group with a dispatcher, nullptr when there is none.
  Group* Find(GroupKey key);

  /// True when the group may be handed a request now.
  bool Usable(GroupKey key, TimePoint now) const;

  void Submit(GroupKey key, const RequestInfo& item, TimePoint now, GroupActions& actions);
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
  Group& Open(const ServiceMap::Group& group, TimePoint now);
  void Configure(Group& group, const ServiceMap::Group& servers, const ServiceMap& services,
                 const ConfigState& config, TimePoint now);
  void Collect(GroupKey key, PolicyActions& from, GroupActions& actions);

  DispatcherOptions options_;
  std::map<GroupKey, Group> groups_;
  std::map<GroupKey, std::vector<ServerHandover>> learned_;
  bool changed_ = true;
  std::uint64_t opened_ = 0;
  PolicyActions scratch_;
};

/// Share of the limits that a lease phase allows.
LimitShare ShareOf(LeasePhase phase);

/// Returns the snake_case name of a phase.
const char* LeasePhaseName(LeasePhase phase);

}  // namespace mulberry
