#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "libtransport/http_server.h"

namespace mulberry {

class CallerSocket;

/// Why RESTinio closes a connection.
enum class CloseCause { kOther, kMalformed, kHeadTooLarge, kBodyTooLarge, kTimeout };

/// State of one open caller connection.
struct ServerConnection {
  std::uint64_t id = 0;
  CallerSocket* socket = nullptr;
  bool reading = false;  ///< Part of a request has arrived.
  TimePoint reading_since;
  std::uint32_t unanswered_requests = 0;  ///< Requests in the handler.
  std::uint32_t unwritten_answers = 0;    ///< Answers passed on but not yet written.
  std::uint64_t requests = 0;             ///< Number of the newest request.
  TimePoint active_at;                    ///< When it was accepted or last wrote an answer.
  bool closing = false;                   ///< It will be closed after an answer.
};

/// The open connections of one HttpServer: counts them, limits the time for reading a request, and
/// answers requests that RESTinio would reject by just closing the connection. Not thread safe.
class ServerConnections : public std::enable_shared_from_this<ServerConnections> {
 public:
  ServerConnections(asio::io_context& io, HttpServerOptions options,
                    HttpServer::ClosedCallback closed);

  /// Registers a connection. Must be called before its first read.
  void Add(std::shared_ptr<ServerConnection> connection);

  /// Called when a whole request has arrived. Returns the request's number on its connection, or
  /// nothing if it must not be handled, since the connection closes before its answer.
  std::optional<std::uint64_t> OnRequest(std::uint64_t id);

  /// Called when a request is answered. Returns true if its connection must close after the answer:
  /// if `close` is set, or after CloseAfterAnswers if it is the last answer.
  bool OnAnswered(std::uint64_t id, std::uint64_t request, bool close);

  /// Called when an answer has been written or dropped.
  void OnWritten(std::uint64_t id);

  /// From now on, each connection closes after the answer to the last request that it has brought.
  void CloseAfterAnswers() { close_after_answers_ = true; }

  /// Called when RESTinio has closed a connection; repeated calls have no effect.
  void OnClosed(std::uint64_t id);

  /// Sets the cause of the close that RESTinio makes later in the same call stack.
  void set_close_cause(CloseCause cause) { close_cause_ = cause; }

  /// Counts the cause and sends an error answer unless another answer is outstanding. Called before
  /// the connection is closed.
  void BeforeClose(ServerConnection& connection);

  /// Closes connections whose request did not arrive in full within the read timeout.
  void CloseTimedOutReads(TimePoint now);

  /// Closes connections that have been without a request, also one in part, since `active_before`.
  void CloseIdle(TimePoint active_before);

  /// Closes all connections. No callback is called afterwards.
  void CloseAll();

  /// True until CloseAll.
  bool is_open() const { return open_; }
  bool empty() const { return connections_.empty(); }
  bool full() const { return connections_.size() >= options_.max_connections; }
  const HttpServerOptions& options() const { return options_; }
  HttpServerCounters& counters() { return counters_; }

 private:
  ServerConnection* Find(std::uint64_t id);
  static bool HasUnreadBytes(const ServerConnection& connection);
  void Answer(ServerConnection& connection, std::string_view answer);
  void Close(ServerConnection& connection, CloseCause cause);

  asio::io_context& io_;
  HttpServerOptions options_;
  HttpServer::ClosedCallback closed_;
  HttpServerCounters counters_;
  std::unordered_map<std::uint64_t, std::shared_ptr<ServerConnection>> connections_;
  CloseCause close_cause_ = CloseCause::kOther;
  bool close_after_answers_ = false;
  bool open_ = true;
};

/// Caller socket that records when a request starts to arrive and notifies ServerConnections before
/// it is shut down.
class CallerSocket : public asio::ip::tcp::socket {
 public:
  CallerSocket(asio::ip::tcp::socket socket, std::shared_ptr<ServerConnections> connections,
               std::shared_ptr<ServerConnection> connection);
  CallerSocket(CallerSocket&& other) noexcept;
  CallerSocket& operator=(CallerSocket&&) = delete;
  ~CallerSocket();

  template <class Buffers, class Handler>
  void async_read_some(const Buffers& buffers, Handler&& handler) {
    asio::ip::tcp::socket::async_read_some(
        buffers, [connection = connection_, next = std::forward<Handler>(handler)](
                     const asio::error_code& error, std::size_t length) mutable {
          if (length > 0 && !connection->reading) {
            connection->reading = true;
            connection->reading_since = MonotonicClock::now();
          }
          next(error, length);
        });
  }

  void shutdown(shutdown_type what, asio::error_code& error);

 private:
  std::shared_ptr<ServerConnections> connections_;
  std::shared_ptr<ServerConnection> connection_;
};

}  // namespace mulberry
