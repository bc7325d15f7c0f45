#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>

namespace mulberry::scenario {

/// A block of ports that no other runner on this machine uses. The blocks lie below the range from
/// which the system takes ports for outgoing connections.
class PortBlock {
 public:
  /// Reserves a free block by listening on its first port for as long as this object lives.
  explicit PortBlock(asio::io_context& io);

  /// Returns the next port that can be bound. Precondition: the block is not used up.
  std::uint16_t Next();
  /// True when the next port might belong to another block.
  bool used_up() const { return next_ >= last_; }

 private:
  asio::io_context& io_;
  asio::ip::tcp::acceptor lock_;
  std::uint16_t next_ = 0;
  std::uint16_t last_ = 0;
};

}  // namespace mulberry::scenario
