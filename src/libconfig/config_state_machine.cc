#include "libconfig/config_state_machine.h"

#include <algorithm>

#include "libconfig/item_rules.h"
#include "libconfig/json_reader.h"
#include "libconfig/record_codec.h"

namespace mulberry {

namespace {

template <class Map>
const ItemVersion* FindVersion(const Map& items, const std::string& name) {
  const auto found = items.find(typename Map::key_type(name));
  return found == items.end() ? nullptr : &found->second.version;
}

const ItemVersion* FindItemVersion(const ConfigState& state, ItemKind kind,
                                   const std::string& name) {
  switch (kind) {
    case ItemKind::kClass:
      return FindVersion(state.classes, name);
    case ItemKind::kDataCentre:
      return FindVersion(state.data_centres, name);
    case ItemKind::kServer:
      return FindVersion(state.servers, name);
    case ItemKind::kProbeBudget:
      return FindVersion(state.probe_budgets, name);
  }
  return nullptr;
}

std::size_t CountItems(const ConfigState& state, ItemKind kind) {
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

/// Sets the result to a conflict with the item that changed after the base.
void DescribeConflict(const ConfigState& state, const Change& change, ChangeResult* result) {
  result->outcome = ChangeOutcome::kConflict;
  result->conflict = VersionOf(state, change.kind, change.item);
  std::string item = change.item;
  for (const auto& [name, centre] : state.data_centres) {
    if (result->conflict.offset > change.base || centre.version.offset <= change.base) continue;
    result->conflict = centre.version;
    item = name.str();
  }
  result->message = item + " changed after the base version";
}

/// Applies the value of a change to the state.
struct StoreItemVisitor {
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
    case ChangeOutcome::kAlreadyApplied:
      return "old";
  }
  return "unknown";
}

ItemVersion VersionOf(const ConfigState& state, ItemKind kind, const std::string& name) {
  const ItemVersion* existing = FindItemVersion(state, kind, name);
  if (existing != nullptr) return *existing;
  const auto tombstone = state.tombstones.find(ItemKey{kind, name});
  if (tombstone != state.tombstones.end()) return tombstone->second;
  ItemVersion unknown_item_version;
  unknown_item_version.offset = state.max_dropped_tombstone;
  return unknown_item_version;
}

Offset MinBaseOffset(const ConfigState& state, const Change& change) {
  const Offset version = VersionOf(state, change.kind, change.item).offset;
  return TakesDataCentreOut(change) ? std::max(version, state.data_centres_version) : version;
}

ChangeResult ConfigStateMachine::Apply(Offset offset, std::string_view record) {
  ChangeResult result;
  result.offset = offset;
  if (offset <= state_.applied) {
    result.outcome = ChangeOutcome::kAlreadyApplied;
    return result;
  }
  if (offset.value() != state_.applied.value() + 1) {
    result.message = "records before this one are missing";
    return result;
  }
  state_.applied = offset;
  if (record.size() > kMaxRecordBytes) {
    result.message = "the record is too large";
    return result;
  }
  if (IsSnapshot(record, nullptr)) {
    result.outcome = ChangeOutcome::kSnapshot;
    return result;
  }
  const Result<Change> change = DecodeChange(record);
  if (!change) {
    result.message = change.error().message;
    return result;
  }
  result = Evaluate(offset, change.value());
  if (result.outcome == ChangeOutcome::kAccepted) Accept(offset, change.value(), record);
  if (result.outcome != ChangeOutcome::kDuplicate) StoreResult(result);
  return result;
}

ChangeResult ConfigStateMachine::Evaluate(Offset offset, const Change& change) const {
  ChangeResult result;
  result.offset = offset;
  result.change = change.id;
  if (const ChangeResult* earlier = ResultOf(change.id)) {
    result.outcome = ChangeOutcome::kDuplicate;
    result.message = std::string("a change with this id was evaluated before: ") +
                     ChangeOutcomeName(earlier->outcome);
    result.conflict = earlier->conflict;
    return result;
  }
  if (change.base >= offset) {
    result.outcome = ChangeOutcome::kConflict;
    result.message = "the base version is not before the change";
    return result;
  }
  if (change.base < MinBaseOffset(state_, change)) {
    DescribeConflict(state_, change, &result);
    return result;
  }
  const bool adds_item = !std::holds_alternative<RemoveItem>(change.value) &&
                         FindItemVersion(state_, change.kind, change.item) == nullptr;
  if (adds_item && CountItems(state_, change.kind) >= MaxItems(change.kind)) {
    result.outcome = ChangeOutcome::kLimit;
    result.message = std::string("too many items of kind ") + ItemKindName(change.kind) +
                     ": must be " + std::to_string(MaxItems(change.kind)) + " at most";
    return result;
  }
  result.outcome = ChangeOutcome::kAccepted;
  return result;
}

void ConfigStateMachine::Accept(Offset offset, const Change& change, std::string_view record) {
  const ItemKey key{change.kind, change.item};
  const ItemVersion version{offset, change.author, change.id, change.at};
  std::visit(StoreItemVisitor{state_, key, version}, change.value);
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

void ConfigStateMachine::StoreResult(const ChangeResult& result) {
  results_[result.change] = result;
  recent_changes_.push_back(result.change);
  if (recent_changes_.size() <= kMaxChangeResults) return;
  results_.erase(recent_changes_.front());
  recent_changes_.pop_front();
}

const ChangeResult* ConfigStateMachine::ResultOf(const ChangeId& change) const {
  const auto found = results_.find(change);
  return found == results_.end() ? nullptr : &found->second;
}

}  // namespace mulberry
