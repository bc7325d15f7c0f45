#include "libconfig/config_follower.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "libconfig/recent_records.h"
#include "libconfig/snapshot_schedule.h"
#include "libconfig/snapshot_search.h"

namespace mulberry {

namespace {

/// An announced peer offset expires if it is not repeated within this time.
constexpr Duration kPeerOffsetTtl = std::chrono::seconds(5);

/// Growth of the searched part of the log while no usable snapshot is found.
constexpr std::uint64_t kSearchGrowthFactor = 4;

/// True if the offsets are consecutive and within the bounds of the log.
bool IsWellFormed(const LogPage& page) {
  if (page.first.value() == 0 || page.next < page.first) return false;
  for (std::size_t i = 0; i < page.records.size(); ++i) {
    const Offset offset = page.records[i].offset;
    if (offset < page.first || offset >= page.next) return false;
    if (i > 0 && offset.value() != page.records[i - 1].offset.value() + 1) return false;
  }
  return true;
}

Offset NextOffset(Offset offset) { return Offset(offset.value() + 1); }

}  // namespace

class ConfigFollower::Impl {
 public:
  Impl(FollowerOptions options, TimePoint start)
      : options_(options),
        schedule_(options, start),
        last_fetch_at_(start - options.peer_fetch_interval) {}

  void Read(FollowerActions& actions) {
    if (reading_) return;
    reading_ = true;
    retry_at_.reset();
    applied_at_read_ = applied();
    read_from_ = next_read_;
    actions.push_back(ReadLog{next_read_, options_.long_poll_timeout});
  }

  void OnPage(const LogPage& page, TimePoint now, FollowerActions& actions) {
    reading_ = false;
    if (!CheckPage(page)) {
      RetryLater(now);
      return;
    }
    log_first_ = page.first;
    log_next_ = page.next;
    schedule_.OnFirst(page.first, now);
    if (!searching_ && NeedsSnapshot(page)) StartSearch(now);
    const bool changed = searching_ ? SearchPage(page, now) : ApplyRecords(page.records, now);
    is_current_ = !searching_ && NextOffset(applied()) >= page.next;
    if (is_current_) schedule_.OnLogEnd(applied(), now);
    const bool first_state = is_current_ && !has_state_;
    has_state_ = has_state_ || is_current_;
    if (changed || first_state) actions.emplace_back(std::in_place_type<StateChanged>);
    WriteSnapshotIfReady(now, actions);
    Read(actions);
  }

  void RetryLater(TimePoint now) {
    reading_ = false;
    is_current_ = false;
    retry_at_ = now + options_.retry_delay;
  }

  void OnAppended(bool ok, TimePoint now, FollowerActions& actions) {
    const bool was_writing = schedule_.writing();
    schedule_.OnAppended(ok, now, actions);
    if (ok && was_writing && !schedule_.writing()) ++counters_.snapshots_written;
  }

  void OnPeerOffset(const HostName& peer, Offset offset, std::uint64_t digest, TimePoint now,
                    FollowerActions& actions) {
    if (offset == applied() && has_state_ && offset.value() != 0 &&
        digest != state_machine_.state().digest) {
      ++counters_.digest_mismatches;
    }
    UpdateHighestPeerOffset(offset, now);
    if (offset <= applied()) return;
    if (!behind_since_) behind_since_ = now;
    const bool fetch_now = !has_state_ || searching_ || retry_at_.has_value();
    if (!fetch_now && now - *behind_since_ < options_.peer_fetch_delay) return;
    if (now - last_fetch_at_ < options_.peer_fetch_interval) return;
    last_fetch_at_ = now;
    actions.push_back(FetchFromPeer{peer, applied()});
  }

  void OnPeerResponse(const std::vector<LogPage::Record>& records, const std::string& snapshot,
                      TimePoint now, FollowerActions& actions) {
    const Offset before = applied();
    bool changed = !snapshot.empty() && Load(snapshot);
    if (ApplyRecords(records, now)) changed = true;
    if (applied() == before) return;
    if (searching_ && NextOffset(applied()) >= log_first_) EndSearch();
    if (!has_state_ && applied() >= highest_peer_offset_) {
      has_state_ = true;
      changed = true;
    }
    if (changed) actions.emplace_back(std::in_place_type<StateChanged>);
  }

  void Tick(TimePoint now, FollowerActions& actions) {
    if (retry_at_ && now >= *retry_at_) Read(actions);
    WriteSnapshotIfReady(now, actions);
  }

  void HandlePeerFetch(Offset after, std::vector<LogPage::Record>* records,
                       std::string* snapshot) const {
    if (!has_state_ || after >= applied()) return;
    if (!recent_records_.CopyAfter(after, records)) *snapshot = state_machine_.EncodeSnapshot();
  }

  bool has_state() const { return has_state_; }
  bool is_current() const { return is_current_; }
  const ConfigStateMachine& state_machine() const { return state_machine_; }
  const FollowerCounters& counters() const { return counters_; }

 private:
  Offset applied() const { return state_machine_.state().applied; }

  bool CheckPage(const LogPage& page) {
    const bool has_gap =
        !page.records.empty() && page.records.front().offset > std::max(read_from_, page.first);
    if (!IsWellFormed(page) || has_gap) {
      ++counters_.malformed_pages;
      return false;
    }
    if (page.next > applied_at_read_) return true;
    ++counters_.truncated_log_reads;
    return false;
  }

  /// True if records were dropped before they were read, or if a snapshot may save a starting
  /// reader from applying a long log.
  bool NeedsSnapshot(const LogPage& page) const {
    if (page.first > NextOffset(applied())) return true;
    const bool is_long = page.next.value() - page.first.value() > options_.initial_search_records;
    return applied() == Offset() && is_long && !replays_whole_log_;
  }

  /// Tracks the highest recent peer offset. The offset of a peer that is gone expires after
  /// kPeerOffsetTtl.
  void UpdateHighestPeerOffset(Offset offset, TimePoint now) {
    if (offset < highest_peer_offset_ && now - highest_peer_offset_at_ < kPeerOffsetTtl) return;
    highest_peer_offset_ = offset;
    highest_peer_offset_at_ = now;
  }

  /// Applies the records that follow without a gap. Returns true if the configuration changed.
  bool ApplyRecords(const std::vector<LogPage::Record>& records, TimePoint now) {
    bool changed = false;
    for (const LogPage::Record& record : records) {
      if (record.offset != NextOffset(applied())) continue;
      const ChangeOutcome outcome = state_machine_.Apply(record.offset, record.data).outcome;
      changed = changed || outcome == ChangeOutcome::kAccepted;
      recent_records_.Add(record);
      if (outcome == ChangeOutcome::kSnapshot) {
        HandleSnapshotRecord(record, now);
      } else {
        schedule_.OnChange(record.offset, record.data.size());
      }
    }
    UpdateProgress();
    return changed;
  }

  void HandleSnapshotRecord(const LogPage::Record& record, TimePoint now) {
    const std::optional<Snapshot> snapshot = assembler_.Add(record.data);
    if (!snapshot) return;
    if (searching_) search_.Add(*snapshot, applied());
    if (snapshot->writer_applied == snapshot->as_of) {
      schedule_.OnSnapshot(*snapshot, record.offset, now);
    }
  }

  void UpdateProgress() {
    if (!searching_) next_read_ = NextOffset(applied());
    if (applied() >= highest_peer_offset_) behind_since_.reset();
  }

  void StartSearch(TimePoint now) {
    searching_ = true;
    search_started_at_ = now;
    bridging_wait_ = options_.lost_records_wait + schedule_.Jitter(options_.snapshot_jitter);
    SearchLastRecords(options_.initial_search_records);
    if (has_state_) ++counters_.lost_records;
  }

  /// Restarts the search with the last `count` records of the log.
  void SearchLastRecords(std::uint64_t count) {
    search_.Clear();
    search_count_ = count;
    const std::uint64_t end = log_next_.value();
    search_from_ = std::max(log_first_, Offset(end > count ? end - count : 1));
    next_read_ = search_from_;
  }

  void EndSearch() {
    searching_ = false;
    search_.Clear();
    UpdateProgress();
  }

  /// Collects snapshots up to the end of the log, then loads the best one. Returns true if one was
  /// loaded.
  bool SearchPage(const LogPage& page, TimePoint now) {
    next_read_ = std::max(next_read_, page.first);
    for (const LogPage::Record& record : page.records) {
      if (record.offset < next_read_) continue;
      next_read_ = NextOffset(record.offset);
      HandleSnapshotRecord(record, now);
    }
    if (next_read_ < page.next) return false;
    const bool whole_log = search_from_ <= page.first;
    const Snapshot* best = search_.FindBest(page.first, applied(), whole_log);
    if (best == nullptr) {
      if (!whole_log) SearchLastRecords(search_count_ * kSearchGrowthFactor);
      if (whole_log && page.first <= NextOffset(applied())) {
        replays_whole_log_ = true;
        EndSearch();
      }
      return false;
    }
    const bool loaded = Load(best->text);
    if (loaded) {
      EndSearch();
    } else {
      search_.Clear();
    }
    return loaded;
  }

  bool Load(const std::string& text) {
    const Result<void> loaded = state_machine_.LoadSnapshot(text);
    if (!loaded) {
      if (loaded.error().code == ErrorCode::kCorrupt) ++counters_.snapshot_failures;
      return false;
    }
    recent_records_.Clear();
    UpdateProgress();
    return true;
  }

  void WriteSnapshotIfReady(TimePoint now, FollowerActions& actions) {
    if (!has_state_ || schedule_.writing()) return;
    if (searching_) {
      WriteBridgingSnapshotIfReady(now, actions);
      return;
    }
    if (is_current_ && schedule_.ReadyToWrite(applied(), now)) Write(applied(), now, actions);
  }

  /// Writes a bridging snapshot if no reader has offered a newer state within the wait.
  void WriteBridgingSnapshotIfReady(TimePoint now, FollowerActions& actions) {
    const bool at_log_end = next_read_ >= log_next_ && !retry_at_;
    const bool peer_ahead =
        highest_peer_offset_ > applied() && now - highest_peer_offset_at_ < kPeerOffsetTtl;
    if (!at_log_end || peer_ahead || now - search_started_at_ < bridging_wait_) return;
    search_started_at_ = now;
    Write(Offset(log_first_.value() - 1), now, actions);
  }

  void Write(Offset as_of, TimePoint now, FollowerActions& actions) {
    auto records = state_machine_.EncodeSnapshotRecords(as_of);
    if (records) {
      schedule_.StartWriting(std::move(records).value(), actions);
      return;
    }
    ++counters_.snapshot_failures;
    schedule_.PostponeWrite(now);
  }

  FollowerOptions options_;
  ConfigStateMachine state_machine_;
  SnapshotAssembler assembler_;
  SnapshotSchedule schedule_;
  SnapshotSearch search_;
  RecentRecords recent_records_;
  FollowerCounters counters_;
  bool reading_ = false;
  bool has_state_ = false;
  bool is_current_ = false;
  bool searching_ = false;
  bool replays_whole_log_ = false;  ///< The log has no usable snapshot; apply it from its start.
  Offset next_read_{1};
  Offset log_first_{1};
  Offset log_next_{1};
  Offset applied_at_read_;
  Offset read_from_;
  Offset search_from_{1};
  std::uint64_t search_count_ = 0;
  Offset highest_peer_offset_;
  TimePoint highest_peer_offset_at_{};
  TimePoint search_started_at_{};
  Duration bridging_wait_{};
  TimePoint last_fetch_at_;
  std::optional<TimePoint> behind_since_;
  std::optional<TimePoint> retry_at_;
};

ConfigFollower::ConfigFollower(FollowerOptions options, TimePoint start)
    : impl_(std::make_unique<Impl>(options, start)) {}
ConfigFollower::~ConfigFollower() = default;
ConfigFollower::ConfigFollower(ConfigFollower&&) noexcept = default;

void ConfigFollower::Start(TimePoint /*now*/, FollowerActions& actions) { impl_->Read(actions); }

void ConfigFollower::OnPage(const LogPage& page, TimePoint now, FollowerActions& actions) {
  impl_->OnPage(page, now, actions);
}

void ConfigFollower::OnReadFailed(TimePoint now, FollowerActions& /*actions*/) {
  impl_->RetryLater(now);
}

void ConfigFollower::OnAppended(bool ok, TimePoint now, FollowerActions& actions) {
  impl_->OnAppended(ok, now, actions);
}

void ConfigFollower::OnPeerOffset(const HostName& peer, Offset offset, std::uint64_t digest,
                                  TimePoint now, FollowerActions& actions) {
  impl_->OnPeerOffset(peer, offset, digest, now, actions);
}

void ConfigFollower::OnPeerResponse(const std::vector<LogPage::Record>& records,
                                    const std::string& snapshot, TimePoint now,
                                    FollowerActions& actions) {
  impl_->OnPeerResponse(records, snapshot, now, actions);
}

void ConfigFollower::Tick(TimePoint now, FollowerActions& actions) { impl_->Tick(now, actions); }

void ConfigFollower::HandlePeerFetch(Offset after, std::vector<LogPage::Record>* records,
                                     std::string* snapshot) const {
  impl_->HandlePeerFetch(after, records, snapshot);
}

bool ConfigFollower::HasState() const { return impl_->has_state(); }

bool ConfigFollower::IsCurrent() const { return impl_->is_current(); }

const ConfigStateMachine& ConfigFollower::state_machine() const { return impl_->state_machine(); }

const FollowerCounters& ConfigFollower::counters() const { return impl_->counters(); }

std::uint64_t ConfigFollower::digest_mismatches() const {
  return impl_->counters().digest_mismatches;
}

}  // namespace mulberry
