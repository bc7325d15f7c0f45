#include "libconfig/config_state_machine.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>

#include "fake_log.h"

namespace mulberry::testing {
namespace {

ChangeOutcome ApplyNext(ConfigStateMachine& machine, const std::string& record) {
  return machine.Apply(Offset(machine.state().applied.value() + 1), record).outcome;
}

/// Reference implementation that compares each change with all earlier ones.
std::vector<Change> AcceptedByScan(const FakeLog& log) {
  std::vector<std::pair<std::uint64_t, Change>> accepted;
  std::set<ChangeId> seen;
  for (std::size_t i = 0; i < log.records.size(); ++i) {
    const auto change = DecodeChange(log.records[i]);
    if (!change || !seen.insert(change.value().id).second) continue;
    if (change.value().base.value() >= i + 1) continue;
    const bool stale = std::any_of(accepted.begin(), accepted.end(), [&](const auto& earlier) {
      const bool same_item =
          earlier.second.kind == change.value().kind && earlier.second.item == change.value().item;
      const auto* data_centre = std::get_if<DataCentreItem>(&change.value().value);
      const bool both_data_centres = data_centre != nullptr && data_centre->out &&
                                     earlier.second.kind == ItemKind::kDataCentre;
      return (same_item || both_data_centres) && earlier.first > change.value().base.value();
    });
    if (!stale) accepted.emplace_back(i + 1, change.value());
  }
  std::vector<Change> changes;
  for (auto& [offset, change] : accepted) {
    change.base = Offset(offset);
    changes.push_back(change);
  }
  return changes;
}

Change RandomChange(const ConfigState& state, int serial) {
  static constexpr const char* kNames[] = {"a", "b", "c"};
  const std::string name = kNames[*rc::gen::inRange(0, 3)];
  const std::string id = "c" + std::to_string(*rc::gen::inRange(serial / 2, serial + 1));
  const auto kind = static_cast<ItemKind>(*rc::gen::inRange(0, 4));
  const std::uint64_t version = VersionOf(state, kind, name).offset.value();
  const std::uint64_t base = *rc::gen::weightedElement<std::uint64_t>(
      {{6, version}, {1, state.applied.value()}, {1, 0}, {1, version / 2}, {1, 1'000'000}});
  Change change = MakeChange(id, kind, name, base);
  if (*rc::gen::inRange(0, 3) == 0) return change;
  if (kind == ItemKind::kClass) return MakeClass(id, name, base, *rc::gen::inRange(1, 60'000));
  if (kind == ItemKind::kDataCentre) {
    return MakeDataCentre(id, name, base, *rc::gen::arbitrary<bool>());
  }
  if (kind == ItemKind::kServer) change.value = ServerItem{ServerName(name), true, {}};
  if (kind == ItemKind::kProbeBudget) change.value = ProbeBudgetItem{ServiceName(name), 1.5, {}};
  return change;
}

TEST_CASE("a change survives encoding, and errors name the field, value and range") {
  const Change change = MakeClass("c1", "reservas-book", 7, 120);
  const auto read = DecodeChange(EncodeRecord(change));
  REQUIRE(read);
  CHECK(read.value().base == Offset(7));
  CHECK(std::get<ClassItem>(read.value().value).latency_target == std::chrono::milliseconds(120));

  CHECK(EncodeChange(MakeClass("c1", "x", 0, 60'001)).error().message ==
        "latency_ms = 60001: must be 1 to 60000 (milliseconds)");
  CHECK(EncodeChange(MakeClass("c1", "Upper", 0)).error().code == ErrorCode::kInvalidArgument);
  CHECK_FALSE(EncodeChange(MakeClass("c1", std::string(65, 'a'), 0)));
  CHECK_FALSE(EncodeChange(MakeClass("", "x", 0)));
  Change author = change;
  author.author = "Jos\xC3\xA9";
  CHECK(DecodeChange(EncodeRecord(author)).value().author == author.author);
  author.author = "\xff";
  CHECK_FALSE(EncodeChange(author));
  Change mixed = change;
  mixed.value = ServerItem{};
  CHECK_FALSE(EncodeChange(mixed));
}

TEST_CASE("of changes with the same base exactly one is accepted, removal included") {
  ConfigStateMachine machine;
  CHECK(ApplyNext(machine, EncodeRecord(MakeClass("c1", "x", 0))) == ChangeOutcome::kAccepted);
  CHECK(ApplyNext(machine, EncodeRecord(MakeClass("c2", "x", 0))) == ChangeOutcome::kConflict);
  CHECK(machine.ResultOf(ChangeId("c2"))->conflict.change == ChangeId("c1"));
  CHECK(ApplyNext(machine, EncodeRecord(MakeClass("c1", "x", 1))) == ChangeOutcome::kDuplicate);
  CHECK(ApplyNext(machine, EncodeRecord(MakeChange("c3", ItemKind::kClass, "x", 1))) ==
        ChangeOutcome::kAccepted);
  CHECK(machine.state().classes.empty());
  CHECK(ApplyNext(machine, EncodeRecord(MakeClass("c4", "x", 1))) == ChangeOutcome::kConflict);
  CHECK(ApplyNext(machine, EncodeRecord(MakeClass("c5", "x", 0))) == ChangeOutcome::kConflict);
  CHECK(ApplyNext(machine, EncodeRecord(MakeClass("c6", "x", 4))) == ChangeOutcome::kAccepted);
  CHECK(ApplyNext(machine, EncodeRecord(MakeClass("c7", "y", 99))) == ChangeOutcome::kConflict);
  CHECK(ApplyNext(machine, "rubbish") == ChangeOutcome::kInvalid);
  CHECK(machine.Apply(Offset(3), "rubbish").outcome == ChangeOutcome::kAlreadyApplied);
  CHECK(machine.Apply(Offset(99), EncodeRecord(MakeClass("c9", "z", 0))).outcome ==
        ChangeOutcome::kInvalid);
  CHECK(machine.state().applied == Offset(9));
}

TEST_CASE("of two concurrent changes that take data centres out of service one is accepted") {
  ConfigStateMachine machine;
  CHECK(ApplyNext(machine, EncodeRecord(MakeDataCentre("c1", "uio-a", 0, true))) ==
        ChangeOutcome::kAccepted);
  CHECK(ApplyNext(machine, EncodeRecord(MakeDataCentre("c2", "uio-b", 0, true))) ==
        ChangeOutcome::kConflict);
  CHECK(machine.ResultOf(ChangeId("c2"))->message == "uio-a changed after the base version");
  CHECK(machine.ResultOf(ChangeId("c2"))->conflict.change == ChangeId("c1"));
  CHECK(ApplyNext(machine, EncodeRecord(MakeDataCentre("c3", "uio-b", 1, true))) ==
        ChangeOutcome::kAccepted);
  CHECK(ApplyNext(machine, EncodeRecord(MakeDataCentre("c4", "uio-a", 1, false))) ==
        ChangeOutcome::kAccepted);
  CHECK(ApplyNext(machine, EncodeRecord(MakeDataCentre("c5", "uio-a", 3, true))) ==
        ChangeOutcome::kConflict);
}

TEST_CASE("changes based on a version before a dropped tombstone are rejected") {
  ConfigStateMachine machine;
  const std::size_t count = kMaxTombstones + 10;
  for (std::size_t i = 0; i < count; ++i) {
    const std::string item = "s" + std::to_string(i);
    const std::uint64_t base = machine.state().applied.value();
    REQUIRE(ApplyNext(machine, EncodeRecord(MakeClass("a" + item, item, base))) ==
            ChangeOutcome::kAccepted);
    REQUIRE(ApplyNext(machine, EncodeRecord(MakeChange("r" + item, ItemKind::kClass, item,
                                                       base + 1))) == ChangeOutcome::kAccepted);
  }
  CHECK(machine.state().tombstones.size() == kMaxTombstones);
  CHECK(ApplyNext(machine, EncodeRecord(MakeClass("late", "s0", 1))) == ChangeOutcome::kConflict);
  CHECK(ApplyNext(machine, EncodeRecord(MakeClass(
                               "again", "s0", machine.state().max_dropped_tombstone.value()))) ==
        ChangeOutcome::kAccepted);
}

TEST_CASE("the number of items and of stored change results is limited") {
  ConfigStateMachine machine;
  for (std::size_t i = 0; i < kMaxDataCentres; ++i) {
    const std::string number = std::to_string(i);
    REQUIRE(ApplyNext(machine, EncodeRecord(MakeDataCentre(number, "dc" + number, i, true))) ==
            ChangeOutcome::kAccepted);
  }
  CHECK(ApplyNext(machine, EncodeRecord(MakeDataCentre("more", "one-more", 64, true))) ==
        ChangeOutcome::kLimit);
  CHECK(ApplyNext(machine, EncodeRecord(MakeDataCentre("more", "one-more", 64, true))) ==
        ChangeOutcome::kDuplicate);
  for (std::size_t i = 0; i < kMaxChangeResults; ++i) {
    ApplyNext(machine, EncodeRecord(MakeClass("c" + std::to_string(i), "x", 0)));
  }
  CHECK(machine.ResultOf(ChangeId("more")) == nullptr);
}

TEST_CASE("a snapshot of many parts restores the same state and is never loaded over a newer one") {
  ConfigStateMachine machine;
  for (int i = 0; i < 600; ++i) {
    const std::string number = std::to_string(i);
    REQUIRE(ApplyNext(machine, EncodeRecord(MakeClass("c" + number, "class-" + number, 0))) ==
            ChangeOutcome::kAccepted);
  }
  const auto records = machine.EncodeSnapshotRecords(machine.state().applied).value();
  CHECK(records.size() > 3);
  SnapshotAssembler assembler;
  std::optional<Snapshot> whole;
  for (auto record = records.rbegin(); record != records.rend(); ++record) {
    CHECK(record->size() <= kMaxRecordBytes);
    CHECK_FALSE(whole);
    whole = assembler.Add(*record);
    assembler.Add("{\"v\":1,\"kind\":\"snapshot_part\"}");
  }
  REQUIRE(whole);
  ConfigStateMachine other;
  REQUIRE(other.LoadSnapshot(whole->text));
  CHECK(other.EncodeSnapshot() == machine.EncodeSnapshot());
  CHECK(other.LoadSnapshot(whole->text).error().code == ErrorCode::kConflict);
  CHECK(ApplyNext(machine, records[0]) == ChangeOutcome::kSnapshot);
  CHECK(other.LoadSnapshot(whole->text.substr(1)).error().code == ErrorCode::kCorrupt);
}

TEST_CASE("property: the state machine and its snapshots match the reference implementation") {
  CHECK(rc::check("state machine equals reference implementation", [] {
    FakeLog log;
    ConfigStateMachine machine;
    const int count = *rc::gen::inRange(1, 60);
    for (int i = 0; i < count; ++i) {
      const int choice = *rc::gen::inRange(0, 10);
      std::string record = "not json";
      if (choice > 0) record = EncodeRecord(RandomChange(machine.state(), i));
      if (choice == 1) record = machine.EncodeSnapshotRecords(machine.state().applied).value()[0];
      machine.Apply(log.Append(record), record);
      if (choice != 2) continue;
      ConfigStateMachine restored;
      RC_ASSERT(restored.LoadSnapshot(machine.EncodeSnapshot()).has_value());
      RC_ASSERT(restored.EncodeSnapshot() == machine.EncodeSnapshot());
      machine = restored;
    }
    std::map<ItemKey, Change> expected;
    for (const Change& change : AcceptedByScan(log)) expected[{change.kind, change.item}] = change;
    std::size_t live = 0;
    for (const auto& [key, change] : expected) {
      const ItemVersion version = VersionOf(machine.state(), key.kind, key.name);
      RC_ASSERT(version.offset == change.base);
      RC_ASSERT(version.change == change.id);
      if (!std::holds_alternative<RemoveItem>(change.value)) ++live;
    }
    const ConfigState& state = machine.state();
    RC_ASSERT(live == state.classes.size() + state.data_centres.size() + state.servers.size() +
                          state.probe_budgets.size());
  }));
}

TEST_CASE("property: corrupted records and snapshots are rejected or decoded without failure") {
  CHECK(rc::check("corrupted bytes", [] {
    ConfigStateMachine source;
    const std::string change = EncodeRecord(MakeClass("c1", "x", 0));
    source.Apply(Offset(1), change);
    const int input_kind = *rc::gen::inRange(0, 3);
    std::string bytes = change;
    if (input_kind == 1) bytes = source.EncodeSnapshot();
    if (input_kind == 2) bytes = source.EncodeSnapshotRecords(Offset(1)).value()[0];
    const int edits = *rc::gen::inRange(1, 6);
    for (int i = 0; i < edits; ++i) {
      const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
      const int edit_kind = *rc::gen::inRange(0, 3);
      if (edit_kind == 0) bytes[position] = *rc::gen::arbitrary<char>();
      if (edit_kind == 1) bytes.erase(position, *rc::gen::inRange<std::size_t>(1, 9));
      if (edit_kind == 2) {
        bytes.insert(position, *rc::gen::element<std::string>("9", "-", "\"", "[", "{", "e9"));
      }
      if (bytes.empty()) bytes = "{";
    }
    const auto read = DecodeChange(bytes);
    if (read) RC_ASSERT(EncodeChange(read.value()).has_value());
    ConfigStateMachine machine;
    machine.Apply(Offset(1), bytes);
    RC_ASSERT(machine.state().applied == Offset(1));
    (void)ConfigStateMachine().LoadSnapshot(bytes);
    SnapshotAssembler().Add(bytes);
  }));
}

}  // namespace
}  // namespace mulberry::testing
