#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace mulberry::scenario {

/// Directions of a link that a cut concerns.
enum class CutSide { kBoth, kTowardsTarget, kFromTarget };

/// A link that can be cut, delayed and reset: forwards TCP connections to one address. While it is
/// cut, connections stay open and nothing passes, as when a network drops every packet; after the
/// cut everything held back arrives late. Only for the io_context's thread.
class Relay {
 public:
  /// Listens on a port of 127.0.0.1.
  Relay(asio::io_context& io, std::uint16_t port, const std::string& target_ip,
        std::uint16_t target_port);

  /// Address to connect to in place of the target's.
  std::string address() const;

  void Cut(CutSide side = CutSide::kBoth);
  /// Ends cuts and delays.
  void Heal();
  /// Everything passes this much later.
  void SetDelay(std::chrono::milliseconds delay) { delay_ = delay; }
  /// Resets the connections that stand.
  void Reset();

 private:
  class Pump;

  void Accept();

  asio::io_context& io_;
  asio::ip::tcp::acceptor acceptor_;
  asio::ip::tcp::endpoint target_;
  bool cut_towards_target_ = false;
  bool cut_from_target_ = false;
  std::chrono::milliseconds delay_{0};
  std::vector<std::shared_ptr<Pump>> held_;
  std::vector<std::weak_ptr<Pump>> pumps_;
};

}  // namespace mulberry::scenario
