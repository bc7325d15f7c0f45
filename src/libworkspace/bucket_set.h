#pragma once

#include <unordered_map>
#include <utility>
#include <vector>

#include "libworkspace/token_bucket.h"

namespace mulberry::workspace {

/// The buckets of one role of this host (lender or floor), one per workspace. Does no I/O: time is
/// passed in, as for TokenBucket. Not thread safe.
class BucketSet {
 public:
  using Limits = std::vector<std::pair<WorkspaceName, BucketLimits>>;

  /// The host takes over the role; another host, or an earlier run of this one, may have had it
  /// until `now`. Buckets, also those of workspaces that are added later, are trusted from
  /// `trusted_at` on.
  void Start(TimePoint now, TimePoint trusted_at);
  /// The host loses the role.
  void Stop();
  bool active() const { return active_; }

  /// Sets the workspaces and their limits. The bucket of a workspace that is removed is kept until
  /// nothing that it gave out counts any more, so that a workspace that is removed and added again
  /// gets no second burst.
  void SetLimits(const Limits& limits, Duration window, TimePoint now);
  /// Returns the bucket of a workspace, null without one.
  TokenBucket* Find(const WorkspaceName& workspace);

 private:
  struct Entry {
    TokenBucket bucket;
    bool removed = false;
    TimePoint removed_at;
  };
  bool active_ = false;
  TimePoint trusted_at_;
  std::unordered_map<WorkspaceName, Entry> entries_;
};

}  // namespace mulberry::workspace
