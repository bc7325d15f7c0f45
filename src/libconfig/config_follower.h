#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "libconfig/config_state_machine.h"

namespace mulberry {

/// Timeouts and limits for following the configuration log.
struct FollowerOptions {
  /// Maximum time that the platform delays an empty response.
  Duration long_poll_timeout = std::chrono::milliseconds(1000);
  /// Delay before a failed read is retried.
  Duration retry_delay = std::chrono::milliseconds(250);
  /// A snapshot is due when at least this many changes follow the newest one and their size is at
  /// least half of the snapshot's size.
  std::uint64_t records_per_snapshot = 200;
  /// A snapshot is due when the newest one has reached this age or a quarter of the observed log
  /// retention, whichever is less.
  Duration max_snapshot_age = std::chrono::minutes(30);
  /// Maximum random delay before a due snapshot is written, so that readers do not all write one.
  Duration snapshot_jitter = std::chrono::seconds(5);
  /// How long a reader that missed lost records looks for a newer state in the log and on peers
  /// before it writes a bridging snapshot of its own state.
  Duration lost_records_wait = std::chrono::seconds(10);
  /// How long this reader must be behind a peer before it fetches from that peer.
  Duration peer_fetch_delay = std::chrono::milliseconds(200);
  /// Minimum time between two fetches from peers.
  Duration peer_fetch_interval = std::chrono::milliseconds(250);
  /// Number of records at the end of a long log that a starting reader searches first for a
  /// snapshot. The number is multiplied by four each time none is found.
  std::uint64_t initial_search_records = 1024;
  std::uint64_t random_seed = 1;
};

/// Reads records from this offset on.
struct ReadLog {
  Offset from;
  Duration wait;
};
/// Appends a part of a snapshot. The caller reports the result with OnAppended before the next part
/// is issued.
struct AppendRecord {
  std::string data;
};
/// Requests the records after `after`, or a snapshot, from a peer.
struct FetchFromPeer {
  HostName peer;
  Offset after;
};
/// The state has changed.
struct StateChanged {};

using FollowerAction = std::variant<ReadLog, AppendRecord, FetchFromPeer, StateChanged>;
using FollowerActions = std::vector<FollowerAction>;

/// The platform's response to a read.
struct LogPage {
  Offset first;  ///< Oldest retained record; equal to next if there is none.
  Offset next;   ///< Offset of the next append.
  struct Record {
    Offset offset;
    std::string data;
  };
  std::vector<Record> records;
};

/// Counters for operators.
struct FollowerCounters {
  /// Peer announcements with the same offset but another digest. Always zero unless the state
  /// machine is not deterministic.
  std::uint64_t digest_mismatches = 0;
  /// Reads in which the log ended before the applied offset: it was truncated or recreated.
  std::uint64_t truncated_log_reads = 0;
  /// Number of times that the log dropped records before they were read.
  std::uint64_t lost_records = 0;
  /// Malformed read responses.
  std::uint64_t malformed_pages = 0;
  /// Snapshots that could not be loaded, or were too large to be written.
  std::uint64_t snapshot_failures = 0;
  std::uint64_t snapshots_written = 0;
};

/// Keeps a ConfigStateMachine up to date from the log and from peers.
///
/// Only one read is in progress at a time. A starting process that finds the log long, or its start
/// dropped, searches the log for snapshots from its end backwards. It loads the snapshot with the
/// highest as-of offset whose following records are all retained. If the log has dropped records
/// that this reader never read, it looks for a newer snapshot in the log and asks peers; it never
/// skips records silently. If no newer state is found within lost_records_wait, it writes a
/// bridging snapshot of its own state. All readers that miss the same records load the first such
/// snapshot in log order. If records expired during an outage but this reader missed none, it
/// appends a snapshot for processes that start later.
///
/// A log that ends before the applied offset (wiped, or restored from an old copy) violates the
/// platform's contract. The state is then kept, nothing is applied, such reads do not count as
/// current, and `truncated_log_reads` increases until the log has passed the applied offset.
///
/// Performs no I/O; not thread safe. Times passed in must not decrease.
class ConfigFollower {
 public:
  ConfigFollower(FollowerOptions options, TimePoint start);
  ~ConfigFollower();
  ConfigFollower(ConfigFollower&&) noexcept;

  /// Starts the first read. Precondition: called once, before the other events.
  void Start(TimePoint now, FollowerActions& actions);
  /// Response to the last ReadLog.
  void OnPage(const LogPage& page, TimePoint now, FollowerActions& actions);
  /// The last ReadLog failed.
  void OnReadFailed(TimePoint now, FollowerActions& actions);
  /// The last AppendRecord finished.
  void OnAppended(bool ok, TimePoint now, FollowerActions& actions);

  /// A peer announced its applied offset and digest. Called for each heartbeat.
  void OnPeerOffset(const HostName& peer, Offset offset, std::uint64_t digest, TimePoint now,
                    FollowerActions& actions);
  /// A peer sent records or a snapshot in response to FetchFromPeer.
  void OnPeerResponse(const std::vector<LogPage::Record>& records, const std::string& snapshot,
                      TimePoint now, FollowerActions& actions);
  /// Retries reads and writes snapshots that are due. Called periodically.
  void Tick(TimePoint now, FollowerActions& actions);

  /// Returns what a peer that has applied `after` needs: the records if they are still in memory,
  /// else the snapshot text. Returns nothing while this reader has no state or is not ahead.
  void HandlePeerFetch(Offset after, std::vector<LogPage::Record>* records,
                       std::string* snapshot) const;

  /// True once a complete state was obtained from the log or from a peer; an empty log counts if it
  /// was read. Never becomes false again.
  bool HasState() const;
  /// True if the last page reached the end of the log. Only such a page proves that the state is up
  /// to date.
  bool IsCurrent() const;
  const ConfigStateMachine& state_machine() const;
  const FollowerCounters& counters() const;
  /// Same as counters().digest_mismatches.
  std::uint64_t digest_mismatches() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace mulberry
