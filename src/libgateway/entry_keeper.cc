#include "libgateway/entry_keeper.h"

#include <algorithm>

namespace mulberry::gateway {

void EntryKeeper::OnStoreAnswers(TimePoint now) {
  if (away_) back_until_ = now + return_time_;
  away_ = false;
}

Duration EntryKeeper::UnsettledFor(TimePoint now) const {
  if (away_) return return_time_;
  return std::max(Duration::zero(), Duration(back_until_ - now));
}

void EntryKeeper::OnUnsettled(Duration left, TimePoint now) {
  // The store has answered this host (or the readers that it hears) all the while, so that the
  // other host was cut off alone, and what has vanished meanwhile is gone.
  if (Settled(now)) return;
  away_ = false;
  back_until_ = std::max(back_until_, now + std::min(left, return_time_));
}

bool EntryKeeper::OnVanished(const ServerName& id, TimePoint now) {
  if (Settled(now)) return true;
  lapsed_.insert(id);
  return false;
}

std::vector<ServerName> EntryKeeper::TakeGone(TimePoint now) {
  std::vector<ServerName> gone;
  if (!Settled(now)) return gone;
  gone.assign(lapsed_.begin(), lapsed_.end());
  lapsed_.clear();
  return gone;
}

}  // namespace mulberry::gateway
