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

/// Who changed an item last, and at which offset. The offset is the item's version.
struct ItemVersion {
  Offset offset;
  std::string author;
  ChangeId change;
  WallTime at;
  bool operator==(const ItemVersion&) const = default;
};

/// A class of work with its targets.
struct ClassItem {
  ClassName name;
  ServiceName service;
  bool idempotent = true;
  Duration latency_target{};
  double reliability_target = 0.99;
  ItemVersion version;
};

/// What operators said about a data centre.
struct DataCentreItem {
  DataCentreName name;
  bool out = false;
  ItemVersion version;
};

/// What operators said about a backend server.
struct ServerItem {
  ServerName name;
  bool out = false;
  ItemVersion version;
};

/// The agreed budget for measuring a service, over the whole fleet.
struct ProbeBudgetItem {
  ServiceName service;
  double probes_per_second = 2.0;
  ItemVersion version;
};

/// Names one item of any kind.
struct ItemKey {
  ItemKind kind = ItemKind::kClass;
  std::string name;
  bool operator<(const ItemKey& other) const {
    return std::tie(kind, name) < std::tie(other.kind, other.name);
  }
};

/// Records after `from` up to `to` that no reader saw before the log dropped them.
struct LostRange {
  Offset from;
  Offset to;
};

/// The configuration after all records up to `applied`.
struct ConfigState {
  Offset applied;
  /// Chained over the accepted changes; equal on all readers at the same offset.
  std::uint64_t digest = 0;
  std::map<ClassName, ClassItem> classes;
  std::map<DataCentreName, DataCentreItem> data_centres;
  std::map<ServerName, ServerItem> servers;
  std::map<ServiceName, ProbeBudgetItem> probe_budgets;
  /// Removed items with their removal; the oldest are dropped beyond kMaxTombstones.
  std::map<ItemKey, ItemVersion> tombstones;
  /// Highest version of a dropped tombstone: the version of every item that is not listed.
  Offset max_dropped_tombstone;
  /// Offset of the last accepted change of any data centre.
  Offset data_centres_version;
  /// Newest kMaxLostRanges ranges without effect on this state.
  std::vector<LostRange> lost_ranges;
};

/// Returns the version of an item: the offset of its last accepted change, its removal included.
ItemVersion VersionOf(const ConfigState& state, ItemKind kind, const std::string& name);

}  // namespace mulberry
