#include "libgateway/entry_keeper.h"

namespace mulberry::gateway {

void EntryKeeper::OnStoreAnswers(TimePoint now) {
  if (away_) back_until_ = now + return_time_;
  away_ = false;
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
