#include "libconfig/recent_records.h"

namespace mulberry {

namespace {

constexpr std::size_t kMaxRecords = 500;
constexpr std::size_t kMaxRecordsBytes = 512 * 1024;

}  // namespace

void RecentRecords::Add(const LogPage::Record& record) {
  records_.push_back(record);
  bytes_ += record.data.size();
  while (records_.size() > kMaxRecords || bytes_ > kMaxRecordsBytes) {
    bytes_ -= records_.front().data.size();
    records_.pop_front();
  }
}

void RecentRecords::Clear() {
  records_.clear();
  bytes_ = 0;
}

bool RecentRecords::CopyAfter(Offset after, std::vector<LogPage::Record>* records) const {
  if (records_.empty() || records_.front().offset.value() > after.value() + 1) return false;
  for (const LogPage::Record& record : records_) {
    if (record.offset > after) records->push_back(record);
  }
  return true;
}

}  // namespace mulberry
