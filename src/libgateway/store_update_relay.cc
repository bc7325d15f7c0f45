#include "libgateway/store_update_relay.h"

#include <iterator>
#include <utility>

namespace mulberry::gateway {
namespace {

/// Number of reads in each update: if one datagram in forty is lost, all four that carry a read are
/// lost once in 2.5 million.
constexpr std::size_t kMaxReads = 4;
/// Maximum bytes of records in one datagram; PeerChannel allows 32 KB including the other fields.
constexpr std::size_t kMaxDatagramBytes = 24 * 1024;
/// Tags, lengths and the position of a record in its encoding.
constexpr std::size_t kRecordOverhead = 12;

std::size_t EncodedBytes(const TopicRecord& record) {
  return kRecordOverhead + record.key.size() + (record.value ? record.value->size() : 0);
}

}  // namespace

void StoreUpdateRelay::OnRead(TopicPosition from, Offset to, std::vector<TopicRecord> changes) {
  const bool contiguous = !reads_.empty() && era_ == from.era && reads_.back().to == from.offset;
  if (contiguous && from.offset == to) return;
  if (!contiguous) reads_.clear();
  era_ = from.era;
  StoreRead read{from.offset, to, std::move(changes), 0};
  for (const TopicRecord& record : read.changes) read.bytes += EncodedBytes(record);
  reads_.push_back(std::move(read));
  if (reads_.size() > kMaxReads) reads_.pop_front();
}

std::vector<TopicUpdate> StoreUpdateRelay::Updates(Duration grace_time_left) const {
  std::vector<TopicUpdate> updates;
  if (reads_.empty()) {
    updates.push_back({{}, {}, grace_time_left, {}, era_});
    return updates;
  }
  if (reads_.back().bytes > kMaxDatagramBytes) {
    AppendSplitRead(reads_.back(), grace_time_left, era_, &updates);
    return updates;
  }
  std::size_t bytes = 0;
  auto oldest = reads_.end();
  while (oldest != reads_.begin() && bytes + std::prev(oldest)->bytes <= kMaxDatagramBytes) {
    --oldest;
    bytes += oldest->bytes;
  }
  TopicUpdate update{oldest->from, reads_.back().to, grace_time_left, {}, era_};
  for (; oldest != reads_.end(); ++oldest) {
    update.records.insert(update.records.end(), oldest->changes.begin(), oldest->changes.end());
  }
  updates.push_back(std::move(update));
  return updates;
}

void StoreUpdateRelay::AppendSplitRead(const StoreRead& read, Duration grace_time_left,
                                       StoreEra era, std::vector<TopicUpdate>* updates) {
  TopicUpdate update{read.from, read.to, grace_time_left, {}, era};
  std::size_t bytes = 0;
  for (const TopicRecord& record : read.changes) {
    const std::size_t size = EncodedBytes(record);
    if (size > kMaxDatagramBytes) {
      // The next update starts after this record.
      update.to = record.offset;
      if (update.to > update.from) updates->push_back(std::move(update));
      update = {Offset(record.offset.value() + 1), read.to, grace_time_left, {}, era};
      bytes = 0;
      continue;
    }
    if (bytes + size > kMaxDatagramBytes) {
      update.to = record.offset;
      updates->push_back(std::move(update));
      update = {record.offset, read.to, grace_time_left, {}, era};
      bytes = 0;
    }
    bytes += size;
    update.records.push_back(record);
  }
  updates->push_back(std::move(update));
}

}  // namespace mulberry::gateway
