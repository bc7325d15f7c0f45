#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "libgateway/platform_adapter.h"
#include "libgateway/topic_update.h"

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

/// Where a record comes from that a TopicFollower delivers.
enum class RecordSource {
  kLog,      ///< The topic at this point.
  kNewest,   ///< The newest records; after a restore it may be older than what is known.
  kMissing,  ///< No record: a key that was known and is not among the newest records.
};

/// Decides how a keyed topic is read: first the newest record of each key, then the records after
/// them; the newest records again when records have expired or the store was restored. The sink
/// receives records in topic order. Does no I/O. Not thread safe.
class TopicFollower {
 public:
  /// Receives one record; a key that is missing after a gap, without a value.
  using Sink = std::function<void(const TopicRecord&, RecordSource)>;

  TopicFollower(FollowOptions options, Sink sink);

  /// Returns what to do now.
  FollowStep Next() const;
  /// Ends the current pause.
  void OnPauseOver() { pause_ = Duration::zero(); }

  /// The store is in this era. Returns true when it is a newer one: the position is void, and the
  /// newest records are to be read again.
  bool OnEra(StoreEra era);
  /// Apply a response. One of an older era is ignored, and the read is repeated after a pause.
  void OnNewest(const NewestPage& page);
  void OnRecords(const RecordPage& page);
  /// The response is of an older era; the read is repeated after a pause.
  void OnLateResponse() { pause_ = options_.retry_pause; }
  /// Applies records that another host has read; returns false when earlier records are missing
  /// here. Records of a newer era are applied although the newest ones of it are still to be read.
  bool OnRelayed(const TopicUpdate& update);
  /// The store has deleted the requested records.
  void OnExpired();
  /// `random` is between 0 and 1. `suspended`: other hosts read the topic.
  void OnFailed(double random, bool suspended);
  void SetInterval(Duration interval) { options_.interval = interval; }

  /// True once all newest records have been read since the start.
  bool complete() const { return complete_; }
  /// False while the newest records are read, at the start and after a gap or a restore.
  bool up_to_date() const { return newest_complete_; }
  /// Pages of the newest records have been read, and more are to come.
  bool reading_pages() const { return !newest_complete_ && !first_page_; }
  /// All records before this position have been delivered.
  TopicPosition position() const { return position_; }
  /// The same, or up to where other hosts have relayed records of an era whose newest ones are
  /// still to be read here; some before it may be missing.
  TopicPosition applied_position() const { return std::max(position_, relayed_to_); }
  /// The newest known era of the store; the position may still be of an older one.
  StoreEra era() const { return era_; }

 private:
  void RestartNewest();
  void Deliver(const TopicRecord& record);

  FollowOptions options_;
  Sink sink_;
  bool complete_ = false;
  bool newest_complete_ = false;
  bool first_page_ = true;
  std::string last_page_key_;
  /// End of the topic when the first page of the newest records was read.
  Offset newest_end_;
  StoreEra era_;
  TopicPosition position_;
  TopicPosition relayed_to_;
  Duration pause_{};
  std::uint32_t consecutive_failures_ = 0;  ///< Failed reads in a row.
  std::vector<std::string> known_keys_;
  std::vector<std::string> seen_keys_;
};

}  // namespace mulberry::gateway
