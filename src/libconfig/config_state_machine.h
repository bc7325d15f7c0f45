#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "libconfig/config_state.h"

namespace mulberry {

/// Value of a change that removes an item.
struct RemoveItem {};

/// A configuration change as appended to the log.
struct Change {
  ChangeId id;
  std::string author;
  WallTime at;
  ItemKind kind = ItemKind::kClass;
  std::string item;  ///< Name of the class, data centre, server or service.
  /// Log offset that the author had read when making the change: MinBaseOffset() or later. The
  /// change is accepted only if the item has not changed since. A change that takes a data centre
  /// out of service also requires that no data centre has changed since, because two such
  /// concurrent changes could leave a service without any data centre.
  Offset base;
  std::variant<RemoveItem, ClassItem, DataCentreItem, ServerItem, ProbeBudgetItem> value;
};

/// Returns the lowest base with which the change is accepted in this state.
Offset MinBaseOffset(const ConfigState& state, const Change& change);

/// Maximum size of a log record.
inline constexpr std::size_t kMaxRecordBytes = 64 * 1024;
/// Maximum size of a complete snapshot.
inline constexpr std::size_t kMaxSnapshotBytes = 6 * 1024 * 1024;
/// Maximum number of items of each kind.
inline constexpr std::size_t kMaxClasses = 2000;
inline constexpr std::size_t kMaxDataCentres = 64;
inline constexpr std::size_t kMaxServers = 20000;
inline constexpr std::size_t kMaxProbeBudgets = 1000;
/// Maximum number of removed items whose version is stored individually.
inline constexpr std::size_t kMaxTombstones = 512;
inline constexpr std::size_t kMaxLostRanges = 16;
/// Number of recent changes whose result is stored.
inline constexpr std::size_t kMaxChangeResults = 512;

/// Encodes a change as one log record (JSON). Errors: kInvalidArgument with the field, its value
/// and the allowed range; kTooLarge.
Result<std::string> EncodeChange(const Change& change);

/// Decodes a change record. Errors: kCorrupt with the reason.
Result<Change> DecodeChange(std::string_view record);

/// Outcome of applying one record.
enum class ChangeOutcome {
  kAccepted,
  kConflict,        ///< The item has changed since the base version.
  kLimit,           ///< The maximum number of items of this kind is reached.
  kDuplicate,       ///< A change with this id was evaluated before.
  kInvalid,         ///< Not a valid change record.
  kSnapshot,        ///< A snapshot record; it does not change the state.
  kAlreadyApplied,  ///< A record with this offset was applied before.
};

/// Returns the snake_case name of an outcome.
const char* ChangeOutcomeName(ChangeOutcome outcome);

/// Result of evaluating one change.
struct ChangeResult {
  ChangeOutcome outcome = ChangeOutcome::kInvalid;
  ChangeId change;
  Offset offset;  ///< Offset of the record that was evaluated.
  std::string message;
  ItemVersion conflict;  ///< Version of the conflicting item, for kConflict.
};

/// A configuration snapshot, assembled from its records in the log.
///
/// A bridging snapshot has an `as_of` after `writer_applied`: the records between were lost to
/// every reader, and the writer's state replaces their effect.
struct Snapshot {
  /// The records after this offset continue the snapshot.
  Offset as_of;
  /// Offset up to which the writer had applied the log.
  Offset writer_applied;
  std::string text;
};

/// Assembles snapshots from their parts. At most a fixed number of incomplete snapshots is held;
/// the oldest is dropped first. Performs no I/O; not thread safe.
class SnapshotAssembler {
 public:
  /// Processes a log record. Returns the snapshot that the record completes.
  std::optional<Snapshot> Add(std::string_view record);

 private:
  struct Pending {
    Snapshot snapshot;
    std::uint64_t hash = 0;
    std::vector<std::string> parts;
  };
  std::deque<Pending> pending_;
};

/// Deterministic state machine that applies the configuration log. All readers that apply the same
/// records have the same state and digest: acceptance depends only on the records and their order.
///
/// A rejected change is never accepted later under the same id, because the version of an item only
/// increases. Performs no I/O; not thread safe.
class ConfigStateMachine {
 public:
  /// Applies one record. Precondition: none; a record that does not directly follow the applied
  /// ones is reported as kInvalid and has no effect.
  ChangeResult Apply(Offset offset, std::string_view record);

  /// Encodes the state and the recent change results as text. Equal states give equal texts.
  std::string EncodeSnapshot() const;

  /// Encodes a snapshot as log records, each within kMaxRecordBytes. `as_of` is the applied offset,
  /// or a later one for a bridging snapshot that declares the records between lost. Errors:
  /// kTooLarge.
  Result<std::vector<std::string>> EncodeSnapshotRecords(Offset as_of) const;

  /// Replaces the state by a snapshot text. Errors: kCorrupt; kConflict if the snapshot is not
  /// newer, or lacks records that were applied here (versions never go back).
  Result<void> LoadSnapshot(std::string_view text);

  /// Returns true and sets `as_of` (unless null) if the record is a snapshot or a part of one.
  static bool IsSnapshot(std::string_view record, Offset* as_of);

  const ConfigState& state() const { return state_; }

  /// Returns the result of a recent change, or nullptr if it is unknown.
  const ChangeResult* ResultOf(const ChangeId& change) const;

 private:
  std::string EncodeSnapshotAs(Offset as_of) const;
  ChangeResult Evaluate(Offset offset, const Change& change) const;
  void Accept(Offset offset, const Change& change, std::string_view record);
  void StoreResult(const ChangeResult& result);
  void DropOldTombstones();

  ConfigState state_;
  std::map<ChangeId, ChangeResult> results_;
  std::deque<ChangeId> recent_changes_;  ///< Keys of results_, oldest first.
};

}  // namespace mulberry
