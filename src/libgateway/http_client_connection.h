#pragma once

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "libbase/base.h"
#include "libgateway/http_reader.h"

namespace mulberry::gateway {

/// How an exchange on a connection ended, as far as the client can tell.
enum class ExchangeOutcome {
  kResponseReceived,  ///< The response is complete.
  kConnectFailed,     ///< Not connected in time; nothing was sent.
  kNotSent,           ///< Failed before the socket accepted the first byte of the request.
  kFailedAfterSend,   ///< Failed later, or the response is malformed.
};

struct ExchangeResult {
  ExchangeOutcome outcome = ExchangeOutcome::kFailedAfterSend;
  HttpMessage response;
  std::string error;
  /// The connection had been used before this exchange.
  bool reused = false;
  /// Part of the request had not yet been accepted by the socket.
  bool write_pending = false;
  /// Responses to other requests that arrived before this one's.
  int skipped_responses = 0;
};

/// One request on a connection.
struct ExchangeRequest {
  std::string head;
  /// Sent after the head. Shared, so that further attempts need no copy; null without a body.
  std::shared_ptr<const MessageBody> body;
  bool is_head = false;
  /// Responses with another id in the header `id_header` belong to an earlier request and are
  /// skipped. Empty: every response is accepted.
  std::string id_header;
  /// Empty for a request without an id; a response with any id is then skipped on a connection that
  /// has been used before.
  std::string id;
  Duration connect_timeout = std::chrono::milliseconds(500);
};

/// A client connection to one address that carries one exchange at a time. Bytes that arrive
/// between exchanges close it. Only for the thread that runs the io_context.
class HttpClientConnection : public std::enable_shared_from_this<HttpClientConnection> {
 public:
  using Callback = std::function<void(ExchangeResult)>;
  /// Called once when the connection closes while no exchange is running.
  using IdleClosedCallback = std::function<void(HttpClientConnection*)>;

  HttpClientConnection(asio::io_context& io, const asio::ip::tcp::endpoint& peer, ReadLimits limits,
                       IdleClosedCallback idle_closed);

  /// Connects if needed, sends the request, and calls `callback` once, later. Precondition: no
  /// exchange is running and the connection is not closed.
  void Exchange(ExchangeRequest request, Callback callback);
  /// Closes the connection; the callback of a running exchange is not called.
  void Close();

  bool open() const { return !closed_; }
  bool busy() const { return callback_ != nullptr; }
  /// True when the connection can carry another exchange.
  bool reusable() const { return !closed_ && !busy() && reusable_; }
  /// When the last exchange ended.
  TimePoint idle_since() const { return idle_since_; }
  /// Idle time after which the server closes the connection; zero if unknown.
  Duration keep_alive_timeout() const { return keep_alive_timeout_; }
  /// Checks the socket: false when the peer has closed it or sent unexpected bytes.
  bool SocketIsIdle();

 private:
  /// The bytes of the request from `offset` on.
  std::vector<asio::const_buffer> RequestBytes(std::size_t offset) const;
  void Connect();
  void Write();
  void OnWritten(const asio::error_code& error);
  void WaitRead();
  void OnReadable(const asio::error_code& error);
  bool ParseInput(std::string_view bytes);
  bool ProcessMessage();
  void OnConnectionEnd(const asio::error_code& error);
  void Finish(ExchangeOutcome outcome, std::string error);

  asio::io_context& io_;
  asio::ip::tcp::endpoint peer_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer connect_timer_;
  HttpReader reader_;
  IdleClosedCallback idle_closed_;
  ExchangeRequest request_;
  Callback callback_;
  bool connected_ = false;
  bool closed_ = false;
  bool reusable_ = true;
  bool waiting_for_input_ = false;
  bool write_started_ = false;
  bool write_finished_ = false;
  std::uint32_t finished_exchanges_ = 0;
  int skipped_responses_ = 0;  ///< Including interim responses.
  int responses_to_others_ = 0;
  TimePoint idle_since_;
  Duration keep_alive_timeout_{};
};

}  // namespace mulberry::gateway
