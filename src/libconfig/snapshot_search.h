#pragma once

#include <optional>

#include "libconfig/config_follower.h"

namespace mulberry {

/// Remembers the snapshots that a reader without the records before them could start from. Pure and
/// not thread safe.
class SnapshotSearch {
 public:
  /// Takes a snapshot in the log's order. One that stands in for lost records counts only when
  /// its writer knew the log up to `applied` at least.
  void Add(const Snapshot& snapshot, Offset applied);

  /// Returns the snapshot to load: the one with the highest as-of offset, else, when the whole log
  /// was searched, the first one that stands in for lost records. Its following records must all be
  /// in a log that starts at `first`, and it must be newer than `applied`. Null when there is none.
  const Snapshot* Best(Offset first, Offset applied, bool whole_log);

  void Clear();

 private:
  std::optional<Snapshot> highest_;
  std::optional<Snapshot> stand_in_;
};

}  // namespace mulberry
