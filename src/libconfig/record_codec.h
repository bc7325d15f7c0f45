#pragma once

#include <string>
#include <string_view>

#include "libconfig/config_state_machine.h"
#include "libconfig/json_reader.h"

namespace mulberry {

/// Format version of the records that this program writes and reads.
inline constexpr std::uint64_t kRecordFormat = 1;

/// Decodes a change record from JSON. Errors: kCorrupt.
Result<Change> ChangeFromJson(const Json& json);

/// Encodes the value of an item without its name and version.
Json ValueToJson(const ClassItem& item);
Json ValueToJson(const DataCentreItem& item);
Json ValueToJson(const ServerItem& item);
Json ValueToJson(const ProbeBudgetItem& item);

/// Decodes the value of an item. The reader keeps any error.
void ReadValue(JsonReader& reader, ClassItem* item);
void ReadValue(JsonReader& reader, DataCentreItem* item);
void ReadValue(JsonReader& reader, ServerItem* item);
void ReadValue(JsonReader& reader, ProbeBudgetItem* item);

/// Parses the name of an item kind. Returns false for an unknown name.
bool ParseItemKind(std::string_view name, ItemKind* kind);

/// Converts between wall-clock time and milliseconds since 1970.
std::int64_t ToUnixMilliseconds(WallTime time);
WallTime FromUnixMilliseconds(std::uint64_t milliseconds);

}  // namespace mulberry
