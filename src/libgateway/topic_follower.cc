#include "libgateway/topic_follower.h"

#include <algorithm>
#include <utility>

namespace mulberry::gateway {

TopicFollower::TopicFollower(FollowOptions options, Sink sink)
    : options_(options), sink_(std::move(sink)) {}

FollowStep TopicFollower::Next() const {
  if (pause_ > Duration::zero()) return FollowPause{pause_};
  if (!newest_complete_) return FollowNewest{last_page_key_};
  return FollowRecords{next_offset_};
}

void TopicFollower::OnNewest(const NewestPage& page) {
  consecutive_failures_ = 0;
  // The pages are not a consistent snapshot: records written since the first page are read
  // afterwards.
  if (first_page_) next_offset_ = page.end;
  first_page_ = false;
  for (const TopicRecord& record : page.records) {
    seen_keys_.push_back(record.key);
    sink_(record);
  }
  if (page.more && !page.records.empty()) {
    last_page_key_ = page.records.back().key;
    return;
  }
  std::sort(seen_keys_.begin(), seen_keys_.end());
  for (const std::string& key : known_keys_) {
    if (!std::binary_search(seen_keys_.begin(), seen_keys_.end(), key)) sink_({key, std::nullopt});
  }
  known_keys_ = std::exchange(seen_keys_, {});
  newest_complete_ = true;
  complete_ = true;
  pause_ = std::max(options_.interval, options_.initial_pause);
}

void TopicFollower::OnRecords(const RecordPage& page) {
  consecutive_failures_ = 0;
  Deliver(page.records);
  next_offset_ = std::max(next_offset_, page.next);
  pause_ = options_.interval;
}

bool TopicFollower::OnRelayed(Offset from, Offset to, const std::vector<TopicRecord>& records) {
  if (!newest_complete_ || from > next_offset_) return false;
  Deliver(records);
  next_offset_ = std::max(next_offset_, to);
  return true;
}

void TopicFollower::Deliver(const std::vector<TopicRecord>& records) {
  for (const TopicRecord& record : records) {
    // Reads of other hosts may overlap with those of this host.
    if (record.offset < next_offset_) continue;
    const auto position = std::lower_bound(known_keys_.begin(), known_keys_.end(), record.key);
    const bool is_known = position != known_keys_.end() && *position == record.key;
    if (record.value && !is_known) known_keys_.insert(position, record.key);
    if (!record.value && is_known) known_keys_.erase(position);
    sink_(record);
  }
}

void TopicFollower::OnExpired() {
  newest_complete_ = false;
  first_page_ = true;
  last_page_key_.clear();
  seen_keys_.clear();
}

void TopicFollower::OnFailed(double random, bool suspended) {
  Duration pause = options_.retry_pause;
  for (std::uint32_t i = 0; i < consecutive_failures_ && pause < options_.max_retry_pause; ++i) {
    pause *= 2;
  }
  pause = std::min(pause, options_.max_retry_pause);
  if (suspended) pause = options_.suspended_retry_pause;
  ++consecutive_failures_;
  pause_ =
      Duration(static_cast<std::int64_t>(static_cast<double>(pause.count()) * (0.5 + random / 2)));
}

}  // namespace mulberry::gateway
