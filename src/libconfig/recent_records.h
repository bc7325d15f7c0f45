#pragma once

#include <deque>
#include <vector>

#include "libconfig/config_follower.h"

namespace mulberry {

/// The last records that were applied, without a gap, for peers that are behind. Bounded. Pure and
/// not thread safe.
class RecentRecords {
 public:
  void Add(const LogPage::Record& record);
  void Clear();

  /// Copies the records that follow `after`; false when some are no longer held.
  bool CopyAfter(Offset after, std::vector<LogPage::Record>* records) const;

 private:
  std::deque<LogPage::Record> records_;
  std::size_t bytes_ = 0;
};

}  // namespace mulberry
