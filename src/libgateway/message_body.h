#pragma once

#include <asio/buffer.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "libbase/base.h"

namespace mulberry::gateway {

/// The bytes of a request's or response's body, in blocks of equal size: a body that grows is not
/// copied, and what it holds is what a MemoryBudget has handed out for it. Not thread safe.
class MessageBody {
 public:
  MessageBody() = default;
  /// A body that counts against no budget.
  explicit MessageBody(std::string_view text) { Append(text); }
  MessageBody(MessageBody&& other) noexcept;
  MessageBody& operator=(MessageBody&& other) noexcept;
  MessageBody(const MessageBody&) = delete;
  MessageBody& operator=(const MessageBody&) = delete;
  ~MessageBody() { Clear(); }

  /// From now on, blocks are taken from this budget; null for none. Precondition: the body is empty
  /// and has reserved nothing.
  void SetBudget(MemoryBudget* budget, MemoryBudget::Use use);

  /// Takes the blocks for `bytes` in total. Returns false, without a change, if the budget does not
  /// suffice.
  bool TryReserve(std::size_t bytes);
  /// Appends as much as the budget allows; returns false if that is not all.
  bool Append(std::string_view bytes);
  /// Gives all blocks back.
  void Clear();

  std::size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }
  /// Bytes of the blocks.
  std::size_t allocated() const {
    return (blocks_.size() + own_blocks_.size()) * MemoryBudget::kBlockBytes;
  }
  /// Adds the bytes from `offset` on, which are valid until the body changes or moves, to
  /// `buffers`, until it has `max_buffers`.
  void AppendBuffers(std::size_t offset, std::size_t max_buffers,
                     std::vector<asio::const_buffer>* buffers) const;
  /// Returns a copy in one piece.
  std::string Text() const;

 private:
  char* BlockData(std::size_t index) const;
  /// Adds a block beyond what was reserved.
  bool TryGrow();
  void AddBlock();

  MemoryBudget* budget_ = nullptr;
  MemoryBudget::Use use_ = MemoryBudget::Use::kRequest;
  std::vector<MemoryBudget::Block> blocks_;
  /// In place of `blocks_` without a budget.
  std::vector<std::unique_ptr<char[]>> own_blocks_;
  std::size_t size_ = 0;
};

bool operator==(const MessageBody& body, std::string_view text);

}  // namespace mulberry::gateway
