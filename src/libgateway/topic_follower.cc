#include "libgateway/topic_follower.h"

#include <algorithm>
#include <utility>

namespace mulberry::gateway {

TopicFollower::TopicFollower(FollowOptions options, Sink sink)
    : options_(options), sink_(std::move(sink)) {}

FollowStep TopicFollower::Next() const {
  if (pause_ > Duration::zero()) return FollowPause{pause_};
  if (!newest_done_) return FollowNewest{after_};
  return FollowRecords{next_};
}

void TopicFollower::OnNewest(const NewestPage& page) {
  failures_ = 0;
  // Pages are no snapshot: what was written since the first one is read as records.
  if (first_page_) next_ = page.end;
  first_page_ = false;
  for (const TopicRecord& record : page.records) {
    seen_.push_back(record.key);
    sink_(record);
  }
  if (page.more && !page.records.empty()) {
    after_ = page.records.back().key;
    return;
  }
  std::sort(seen_.begin(), seen_.end());
  for (const std::string& key : known_) {
    if (!std::binary_search(seen_.begin(), seen_.end(), key)) sink_({key, std::nullopt});
  }
  known_ = std::exchange(seen_, {});
  newest_done_ = true;
  complete_ = true;
  pause_ = std::max(options_.interval, options_.initial_pause);
}

void TopicFollower::OnRecords(const RecordPage& page) {
  failures_ = 0;
  Deliver(page.records);
  next_ = std::max(next_, page.next);
  pause_ = options_.interval;
}

bool TopicFollower::OnRelayed(Offset from, Offset to, const std::vector<TopicRecord>& records) {
  if (!newest_done_ || from > next_) return false;
  Deliver(records);
  next_ = std::max(next_, to);
  return true;
}

void TopicFollower::Deliver(const std::vector<TopicRecord>& records) {
  for (const TopicRecord& record : records) {
    // What another host has read may overlap with what this one has.
    if (record.offset < next_) continue;
    const auto place = std::lower_bound(known_.begin(), known_.end(), record.key);
    const bool is_known = place != known_.end() && *place == record.key;
    if (record.value && !is_known) known_.insert(place, record.key);
    if (!record.value && is_known) known_.erase(place);
    sink_(record);
  }
}

void TopicFollower::OnExpired() {
  newest_done_ = false;
  first_page_ = true;
  after_.clear();
  seen_.clear();
}

void TopicFollower::OnFailed(double random, bool suspended) {
  Duration longest = options_.retry_pause;
  for (std::uint32_t i = 0; i < failures_ && longest < options_.max_retry_pause; ++i) {
    longest *= 2;
  }
  longest = std::min(longest, options_.max_retry_pause);
  if (suspended) longest = options_.suspended_retry_pause;
  ++failures_;
  pause_ = Duration(
      static_cast<std::int64_t>(static_cast<double>(longest.count()) * (0.5 + random / 2)));
}

}  // namespace mulberry::gateway
