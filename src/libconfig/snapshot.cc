// Encodes, decodes and assembles configuration snapshots.
#include <algorithm>

#include "libconfig/config_state_machine.h"
#include "libconfig/item_rules.h"
#include "libconfig/record_codec.h"

namespace mulberry {

namespace {

constexpr const char* kSnapshotKind = "snapshot";
constexpr const char* kSnapshotPartKind = "snapshot_part";
/// Maximum size of the text in one part. JSON escaping at most doubles it, so that a part stays
/// within kMaxRecordBytes.
constexpr std::size_t kMaxPartTextBytes = 30'000;
constexpr std::size_t kMaxParts = kMaxSnapshotBytes / kMaxPartTextBytes + 1;
/// Maximum number of incomplete snapshots that are held.
constexpr std::size_t kMaxPendingSnapshots = 8;

Json VersionToJson(const ItemVersion& version) {
  return {{"offset", version.offset.value()},
          {"author", version.author},
          {"change", version.change.str()},
          {"at_ms", ToUnixMilliseconds(version.at)}};
}

ItemVersion ReadVersion(const Json& json, std::string* error) {
  JsonReader reader(json);
  ItemVersion version;
  version.offset = Offset(reader.Unsigned("offset"));
  version.author = reader.String("author");
  version.change = ChangeId(reader.String("change"));
  version.at = FromUnixMilliseconds(reader.Unsigned("at_ms"));
  if (error->empty()) *error = reader.error();
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

/// Validates an item of a snapshot by the rules for changes.
template <class Item>
std::string ValidateItem(ItemKind kind, const std::string& name, const Item& item) {
  return ValidateChange(Change{item.version.change, item.version.author, item.version.at, kind,
                               name, Offset(), item});
}

void SetName(ClassItem& item, const ClassName& name) { item.name = name; }
void SetName(DataCentreItem& item, const DataCentreName& name) { item.name = name; }
void SetName(ServerItem& item, const ServerName& name) { item.name = name; }
void SetName(ProbeBudgetItem& item, const ServiceName& name) { item.service = name; }

template <class Map>
void ReadItems(const Json& list, ItemKind kind, Offset writer_applied, Map* items,
               std::string* error) {
  if (list.size() > MaxItems(kind)) *error = "too many items";
  for (const Json& json : list) {
    if (!error->empty()) return;
    JsonReader reader(json);
    typename Map::mapped_type item;
    ReadValue(reader, &item);
    const std::string name = reader.String("name");
    item.version = ReadVersion(reader.Object("version"), error);
    SetName(item, typename Map::key_type(name));
    if (error->empty()) *error = reader.error();
    if (error->empty()) *error = ValidateItem(kind, name, item);
    if (error->empty() && item.version.offset > writer_applied) *error = "a version is too high";
    (*items)[typename Map::key_type(name)] = std::move(item);
  }
}

Json TombstonesToJson(const std::map<ItemKey, ItemVersion>& tombstones) {
  Json list = Json::array();
  for (const auto& [key, version] : tombstones) {
    list.push_back({{"item_kind", ItemKindName(key.kind)},
                    {"name", key.name},
                    {"version", VersionToJson(version)}});
  }
  return list;
}

void ReadTombstones(const Json& list, std::map<ItemKey, ItemVersion>* tombstones,
                    std::string* error) {
  if (list.size() > kMaxTombstones) *error = "too many removed items";
  for (const Json& json : list) {
    if (!error->empty()) return;
    JsonReader reader(json);
    ItemKey key;
    if (!ParseItemKind(reader.String("item_kind"), &key.kind)) *error = "item_kind is unknown";
    key.name = reader.String("name");
    const ItemVersion version = ReadVersion(reader.Object("version"), error);
    if (error->empty()) *error = reader.error();
    (*tombstones)[key] = version;
  }
}

Json LostRangesToJson(const std::vector<LostRange>& lost_ranges) {
  Json list = Json::array();
  for (const LostRange& range : lost_ranges) {
    list.push_back({{"from", range.from.value()}, {"to", range.to.value()}});
  }
  return list;
}

void ReadLostRanges(const Json& list, std::vector<LostRange>* lost_ranges, std::string* error) {
  if (list.size() > kMaxLostRanges) *error = "too many lost ranges";
  for (const Json& json : list) {
    if (!error->empty()) return;
    JsonReader reader(json);
    lost_ranges->push_back({Offset(reader.Unsigned("from")), Offset(reader.Unsigned("to"))});
    *error = reader.error();
  }
}

Json ResultToJson(const ChangeResult& result) {
  Json json = {{"id", result.change.str()},
               {"fate", static_cast<unsigned>(result.outcome)},
               {"offset", result.offset.value()}};
  if (!result.message.empty()) json["message"] = result.message;
  if (result.conflict.offset.value() != 0) json["rival"] = VersionToJson(result.conflict);
  return json;
}

ChangeResult ReadResult(const Json& json, std::string* error) {
  JsonReader reader(json);
  ChangeResult result;
  result.change = ChangeId(reader.String("id"));
  const std::uint64_t number = reader.Unsigned("fate");
  if (number > static_cast<unsigned>(ChangeOutcome::kLimit)) *error = "unknown change outcome";
  result.outcome = static_cast<ChangeOutcome>(number);
  result.offset = Offset(reader.Unsigned("offset"));
  if (reader.error().empty() && json.contains("message")) result.message = reader.String("message");
  if (reader.error().empty() && json.contains("rival")) {
    result.conflict = ReadVersion(reader.Object("rival"), error);
  }
  if (error->empty()) *error = reader.error();
  return result;
}

Json StateToJson(const ConfigState& state) {
  return {{"classes", ItemsToJson(state.classes)},
          {"data_centres", ItemsToJson(state.data_centres)},
          {"servers", ItemsToJson(state.servers)},
          {"budgets", ItemsToJson(state.probe_budgets)},
          {"removed", TombstonesToJson(state.tombstones)},
          {"removed_floor", state.max_dropped_tombstone.value()},
          {"data_centres_version", state.data_centres_version.value()},
          {"lost", LostRangesToJson(state.lost_ranges)}};
}

std::string ReadState(const Json& json, Offset writer_applied, ConfigState* state) {
  std::string error;
  JsonReader reader(json);
  ReadItems(reader.Array("classes"), ItemKind::kClass, writer_applied, &state->classes, &error);
  ReadItems(reader.Array("data_centres"), ItemKind::kDataCentre, writer_applied,
            &state->data_centres, &error);
  ReadItems(reader.Array("servers"), ItemKind::kServer, writer_applied, &state->servers, &error);
  ReadItems(reader.Array("budgets"), ItemKind::kProbeBudget, writer_applied, &state->probe_budgets,
            &error);
  ReadTombstones(reader.Array("removed"), &state->tombstones, &error);
  ReadLostRanges(reader.Array("lost"), &state->lost_ranges, &error);
  state->data_centres_version = Offset(reader.Unsigned("data_centres_version"));
  state->max_dropped_tombstone = Offset(reader.Unsigned("removed_floor"));
  return error.empty() ? reader.error() : error;
}

void AddLost(LostRange range, std::vector<LostRange>* lost_ranges) {
  lost_ranges->push_back(range);
  if (lost_ranges->size() > kMaxLostRanges) lost_ranges->erase(lost_ranges->begin());
}

/// Returns the digest of a bridging snapshot that replaces lost records up to `as_of`.
std::uint64_t BridgedDigest(std::uint64_t digest, Offset as_of) {
  return StableHash("lost up to " + std::to_string(as_of.value()), digest);
}

}  // namespace

std::string ConfigStateMachine::EncodeSnapshotAs(Offset as_of) const {
  Json results = Json::array();
  for (const ChangeId& id : recent_changes_) results.push_back(ResultToJson(results_.at(id)));
  const bool bridges_gap = as_of != state_.applied;
  return WriteJson({{"v", kRecordFormat},
                    {"kind", kSnapshotKind},
                    {"as_of", as_of.value()},
                    {"from", state_.applied.value()},
                    {"digest", bridges_gap ? BridgedDigest(state_.digest, as_of) : state_.digest},
                    {"state", StateToJson(state_)},
                    {"fates", std::move(results)}});
}

std::string ConfigStateMachine::EncodeSnapshot() const { return EncodeSnapshotAs(state_.applied); }

Result<std::vector<std::string>> ConfigStateMachine::EncodeSnapshotRecords(Offset as_of) const {
  const std::string text = EncodeSnapshotAs(as_of);
  if (text.size() > kMaxSnapshotBytes) {
    return Fail(ErrorCode::kTooLarge, "the snapshot is " + std::to_string(text.size()) +
                                          " bytes: must be " + std::to_string(kMaxSnapshotBytes) +
                                          " at most");
  }
  const std::size_t parts = (text.size() + kMaxPartTextBytes - 1) / kMaxPartTextBytes;
  std::vector<std::string> records;
  for (std::size_t part = 0; part < parts; ++part) {
    records.push_back(
        WriteJson({{"v", kRecordFormat},
                   {"kind", kSnapshotPartKind},
                   {"as_of", as_of.value()},
                   {"from", state_.applied.value()},
                   {"hash", StableHash(text)},
                   {"part", part},
                   {"parts", parts},
                   {"data", text.substr(part * kMaxPartTextBytes, kMaxPartTextBytes)}}));
  }
  return records;
}

Result<void> ConfigStateMachine::LoadSnapshot(std::string_view text) {
  if (text.size() > kMaxSnapshotBytes) {
    return Fail(ErrorCode::kCorrupt, "snapshot exceeds the maximum size");
  }
  const Json json = ParseJson(text);
  if (json.is_discarded()) return Fail(ErrorCode::kCorrupt, "snapshot is not valid JSON");
  JsonReader reader(json);
  const bool is_known_format =
      reader.Unsigned("v") == kRecordFormat && reader.String("kind") == kSnapshotKind;
  ConfigState state;
  state.applied = Offset(reader.Unsigned("as_of"));
  state.digest = reader.Unsigned("digest");
  const Offset writer_applied(reader.Unsigned("from"));
  const Json& results = reader.Array("fates");
  std::string error = ReadState(reader.Object("state"), writer_applied, &state);
  if (!reader.error().empty()) error = reader.error();
  if (!is_known_format || writer_applied > state.applied) error = "not a snapshot of format 1";
  if (results.size() > kMaxChangeResults) error = "too many change results";
  std::deque<ChangeId> recent_changes;
  std::map<ChangeId, ChangeResult> by_id;
  for (const Json& entry : results) {
    if (!error.empty()) break;
    const ChangeResult result = ReadResult(entry, &error);
    if (by_id.emplace(result.change, result).second) recent_changes.push_back(result.change);
  }
  if (!error.empty()) return Fail(ErrorCode::kCorrupt, error);
  if (state.applied <= state_.applied) return Fail(ErrorCode::kConflict, "snapshot is not newer");
  if (writer_applied < state.applied) AddLost({writer_applied, state.applied}, &state.lost_ranges);
  const auto lacks_applied = [this](const LostRange& range) {
    return range.from < state_.applied && state_.applied <= range.to;
  };
  if (std::any_of(state.lost_ranges.begin(), state.lost_ranges.end(), lacks_applied)) {
    return Fail(ErrorCode::kConflict, "snapshot lacks records that were applied here");
  }
  state_ = std::move(state);
  results_ = std::move(by_id);
  recent_changes_ = std::move(recent_changes);
  return boost::outcome_v2::success();
}

bool ConfigStateMachine::IsSnapshot(std::string_view record, Offset* as_of) {
  if (record.find("\"snapshot") == std::string_view::npos) return false;
  const Json json = ParseJson(record);
  if (json.is_discarded()) return false;
  JsonReader reader(json);
  const std::string kind = reader.String("kind");
  const Offset read_as_of(reader.Unsigned("as_of"));
  if (!reader.error().empty() || (kind != kSnapshotKind && kind != kSnapshotPartKind)) return false;
  if (as_of != nullptr) *as_of = read_as_of;
  return true;
}

std::optional<Snapshot> SnapshotAssembler::Add(std::string_view record) {
  if (record.size() > kMaxRecordBytes || !ConfigStateMachine::IsSnapshot(record, nullptr)) {
    return std::nullopt;
  }
  const Json json = ParseJson(record);
  JsonReader reader(json);
  const bool is_known_format =
      reader.Unsigned("v") == kRecordFormat && reader.String("kind") == kSnapshotPartKind;
  Pending found;
  found.snapshot.as_of = Offset(reader.Unsigned("as_of"));
  found.snapshot.writer_applied = Offset(reader.Unsigned("from"));
  found.hash = reader.Unsigned("hash");
  const std::uint64_t part = reader.Unsigned("part");
  const std::uint64_t parts = reader.Unsigned("parts");
  std::string data = reader.String("data");
  if (!is_known_format || !reader.error().empty() || part >= parts || parts > kMaxParts ||
      data.empty()) {
    return std::nullopt;
  }
  auto pending = std::find_if(pending_.begin(), pending_.end(), [&](const Pending& other) {
    return other.hash == found.hash && other.parts.size() == parts &&
           other.snapshot.as_of == found.snapshot.as_of &&
           other.snapshot.writer_applied == found.snapshot.writer_applied;
  });
  if (pending == pending_.end()) {
    if (pending_.size() >= kMaxPendingSnapshots) pending_.pop_front();
    found.parts.resize(parts);
    pending_.push_back(std::move(found));
    pending = std::prev(pending_.end());
  }
  pending->parts[part] = std::move(data);
  const auto missing = [](const std::string& text) { return text.empty(); };
  if (std::any_of(pending->parts.begin(), pending->parts.end(), missing)) return std::nullopt;
  Snapshot assembled = std::move(pending->snapshot);
  for (const std::string& text : pending->parts) assembled.text += text;
  const std::uint64_t hash = pending->hash;
  pending_.erase(pending);
  if (StableHash(assembled.text) != hash) return std::nullopt;
  return assembled;
}

}  // namespace mulberry
