#include "libtransport/lingering_close.h"

#include <array>
#include <asio/buffer.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <utility>

namespace mulberry {

namespace {

constexpr auto kLingerTimeout = std::chrono::seconds(1);
constexpr std::size_t kMaxLingerBytes = 16 * 1024 * 1024;

/// Reads and discards incoming data until the peer closes, the timeout passes or the byte limit is
/// reached, then closes the socket.
class LingeringClose : public std::enable_shared_from_this<LingeringClose> {
 public:
  explicit LingeringClose(asio::ip::tcp::socket socket)
      : socket_(std::move(socket)), timer_(socket_.get_executor()) {}

  void Start() {
    timer_.expires_after(kLingerTimeout);
    timer_.async_wait([self = shared_from_this()](const asio::error_code& error) {
      asio::error_code ignored;
      if (!error) self->socket_.close(ignored);
    });
    ReadNext();
  }

 private:
  void ReadNext() {
    socket_.async_read_some(
        asio::buffer(buffer_),
        [self = shared_from_this()](const asio::error_code& error, std::size_t length) {
          self->bytes_read_ += length;
          if (!error && self->bytes_read_ < kMaxLingerBytes) return self->ReadNext();
          self->timer_.cancel();
          asio::error_code ignored;
          self->socket_.close(ignored);
        });
  }

  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  std::array<char, 4096> buffer_{};
  std::size_t bytes_read_ = 0;
};

}  // namespace

void CloseWithAnswer(asio::ip::tcp::socket socket, std::string_view answer) {
  asio::error_code error;
  socket.non_blocking(true, error);
  if (!error) socket.write_some(asio::buffer(answer.data(), answer.size()), error);
  if (!error) socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
  if (!error) std::make_shared<LingeringClose>(std::move(socket))->Start();
}

}  // namespace mulberry
