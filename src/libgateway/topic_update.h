#pragma once

#include <vector>

#include "libgateway/platform_adapter.h"

namespace mulberry::gateway {

/// Part of a topic that another host has read.
struct TopicUpdate {
  Offset from{};
  Offset to{};
  /// How much longer entries that expired during an outage of the store may be written again.
  Duration grace_time_left{};
  /// The records between the offsets that change the state.
  std::vector<TopicRecord> records;
  /// The era to which the offsets belong.
  StoreEra era{};
};

}  // namespace mulberry::gateway
