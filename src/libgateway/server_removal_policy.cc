#include "libgateway/server_removal_policy.h"

#include <algorithm>

namespace mulberry::gateway {

void ServerRemovalPolicy::OnStoreReachable(TimePoint now) {
  if (away_) back_until_ = now + return_time_;
  away_ = false;
}

Duration ServerRemovalPolicy::GraceTimeLeft(TimePoint now) const {
  if (away_) return return_time_;
  return std::max(Duration::zero(), Duration(back_until_ - now));
}

void ServerRemovalPolicy::OnPeerGraceTime(Duration left, TimePoint now) {
  // The store has answered this host (or the readers that it hears) all the while, so that the
  // other host was cut off alone, and what has vanished meanwhile is gone.
  if (Settled(now)) return;
  away_ = false;
  back_until_ = std::max(back_until_, now + std::min(left, return_time_));
}

bool ServerRemovalPolicy::OnEntryMissing(const ServerName& id, TimePoint now) {
  if (Settled(now)) return true;
  lapsed_.insert(id);
  return false;
}

std::vector<ServerName> ServerRemovalPolicy::TakeRemovable(TimePoint now) {
  std::vector<ServerName> gone;
  if (!Settled(now)) return gone;
  gone.assign(lapsed_.begin(), lapsed_.end());
  lapsed_.clear();
  return gone;
}

}  // namespace mulberry::gateway
