#include "scenarios/runner/port_block.h"

#include <unistd.h>

#include <cstdlib>

namespace mulberry::scenario {
namespace {

constexpr std::uint16_t kFirstPort = 13000;
constexpr std::uint16_t kPortsPerBlock = 400;
constexpr std::uint16_t kBlocks = 40;
/// Ports of a block that may be taken when the others are used up.
constexpr std::uint16_t kSparePorts = 20;

bool Bind(asio::ip::tcp::acceptor& acceptor, std::uint16_t port, bool reuse_address) {
  const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4::loopback(), port);
  asio::error_code error;
  acceptor.open(endpoint.protocol(), error);
  acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(reuse_address), error);
  acceptor.bind(endpoint, error);
  if (!error) {
    acceptor.listen(1, error);
  }
  if (error) {
    asio::error_code ignored;
    acceptor.close(ignored);
  }
  return !error;
}

}  // namespace

PortBlock::PortBlock(asio::io_context& io) : io_(io), lock_(io) {
  const auto first = static_cast<std::uint16_t>(getpid() % kBlocks);
  for (std::uint16_t i = 0; i < kBlocks; ++i) {
    const auto block = static_cast<std::uint16_t>((first + i) % kBlocks);
    const auto port = static_cast<std::uint16_t>(kFirstPort + block * kPortsPerBlock);
    if (Bind(lock_, port, false)) {
      next_ = port;
      last_ = static_cast<std::uint16_t>(port + kPortsPerBlock - kSparePorts);
      return;
    }
  }
  std::abort();  // More runners than blocks.
}

std::uint16_t PortBlock::Next() {
  while (true) {
    asio::ip::tcp::acceptor probe(io_);
    if (Bind(probe, ++next_, true)) {
      return next_;
    }
  }
}

}  // namespace mulberry::scenario
