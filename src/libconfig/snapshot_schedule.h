#pragma once

#include <deque>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "libconfig/config_follower.h"

namespace mulberry {

/// Decides when this process writes a snapshot, and hands out its parts one by one. Pure and not
/// thread safe.
class SnapshotSchedule {
 public:
  SnapshotSchedule(const FollowerOptions& options, TimePoint start);

  /// A record of this size that is no snapshot was applied.
  void OnChange(Offset offset, std::size_t bytes);
  /// The tail of the log was seen at `offset`; measures the retention.
  void OnTail(Offset offset, TimePoint now);
  /// The log now starts at `first`.
  void OnFirst(Offset first, TimePoint now);
  /// A whole snapshot that stands in for nothing was seen in the log at `offset`.
  void OnSnapshot(const Snapshot& snapshot, Offset offset, TimePoint now);

  /// True when a snapshot is due and its random wait is over.
  bool ReadyToWrite(Offset applied, TimePoint now);
  /// Starts to write these records.
  void Begin(std::vector<std::string> records, FollowerActions& actions);
  /// The last record was appended or failed.
  void OnAppended(bool ok, TimePoint now, FollowerActions& actions);
  /// Puts a due snapshot off: the last one is on its way, or could not be written.
  void WriteLater(TimePoint now);
  /// True while records are being appended.
  bool writing() const { return !records_.empty(); }
  /// Returns a random part of `longest`.
  Duration Jitter(Duration longest);

 private:
  struct ChangeSeen {
    Offset offset;
    std::size_t bytes = 0;
  };
  struct TailSeen {
    Offset offset;
    TimePoint at;
  };

  bool IsDue(Offset applied, TimePoint now) const;

  FollowerOptions options_;
  std::mt19937_64 random_;
  Offset first_{1};
  Offset newest_as_of_;
  Offset newest_offset_;
  TimePoint newest_at_;
  std::size_t newest_bytes_ = 0;
  std::deque<ChangeSeen> changes_;  ///< After the newest snapshot, oldest first.
  std::size_t changes_bytes_ = 0;
  std::deque<TailSeen> tails_;
  std::optional<Duration> retention_;
  std::optional<TimePoint> write_at_;
  std::deque<std::string> records_;
};

}  // namespace mulberry
