#include "libgateway/topic_follower.h"

#include <algorithm>
#include <utility>

namespace mulberry::gateway {

TopicFollower::TopicFollower(FollowOptions options, Sink sink)
    : options_(options), sink_(std::move(sink)) {}

FollowStep TopicFollower::Next() const {
  if (pause_ > Duration::zero()) return FollowPause{pause_};
  if (!newest_complete_) return FollowNewest{last_page_key_};
  return FollowRecords{position_.offset};
}

bool TopicFollower::OnEra(StoreEra era) {
  if (era <= era_) return false;
  era_ = era;
  pause_ = Duration::zero();
  RestartNewest();
  return true;
}

void TopicFollower::OnNewest(const NewestPage& page) {
  if (page.era < era_) {
    OnLateResponse();
    return;
  }
  const bool is_first_page = first_page_;
  // Pages of two eras do not go together.
  if (OnEra(page.era) && !is_first_page) return;
  consecutive_failures_ = 0;
  // The pages are not a consistent snapshot: records written since the first page are read
  // afterwards.
  if (first_page_) newest_end_ = page.end;
  first_page_ = false;
  for (const TopicRecord& record : page.records) {
    seen_keys_.push_back(record.key);
    sink_(record, RecordSource::kNewest);
  }
  if (page.more && !page.records.empty()) {
    last_page_key_ = page.records.back().key;
    return;
  }
  std::sort(seen_keys_.begin(), seen_keys_.end());
  for (const std::string& key : known_keys_) {
    if (std::binary_search(seen_keys_.begin(), seen_keys_.end(), key)) continue;
    sink_({key, std::nullopt}, RecordSource::kMissing);
  }
  known_keys_ = std::exchange(seen_keys_, {});
  position_ = {era_, newest_end_};
  newest_complete_ = true;
  pause_ = complete_ ? options_.interval : std::max(options_.interval, options_.initial_pause);
  complete_ = true;
}

void TopicFollower::OnRecords(const RecordPage& page) {
  if (page.era < era_) {
    OnLateResponse();
    return;
  }
  consecutive_failures_ = 0;
  if (OnEra(page.era) || !newest_complete_) return;
  for (const TopicRecord& record : page.records) {
    // Reads of other hosts may overlap with those of this host.
    if (record.offset >= position_.offset) Deliver(record);
  }
  position_.offset = std::max(position_.offset, page.next);
  pause_ = options_.interval;
}

bool TopicFollower::OnRelayed(const TopicUpdate& update) {
  if (update.era < era_) return true;
  if (!complete_) return false;
  OnEra(update.era);
  if (position_.era < update.era) {
    relayed_to_ = std::max(relayed_to_, TopicPosition{update.era, Offset()});
    for (const TopicRecord& record : update.records) {
      if (record.offset >= relayed_to_.offset) Deliver(record);
    }
    relayed_to_.offset = std::max(relayed_to_.offset, update.to);
    return true;
  }
  if (!newest_complete_ || update.from > position_.offset) return false;
  for (const TopicRecord& record : update.records) {
    if (record.offset >= position_.offset) Deliver(record);
  }
  position_.offset = std::max(position_.offset, update.to);
  return true;
}

void TopicFollower::Deliver(const TopicRecord& record) {
  const auto position = std::lower_bound(known_keys_.begin(), known_keys_.end(), record.key);
  const bool is_known = position != known_keys_.end() && *position == record.key;
  if (record.value && !is_known) known_keys_.insert(position, record.key);
  if (!record.value && is_known) known_keys_.erase(position);
  sink_(record, RecordSource::kLog);
}

void TopicFollower::OnExpired() { RestartNewest(); }

void TopicFollower::RestartNewest() {
  newest_complete_ = false;
  first_page_ = true;
  last_page_key_.clear();
  // Keys of pages that were delivered are known, so that a later read can find them missing.
  known_keys_.insert(known_keys_.end(), seen_keys_.begin(), seen_keys_.end());
  std::sort(known_keys_.begin(), known_keys_.end());
  known_keys_.erase(std::unique(known_keys_.begin(), known_keys_.end()), known_keys_.end());
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
