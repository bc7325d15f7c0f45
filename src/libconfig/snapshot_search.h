#pragma once

#include <optional>

#include "libconfig/config_follower.h"

namespace mulberry {

/// Selects the snapshot from which a reader that lacks earlier records starts. Performs no I/O; not
/// thread safe.
class SnapshotSearch {
 public:
  /// Adds a snapshot, in log order. A bridging snapshot is considered only if its writer had
  /// applied the log at least up to `applied`.
  void Add(const Snapshot& snapshot, Offset applied);

  /// Returns the snapshot to load: the one with the highest as-of offset, or, if that is not usable
  /// and the whole log was searched, the first bridging snapshot. A usable snapshot is newer than
  /// `applied`, and all records after it are retained in a log that starts at `first`. Returns null
  /// if there is none.
  const Snapshot* FindBest(Offset first, Offset applied, bool whole_log);

  void Clear();

 private:
  std::optional<Snapshot> newest_;
  std::optional<Snapshot> bridging_;
};

}  // namespace mulberry
