#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "libgateway/platform_adapter.h"

namespace mulberry::gateway {

/// How a topic is followed.
struct FollowOptions {
  /// Time that the store may hold a read until there is a record; zero answers at once.
  Duration wait{};
  /// Pause between reads.
  Duration interval{};
  /// Least pause after the newest records have been read, in which a host that has just started
  /// hears of others that read.
  Duration initial_pause = std::chrono::milliseconds(500);
  /// Pause after a failed read; random within half of it, so that hosts spread.
  Duration retry_pause = std::chrono::milliseconds(300);
  /// The pause doubles with each failure up to this; a store that is back is found in time for
  /// what then binds, some three seconds after its return.
  Duration max_retry_pause = std::chrono::milliseconds(1500);
  /// Pause after a failed read while other hosts read.
  Duration suspended_retry_pause = std::chrono::seconds(4);
};

/// Next step of a follower.
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

/// Decides how a keyed topic is read: the newest record of each key first, then what follows; the
/// newest ones again when records have expired. Records reach the sink in the order of the topic.
/// A key that was there before and is not among the newest ones counts as removed. Pure. Not
/// thread safe.
class TopicFollower {
 public:
  /// Takes one record; `removed_unseen` keys are reported without a value.
  using Sink = std::function<void(const TopicRecord&)>;

  TopicFollower(FollowOptions options, Sink sink);

  /// Returns what to do now.
  FollowStep Next() const;
  /// Pauses are over.
  void OnPauseOver() { pause_ = Duration::zero(); }

  void OnNewest(const NewestPage& page);
  void OnRecords(const RecordPage& page);
  /// Takes records that another host has read, from one offset to another; false when some before
  /// them are missing here.
  bool OnRelayed(Offset from, Offset to, const std::vector<TopicRecord>& records);
  /// Records were asked for that the store has deleted.
  void OnExpired();
  /// `random` is between 0 and 1. `suspended`: other hosts read.
  void OnFailed(double random, bool suspended);
  void SetInterval(Duration interval) { options_.interval = interval; }

  /// True once all newest records have been read since the start.
  bool complete() const { return complete_; }
  Offset next_offset() const { return next_; }

 private:
  void Deliver(const std::vector<TopicRecord>& records);

  FollowOptions options_;
  Sink sink_;
  bool complete_ = false;
  bool newest_done_ = false;
  bool first_page_ = true;
  std::string after_;
  Offset next_;
  Duration pause_{};
  std::uint32_t failures_ = 0;  ///< Failed reads in a row.
  std::vector<std::string> known_;
  std::vector<std::string> seen_;
};

}  // namespace mulberry::gateway
