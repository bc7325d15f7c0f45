#include "libworkspace/bucket_set.h"

#include <algorithm>

namespace mulberry::workspace {

void BucketSet::Start(TimePoint now, TimePoint trusted_at) {
  entries_.clear();
  active_ = true;
  trusted_at_ = std::max(now, trusted_at);
}

void BucketSet::Stop() {
  entries_.clear();
  active_ = false;
}

void BucketSet::SetLimits(const Limits& limits, Duration window, TimePoint now) {
  if (!active_) return;
  std::erase_if(entries_, [&](const auto& item) {
    return item.second.removed && now - item.second.removed_at > window + kTokenLifetime;
  });
  for (auto& [name, entry] : entries_) {
    if (!std::exchange(entry.removed, true)) entry.removed_at = now;
  }
  for (const auto& [name, bucket_limits] : limits) {
    const auto found = entries_.find(name);
    if (found == entries_.end()) {
      entries_.emplace(name, Entry{TokenBucket(bucket_limits, now, trusted_at_), false, {}});
      continue;
    }
    found->second.removed = false;
    found->second.bucket.SetLimits(bucket_limits, now);
  }
}

TokenBucket* BucketSet::Find(const WorkspaceName& workspace) {
  const auto found = entries_.find(workspace);
  return found == entries_.end() || found->second.removed ? nullptr : &found->second.bucket;
}

}  // namespace mulberry::workspace
