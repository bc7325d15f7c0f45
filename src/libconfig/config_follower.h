#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "libconfig/config_state_machine.h"

namespace mulberry {

/// Times and limits of following the configuration log.
struct FollowerOptions {
  /// Longest time that the platform holds back an empty answer.
  Duration long_poll_timeout = std::chrono::milliseconds(1000);
  /// Wait after a failed read.
  Duration retry_delay = std::chrono::milliseconds(250);
  /// A snapshot is due when this many changes follow the newest one and take half of its size.
  std::uint64_t records_per_snapshot = 200;
  /// A snapshot is due when the newest one is this old, or a quarter of the log's retention as
  /// observed, whichever is less.
  Duration max_snapshot_age = std::chrono::minutes(30);
  /// Random wait before a due snapshot is written, at most.
  Duration snapshot_jitter = std::chrono::seconds(5);
  /// Time that a reader which missed lost records looks for a newer state elsewhere before it
  /// offers its own in a snapshot.
  Duration lost_records_wait = std::chrono::seconds(10);
  /// A peer that is ahead is asked when this reader was behind it for so long.
  Duration peer_fetch_delay = std::chrono::milliseconds(200);
  /// Least time between two questions to peers.
  Duration peer_fetch_interval = std::chrono::milliseconds(250);
  /// Records at the end of a long log that a starting reader searches for a snapshot first; four
  /// times as many each time that none is found.
  std::uint64_t search_records = 1024;
  std::uint64_t random_seed = 1;
};

/// Read records from this offset on.
struct ReadLog {
  Offset from;
  Duration wait;
};
/// Append a part of a snapshot; OnAppended follows before the next one is given.
struct AppendRecord {
  std::string data;
};
/// Ask a peer for what follows `after`.
struct FetchFromPeer {
  HostName peer;
  Offset after;
};
/// The state has changed.
struct StateChanged {};

using FollowerAction = std::variant<ReadLog, AppendRecord, FetchFromPeer, StateChanged>;
using FollowerActions = std::vector<FollowerAction>;

/// Answer of the platform to a read.
struct LogPage {
  Offset first;  ///< Oldest record that the platform still has, or next when it has none.
  Offset next;   ///< Offset that the next append will get.
  struct Record {
    Offset offset;
    std::string data;
  };
  std::vector<Record> records;
};

/// Events that operators should hear of.
struct FollowerCounters {
  /// A peer at the same offset had another digest; always zero unless a fold is broken.
  std::uint64_t digest_mismatches = 0;
  /// Reads in which the log ended before what was applied: it went back or started anew.
  std::uint64_t truncated_log_reads = 0;
  /// Times at which records were gone before they were read.
  std::uint64_t lost_records = 0;
  /// Malformed pages.
  std::uint64_t malformed_pages = 0;
  /// Snapshots that could not be loaded or were too large to be written.
  std::uint64_t snapshot_failures = 0;
  std::uint64_t snapshots_written = 0;
};

/// Keeps a ConfigStateMachine up to date from the log and from peers.
///
/// Reads follow each other, one at a time. A process that starts and finds the head of the log
/// gone, or a long log, looks for a snapshot from the end of the log backwards and
/// takes the one with the highest as-of offset whose following records are all still there. When
/// the log has dropped records that this reader never saw, it looks for a newer
/// snapshot in the log and asks peers, and never skips silently; if nobody offers a newer state
/// for lost_records_wait, it appends its own state as a snapshot that stands in for the lost
/// records, and all readers in that position take the first such snapshot in the log's order. When
/// the records expired during an outage but none was missed, a running process appends a snapshot,
/// for new processes.
///
/// A log whose end lies before what was applied (wiped, or restored from an old copy) breaks the
/// platform's contract: the state is kept, nothing is applied, such reads do not count as
/// current, and `log_behind` grows until the log's offsets have passed the applied one.
///
/// Pure and not thread safe; time must not go back.
class ConfigFollower {
 public:
  ConfigFollower(FollowerOptions options, TimePoint start);
  ~ConfigFollower();
  ConfigFollower(ConfigFollower&&) noexcept;

  /// First read. Precondition: called once, before the other events.
  void Start(TimePoint now, FollowerActions& actions);
  /// Answer to the last ReadLog.
  void OnPage(const LogPage& page, TimePoint now, FollowerActions& actions);
  /// Failure of the last ReadLog.
  void OnReadFailed(TimePoint now, FollowerActions& actions);
  /// End of the last AppendRecord.
  void OnAppended(bool ok, TimePoint now, FollowerActions& actions);

  /// A peer announced how far it is. Called for each heartbeat.
  void OnPeerOffset(const HostName& peer, Offset offset, std::uint64_t digest, TimePoint now,
                    FollowerActions& actions);
  /// A peer sent records or a snapshot.
  void OnPeerResponse(const std::vector<LogPage::Record>& records, const std::string& snapshot,
                      TimePoint now, FollowerActions& actions);
  void Tick(TimePoint now, FollowerActions& actions);

  /// What a peer that is at `after` needs: records if still held in memory, else the snapshot text;
  /// nothing while this reader has no state or is not ahead.
  void HandlePeerFetch(Offset after, std::vector<LogPage::Record>* records,
                       std::string* snapshot) const;

  /// True once a whole state was learned (an empty log that was read counts), from the log or from
  /// a peer. Never becomes false again.
  bool HasState() const;
  /// True when the last page that was read left nothing unread: only such a page is news of the
  /// log.
  bool IsCurrent() const;
  const ConfigStateMachine& state_machine() const;
  const FollowerCounters& counters() const;
  /// Short for counters().digest_mismatches.
  std::uint64_t digest_mismatches() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace mulberry
