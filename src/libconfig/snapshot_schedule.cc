#include "libconfig/snapshot_schedule.h"

#include <algorithm>
#include <utility>

namespace mulberry {

namespace {

/// Number of observed log ends that are kept to measure the retention of the log.
constexpr std::size_t kMaxLogEnds = 256;
/// Maximum number of changes counted after the newest snapshot. When it is reached, a snapshot is
/// due.
constexpr std::size_t kMaxChanges = 20'000;
/// A snapshot is due when the changes since the last one take at least the size of that snapshot
/// divided by this, so that snapshots do not dominate the log.
constexpr std::size_t kSnapshotSizeDivisor = 2;
/// A snapshot is due when its age reaches the observed retention divided by this.
constexpr int kRetentionDivisor = 4;
/// Snapshots are not rewritten because of their age more often than this.
constexpr Duration kMinSnapshotAge = std::chrono::seconds(10);
/// Time allowed for an appended snapshot to be read back from the log before another is written.
constexpr Duration kReadBackDelay = std::chrono::seconds(2);

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

void SnapshotSchedule::OnLogEnd(Offset offset, TimePoint now) {
  if (offset.value() == 0 || (!log_ends_.empty() && log_ends_.back().offset >= offset)) return;
  if (log_ends_.size() == kMaxLogEnds) log_ends_.pop_back();
  log_ends_.push_back({offset, now});
}

void SnapshotSchedule::OnFirst(Offset first, TimePoint now) {
  log_first_ = first;
  while (!log_ends_.empty() && log_ends_.front().offset < first) {
    retention_ = now - log_ends_.front().at;
    log_ends_.pop_front();
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
                            changes_bytes_ >= newest_bytes_ / kSnapshotSizeDivisor;
  if (many_changes || changes_.size() == kMaxChanges) return true;
  Duration age_limit = options_.max_snapshot_age;
  if (retention_) {
    age_limit = std::min(age_limit, std::max(kMinSnapshotAge, *retention_ / kRetentionDivisor));
  }
  if (now - newest_at_ >= age_limit) return true;
  return log_first_.value() > 1 &&
         (newest_as_of_.value() + 1 < log_first_.value() || newest_offset_ < log_first_);
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

void SnapshotSchedule::StartWriting(std::vector<std::string> records, FollowerActions& actions) {
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
  PostponeWrite(now);
}

void SnapshotSchedule::PostponeWrite(TimePoint now) {
  write_at_ = now + kReadBackDelay + Jitter(options_.snapshot_jitter);
}

}  // namespace mulberry
