#pragma once

#include <cstddef>
#include <deque>
#include <vector>

#include "libgateway/peer_channel.h"

namespace mulberry::gateway {

/// What a host that reads the store tells the others: the changes of its last few reads, so that a
/// host that missed a datagram, or began to listen between two, need not read the store. Pure. Not
/// thread safe.
class StoreUpdateRelay {
 public:
  /// Takes a read from one offset to another. A read that does not follow the last one (after a gap
  /// in the topic) starts anew. Precondition: the changes are in the order of their offsets.
  void OnRead(Offset from, Offset to, std::vector<TopicRecord> changes);
  /// Returns the changes of the last reads; where only the last one has room, that one in as many
  /// pieces as needed, each for a datagram of its own. A record that has no room in a datagram is
  /// left out, and shows as a gap.
  std::vector<TopicUpdate> Updates(Duration unsettled) const;

 private:
  struct Read {
    Offset from;
    Offset to;
    std::vector<TopicRecord> changes;
    std::size_t bytes = 0;
  };
  static void AppendPieces(const Read& read, Duration unsettled, std::vector<TopicUpdate>* pieces);

  std::deque<Read> reads_;
};

}  // namespace mulberry::gateway
