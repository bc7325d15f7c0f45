#include "libgateway/message_body.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace mulberry::gateway {
namespace {

constexpr std::size_t kBlockBytes = MemoryBudget::kBlockBytes;

}  // namespace

MessageBody::MessageBody(MessageBody&& other) noexcept { *this = std::move(other); }

MessageBody& MessageBody::operator=(MessageBody&& other) noexcept {
  if (this == &other) return *this;
  Clear();
  budget_ = other.budget_;
  use_ = other.use_;
  blocks_ = std::exchange(other.blocks_, {});
  own_blocks_ = std::exchange(other.own_blocks_, {});
  size_ = std::exchange(other.size_, 0);
  return *this;
}

void MessageBody::SetBudget(MemoryBudget* budget, MemoryBudget::Use use) {
  budget_ = budget;
  use_ = use;
}

bool MessageBody::TryReserve(std::size_t bytes) {
  const std::size_t held = allocated();
  if (bytes <= held) return true;
  const std::size_t missing = (bytes - held + kBlockBytes - 1) / kBlockBytes;
  const std::size_t added = missing * kBlockBytes;
  if (budget_ != nullptr && !budget_->Allows(added, held + added, use_)) return false;
  for (std::size_t i = 0; i < missing; ++i) AddBlock();
  return true;
}

bool MessageBody::TryGrow() {
  const std::size_t total = allocated() + kBlockBytes;
  if (budget_ != nullptr) {
    if (!budget_->Allows(kBlockBytes, total, use_)) return false;
    const bool is_response = use_ == MemoryBudget::Use::kResponse;
    if (is_response && total > budget_->MaxUnboundedResponse()) return false;
  }
  AddBlock();
  return true;
}

void MessageBody::AddBlock() {
  if (budget_ == nullptr) {
    own_blocks_.emplace_back(new char[kBlockBytes]);
  } else {
    blocks_.push_back(budget_->Take());
  }
}

bool MessageBody::Append(std::string_view bytes) {
  while (!bytes.empty()) {
    if (size_ == allocated() && !TryGrow()) return false;
    const std::size_t used_in_block = size_ % kBlockBytes;
    const std::size_t count = std::min(bytes.size(), kBlockBytes - used_in_block);
    std::memcpy(BlockData(size_ / kBlockBytes) + used_in_block, bytes.data(), count);
    bytes.remove_prefix(count);
    size_ += count;
  }
  return true;
}

void MessageBody::Clear() {
  for (const MemoryBudget::Block& block : blocks_) budget_->Return(block);
  blocks_.clear();
  own_blocks_.clear();
  size_ = 0;
}

void MessageBody::AppendBuffers(std::size_t offset, std::size_t max_buffers,
                                std::vector<asio::const_buffer>* buffers) const {
  while (offset < size_ && buffers->size() < max_buffers) {
    const std::size_t in_block = offset % kBlockBytes;
    const std::size_t count = std::min(kBlockBytes - in_block, size_ - offset);
    buffers->emplace_back(BlockData(offset / kBlockBytes) + in_block, count);
    offset += count;
  }
}

std::string MessageBody::Text() const {
  std::string text;
  text.reserve(size_);
  for (std::size_t offset = 0; offset < size_; offset += kBlockBytes) {
    text.append(BlockData(offset / kBlockBytes), std::min(kBlockBytes, size_ - offset));
  }
  return text;
}

char* MessageBody::BlockData(std::size_t index) const {
  return budget_ == nullptr ? own_blocks_[index].get() : blocks_[index].data();
}

bool operator==(const MessageBody& body, std::string_view text) {
  return body.size() == text.size() && body.Text() == text;
}

}  // namespace mulberry::gateway
