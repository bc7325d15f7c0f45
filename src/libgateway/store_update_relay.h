#pragma once

#include <cstddef>
#include <deque>
#include <vector>

#include "libgateway/topic_update.h"

namespace mulberry::gateway {

/// Keeps the changes of the last few reads of the store for sending to other hosts, so that a host
/// that missed a datagram, or started listening between two, need not read the store. Does no I/O.
/// Not thread safe.
class StoreUpdateRelay {
 public:
  /// Adds a read from a position up to an offset of the same era; one without records changes
  /// nothing. If it does not start where the last one ended (a gap in the topic, or a restore), the
  /// earlier reads are dropped. Precondition: the changes are in the order of their offsets.
  void OnRead(TopicPosition from, Offset to, std::vector<TopicRecord> changes);
  /// Returns the changes of the last reads as one update. If the last read alone is too large for a
  /// datagram, it is split into several updates, one per datagram. A record that is too large for a
  /// datagram is left out, which leaves a gap between updates.
  std::vector<TopicUpdate> Updates(Duration grace_time_left) const;

 private:
  struct StoreRead {
    Offset from;
    Offset to;
    std::vector<TopicRecord> changes;
    std::size_t bytes = 0;
  };
  static void AppendSplitRead(const StoreRead& read, Duration grace_time_left, StoreEra era,
                              std::vector<TopicUpdate>* updates);

  StoreEra era_;  ///< Of all reads.
  std::deque<StoreRead> reads_;
};

}  // namespace mulberry::gateway
