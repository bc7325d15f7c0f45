// Snapshots: the text of a whole state, and its parts as records of the log.
#include <algorithm>

#include "libconfig/config_state_machine.h"
#include "libconfig/item_rules.h"
#include "libconfig/record_codec.h"

namespace mulberry {

namespace {

constexpr const char* kTextKind = "snapshot";
constexpr const char* kPartKind = "snapshot_part";
/// Bytes of text in one part; escaping at most doubles them.
constexpr std::size_t kPartBytes = 30'000;
constexpr std::size_t kMaxParts = kMaxSnapshotBytes / kPartBytes + 1;
/// Snapshots whose parts are held while others are missing.
constexpr std::size_t kMaxPending = 8;

Json VersionToJson(const ItemVersion& version) {
  return {{"offset", version.offset.value()},
          {"author", version.author},
          {"change", version.change.str()},
          {"at_ms", ToJsonTime(version.at)}};
}

ItemVersion ReadVersion(const Json& json, std::string* fault) {
  JsonReader reader(json);
  ItemVersion version;
  version.offset = Offset(reader.Unsigned("offset"));
  version.author = reader.String("author");
  version.change = ChangeId(reader.String("change"));
  version.at = FromJsonTime(reader.Unsigned("at_ms"));
  if (fault->empty()) *fault = reader.fault();
  return version;
}

template <class Map>
Json ItemsToJson(const Map& items) {
  Json list = Json::array();
  for (const auto& [name, item] : items) {
    Json json = ValueToJson(item);
    json["name"] = name.str();
    json["version"] = VersionToJson(item.version);
    list.push_back(std::move(json));
  }
  return list;
}

/// Checks an item of a snapshot by the rules for changes.
template <class Item>
std::string ItemFault(ItemKind kind, const std::string& name, const Item& item) {
  return ChangeFault(Change{item.version.change, item.version.author, item.version.at, kind, name,
                            Offset(), item});
}

void SetName(ClassItem& item, const ClassName& name) { item.name = name; }
void SetName(DataCentreItem& item, const DataCentreName& name) { item.name = name; }
void SetName(ServerItem& item, const ServerName& name) { item.name = name; }
void SetName(ProbeBudgetItem& item, const ServiceName& name) { item.service = name; }

template <class Map>
void ReadItems(const Json& list, ItemKind kind, Offset from, Map* items, std::string* fault) {
  if (list.size() > MaxItems(kind)) *fault = "too many items";
  for (const Json& json : list) {
    if (!fault->empty()) return;
    JsonReader reader(json);
    typename Map::mapped_type item;
    ReadValue(reader, &item);
    const std::string name = reader.String("name");
    item.version = ReadVersion(reader.Object("version"), fault);
    SetName(item, typename Map::key_type(name));
    if (fault->empty()) *fault = reader.fault();
    if (fault->empty()) *fault = ItemFault(kind, name, item);
    if (fault->empty() && item.version.offset > from) *fault = "a version is too high";
    (*items)[typename Map::key_type(name)] = std::move(item);
  }
}

Json RemovedToJson(const std::map<ItemKey, ItemVersion>& removed) {
  Json list = Json::array();
  for (const auto& [key, version] : removed) {
    list.push_back({{"item_kind", ItemKindName(key.kind)},
                    {"name", key.name},
                    {"version", VersionToJson(version)}});
  }
  return list;
}

void ReadRemoved(const Json& list, std::map<ItemKey, ItemVersion>* removed, std::string* fault) {
  if (list.size() > kMaxTombstones) *fault = "too many removed items";
  for (const Json& json : list) {
    if (!fault->empty()) return;
    JsonReader reader(json);
    ItemKey key;
    if (!ParseItemKind(reader.String("item_kind"), &key.kind)) *fault = "item_kind is unknown";
    key.name = reader.String("name");
    const ItemVersion version = ReadVersion(reader.Object("version"), fault);
    if (fault->empty()) *fault = reader.fault();
    (*removed)[key] = version;
  }
}

Json LostToJson(const std::vector<LostRange>& lost) {
  Json list = Json::array();
  for (const LostRange& range : lost) {
    list.push_back({{"from", range.from.value()}, {"to", range.to.value()}});
  }
  return list;
}

void ReadLost(const Json& list, std::vector<LostRange>* lost, std::string* fault) {
  if (list.size() > kMaxLostRanges) *fault = "too many lost ranges";
  for (const Json& json : list) {
    if (!fault->empty()) return;
    JsonReader reader(json);
    lost->push_back({Offset(reader.Unsigned("from")), Offset(reader.Unsigned("to"))});
    *fault = reader.fault();
  }
}

Json FateToJson(const ChangeResult& fate) {
  Json json = {{"id", fate.change.str()},
               {"fate", static_cast<unsigned>(fate.outcome)},
               {"offset", fate.offset.value()}};
  if (!fate.message.empty()) json["message"] = fate.message;
  if (fate.conflict.offset.value() != 0) json["rival"] = VersionToJson(fate.conflict);
  return json;
}

ChangeResult ReadFate(const Json& json, std::string* fault) {
  JsonReader reader(json);
  ChangeResult fate;
  fate.change = ChangeId(reader.String("id"));
  const std::uint64_t number = reader.Unsigned("fate");
  if (number > static_cast<unsigned>(ChangeOutcome::kLimit)) *fault = "fate is unknown";
  fate.outcome = static_cast<ChangeOutcome>(number);
  fate.offset = Offset(reader.Unsigned("offset"));
  if (reader.fault().empty() && json.contains("message")) fate.message = reader.String("message");
  if (reader.fault().empty() && json.contains("rival")) {
    fate.conflict = ReadVersion(reader.Object("rival"), fault);
  }
  if (fault->empty()) *fault = reader.fault();
  return fate;
}

Json StateToJson(const ConfigState& state) {
  return {{"classes", ItemsToJson(state.classes)},
          {"data_centres", ItemsToJson(state.data_centres)},
          {"servers", ItemsToJson(state.servers)},
          {"budgets", ItemsToJson(state.probe_budgets)},
          {"removed", RemovedToJson(state.tombstones)},
          {"removed_floor", state.max_dropped_tombstone.value()},
          {"data_centres_version", state.data_centres_version.value()},
          {"lost", LostToJson(state.lost_ranges)}};
}

std::string ReadState(const Json& json, Offset from, ConfigState* state) {
  std::string fault;
  JsonReader reader(json);
  ReadItems(reader.Array("classes"), ItemKind::kClass, from, &state->classes, &fault);
  ReadItems(reader.Array("data_centres"), ItemKind::kDataCentre, from, &state->data_centres,
            &fault);
  ReadItems(reader.Array("servers"), ItemKind::kServer, from, &state->servers, &fault);
  ReadItems(reader.Array("budgets"), ItemKind::kProbeBudget, from, &state->probe_budgets, &fault);
  ReadRemoved(reader.Array("removed"), &state->tombstones, &fault);
  ReadLost(reader.Array("lost"), &state->lost_ranges, &fault);
  state->data_centres_version = Offset(reader.Unsigned("data_centres_version"));
  state->max_dropped_tombstone = Offset(reader.Unsigned("removed_floor"));
  return fault.empty() ? reader.fault() : fault;
}

void AddLost(LostRange range, std::vector<LostRange>* lost) {
  lost->push_back(range);
  if (lost->size() > kMaxLostRanges) lost->erase(lost->begin());
}

/// Digest of a state that stands in for lost records up to `as_of`.
std::uint64_t BridgedDigest(std::uint64_t digest, Offset as_of) {
  return StableHash("lost up to " + std::to_string(as_of.value()), digest);
}

}  // namespace

std::string ConfigStateMachine::SnapshotText(Offset as_of) const {
  Json fates = Json::array();
  for (const ChangeId& id : recent_) fates.push_back(FateToJson(fates_.at(id)));
  const bool bridges = as_of != state_.applied;
  return WriteJson({{"v", kRecordFormat},
                    {"kind", kTextKind},
                    {"as_of", as_of.value()},
                    {"from", state_.applied.value()},
                    {"digest", bridges ? BridgedDigest(state_.digest, as_of) : state_.digest},
                    {"state", StateToJson(state_)},
                    {"fates", std::move(fates)}});
}

std::string ConfigStateMachine::EncodeSnapshot() const { return SnapshotText(state_.applied); }

Result<std::vector<std::string>> ConfigStateMachine::EncodeSnapshotRecords(Offset as_of) const {
  const std::string text = SnapshotText(as_of);
  if (text.size() > kMaxSnapshotBytes) {
    return Fail(ErrorCode::kTooLarge, "the snapshot is " + std::to_string(text.size()) +
                                          " bytes: must be " + std::to_string(kMaxSnapshotBytes) +
                                          " at most");
  }
  const std::size_t parts = (text.size() + kPartBytes - 1) / kPartBytes;
  std::vector<std::string> records;
  for (std::size_t part = 0; part < parts; ++part) {
    records.push_back(WriteJson({{"v", kRecordFormat},
                                 {"kind", kPartKind},
                                 {"as_of", as_of.value()},
                                 {"from", state_.applied.value()},
                                 {"hash", StableHash(text)},
                                 {"part", part},
                                 {"parts", parts},
                                 {"data", text.substr(part * kPartBytes, kPartBytes)}}));
  }
  return records;
}

Result<void> ConfigStateMachine::LoadSnapshot(std::string_view text) {
  if (text.size() > kMaxSnapshotBytes) {
    return Fail(ErrorCode::kCorrupt, "the snapshot is too large");
  }
  const Json json = ParseJson(text);
  if (json.is_discarded()) return Fail(ErrorCode::kCorrupt, "not JSON");
  JsonReader reader(json);
  const bool known = reader.Unsigned("v") == kRecordFormat && reader.String("kind") == kTextKind;
  ConfigState state;
  state.applied = Offset(reader.Unsigned("as_of"));
  state.digest = reader.Unsigned("digest");
  const Offset from(reader.Unsigned("from"));
  const Json& fates = reader.Array("fates");
  std::string fault = ReadState(reader.Object("state"), from, &state);
  if (!reader.fault().empty()) fault = reader.fault();
  if (!known || from > state.applied) fault = "not a snapshot of format 1";
  if (fates.size() > kMaxChangeResults) fault = "too many fates";
  std::deque<ChangeId> recent;
  std::map<ChangeId, ChangeResult> by_id;
  for (const Json& entry : fates) {
    if (!fault.empty()) break;
    const ChangeResult fate = ReadFate(entry, &fault);
    if (by_id.emplace(fate.change, fate).second) recent.push_back(fate.change);
  }
  if (!fault.empty()) return Fail(ErrorCode::kCorrupt, fault);
  if (state.applied <= state_.applied) return Fail(ErrorCode::kConflict, "not newer");
  if (from < state.applied) AddLost({from, state.applied}, &state.lost_ranges);
  const auto lacks_applied = [this](const LostRange& range) {
    return range.from < state_.applied && state_.applied <= range.to;
  };
  if (std::any_of(state.lost_ranges.begin(), state.lost_ranges.end(), lacks_applied)) {
    return Fail(ErrorCode::kConflict, "it lacks records that were applied here");
  }
  state_ = std::move(state);
  fates_ = std::move(by_id);
  recent_ = std::move(recent);
  return boost::outcome_v2::success();
}

bool ConfigStateMachine::IsSnapshot(std::string_view record, Offset* as_of) {
  if (record.find("\"snapshot") == std::string_view::npos) return false;
  const Json json = ParseJson(record);
  if (json.is_discarded()) return false;
  JsonReader reader(json);
  const std::string kind = reader.String("kind");
  const Offset read_as_of(reader.Unsigned("as_of"));
  if (!reader.fault().empty() || (kind != kTextKind && kind != kPartKind)) return false;
  if (as_of != nullptr) *as_of = read_as_of;
  return true;
}

std::optional<Snapshot> SnapshotAssembler::Add(std::string_view record) {
  if (record.size() > kMaxRecordBytes || !ConfigStateMachine::IsSnapshot(record, nullptr)) {
    return std::nullopt;
  }
  const Json json = ParseJson(record);
  JsonReader reader(json);
  const bool known = reader.Unsigned("v") == kRecordFormat && reader.String("kind") == kPartKind;
  Pending found;
  found.snapshot.as_of = Offset(reader.Unsigned("as_of"));
  found.snapshot.writer_applied = Offset(reader.Unsigned("from"));
  found.hash = reader.Unsigned("hash");
  const std::uint64_t part = reader.Unsigned("part");
  const std::uint64_t parts = reader.Unsigned("parts");
  std::string data = reader.String("data");
  if (!known || !reader.fault().empty() || part >= parts || parts > kMaxParts || data.empty()) {
    return std::nullopt;
  }
  auto pending = std::find_if(pending_.begin(), pending_.end(), [&](const Pending& other) {
    return other.hash == found.hash && other.parts.size() == parts &&
           other.snapshot.as_of == found.snapshot.as_of &&
           other.snapshot.writer_applied == found.snapshot.writer_applied;
  });
  if (pending == pending_.end()) {
    if (pending_.size() >= kMaxPending) pending_.pop_front();
    found.parts.resize(parts);
    pending_.push_back(std::move(found));
    pending = std::prev(pending_.end());
  }
  pending->parts[part] = std::move(data);
  const auto missing = [](const std::string& text) { return text.empty(); };
  if (std::any_of(pending->parts.begin(), pending->parts.end(), missing)) return std::nullopt;
  Snapshot whole = std::move(pending->snapshot);
  for (const std::string& text : pending->parts) whole.text += text;
  const std::uint64_t hash = pending->hash;
  pending_.erase(pending);
  if (StableHash(whole.text) != hash) return std::nullopt;
  return whole;
}

}  // namespace mulberry
