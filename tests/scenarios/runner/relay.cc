#include "scenarios/runner/relay.h"

#include <array>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <utility>

namespace mulberry::scenario {
namespace {

using asio::ip::tcp;
using SocketPtr = std::shared_ptr<tcp::socket>;

constexpr std::size_t kBufferBytes = 64 * 1024;

}  // namespace

/// One direction of one connection.
class Relay::Pump : public std::enable_shared_from_this<Relay::Pump> {
 public:
  Pump(Relay& relay, SocketPtr from, SocketPtr to, bool towards_target)
      : relay_(relay),
        from_(std::move(from)),
        to_(std::move(to)),
        towards_target_(towards_target),
        timer_(relay.io_) {}

  void Read() {
    from_->async_read_some(
        asio::buffer(buffer_),
        [self = shared_from_this()](const asio::error_code& error, std::size_t bytes) {
          if (error) {
            self->Close();
            return;
          }
          self->pending_ = bytes;
          self->WriteLater();
        });
  }

  void WriteLater() {
    if (relay_.delay_.count() == 0) {
      Write();
      return;
    }
    timer_.expires_after(relay_.delay_);
    timer_.async_wait([self = shared_from_this()](const asio::error_code& error) {
      if (!error) self->Write();
    });
  }

  /// Passes on what was read, unless the link is cut.
  void Write() {
    if (towards_target_ ? relay_.cut_towards_target_ : relay_.cut_from_target_) {
      relay_.held_.push_back(shared_from_this());
      return;
    }
    asio::async_write(*to_, asio::buffer(buffer_.data(), pending_),
                      [self = shared_from_this()](const asio::error_code& error, std::size_t) {
                        if (error) {
                          self->Close();
                          return;
                        }
                        self->Read();
                      });
  }

  void Reset() {
    asio::error_code ignored;
    from_->set_option(asio::socket_base::linger(true, 0), ignored);
    to_->set_option(asio::socket_base::linger(true, 0), ignored);
    Close();
  }

 private:
  void Close() {
    timer_.cancel();
    asio::error_code ignored;
    from_->close(ignored);
    to_->close(ignored);
  }

  Relay& relay_;
  SocketPtr from_;
  SocketPtr to_;
  bool towards_target_;
  asio::steady_timer timer_;
  std::array<char, kBufferBytes> buffer_;
  std::size_t pending_ = 0;
};

Relay::Relay(asio::io_context& io, std::uint16_t port, const std::string& target_ip,
             std::uint16_t target_port)
    : io_(io),
      acceptor_(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), port)),
      target_(asio::ip::make_address(target_ip), target_port) {
  Accept();
}

std::string Relay::address() const {
  return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void Relay::Cut(CutSide side) {
  cut_towards_target_ = cut_towards_target_ || side != CutSide::kFromTarget;
  cut_from_target_ = cut_from_target_ || side != CutSide::kTowardsTarget;
}

void Relay::Reset() {
  for (const auto& pump : std::exchange(pumps_, {})) {
    if (const auto open = pump.lock()) {
      open->Reset();
    }
  }
}

void Relay::Heal() {
  cut_towards_target_ = false;
  cut_from_target_ = false;
  delay_ = std::chrono::milliseconds(0);
  for (const auto& pump : std::exchange(held_, {})) {
    pump->Write();
  }
}

void Relay::Accept() {
  acceptor_.async_accept([this](const asio::error_code& error, tcp::socket socket) {
    if (error) {
      return;
    }
    auto near_side = std::make_shared<tcp::socket>(std::move(socket));
    auto far_side = std::make_shared<tcp::socket>(io_);
    far_side->async_connect(target_, [this, near_side, far_side](const asio::error_code& failed) {
      if (failed) {
        asio::error_code ignored;
        near_side->close(ignored);
        return;
      }
      std::erase_if(pumps_, [](const auto& pump) { return pump.expired(); });
      const auto there = std::make_shared<Pump>(*this, near_side, far_side, true);
      const auto back = std::make_shared<Pump>(*this, far_side, near_side, false);
      pumps_.push_back(there);
      pumps_.push_back(back);
      there->Read();
      back->Read();
    });
    Accept();
  });
}

}  // namespace mulberry::scenario
