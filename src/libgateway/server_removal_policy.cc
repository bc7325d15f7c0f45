#include "libgateway/server_removal_policy.h"

#include <algorithm>

namespace mulberry::gateway {

template <class Id>
void RemovalPolicy<Id>::OnStoreReachable(TimePoint now) {
  if (store_unreachable_) grace_until_ = now + grace_time_;
  store_unreachable_ = false;
}

template <class Id>
Duration RemovalPolicy<Id>::GraceTimeLeft(TimePoint now) const {
  if (store_unreachable_) return grace_time_;
  return std::max(Duration::zero(), Duration(grace_until_ - now));
}

template <class Id>
void RemovalPolicy<Id>::OnPeerGraceTime(Duration time_left, TimePoint now) {
  // The store was reachable for this host (or for the readers that it hears from) throughout, so
  // only the other host was disconnected or started, and entries that went missing meanwhile are
  // gone.
  if (MissingMeansGone(now) || (!store_unreachable_ && !outage_seen_)) return;
  store_unreachable_ = false;
  grace_until_ = std::max(grace_until_, now + std::min(time_left, grace_time_));
}

template <class Id>
bool RemovalPolicy<Id>::OnEntryMissing(const Id& id, TimePoint now) {
  if (MissingMeansGone(now)) return true;
  missing_.insert(id);
  return false;
}

template <class Id>
std::vector<Id> RemovalPolicy<Id>::TakeRemovable(TimePoint now) {
  std::vector<Id> removable;
  if (!MissingMeansGone(now)) return removable;
  removable.assign(missing_.begin(), missing_.end());
  missing_.clear();
  return removable;
}

template class RemovalPolicy<ServerName>;
template class RemovalPolicy<DataCentreName>;

}  // namespace mulberry::gateway
