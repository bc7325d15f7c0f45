#pragma once

#include <deque>
#include <vector>

#include "libconfig/config_follower.h"

namespace mulberry {

/// Bounded buffer of the most recently applied records, without gaps, for peers that are behind.
/// Performs no I/O; not thread safe.
class RecentRecords {
 public:
  void Add(const LogPage::Record& record);
  void Clear();

  /// Copies the records after `after`. Returns false if some of them are no longer in the buffer.
  bool CopyAfter(Offset after, std::vector<LogPage::Record>* records) const;

 private:
  std::deque<LogPage::Record> records_;
  std::size_t bytes_ = 0;
};

}  // namespace mulberry
