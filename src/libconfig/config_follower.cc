#include "libconfig/config_follower.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "libconfig/recent_records.h"
#include "libconfig/snapshot_schedule.h"
#include "libconfig/snapshot_search.h"

namespace mulberry {

namespace {

/// A peer's mark that was not heard again for this long no longer counts.
constexpr Duration kMarkLifetime = std::chrono::seconds(5);

/// Growth of the searched end of the log while it holds no usable snapshot.
constexpr std::uint64_t kSearchGrowth = 4;

/// True when offsets rise by one and lie within the log's bounds.
bool IsWellFormed(const LogPage& page) {
  if (page.first.value() == 0 || page.next < page.first) return false;
  for (std::size_t i = 0; i < page.records.size(); ++i) {
    const Offset offset = page.records[i].offset;
    if (offset < page.first || offset >= page.next) return false;
    if (i > 0 && offset.value() != page.records[i - 1].offset.value() + 1) return false;
  }
  return true;
}

Offset After(Offset offset) { return Offset(offset.value() + 1); }

}  // namespace

class ConfigFollower::Impl {
 public:
  Impl(FollowerOptions options, TimePoint start)
      : options_(options),
        schedule_(options, start),
        last_fetch_(start - options.peer_fetch_interval) {}

  void Read(FollowerActions& actions) {
    if (reading_) return;
    reading_ = true;
    retry_at_.reset();
    applied_at_read_ = applied();
    read_from_ = cursor_;
    actions.push_back(ReadLog{cursor_, options_.long_poll_timeout});
  }

  void OnPage(const LogPage& page, TimePoint now, FollowerActions& actions) {
    reading_ = false;
    if (!Accepts(page)) {
      RetryLater(now);
      return;
    }
    first_ = page.first;
    next_ = page.next;
    schedule_.OnFirst(page.first, now);
    if (!searching_ && NeedsSnapshot(page)) StartSearch(now);
    const bool changed = searching_ ? Scan(page, now) : ApplyRecords(page.records, now);
    current_ = !searching_ && After(applied()) >= page.next;
    if (current_) schedule_.OnTail(applied(), now);
    const bool learned_now = current_ && !learned_;
    learned_ = learned_ || current_;
    if (changed || learned_now) actions.emplace_back(std::in_place_type<StateChanged>);
    WriteSnapshotIfReady(now, actions);
    Read(actions);
  }

  void RetryLater(TimePoint now) {
    reading_ = false;
    current_ = false;
    retry_at_ = now + options_.retry_delay;
  }

  void OnAppended(bool ok, TimePoint now, FollowerActions& actions) {
    const bool was_writing = schedule_.writing();
    schedule_.OnAppended(ok, now, actions);
    if (ok && was_writing && !schedule_.writing()) ++counters_.snapshots_written;
  }

  void OnPeerOffset(const HostName& peer, Offset offset, std::uint64_t digest, TimePoint now,
                    FollowerActions& actions) {
    if (offset == applied() && learned_ && offset.value() != 0 && digest != fold_.state().digest) {
      ++counters_.digest_mismatches;
    }
    NoteMark(offset, now);
    if (offset <= applied()) return;
    if (!behind_since_) behind_since_ = now;
    const bool urgent = !learned_ || searching_ || retry_at_.has_value();
    if (!urgent && now - *behind_since_ < options_.peer_fetch_delay) return;
    if (now - last_fetch_ < options_.peer_fetch_interval) return;
    last_fetch_ = now;
    actions.push_back(FetchFromPeer{peer, applied()});
  }

  void OnPeerResponse(const std::vector<LogPage::Record>& records, const std::string& snapshot,
                      TimePoint now, FollowerActions& actions) {
    const Offset before = applied();
    bool changed = !snapshot.empty() && Load(snapshot);
    if (ApplyRecords(records, now)) changed = true;
    if (applied() == before) return;
    if (searching_ && After(applied()) >= first_) EndSearch();
    if (!learned_ && applied() >= highest_mark_) {
      learned_ = true;
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
    if (!learned_ || after >= applied()) return;
    if (!recent_.CopyAfter(after, records)) *snapshot = fold_.EncodeSnapshot();
  }

  bool learned() const { return learned_; }
  bool current() const { return current_; }
  const ConfigStateMachine& state_machine() const { return fold_; }
  const FollowerCounters& counters() const { return counters_; }

 private:
  Offset applied() const { return fold_.state().applied; }

  bool Accepts(const LogPage& page) {
    const bool leaves_hole =
        !page.records.empty() && page.records.front().offset > std::max(read_from_, page.first);
    if (!IsWellFormed(page) || leaves_hole) {
      ++counters_.malformed_pages;
      return false;
    }
    if (page.next > applied_at_read_) return true;
    ++counters_.truncated_log_reads;
    return false;
  }

  /// True when records are gone, or when a snapshot may save a starting reader a long log.
  bool NeedsSnapshot(const LogPage& page) const {
    if (page.first > After(applied())) return true;
    const bool is_long = page.next.value() - page.first.value() > options_.search_records;
    return applied() == Offset() && is_long && !replays_;
  }

  /// Keeps the highest mark heard lately; one from a host that is gone is forgotten.
  void NoteMark(Offset offset, TimePoint now) {
    if (offset < highest_mark_ && now - highest_mark_at_ < kMarkLifetime) return;
    highest_mark_ = offset;
    highest_mark_at_ = now;
  }

  /// Applies what follows without a gap; true when the configuration changed.
  bool ApplyRecords(const std::vector<LogPage::Record>& records, TimePoint now) {
    bool changed = false;
    for (const LogPage::Record& record : records) {
      if (record.offset != After(applied())) continue;
      const ChangeOutcome outcome = fold_.Apply(record.offset, record.data).outcome;
      changed = changed || outcome == ChangeOutcome::kAccepted;
      recent_.Add(record);
      if (outcome == ChangeOutcome::kSnapshot) {
        NoteSnapshot(record, now);
      } else {
        schedule_.OnChange(record.offset, record.data.size());
      }
    }
    AfterProgress();
    return changed;
  }

  void NoteSnapshot(const LogPage::Record& record, TimePoint now) {
    const std::optional<Snapshot> snapshot = assembler_.Add(record.data);
    if (!snapshot) return;
    if (searching_) search_.Add(*snapshot, applied());
    if (snapshot->writer_applied == snapshot->as_of) {
      schedule_.OnSnapshot(*snapshot, record.offset, now);
    }
  }

  void AfterProgress() {
    if (!searching_) cursor_ = After(applied());
    if (applied() >= highest_mark_) behind_since_.reset();
  }

  void StartSearch(TimePoint now) {
    searching_ = true;
    search_since_ = now;
    stand_in_wait_ = options_.lost_records_wait + schedule_.Jitter(options_.snapshot_jitter);
    SearchLast(options_.search_records);
    if (learned_) ++counters_.lost_records;
  }

  /// Searches the last `count` records of the log.
  void SearchLast(std::uint64_t count) {
    search_.Clear();
    search_count_ = count;
    const std::uint64_t end = next_.value();
    search_from_ = std::max(first_, Offset(end > count ? end - count : 1));
    cursor_ = search_from_;
  }

  void EndSearch() {
    searching_ = false;
    search_.Clear();
    AfterProgress();
  }

  /// Reads on to the end of the log and then loads the best snapshot.
  bool Scan(const LogPage& page, TimePoint now) {
    cursor_ = std::max(cursor_, page.first);
    for (const LogPage::Record& record : page.records) {
      if (record.offset < cursor_) continue;
      cursor_ = After(record.offset);
      NoteSnapshot(record, now);
    }
    if (cursor_ < page.next) return false;
    const bool whole_log = search_from_ <= page.first;
    const Snapshot* best = search_.Best(page.first, applied(), whole_log);
    if (best == nullptr) {
      if (!whole_log) SearchLast(search_count_ * kSearchGrowth);
      if (whole_log && page.first <= After(applied())) {
        replays_ = true;
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
    const Result<void> loaded = fold_.LoadSnapshot(text);
    if (!loaded) {
      if (loaded.error().code == ErrorCode::kCorrupt) ++counters_.snapshot_failures;
      return false;
    }
    recent_.Clear();
    AfterProgress();
    return true;
  }

  void WriteSnapshotIfReady(TimePoint now, FollowerActions& actions) {
    if (!learned_ || schedule_.writing()) return;
    if (searching_) {
      WriteStandInIfReady(now, actions);
      return;
    }
    if (current_ && schedule_.ReadyToWrite(applied(), now)) Write(applied(), now, actions);
  }

  /// Offers the own state for lost records once nobody else has a newer one.
  void WriteStandInIfReady(TimePoint now, FollowerActions& actions) {
    const bool at_tail = cursor_ >= next_ && !retry_at_;
    const bool peer_ahead = highest_mark_ > applied() && now - highest_mark_at_ < kMarkLifetime;
    if (!at_tail || peer_ahead || now - search_since_ < stand_in_wait_) return;
    search_since_ = now;
    Write(Offset(first_.value() - 1), now, actions);
  }

  void Write(Offset as_of, TimePoint now, FollowerActions& actions) {
    auto records = fold_.EncodeSnapshotRecords(as_of);
    if (records) {
      schedule_.Begin(std::move(records).value(), actions);
      return;
    }
    ++counters_.snapshot_failures;
    schedule_.WriteLater(now);
  }

  FollowerOptions options_;
  ConfigStateMachine fold_;
  SnapshotAssembler assembler_;
  SnapshotSchedule schedule_;
  SnapshotSearch search_;
  RecentRecords recent_;
  FollowerCounters counters_;
  bool reading_ = false;
  bool learned_ = false;
  bool current_ = false;
  bool searching_ = false;
  bool replays_ = false;  ///< The whole log holds no snapshot: it is applied from its start.
  Offset cursor_{1};
  Offset first_{1};
  Offset next_{1};
  Offset applied_at_read_;
  Offset read_from_;
  Offset search_from_{1};
  std::uint64_t search_count_ = 0;
  Offset highest_mark_;
  TimePoint highest_mark_at_{};
  TimePoint search_since_{};
  Duration stand_in_wait_{};
  TimePoint last_fetch_;
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

bool ConfigFollower::HasState() const { return impl_->learned(); }

bool ConfigFollower::IsCurrent() const { return impl_->current(); }

const ConfigStateMachine& ConfigFollower::state_machine() const { return impl_->state_machine(); }

const FollowerCounters& ConfigFollower::counters() const { return impl_->counters(); }

std::uint64_t ConfigFollower::digest_mismatches() const {
  return impl_->counters().digest_mismatches;
}

}  // namespace mulberry
