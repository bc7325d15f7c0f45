#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "libbase/base.h"

namespace mulberry {

/// Kind of item that a change sets or removes.
enum class ItemKind { kClass, kDataCentre, kServer, kProbeBudget };

/// Returns "class", "data_centre", "server" or "budget".
const char* ItemKindName(ItemKind kind);

/// Author and offset of the last change of an item. The offset is the item's version.
struct ItemVersion {
  Offset offset;
  std::string author;
  ChangeId change;
  WallTime at;
  bool operator==(const ItemVersion&) const = default;
};

/// A request class with its latency and reliability targets.
struct ClassItem {
  ClassName name;
  ServiceName service;
  bool idempotent = true;
  Duration latency_target{};
  double reliability_target = 0.99;
  ItemVersion version;
};

/// Operator configuration of a data centre; `out` takes it out of service.
struct DataCentreItem {
  DataCentreName name;
  bool out = false;
  ItemVersion version;
};

/// Operator configuration of a backend server; `out` takes it out of service.
struct ServerItem {
  ServerName name;
  bool out = false;
  ItemVersion version;
};

/// Maximum rate of probe requests to the backend servers of a service, over the whole fleet.
struct ProbeBudgetItem {
  ServiceName service;
  double probes_per_second = 2.0;
  ItemVersion version;
};

/// Identifies one item of any kind.
struct ItemKey {
  ItemKind kind = ItemKind::kClass;
  std::string name;
  bool operator<(const ItemKey& other) const {
    return std::tie(kind, name) < std::tie(other.kind, other.name);
  }
};

/// Range of records (`from` exclusive, `to` inclusive) that the log dropped before any reader read
/// them.
struct LostRange {
  Offset from;
  Offset to;
};

/// The configuration after applying all records up to `applied`.
struct ConfigState {
  Offset applied;
  /// Hash chained over the accepted changes; equal on all readers at the same offset.
  std::uint64_t digest = 0;
  std::map<ClassName, ClassItem> classes;
  std::map<DataCentreName, DataCentreItem> data_centres;
  std::map<ServerName, ServerItem> servers;
  std::map<ServiceName, ProbeBudgetItem> probe_budgets;
  /// Versions of removed items. Beyond kMaxTombstones the oldest are dropped.
  std::map<ItemKey, ItemVersion> tombstones;
  /// Highest version among the dropped tombstones; used as the version of every item that is
  /// neither present nor in `tombstones`.
  Offset max_dropped_tombstone;
  /// Offset of the last accepted change to any data centre.
  Offset data_centres_version;
  /// The newest kMaxLostRanges lost ranges. They have no effect on the rest of the state.
  std::vector<LostRange> lost_ranges;
};

/// Returns the version of an item: the offset of its last accepted change, including its removal.
ItemVersion VersionOf(const ConfigState& state, ItemKind kind, const std::string& name);

}  // namespace mulberry
