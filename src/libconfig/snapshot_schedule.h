#pragma once

#include <deque>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "libconfig/config_follower.h"

namespace mulberry {

/// Decides when this process writes a snapshot, and issues its parts one at a time. Performs no
/// I/O; not thread safe.
class SnapshotSchedule {
 public:
  SnapshotSchedule(const FollowerOptions& options, TimePoint start);

  /// A record of this size that is not part of a snapshot was applied.
  void OnChange(Offset offset, std::size_t bytes);
  /// The reader reached the end of the log at `offset`. Used to measure the log's retention.
  void OnLogEnd(Offset offset, TimePoint now);
  /// The oldest retained record is now at `first`.
  void OnFirst(Offset first, TimePoint now);
  /// A complete snapshot that is not a bridging one was read at `offset`.
  void OnSnapshot(const Snapshot& snapshot, Offset offset, TimePoint now);

  /// True if a snapshot is due and its random delay has passed.
  bool ReadyToWrite(Offset applied, TimePoint now);
  /// Starts appending these records.
  void StartWriting(std::vector<std::string> records, FollowerActions& actions);
  /// The last record was appended, or its append failed.
  void OnAppended(bool ok, TimePoint now, FollowerActions& actions);
  /// Postpones a due snapshot: one has just been written, or writing failed.
  void PostponeWrite(TimePoint now);
  /// True while a snapshot is being appended.
  bool writing() const { return !records_.empty(); }
  /// Returns a random duration from zero to `longest`.
  Duration Jitter(Duration longest);

 private:
  struct ChangeSize {
    Offset offset;
    std::size_t bytes = 0;
  };
  struct LogEnd {
    Offset offset;
    TimePoint at;
  };

  bool IsDue(Offset applied, TimePoint now) const;

  FollowerOptions options_;
  std::mt19937_64 random_;
  Offset log_first_{1};
  Offset newest_as_of_;
  Offset newest_offset_;
  TimePoint newest_at_;
  std::size_t newest_bytes_ = 0;
  std::deque<ChangeSize> changes_;  ///< Changes after the newest snapshot, oldest first.
  std::size_t changes_bytes_ = 0;
  std::deque<LogEnd> log_ends_;
  std::optional<Duration> retention_;
  std::optional<TimePoint> write_at_;
  std::deque<std::string> records_;
};

}  // namespace mulberry
