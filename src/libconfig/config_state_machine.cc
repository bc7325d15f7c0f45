#include "libconfig/config_state_machine.h"

#include <algorithm>

#include "libconfig/item_rules.h"
#include "libconfig/json_reader.h"
#include "libconfig/record_codec.h"

namespace mulberry {

namespace {

template <class Map>
const ItemVersion* VersionIn(const Map& items, const std::string& name) {
  const auto found = items.find(typename Map::key_type(name));
  return found == items.end() ? nullptr : &found->second.version;
}

const ItemVersion* LiveVersion(const ConfigState& state, ItemKind kind, const std::string& name) {
  switch (kind) {
    case ItemKind::kClass:
      return VersionIn(state.classes, name);
    case ItemKind::kDataCentre:
      return VersionIn(state.data_centres, name);
    case ItemKind::kServer:
      return VersionIn(state.servers, name);
    case ItemKind::kProbeBudget:
      return VersionIn(state.probe_budgets, name);
  }
  return nullptr;
}

std::size_t CountOf(const ConfigState& state, ItemKind kind) {
  switch (kind) {
    case ItemKind::kClass:
      return state.classes.size();
    case ItemKind::kDataCentre:
      return state.data_centres.size();
    case ItemKind::kServer:
      return state.servers.size();
    case ItemKind::kProbeBudget:
      return state.probe_budgets.size();
  }
  return 0;
}

void EraseItem(ConfigState& state, ItemKind kind, const std::string& name) {
  switch (kind) {
    case ItemKind::kClass:
      state.classes.erase(ClassName(name));
      break;
    case ItemKind::kDataCentre:
      state.data_centres.erase(DataCentreName(name));
      break;
    case ItemKind::kServer:
      state.servers.erase(ServerName(name));
      break;
    case ItemKind::kProbeBudget:
      state.probe_budgets.erase(ServiceName(name));
      break;
  }
}

bool TakesDataCentreOut(const Change& change) {
  const auto* item = std::get_if<DataCentreItem>(&change.value);
  return item != nullptr && item->out;
}

/// Fills in which item changed after the base of a change.
void DescribeConflict(const ConfigState& state, const Change& change, ChangeResult* fate) {
  fate->outcome = ChangeOutcome::kConflict;
  fate->conflict = VersionOf(state, change.kind, change.item);
  std::string item = change.item;
  for (const auto& [name, centre] : state.data_centres) {
    if (fate->conflict.offset > change.base || centre.version.offset <= change.base) continue;
    fate->conflict = centre.version;
    item = name.str();
  }
  fate->message = item + " changed after the base version";
}

/// Puts the value of a change into the state.
struct StoreItem {
  ConfigState& state;
  const ItemKey& key;
  const ItemVersion& version;

  void operator()(const RemoveItem& /*remove*/) const {
    EraseItem(state, key.kind, key.name);
    state.tombstones[key] = version;
  }
  void operator()(const ClassItem& item) const { Store(state.classes, item.name, item); }
  void operator()(const DataCentreItem& item) const { Store(state.data_centres, item.name, item); }
  void operator()(const ServerItem& item) const { Store(state.servers, item.name, item); }
  void operator()(const ProbeBudgetItem& item) const {
    Store(state.probe_budgets, item.service, item);
  }

  template <class Map, class Item>
  void Store(Map& items, const typename Map::key_type& name, const Item& item) const {
    state.tombstones.erase(key);
    Item& stored = items[name];
    stored = item;
    stored.version = version;
  }
};

}  // namespace

const char* ChangeOutcomeName(ChangeOutcome outcome) {
  switch (outcome) {
    case ChangeOutcome::kAccepted:
      return "accepted";
    case ChangeOutcome::kConflict:
      return "conflict";
    case ChangeOutcome::kLimit:
      return "limit";
    case ChangeOutcome::kDuplicate:
      return "duplicate";
    case ChangeOutcome::kInvalid:
      return "invalid";
    case ChangeOutcome::kSnapshot:
      return "snapshot";
    case ChangeOutcome::kOld:
      return "old";
  }
  return "unknown";
}

ItemVersion VersionOf(const ConfigState& state, ItemKind kind, const std::string& name) {
  const ItemVersion* live = LiveVersion(state, kind, name);
  if (live != nullptr) return *live;
  const auto removed = state.tombstones.find(ItemKey{kind, name});
  if (removed != state.tombstones.end()) return removed->second;
  ItemVersion floor;
  floor.offset = state.max_dropped_tombstone;
  return floor;
}

Offset MinBaseOffset(const ConfigState& state, const Change& change) {
  const Offset version = VersionOf(state, change.kind, change.item).offset;
  return TakesDataCentreOut(change) ? std::max(version, state.data_centres_version) : version;
}

ChangeResult ConfigStateMachine::Apply(Offset offset, std::string_view record) {
  ChangeResult fate;
  fate.offset = offset;
  if (offset <= state_.applied) {
    fate.outcome = ChangeOutcome::kOld;
    return fate;
  }
  if (offset.value() != state_.applied.value() + 1) {
    fate.message = "records before this one are missing";
    return fate;
  }
  state_.applied = offset;
  if (record.size() > kMaxRecordBytes) {
    fate.message = "the record is too large";
    return fate;
  }
  if (IsSnapshot(record, nullptr)) {
    fate.outcome = ChangeOutcome::kSnapshot;
    return fate;
  }
  const Result<Change> change = DecodeChange(record);
  if (!change) {
    fate.message = change.error().message;
    return fate;
  }
  fate = Judge(offset, change.value());
  if (fate.outcome == ChangeOutcome::kAccepted) Accept(offset, change.value(), record);
  if (fate.outcome != ChangeOutcome::kDuplicate) Remember(fate);
  return fate;
}

ChangeResult ConfigStateMachine::Judge(Offset offset, const Change& change) const {
  ChangeResult fate;
  fate.offset = offset;
  fate.change = change.id;
  if (const ChangeResult* seen = ResultOf(change.id)) {
    fate.outcome = ChangeOutcome::kDuplicate;
    fate.message = std::string("seen before: ") + ChangeOutcomeName(seen->outcome);
    fate.conflict = seen->conflict;
    return fate;
  }
  if (change.base >= offset) {
    fate.outcome = ChangeOutcome::kConflict;
    fate.message = "the base version is not before the change";
    return fate;
  }
  if (change.base < MinBaseOffset(state_, change)) {
    DescribeConflict(state_, change, &fate);
    return fate;
  }
  const bool is_new = !std::holds_alternative<RemoveItem>(change.value) &&
                      LiveVersion(state_, change.kind, change.item) == nullptr;
  if (is_new && CountOf(state_, change.kind) >= MaxItems(change.kind)) {
    fate.outcome = ChangeOutcome::kLimit;
    fate.message = std::string("too many items of kind ") + ItemKindName(change.kind) +
                   ": must be " + std::to_string(MaxItems(change.kind)) + " at most";
    return fate;
  }
  fate.outcome = ChangeOutcome::kAccepted;
  return fate;
}

void ConfigStateMachine::Accept(Offset offset, const Change& change, std::string_view record) {
  const ItemKey key{change.kind, change.item};
  const ItemVersion version{offset, change.author, change.id, change.at};
  std::visit(StoreItem{state_, key, version}, change.value);
  if (change.kind == ItemKind::kDataCentre) state_.data_centres_version = offset;
  const std::uint64_t seed = StableHash(std::to_string(offset.value()), state_.digest);
  state_.digest = StableHash(record, seed);
  DropOldTombstones();
}

void ConfigStateMachine::DropOldTombstones() {
  if (state_.tombstones.size() <= kMaxTombstones) return;
  const auto oldest = std::min_element(
      state_.tombstones.begin(), state_.tombstones.end(),
      [](const auto& a, const auto& b) { return a.second.offset < b.second.offset; });
  state_.max_dropped_tombstone = std::max(state_.max_dropped_tombstone, oldest->second.offset);
  state_.tombstones.erase(oldest);
}

void ConfigStateMachine::Remember(const ChangeResult& fate) {
  fates_[fate.change] = fate;
  recent_.push_back(fate.change);
  if (recent_.size() <= kMaxChangeResults) return;
  fates_.erase(recent_.front());
  recent_.pop_front();
}

const ChangeResult* ConfigStateMachine::ResultOf(const ChangeId& change) const {
  const auto found = fates_.find(change);
  return found == fates_.end() ? nullptr : &found->second;
}

}  // namespace mulberry
