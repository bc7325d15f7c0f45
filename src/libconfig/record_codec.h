#pragma once

#include <string>
#include <string_view>

#include "libconfig/config_state_machine.h"
#include "libconfig/json_reader.h"

namespace mulberry {

/// Version of the records that this program writes and reads.
inline constexpr std::uint64_t kRecordFormat = 1;

/// Reads a parsed change record. Errors: kCorrupt.
Result<Change> ChangeFromJson(const Json& json);

/// Writes the value of an item without its name and version.
Json ValueToJson(const ClassItem& item);
Json ValueToJson(const DataCentreItem& item);
Json ValueToJson(const ServerItem& item);
Json ValueToJson(const ProbeBudgetItem& item);

/// Reads the value of an item; faults stay in `reader`.
void ReadValue(JsonReader& reader, ClassItem* item);
void ReadValue(JsonReader& reader, DataCentreItem* item);
void ReadValue(JsonReader& reader, ServerItem* item);
void ReadValue(JsonReader& reader, ProbeBudgetItem* item);

/// Finds the kind with this name; returns false when there is none.
bool ParseItemKind(std::string_view name, ItemKind* kind);

/// Writes and reads a wall-clock time in milliseconds.
std::int64_t ToJsonTime(WallTime time);
WallTime FromJsonTime(std::uint64_t milliseconds);

}  // namespace mulberry
