#include "libgateway/store_update_relay.h"

#include <iterator>
#include <utility>

namespace mulberry::gateway {
namespace {

/// Reads that are told again: with a datagram in forty lost, all four are lost once in 2.5 million.
constexpr std::size_t kMostReads = 4;
/// Bytes of records in one datagram at most; PeerChannel takes 32 KB with the other fields.
constexpr std::size_t kMostBytes = 24 * 1024;
/// Tags, lengths and the place of a record in its encoding.
constexpr std::size_t kRecordOverhead = 12;

std::size_t BytesOf(const TopicRecord& record) {
  return kRecordOverhead + record.key.size() + (record.value ? record.value->size() : 0);
}

}  // namespace

void StoreUpdateRelay::OnRead(Offset from, Offset to, std::vector<TopicRecord> changes) {
  if (!reads_.empty() && reads_.back().to != from) reads_.clear();
  Read read{from, to, std::move(changes), 0};
  for (const TopicRecord& record : read.changes) read.bytes += BytesOf(record);
  reads_.push_back(std::move(read));
  if (reads_.size() > kMostReads) reads_.pop_front();
}

std::vector<TopicUpdate> StoreUpdateRelay::Updates(Duration unsettled) const {
  std::vector<TopicUpdate> pieces;
  if (reads_.empty()) {
    pieces.push_back({{}, {}, unsettled, {}});
    return pieces;
  }
  if (reads_.back().bytes > kMostBytes) {
    AppendPieces(reads_.back(), unsettled, &pieces);
    return pieces;
  }
  std::size_t bytes = 0;
  auto first = reads_.end();
  while (first != reads_.begin() && bytes + std::prev(first)->bytes <= kMostBytes) {
    --first;
    bytes += first->bytes;
  }
  TopicUpdate news{first->from, reads_.back().to, unsettled, {}};
  for (; first != reads_.end(); ++first) {
    news.records.insert(news.records.end(), first->changes.begin(), first->changes.end());
  }
  pieces.push_back(std::move(news));
  return pieces;
}

void StoreUpdateRelay::AppendPieces(const Read& read, Duration unsettled,
                                    std::vector<TopicUpdate>* pieces) {
  TopicUpdate piece{read.from, read.to, unsettled, {}};
  std::size_t bytes = 0;
  for (const TopicRecord& record : read.changes) {
    const std::size_t size = BytesOf(record);
    if (size > kMostBytes) {
      // The next piece begins behind it.
      piece.to = record.offset;
      if (piece.to > piece.from) pieces->push_back(std::move(piece));
      piece = {Offset(record.offset.value() + 1), read.to, unsettled, {}};
      bytes = 0;
      continue;
    }
    if (bytes + size > kMostBytes) {
      piece.to = record.offset;
      pieces->push_back(std::move(piece));
      piece = {record.offset, read.to, unsettled, {}};
      bytes = 0;
    }
    bytes += size;
    piece.records.push_back(record);
  }
  pieces->push_back(std::move(piece));
}

}  // namespace mulberry::gateway
