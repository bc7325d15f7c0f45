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

/// Removal of an item.
struct RemoveItem {};

/// One change of the configuration as it is appended to the log.
struct Change {
  ChangeId id;
  std::string author;
  WallTime at;
  ItemKind kind = ItemKind::kClass;
  std::string item;  ///< Name of the class, data centre, server or service.
  /// Offset up to which the author knows the log: MinBaseOffset() or any later one. The change is
  /// accepted only if the item has not changed after it; when it takes a data centre out, only if
  /// no data centre has, for two such changes together could leave a service without any.
  Offset base;
  std::variant<RemoveItem, ClassItem, DataCentreItem, ServerItem, ProbeBudgetItem> value;
};

/// Returns the lowest base with which a change is accepted in this state.
Offset MinBaseOffset(const ConfigState& state, const Change& change);

/// Size of a record of the log at most, in bytes.
inline constexpr std::size_t kMaxRecordBytes = 64 * 1024;
/// Size of a whole snapshot at most, in bytes.
inline constexpr std::size_t kMaxSnapshotBytes = 6 * 1024 * 1024;
/// Items of each kind at most.
inline constexpr std::size_t kMaxClasses = 2000;
inline constexpr std::size_t kMaxDataCentres = 64;
inline constexpr std::size_t kMaxServers = 20000;
inline constexpr std::size_t kMaxProbeBudgets = 1000;
/// Removals that are remembered one by one.
inline constexpr std::size_t kMaxTombstones = 512;
inline constexpr std::size_t kMaxLostRanges = 16;
/// Change ids that are remembered with their fate.
inline constexpr std::size_t kMaxChangeResults = 512;

/// Writes a change as one record (JSON). Errors: kInvalidArgument with the field, value and allowed
/// range; kTooLarge.
Result<std::string> EncodeChange(const Change& change);

/// Reads a record. Errors: kCorrupt with what is wrong.
Result<Change> DecodeChange(std::string_view record);

/// What became of one record.
enum class ChangeOutcome {
  kAccepted,
  kConflict,   ///< The item had changed since the base version.
  kLimit,      ///< Too many items of this kind.
  kDuplicate,  ///< This change id was seen before.
  kInvalid,    ///< Not a change, or one with values out of range.
  kSnapshot,   ///< A snapshot record; changes nothing in a running fold.
  kOld,        ///< Its offset was applied before.
};

/// Returns the snake_case name of a fate.
const char* ChangeOutcomeName(ChangeOutcome outcome);

/// What became of a change, and the rival's version for a conflict.
struct ChangeResult {
  ChangeOutcome outcome = ChangeOutcome::kInvalid;
  ChangeId change;
  Offset offset;  ///< Where the change was judged.
  std::string message;
  ItemVersion conflict;
};

/// A snapshot of the configuration as it lies in the log, assembled from its parts.
struct Snapshot {
  /// Records after this offset follow upon the snapshot.
  Offset as_of;
  /// Offset to which the writer had applied the log. Smaller than `as_of` when the records between
  /// were lost to every reader and the writer's state stands in for them.
  Offset writer_applied;
  std::string text;
};

/// Puts the parts of snapshots together. Bounded: the parts of the oldest incomplete snapshots are
/// dropped. Pure and not thread safe.
class SnapshotAssembler {
 public:
  /// Takes a record of the log. Returns the snapshot that it completes.
  std::optional<Snapshot> Add(std::string_view record);

 private:
  struct Pending {
    Snapshot snapshot;
    std::uint64_t hash = 0;
    std::vector<std::string> parts;
  };
  std::deque<Pending> pending_;
};

/// Folds the log into a state. All readers that apply the same records get the same state and
/// digest: acceptance depends on the records and their order alone.
///
/// A change that was not accepted can never be accepted later under the same id: the version of an
/// item only grows. Pure and not thread safe.
class ConfigStateMachine {
 public:
  /// Applies one record. Precondition: none; an offset that leaves a gap is reported as kInvalid
  /// and has no effect.
  ChangeResult Apply(Offset offset, std::string_view record);

  /// Writes the state with the recent change ids as one text, which two folds in the same state
  /// write alike.
  std::string EncodeSnapshot() const;

  /// Writes a snapshot as records for the log, each within kMaxRecordBytes. `as_of` is applied, or
  /// a later offset to declare the records between lost. Errors: kTooLarge.
  Result<std::vector<std::string>> EncodeSnapshotRecords(Offset as_of) const;

  /// Replaces the state by a snapshot text. Errors: kCorrupt; kConflict when it is not newer than
  /// what was applied, or lacks records that were applied here (a version never goes back).
  Result<void> LoadSnapshot(std::string_view text);

  /// True and `as_of` set (unless null) when the record is a snapshot or a part of one.
  static bool IsSnapshot(std::string_view record, Offset* as_of);

  const ConfigState& state() const { return state_; }

  /// ChangeOutcome of a change applied lately, nullptr when unknown.
  const ChangeResult* ResultOf(const ChangeId& change) const;

 private:
  std::string SnapshotText(Offset as_of) const;
  ChangeResult Judge(Offset offset, const Change& change) const;
  void Accept(Offset offset, const Change& change, std::string_view record);
  void Remember(const ChangeResult& fate);
  void DropOldTombstones();

  ConfigState state_;
  std::map<ChangeId, ChangeResult> fates_;
  std::deque<ChangeId> recent_;  ///< Keys of fates_, oldest first.
};

}  // namespace mulberry
