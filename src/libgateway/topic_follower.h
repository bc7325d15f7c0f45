#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "libgateway/platform_adapter.h"

namespace mulberry::gateway {

/// Timing parameters for reading a topic.
struct FollowOptions {
  /// How long the store may hold a read until there is a record (long polling); zero: it answers at
  /// once.
  Duration wait{};
  /// Pause between reads.
  Duration interval{};
  /// Minimum pause after reading the newest records, in which a host that has just started learns
  /// of other readers.
  Duration initial_pause = std::chrono::milliseconds(500);
  /// Pause after a failed read, randomised between half and all of it so that hosts do not retry at
  /// the same time.
  Duration retry_pause = std::chrono::milliseconds(300);
  /// Upper bound of the pause, which doubles with each failure. It is short enough that a recovered
  /// store is noticed before its new entries take effect, about 3 s after its return.
  Duration max_retry_pause = std::chrono::milliseconds(1500);
  /// Pause after a failed read while other hosts read the topic.
  Duration suspended_retry_pause = std::chrono::seconds(4);
};

/// Next step of a TopicFollower.
struct FollowPause {
  Duration wait{};
};
struct FollowNewest {
  std::string after;
};
struct FollowRecords {
  Offset from;
};
using FollowStep = std::variant<FollowPause, FollowNewest, FollowRecords>;

/// Decides how a keyed topic is read: first the newest record of each key, then the records after
/// them; the newest records again when records have expired. The sink receives records in topic
/// order. A key that was known and is not among the newest records counts as removed. Does no I/O.
/// Not thread safe.
class TopicFollower {
 public:
  /// Receives one record. A key that is missing after a gap is reported without a value.
  using Sink = std::function<void(const TopicRecord&)>;

  TopicFollower(FollowOptions options, Sink sink);

  /// Returns what to do now.
  FollowStep Next() const;
  /// Ends the current pause.
  void OnPauseOver() { pause_ = Duration::zero(); }

  void OnNewest(const NewestPage& page);
  void OnRecords(const RecordPage& page);
  /// Applies records that another host has read, from `from` up to `to`; returns false when earlier
  /// records are missing here.
  bool OnRelayed(Offset from, Offset to, const std::vector<TopicRecord>& records);
  /// The store has deleted the requested records.
  void OnExpired();
  /// `random` is between 0 and 1. `suspended`: other hosts read the topic.
  void OnFailed(double random, bool suspended);
  void SetInterval(Duration interval) { options_.interval = interval; }

  /// True once all newest records have been read since the start.
  bool complete() const { return complete_; }
  Offset next_offset() const { return next_offset_; }

 private:
  void Deliver(const std::vector<TopicRecord>& records);

  FollowOptions options_;
  Sink sink_;
  bool complete_ = false;
  bool newest_complete_ = false;
  bool first_page_ = true;
  std::string last_page_key_;
  Offset next_offset_;
  Duration pause_{};
  std::uint32_t consecutive_failures_ = 0;  ///< Failed reads in a row.
  std::vector<std::string> known_keys_;
  std::vector<std::string> seen_keys_;
};

}  // namespace mulberry::gateway
