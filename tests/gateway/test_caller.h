#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "scenarios/runner/port_block.h"

namespace mulberry::gateway {

/// Returns a loopback port that is free and that no other test program on this machine takes. No
/// port is returned twice.
inline std::uint16_t FreePort() {
  static asio::io_context io;
  static std::vector<std::unique_ptr<scenario::PortBlock>> blocks;
  if (blocks.empty() || blocks.back()->used_up()) {
    blocks.push_back(std::make_unique<scenario::PortBlock>(io));
  }
  return blocks.back()->Next();
}

/// A caller's connection; the test writes and reads its bytes.
class TestCaller {
 public:
  explicit TestCaller(asio::io_context& io) : socket_(io), buffer_(64 * 1024, 0) {}

  void Connect(std::uint16_t port) {
    socket_.connect({asio::ip::make_address_v4("127.0.0.1"), port});
    Read();
  }
  /// `address` is "ip:port".
  void Connect(const std::string& address) {
    const std::size_t colon = address.find(':');
    socket_.connect({asio::ip::make_address_v4(address.substr(0, colon)),
                     static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))});
    Read();
  }
  void Write(const std::string& bytes) {
    asio::error_code ignored;
    asio::write(socket_, asio::buffer(bytes), ignored);
  }
  void Close() {
    asio::error_code ignored;
    socket_.close(ignored);
  }

  std::string received;
  bool ended = false;

 private:
  void Read() {
    socket_.async_read_some(asio::buffer(buffer_),
                            [this](const asio::error_code& error, std::size_t bytes) {
                              if (error) {
                                ended = true;
                                return;
                              }
                              received.append(buffer_.data(), bytes);
                              Read();
                            });
  }

  asio::ip::tcp::socket socket_;
  std::string buffer_;
};

}  // namespace mulberry::gateway
