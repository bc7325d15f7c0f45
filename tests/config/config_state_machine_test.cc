#include "libconfig/config_state_machine.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>

#include "fake_log.h"

namespace mulberry::testing {
namespace {

ChangeOutcome ApplyNext(ConfigStateMachine& fold, const std::string& record) {
  return fold.Apply(Offset(fold.state().applied.value() + 1), record).outcome;
}

/// Folds by going through every earlier change for each decision.
std::vector<Change> NaiveAccepted(const FakeLog& log) {
  std::vector<std::pair<std::uint64_t, Change>> accepted;
  std::set<ChangeId> seen;
  for (std::size_t i = 0; i < log.all.size(); ++i) {
    const auto change = DecodeChange(log.all[i]);
    if (!change || !seen.insert(change.value().id).second) continue;
    if (change.value().base.value() >= i + 1) continue;
    const bool stale = std::any_of(accepted.begin(), accepted.end(), [&](const auto& earlier) {
      const bool same_item =
          earlier.second.kind == change.value().kind && earlier.second.item == change.value().item;
      const auto* centre = std::get_if<DataCentreItem>(&change.value().value);
      const bool both_centres =
          centre != nullptr && centre->out && earlier.second.kind == ItemKind::kDataCentre;
      return (same_item || both_centres) && earlier.first > change.value().base.value();
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

Change ArbitraryChange(const ConfigState& state, int serial) {
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

TEST_CASE("a change is read back as written, and faults name field, value and range") {
  const Change change = MakeClass("c1", "reservas-book", 7, 120);
  const auto read = DecodeChange(Encoded(change));
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
  CHECK(DecodeChange(Encoded(author)).value().author == author.author);
  author.author = "\xff";
  CHECK_FALSE(EncodeChange(author));
  Change mixed = change;
  mixed.value = ServerItem{};
  CHECK_FALSE(EncodeChange(mixed));
}

TEST_CASE("of changes with the same base exactly one is accepted, removal included") {
  ConfigStateMachine fold;
  CHECK(ApplyNext(fold, Encoded(MakeClass("c1", "x", 0))) == ChangeOutcome::kAccepted);
  CHECK(ApplyNext(fold, Encoded(MakeClass("c2", "x", 0))) == ChangeOutcome::kConflict);
  CHECK(fold.ResultOf(ChangeId("c2"))->conflict.change == ChangeId("c1"));
  CHECK(ApplyNext(fold, Encoded(MakeClass("c1", "x", 1))) == ChangeOutcome::kDuplicate);
  CHECK(ApplyNext(fold, Encoded(MakeChange("c3", ItemKind::kClass, "x", 1))) ==
        ChangeOutcome::kAccepted);
  CHECK(fold.state().classes.empty());
  CHECK(ApplyNext(fold, Encoded(MakeClass("c4", "x", 1))) == ChangeOutcome::kConflict);
  CHECK(ApplyNext(fold, Encoded(MakeClass("c5", "x", 0))) == ChangeOutcome::kConflict);
  CHECK(ApplyNext(fold, Encoded(MakeClass("c6", "x", 4))) == ChangeOutcome::kAccepted);
  CHECK(ApplyNext(fold, Encoded(MakeClass("c7", "y", 99))) == ChangeOutcome::kConflict);
  CHECK(ApplyNext(fold, "rubbish") == ChangeOutcome::kInvalid);
  CHECK(fold.Apply(Offset(3), "rubbish").outcome == ChangeOutcome::kOld);
  CHECK(fold.Apply(Offset(99), Encoded(MakeClass("c9", "z", 0))).outcome ==
        ChangeOutcome::kInvalid);
  CHECK(fold.state().applied == Offset(9));
}

TEST_CASE("of two racing departures of data centres one is accepted") {
  ConfigStateMachine fold;
  CHECK(ApplyNext(fold, Encoded(MakeDataCentre("c1", "uio-a", 0, true))) ==
        ChangeOutcome::kAccepted);
  CHECK(ApplyNext(fold, Encoded(MakeDataCentre("c2", "uio-b", 0, true))) ==
        ChangeOutcome::kConflict);
  CHECK(fold.ResultOf(ChangeId("c2"))->message == "uio-a changed after the base version");
  CHECK(fold.ResultOf(ChangeId("c2"))->conflict.change == ChangeId("c1"));
  CHECK(ApplyNext(fold, Encoded(MakeDataCentre("c3", "uio-b", 1, true))) ==
        ChangeOutcome::kAccepted);
  CHECK(ApplyNext(fold, Encoded(MakeDataCentre("c4", "uio-a", 1, false))) ==
        ChangeOutcome::kAccepted);
  CHECK(ApplyNext(fold, Encoded(MakeDataCentre("c5", "uio-a", 3, true))) ==
        ChangeOutcome::kConflict);
}

TEST_CASE("dropped tombstones leave a floor that stale bases do not pass") {
  ConfigStateMachine fold;
  const std::size_t count = kMaxTombstones + 10;
  for (std::size_t i = 0; i < count; ++i) {
    const std::string item = "s" + std::to_string(i);
    const std::uint64_t base = fold.state().applied.value();
    REQUIRE(ApplyNext(fold, Encoded(MakeClass("a" + item, item, base))) ==
            ChangeOutcome::kAccepted);
    REQUIRE(ApplyNext(fold, Encoded(MakeChange("r" + item, ItemKind::kClass, item, base + 1))) ==
            ChangeOutcome::kAccepted);
  }
  CHECK(fold.state().tombstones.size() == kMaxTombstones);
  CHECK(ApplyNext(fold, Encoded(MakeClass("late", "s0", 1))) == ChangeOutcome::kConflict);
  CHECK(ApplyNext(fold,
                  Encoded(MakeClass("again", "s0", fold.state().max_dropped_tombstone.value()))) ==
        ChangeOutcome::kAccepted);
}

TEST_CASE("the number of items and of remembered change ids is limited") {
  ConfigStateMachine fold;
  for (std::size_t i = 0; i < kMaxDataCentres; ++i) {
    const std::string n = std::to_string(i);
    REQUIRE(ApplyNext(fold, Encoded(MakeDataCentre(n, "dc" + n, i, true))) ==
            ChangeOutcome::kAccepted);
  }
  CHECK(ApplyNext(fold, Encoded(MakeDataCentre("more", "one-more", 64, true))) ==
        ChangeOutcome::kLimit);
  CHECK(ApplyNext(fold, Encoded(MakeDataCentre("more", "one-more", 64, true))) ==
        ChangeOutcome::kDuplicate);
  for (std::size_t i = 0; i < kMaxChangeResults; ++i) {
    ApplyNext(fold, Encoded(MakeClass("c" + std::to_string(i), "x", 0)));
  }
  CHECK(fold.ResultOf(ChangeId("more")) == nullptr);
}

TEST_CASE("a snapshot of many parts restores the same state and never an older one") {
  ConfigStateMachine fold;
  for (int i = 0; i < 600; ++i) {
    const std::string n = std::to_string(i);
    REQUIRE(ApplyNext(fold, Encoded(MakeClass("c" + n, "class-" + n, 0))) ==
            ChangeOutcome::kAccepted);
  }
  const auto records = fold.EncodeSnapshotRecords(fold.state().applied).value();
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
  CHECK(other.EncodeSnapshot() == fold.EncodeSnapshot());
  CHECK(other.LoadSnapshot(whole->text).error().code == ErrorCode::kConflict);
  CHECK(ApplyNext(fold, records[0]) == ChangeOutcome::kSnapshot);
  CHECK(other.LoadSnapshot(whole->text.substr(1)).error().code == ErrorCode::kCorrupt);
}

TEST_CASE("property: the fold accepts what a naive replay accepts, snapshots in between") {
  CHECK(rc::check("fold equals naive replay", [] {
    FakeLog log;
    ConfigStateMachine fold;
    const int count = *rc::gen::inRange(1, 60);
    for (int i = 0; i < count; ++i) {
      const int choice = *rc::gen::inRange(0, 10);
      std::string record = "not json";
      if (choice > 0) record = Encoded(ArbitraryChange(fold.state(), i));
      if (choice == 1) record = fold.EncodeSnapshotRecords(fold.state().applied).value()[0];
      fold.Apply(log.Append(record), record);
      if (choice != 2) continue;
      ConfigStateMachine restored;
      RC_ASSERT(restored.LoadSnapshot(fold.EncodeSnapshot()).has_value());
      RC_ASSERT(restored.EncodeSnapshot() == fold.EncodeSnapshot());
      fold = restored;
    }
    std::map<ItemKey, Change> expected;
    for (const Change& change : NaiveAccepted(log)) expected[{change.kind, change.item}] = change;
    std::size_t live = 0;
    for (const auto& [key, change] : expected) {
      const ItemVersion version = VersionOf(fold.state(), key.kind, key.name);
      RC_ASSERT(version.offset == change.base);
      RC_ASSERT(version.change == change.id);
      if (!std::holds_alternative<RemoveItem>(change.value)) ++live;
    }
    const ConfigState& state = fold.state();
    RC_ASSERT(live == state.classes.size() + state.data_centres.size() + state.servers.size() +
                          state.probe_budgets.size());
  }));
}

TEST_CASE("property: damaged records are refused or read, never more") {
  CHECK(rc::check("mutated bytes", [] {
    ConfigStateMachine source;
    const std::string change = Encoded(MakeClass("c1", "x", 0));
    source.Apply(Offset(1), change);
    const int which = *rc::gen::inRange(0, 3);
    std::string bytes = change;
    if (which == 1) bytes = source.EncodeSnapshot();
    if (which == 2) bytes = source.EncodeSnapshotRecords(Offset(1)).value()[0];
    const int edits = *rc::gen::inRange(1, 6);
    for (int i = 0; i < edits; ++i) {
      const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
      const int how = *rc::gen::inRange(0, 3);
      if (how == 0) bytes[at] = *rc::gen::arbitrary<char>();
      if (how == 1) bytes.erase(at, *rc::gen::inRange<std::size_t>(1, 9));
      if (how == 2)
        bytes.insert(at, *rc::gen::element<std::string>("9", "-", "\"", "[", "{", "e9"));
      if (bytes.empty()) bytes = "{";
    }
    const auto read = DecodeChange(bytes);
    if (read) RC_ASSERT(EncodeChange(read.value()).has_value());
    ConfigStateMachine fold;
    fold.Apply(Offset(1), bytes);
    RC_ASSERT(fold.state().applied == Offset(1));
    (void)ConfigStateMachine().LoadSnapshot(bytes);
    SnapshotAssembler().Add(bytes);
  }));
}

}  // namespace
}  // namespace mulberry::testing
