#include "libconfig/snapshot_schedule.h"

#include <algorithm>
#include <utility>

namespace mulberry {

namespace {

/// Observations of the log's tail that are kept to measure its retention.
constexpr std::size_t kMaxTails = 256;
/// Changes after the newest snapshot that are counted; more make a snapshot due.
constexpr std::size_t kMaxChanges = 20'000;
/// Changes must take this part of the snapshot's size, so that snapshots do not outweigh them.
constexpr std::size_t kChangesShare = 2;
/// Share of the retention after which a snapshot is written again.
constexpr int kRetentionShare = 4;
/// Snapshots are not written more often for their age than this.
constexpr Duration kMinSnapshotAge = std::chrono::seconds(10);
/// Time for a snapshot that was appended to come back from the log before another is written.
constexpr Duration kReadBackTime = std::chrono::seconds(2);

}  // namespace

SnapshotSchedule::SnapshotSchedule(const FollowerOptions& options, TimePoint start)
    : options_(options), random_(options.random_seed), newest_at_(start) {}

Duration SnapshotSchedule::Jitter(Duration longest) {
  return Duration(std::uniform_int_distribution<std::int64_t>(0, longest.count())(random_));
}

void SnapshotSchedule::OnChange(Offset offset, std::size_t bytes) {
  if (changes_.size() == kMaxChanges) return;
  changes_.push_back({offset, bytes});
  changes_bytes_ += bytes;
}

void SnapshotSchedule::OnTail(Offset offset, TimePoint now) {
  if (offset.value() == 0 || (!tails_.empty() && tails_.back().offset >= offset)) return;
  if (tails_.size() == kMaxTails) tails_.pop_back();
  tails_.push_back({offset, now});
}

void SnapshotSchedule::OnFirst(Offset first, TimePoint now) {
  first_ = first;
  while (!tails_.empty() && tails_.front().offset < first) {
    retention_ = now - tails_.front().at;
    tails_.pop_front();
  }
}

void SnapshotSchedule::OnSnapshot(const Snapshot& snapshot, Offset offset, TimePoint now) {
  if (snapshot.as_of < newest_as_of_) return;
  newest_as_of_ = snapshot.as_of;
  newest_offset_ = offset;
  newest_at_ = now;
  newest_bytes_ = snapshot.text.size();
  while (!changes_.empty() && changes_.front().offset <= snapshot.as_of) {
    changes_bytes_ -= changes_.front().bytes;
    changes_.pop_front();
  }
}

bool SnapshotSchedule::IsDue(Offset applied, TimePoint now) const {
  if (applied.value() == 0) return false;
  const bool many_changes = changes_.size() >= options_.records_per_snapshot &&
                            changes_bytes_ >= newest_bytes_ / kChangesShare;
  if (many_changes || changes_.size() == kMaxChanges) return true;
  Duration age_limit = options_.max_snapshot_age;
  if (retention_) {
    age_limit = std::min(age_limit, std::max(kMinSnapshotAge, *retention_ / kRetentionShare));
  }
  if (now - newest_at_ >= age_limit) return true;
  return first_.value() > 1 &&
         (newest_as_of_.value() + 1 < first_.value() || newest_offset_ < first_);
}

bool SnapshotSchedule::ReadyToWrite(Offset applied, TimePoint now) {
  if (writing()) return false;
  if (!IsDue(applied, now)) {
    write_at_.reset();
    return false;
  }
  if (!write_at_) write_at_ = now + Jitter(options_.snapshot_jitter);
  return now >= *write_at_;
}

void SnapshotSchedule::Begin(std::vector<std::string> records, FollowerActions& actions) {
  records_.assign(std::make_move_iterator(records.begin()), std::make_move_iterator(records.end()));
  if (!records_.empty()) actions.push_back(AppendRecord{records_.front()});
}

void SnapshotSchedule::OnAppended(bool ok, TimePoint now, FollowerActions& actions) {
  if (records_.empty()) return;
  records_.pop_front();
  if (ok && !records_.empty()) {
    actions.push_back(AppendRecord{records_.front()});
    return;
  }
  records_.clear();
  WriteLater(now);
}

void SnapshotSchedule::WriteLater(TimePoint now) {
  write_at_ = now + kReadBackTime + Jitter(options_.snapshot_jitter);
}

}  // namespace mulberry
