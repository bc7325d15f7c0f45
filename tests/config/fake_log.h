#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "libconfig/config.h"

namespace mulberry::testing {

/// In-memory log of the platform. Offsets start at 1; records below `first` have been dropped.
struct FakeLog {
  std::vector<std::string> records;  ///< Every record ever appended.
  std::uint64_t first = 1;

  std::uint64_t next() const { return records.size() + 1; }

  Offset Append(std::string data) {
    records.push_back(std::move(data));
    return Offset(records.size());
  }

  /// Returns at most `max_records` records from `from` on.
  LogPage Read(Offset from, std::size_t max_records = 500) const {
    LogPage page{Offset(first), Offset(next()), {}};
    for (std::uint64_t offset = std::max(from.value(), first); offset < next(); ++offset) {
      if (page.records.size() == max_records) break;
      page.records.push_back({Offset(offset), records[offset - 1]});
    }
    return page;
  }
};

inline Change MakeChange(const std::string& id, ItemKind kind, const std::string& item,
                         std::uint64_t base) {
  Change change{ChangeId(id), "ana", WallTime(std::chrono::seconds(1'700'000'000)),
                kind,         item,  Offset(base),
                RemoveItem()};
  return change;
}

inline Change MakeClass(const std::string& id, const std::string& item, std::uint64_t base,
                        int latency_ms = 50) {
  Change change = MakeChange(id, ItemKind::kClass, item, base);
  change.value = ClassItem{ClassName(item), ServiceName("reservas"),
                           false,           std::chrono::milliseconds(latency_ms),
                           0.999,           {}};
  return change;
}

inline Change MakeDataCentre(const std::string& id, const std::string& item, std::uint64_t base,
                             bool out) {
  Change change = MakeChange(id, ItemKind::kDataCentre, item, base);
  change.value = DataCentreItem{DataCentreName(item), out, {}};
  return change;
}

inline std::string EncodeRecord(const Change& change) { return EncodeChange(change).value(); }

}  // namespace mulberry::testing
