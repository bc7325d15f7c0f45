#include "libconfig/record_codec.h"

#include <algorithm>
#include <limits>

#include "libconfig/item_rules.h"

namespace mulberry {

namespace {

ClassName& NameOf(ClassItem& item) { return item.name; }
DataCentreName& NameOf(DataCentreItem& item) { return item.name; }
ServerName& NameOf(ServerItem& item) { return item.name; }
ServiceName& NameOf(ProbeBudgetItem& item) { return item.service; }

template <class Item>
Item ReadItem(const Json& json, const std::string& name, std::string* fault) {
  JsonReader reader(json);
  Item item;
  ReadValue(reader, &item);
  using Name = std::decay_t<decltype(NameOf(item))>;
  NameOf(item) = Name(name);
  *fault = reader.fault();
  return item;
}

std::string ReadChangeValue(const Json& json, Change* change) {
  std::string fault;
  switch (change->kind) {
    case ItemKind::kClass:
      change->value = ReadItem<ClassItem>(json, change->item, &fault);
      break;
    case ItemKind::kDataCentre:
      change->value = ReadItem<DataCentreItem>(json, change->item, &fault);
      break;
    case ItemKind::kServer:
      change->value = ReadItem<ServerItem>(json, change->item, &fault);
      break;
    case ItemKind::kProbeBudget:
      change->value = ReadItem<ProbeBudgetItem>(json, change->item, &fault);
      break;
  }
  return fault;
}

struct ValueWriter {
  Json operator()(const RemoveItem& /*remove*/) const { return nullptr; }
  template <class Item>
  Json operator()(const Item& item) const {
    return ValueToJson(item);
  }
};

}  // namespace

const char* ItemKindName(ItemKind kind) {
  switch (kind) {
    case ItemKind::kClass:
      return "class";
    case ItemKind::kDataCentre:
      return "data_centre";
    case ItemKind::kServer:
      return "server";
    case ItemKind::kProbeBudget:
      return "budget";
  }
  return "unknown";
}

bool ParseItemKind(std::string_view name, ItemKind* kind) {
  for (const ItemKind candidate :
       {ItemKind::kClass, ItemKind::kDataCentre, ItemKind::kServer, ItemKind::kProbeBudget}) {
    if (name != ItemKindName(candidate)) continue;
    *kind = candidate;
    return true;
  }
  return false;
}

std::int64_t ToJsonTime(WallTime time) { return time.time_since_epoch().count(); }

WallTime FromJsonTime(std::uint64_t milliseconds) {
  constexpr std::uint64_t kLargest = std::numeric_limits<std::int64_t>::max();
  return WallTime(std::chrono::milliseconds(std::min(milliseconds, kLargest)));
}

Json ValueToJson(const ClassItem& item) {
  return {{"service", item.service.str()},
          {"idempotent", item.idempotent},
          {"latency_us", item.latency_target.count()},
          {"reliability", item.reliability_target}};
}

Json ValueToJson(const DataCentreItem& item) { return {{"out", item.out}}; }

Json ValueToJson(const ServerItem& item) { return {{"out", item.out}}; }

Json ValueToJson(const ProbeBudgetItem& item) {
  return {{"probes_per_second", item.probes_per_second}};
}

void ReadValue(JsonReader& reader, ClassItem* item) {
  constexpr std::uint64_t kLargest = std::numeric_limits<std::int64_t>::max();
  item->service = ServiceName(reader.String("service"));
  item->idempotent = reader.Boolean("idempotent");
  item->latency_target = Duration(std::min(reader.Unsigned("latency_us"), kLargest));
  item->reliability_target = reader.Number("reliability");
}

void ReadValue(JsonReader& reader, DataCentreItem* item) { item->out = reader.Boolean("out"); }

void ReadValue(JsonReader& reader, ServerItem* item) { item->out = reader.Boolean("out"); }

void ReadValue(JsonReader& reader, ProbeBudgetItem* item) {
  item->probes_per_second = reader.Number("probes_per_second");
}

Result<std::string> EncodeChange(const Change& change) {
  const std::string fault = ChangeFault(change);
  if (!fault.empty()) return Fail(ErrorCode::kInvalidArgument, fault);
  const bool removes = std::holds_alternative<RemoveItem>(change.value);
  const Json json = {{"v", kRecordFormat},
                     {"kind", "change"},
                     {"id", change.id.str()},
                     {"author", change.author},
                     {"at_ms", ToJsonTime(change.at)},
                     {"item_kind", ItemKindName(change.kind)},
                     {"item", change.item},
                     {"base", change.base.value()},
                     {"op", removes ? "remove" : "set"},
                     {"value", std::visit(ValueWriter(), change.value)}};
  std::string record = WriteJson(json);
  if (record.size() > kMaxRecordBytes) {
    return Fail(ErrorCode::kTooLarge, "the change is " + std::to_string(record.size()) +
                                          " bytes: must be " + std::to_string(kMaxRecordBytes) +
                                          " at most");
  }
  const Result<Change> read_back = DecodeChange(record);
  if (!read_back || read_back.value().author != change.author) {
    return Fail(ErrorCode::kInvalidArgument, "author: must be valid UTF-8");
  }
  return record;
}

Result<Change> ChangeFromJson(const Json& json) {
  JsonReader reader(json);
  const std::uint64_t format = reader.Unsigned("v");
  const std::string record_kind = reader.String("kind");
  if (!reader.fault().empty()) return Fail(ErrorCode::kCorrupt, reader.fault());
  if (format != kRecordFormat || record_kind != "change") {
    return Fail(ErrorCode::kCorrupt, "not a change of format 1");
  }
  Change change;
  change.id = ChangeId(reader.String("id"));
  change.author = reader.String("author");
  change.at = FromJsonTime(reader.Unsigned("at_ms"));
  change.item = reader.String("item");
  change.base = Offset(reader.Unsigned("base"));
  const std::string item_kind = reader.String("item_kind");
  const std::string op = reader.String("op");
  if (!reader.fault().empty()) return Fail(ErrorCode::kCorrupt, reader.fault());
  if (!ParseItemKind(item_kind, &change.kind)) {
    return Fail(ErrorCode::kCorrupt, "item_kind is unknown");
  }
  if (op != "set" && op != "remove") return Fail(ErrorCode::kCorrupt, "op is unknown");
  std::string fault;
  if (op == "set") fault = ReadChangeValue(reader.Object("value"), &change);
  if (!reader.fault().empty()) fault = reader.fault();
  if (fault.empty()) fault = ChangeFault(change);
  if (!fault.empty()) return Fail(ErrorCode::kCorrupt, fault);
  return change;
}

Result<Change> DecodeChange(std::string_view record) {
  if (record.size() > kMaxRecordBytes) return Fail(ErrorCode::kCorrupt, "the record is too large");
  const Json json = ParseJson(record);
  if (json.is_discarded()) return Fail(ErrorCode::kCorrupt, "not JSON");
  return ChangeFromJson(json);
}

}  // namespace mulberry
