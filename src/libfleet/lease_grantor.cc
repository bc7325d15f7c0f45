#include "libfleet/lease_grantor.h"

#include <algorithm>

namespace mulberry {

LeaseGrantor::LeaseGrantor(LeaseOptions options, TimePoint start)
    : options_(options), start_(start), next_sweep_(start) {}

TimePoint LeaseGrantor::RunningUntil(const Record& record) const {
  if (record.released) return record.former_until;
  return std::max(record.former_until, record.until + options_.max_request_time);
}

LeaseGrant LeaseGrantor::OnLeaseRequest(GroupKey group, const Incarnation& candidate,
                                        TimePoint now) {
  ForgetOld(now);
  LeaseGrant grant;
  grant.group = group;
  grant.fresh = now - start_ < options_.lease_time + options_.max_request_time;
  // A lease that the former incarnation of this grantor gave may still be valid.
  if (now - start_ < options_.lease_time) return grant;

  const auto [found, is_new] = records_.try_emplace(group);
  Record& record = found->second;
  const bool renewal = !is_new && !record.released && record.holder == candidate;
  if (!renewal) {
    if (!is_new && !record.released && record.until > now) {
      grant.former_remaining = RunningUntil(record) - now;
      return grant;
    }
    record.former_until = is_new ? now : RunningUntil(record);
    record.holder = candidate;
    record.released = false;
  }
  record.until = now + options_.lease_time;
  grant.granted = true;
  grant.former_remaining = std::max(Duration::zero(), record.former_until - now);
  return grant;
}

void LeaseGrantor::OnRelease(GroupKey group, const Incarnation& holder, TimePoint now) {
  const auto found = records_.find(group);
  if (found == records_.end() || found->second.holder != holder) return;
  found->second.released = true;
  found->second.until = std::min(found->second.until, now);
}

Incarnation LeaseGrantor::HolderOf(GroupKey group, TimePoint now) const {
  const auto found = records_.find(group);
  if (found == records_.end()) return Incarnation();
  const Record& record = found->second;
  return record.released || record.until <= now ? Incarnation() : record.holder;
}

void LeaseGrantor::ForgetOld(TimePoint now) {
  if (now < next_sweep_) return;
  next_sweep_ = now + options_.max_request_time;
  std::erase_if(records_, [&](const auto& entry) {
    return entry.second.until <= now && RunningUntil(entry.second) <= now;
  });
}

}  // namespace mulberry
