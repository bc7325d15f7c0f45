#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "libbase/base.h"
#include "libgateway/http_reader.h"

namespace mulberry::gateway {

/// How an exchange on a link ended, as far as the sender can know.
enum class ExchangeOutcome {
  kResponseReceived,  ///< A whole message.
  kConnectFailed,     ///< No connection in time; nothing was sent.
  kNotSent,           ///< Failed before the first byte of the request was taken.
  kFailedAfterSend,   ///< Failed later, or the bytes are no answer.
};

struct ExchangeResult {
  ExchangeOutcome outcome = ExchangeOutcome::kFailedAfterSend;
  HttpMessage response;
  std::string error;
  /// Whether the link was used before this exchange.
  bool reused = false;
};

/// One request on a link.
struct ExchangeRequest {
  std::string bytes;
  bool is_head = false;
  /// Answers that name another id in `id_header` belong to an earlier request and are passed
  /// over. Empty: every answer counts.
  std::string id_header;
  std::string id;
  Duration connect_timeout = std::chrono::milliseconds(500);
};

/// A client's connection to one address, for one exchange at a time. Bytes that arrive while none
/// is running close it. Only for the thread that runs the io_context.
class HttpClientConnection : public std::enable_shared_from_this<HttpClientConnection> {
 public:
  using Done = std::function<void(ExchangeResult)>;
  /// Called once when the link closes while no exchange is running.
  using IdleClosed = std::function<void(HttpClientConnection*)>;

  HttpClientConnection(asio::io_context& io, const asio::ip::tcp::endpoint& peer, ReadLimits limits,
                       IdleClosed idle_closed);

  /// Connects if needed, sends, and calls `done` once, later. Precondition: no exchange runs and
  /// the link is not closed.
  void Exchange(ExchangeRequest request, Done done);
  /// Closes the link; `done` is not called any more.
  void Close();

  bool open() const { return !closed_; }
  bool busy() const { return done_ != nullptr; }
  /// True when the connection can carry another exchange.
  bool reusable() const { return !closed_ && !busy() && reusable_; }
  /// When the last exchange ended.
  TimePoint idle_since() const { return idle_since_; }
  /// The server closes the connection when it has been idle for this time; zero is unknown.
  Duration keep_alive_timeout() const { return keep_alive_timeout_; }
  /// Looks at the socket itself: false when the peer has closed it or sent something unasked.
  bool SocketIsIdle();

 private:
  void Connect();
  void Write();
  void OnWritten(const asio::error_code& error, std::size_t bytes);
  void WaitRead();
  void OnReadable(const asio::error_code& error);
  bool TakeBytes(std::string_view bytes);
  bool TakeMessage();
  void OnPeerEnd(const asio::error_code& error);
  void Finish(ExchangeOutcome end, std::string error);

  asio::io_context& io_;
  asio::ip::tcp::endpoint peer_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer connect_timer_;
  HttpReader reader_;
  IdleClosed idle_closed_;
  ExchangeRequest request_;
  Done done_;
  bool connected_ = false;
  bool closed_ = false;
  bool reusable_ = true;
  bool waiting_ = false;
  bool written_any_ = false;
  bool written_all_ = false;
  std::uint32_t exchanges_ = 0;
  int passed_over_ = 0;
  TimePoint idle_since_;
  Duration keep_alive_timeout_{};
};

}  // namespace mulberry::gateway
