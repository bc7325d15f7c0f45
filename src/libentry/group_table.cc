#include "libentry/group_table.h"

#include <algorithm>
#include <utility>

namespace mulberry {
namespace {

constexpr double kDefaultProbesPerSecond = 2.0;
// A dispatch id consists of 16 bits that identify the host's start, 16 bits that identify the
// dispatcher, and a 32-bit counter.
constexpr int kHostBitsShift = 48;
constexpr int kDispatcherBitsShift = 32;

double ProbeRate(const ConfigState& config, const ServiceMap& services,
                 const ServiceName& service) {
  const auto it = config.probe_budgets.find(service);
  const double budget =
      it == config.probe_budgets.end() ? kDefaultProbesPerSecond : it->second.probes_per_second;
  const std::size_t parts = std::max<std::size_t>(1, services.AvailableDataCentres(service).size());
  return budget / static_cast<double>(parts);
}

std::vector<ClassTarget> TargetsOf(const ConfigState& config, const ServiceName& service) {
  std::vector<ClassTarget> targets;
  for (const auto& [name, item] : config.classes) {
    if (item.service == service) {
      targets.push_back({name, item.idempotent, item.latency_target, item.reliability_target});
    }
  }
  return targets;
}

}  // namespace

LimitShare LimitShareFor(LeasePhase phase) {
  switch (phase) {
    case LeasePhase::kNone:
      return LimitShare::kNone;
    case LeasePhase::kReduced:
      return LimitShare::kReduced;
    case LeasePhase::kWarm:
      return LimitShare::kWarm;
    case LeasePhase::kFull:
      return LimitShare::kFull;
  }
  return LimitShare::kNone;
}

const char* LeasePhaseName(LeasePhase phase) {
  switch (phase) {
    case LeasePhase::kNone:
      return "none";
    case LeasePhase::kReduced:
      return "reduced";
    case LeasePhase::kWarm:
      return "warm";
    case LeasePhase::kFull:
      return "full";
  }
  return "none";
}

GroupTable::GroupTable(DispatcherOptions options) : options_(options) {}

void GroupTable::AppendActions(GroupKey key, PolicyActions& from, GroupActions& actions) {
  for (PolicyAction& action : from) {
    actions.push_back({key, std::move(action)});
  }
  from.clear();
}

GroupTable::Group& GroupTable::AddGroup(const ServiceMap::Group& group, TimePoint now) {
  DispatcherOptions options = options_;
  options.random_seed ^= group.key.value();
  const std::uint64_t host = StableHash(std::to_string(options_.random_seed)) << kHostBitsShift;
  options.first_dispatch_id = host | (++dispatchers_created_ & 0xffff) << kDispatcherBitsShift;
  auto [it, is_new] =
      groups_.emplace(group.key, Group{group.name, {}, false, GroupDispatcher(options), {}, {}});
  it->second.dispatcher.MarkAllUnverified(now);
  return it->second;
}

void GroupTable::Configure(Group& group, const ServiceMap::Group& servers,
                           const ServiceMap& services, const ConfigState& config, TimePoint now) {
  GroupDispatcher& dispatcher = group.dispatcher;
  dispatcher.SetClasses(TargetsOf(config, group.name.service), now, action_buffer_);
  dispatcher.SetServers(servers.servers, now, action_buffer_);
  dispatcher.SetProbeRate(ProbeRate(config, services, group.name.service), now);
}

void GroupTable::Refresh(const ServiceMap& services, const ConfigState& config,
                         const LeaseHolder& leases, const SelfDescription& self, bool permitted,
                         TimePoint now, GroupActions& actions) {
  const auto draining = leases.DrainingGroups(now);
  for (const ServiceMap::Group* servers : services.GroupsIn(self.data_centre)) {
    const GroupKey key = servers->key;
    const Lease lease = leases.GetLease(key, now);
    const bool wanted =
        lease.phase != LeasePhase::kNone || leases.PreferredOwner(key) == self.self.host;
    auto it = groups_.find(key);
    const bool added = it == groups_.end() && wanted;
    if (it == groups_.end() && !wanted) {
      continue;
    }
    Group& group = added ? AddGroup(*servers, now) : it->second;
    if (added || changed_) {
      Configure(group, *servers, services, config, now);
    }
    const bool lease_acquired =
        group.lease.phase == LeasePhase::kNone && lease.phase != LeasePhase::kNone;
    if (lease_acquired) {
      group.dispatcher.ApplyHandovers(received_handovers_[key], now);
      group.dispatcher.MarkAllUnverified(now);
    }
    const bool drained = std::find(draining.begin(), draining.end(), key) != draining.end();
    group.closed = servers->out || !permitted || drained;
    group.dispatcher.SetDraining(group.closed, now, action_buffer_);
    group.lease = lease;
    group.dispatcher.SetLimitShare(LimitShareFor(lease.phase), lease.expires, now, action_buffer_);
    AppendActions(key, action_buffer_, actions);
  }
  changed_ = false;
  std::erase_if(groups_, [&](const auto& entry) {
    const bool needed = leases.GetLease(entry.first, now).phase != LeasePhase::kNone ||
                        leases.PreferredOwner(entry.first) == self.self.host;
    return !needed && entry.second.dispatcher.Idle();
  });
}

void GroupTable::StoreHandovers(GroupKey key, std::vector<ServerHandover> handovers) {
  received_handovers_[key] = std::move(handovers);
}

std::vector<ServerHandover> GroupTable::HandoversToSend(GroupKey key, Duration interval,
                                                        TimePoint now) {
  Group* group = Find(key);
  if (group == nullptr || group->lease.phase == LeasePhase::kNone) {
    return {};
  }
  std::vector<ServerHandover> handovers = group->dispatcher.Handovers();
  if (handovers == group->sent_handovers && now - group->sent_at < interval) {
    return {};
  }
  group->sent_handovers = handovers;
  group->sent_at = now;
  return handovers;
}

GroupTable::Group* GroupTable::Find(GroupKey key) {
  const auto it = groups_.find(key);
  return it == groups_.end() ? nullptr : &it->second;
}

bool GroupTable::AcceptsRequests(GroupKey key, TimePoint now) const {
  const auto it = groups_.find(key);
  if (it == groups_.end()) {
    return false;
  }
  const Group& group = it->second;
  return !group.closed && group.lease.phase != LeasePhase::kNone && group.lease.expires > now;
}

void GroupTable::Submit(GroupKey key, const RequestInfo& request_info, TimePoint now,
                        GroupActions& actions) {
  if (Group* group = Find(key)) {
    group->dispatcher.Submit(request_info, now, action_buffer_);
    AppendActions(key, action_buffer_, actions);
  }
}

void GroupTable::Cancel(GroupKey key, RequestId request, TimePoint now, GroupActions& actions) {
  if (Group* group = Find(key)) {
    group->dispatcher.Cancel(request, now, action_buffer_);
    AppendActions(key, action_buffer_, actions);
  }
}

void GroupTable::OnDispatchEnd(GroupKey key, const DispatchReport& report, TimePoint now,
                               GroupActions& actions) {
  if (Group* group = Find(key)) {
    group->dispatcher.OnDispatchEnd(report, now, action_buffer_);
    AppendActions(key, action_buffer_, actions);
  }
}

void GroupTable::OnProbe(const ProbeReport& report, TimePoint now, GroupActions& actions) {
  for (auto& [key, group] : groups_) {
    group.dispatcher.OnProbe(report, now, action_buffer_);
    AppendActions(key, action_buffer_, actions);
  }
}

void GroupTable::Tick(TimePoint now, GroupActions& actions) {
  for (auto& [key, group] : groups_) {
    if (group.dispatcher.NextTick() <= now) {
      group.dispatcher.Tick(now, action_buffer_);
      AppendActions(key, action_buffer_, actions);
    }
  }
}

TimePoint GroupTable::NextTick() const {
  TimePoint next = TimePoint::max();
  for (const auto& [key, group] : groups_) {
    next = std::min(next, group.dispatcher.NextTick());
  }
  return next;
}

bool GroupTable::Idle() const {
  return std::all_of(groups_.begin(), groups_.end(),
                     [](const auto& entry) { return entry.second.dispatcher.Idle(); });
}

}  // namespace mulberry
