#include "libgateway/news_relay.h"

#include <iterator>
#include <utility>

namespace mulberry::gateway {
namespace {

/// Reads that are told again.
constexpr std::size_t kMostReads = 4;
/// Bytes of records in one datagram at most, beside the other fields.
constexpr std::size_t kMostBytes = 24 * 1024;
constexpr std::size_t kRecordOverhead = 8;

}  // namespace

void NewsRelay::OnRead(Offset from, Offset to, std::vector<TopicRecord> changes) {
  if (!reads_.empty() && reads_.back().to != from) reads_.clear();
  Read read{from, to, std::move(changes), 0};
  for (const TopicRecord& record : read.changes) {
    read.bytes += kRecordOverhead + record.key.size() + (record.value ? record.value->size() : 0);
  }
  reads_.push_back(std::move(read));
  if (reads_.size() > kMostReads) reads_.pop_front();
}

TopicNews NewsRelay::News(Duration unsettled) const {
  TopicNews news;
  news.unsettled = unsettled;
  if (reads_.empty()) return news;
  std::size_t bytes = 0;
  auto first = reads_.end();
  while (first != reads_.begin() && bytes + std::prev(first)->bytes <= kMostBytes) {
    --first;
    bytes += first->bytes;
  }
  news.to = reads_.back().to;
  news.from = first == reads_.end() ? news.to : first->from;
  for (; first != reads_.end(); ++first) {
    news.records.insert(news.records.end(), first->changes.begin(), first->changes.end());
  }
  return news;
}

}  // namespace mulberry::gateway
