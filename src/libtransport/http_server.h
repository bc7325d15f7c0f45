#pragma once

#include <asio/io_context.hpp>
#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "libbase/base.h"

namespace mulberry {

/// A complete request as received by a server.
struct ServerRequest {
  std::string method;
  std::string path;                                          ///< Without the query.
  std::string query;                                         ///< Without the '?'.
  std::vector<std::pair<std::string, std::string>> headers;  ///< Names in lower case.
  std::string body;
  std::uint64_t connection = 0;
};

/// Returns the value of a header, empty when absent. Precondition: `name` is in lower case.
std::string HeaderOf(const ServerRequest& request, std::string_view name);

/// Returns the decoded value of a query parameter, empty when absent.
std::string QueryOf(const ServerRequest& request, std::string_view name);

/// The answer of a server to one request.
struct ServerAnswer {
  int status = 200;
  std::string content_type = "application/json";
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  /// Closes the connection after the answer; later pipelined requests get no answer.
  bool close = false;
};

/// Address and limits of an HttpServer.
struct HttpServerOptions {
  std::string ip = "127.0.0.1";
  std::uint16_t port = 0;
  std::uint32_t max_connections = 2000;
  std::size_t max_body_bytes = 1024 * 1024;
  std::size_t max_head_bytes = 16 * 1024;
  /// Timeout for receiving a whole request, counted from its first byte.
  Duration read_timeout = std::chrono::seconds(5);
  /// A connection without a request is closed after this time.
  Duration idle_timeout = std::chrono::seconds(60);
  /// Timeout for the handler; after it the connection is closed without an answer.
  Duration handle_timeout = std::chrono::seconds(30);
  /// Timeout for writing an answer to the caller.
  Duration write_timeout = std::chrono::seconds(10);
  /// SO_REUSEADDR is always set.
};

/// Number of open connections and counters of rejected input.
struct HttpServerCounters {
  std::atomic<std::uint64_t> connections{0};          ///< Currently open.
  std::atomic<std::uint64_t> refused_connections{0};  ///< Over max_connections, closed immediately.
  std::atomic<std::uint64_t> malformed{0};            ///< Answered 400, or 501 for an upgrade.
  std::atomic<std::uint64_t> too_large{0};            ///< Answered 413, or 431 for a head.
  std::atomic<std::uint64_t> slow{0};  ///< Read timeouts (answered 408) and write timeouts.
};

/// HTTP/1.1 server over RESTinio on an Asio io_context. Not thread safe: use it on the
/// thread that runs the io_context, which must outlive it.
///
/// Up to four pipelined requests of one connection are handled concurrently; answers are sent in
/// request order. A caller that closes or half-closes its connection counts as disconnected.
/// "Expect: 100-continue" gets no interim response.
class HttpServer {
 public:
  /// Sends the answer; may be called later, on the io_context's thread. A second call, or a call
  /// after the connection or the server has closed, has no effect.
  using Respond = std::function<void(ServerAnswer)>;
  using Handler = std::function<void(ServerRequest, Respond)>;
  /// Called once, asynchronously, after the connection with this id has closed, also while its
  /// request is being handled. Not called after Close().
  using ClosedCallback = std::function<void(std::uint64_t connection)>;

  HttpServer(asio::io_context& io, HttpServerOptions options, Handler handler,
             ClosedCallback closed = {});
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Opens the port. Errors: kUnavailable with the address and the system error message.
  Result<void> Open();

  /// Stops accepting connections. Open connections and those in the listen backlog are still
  /// served.
  void StopAccepting();

  /// From now on, each connection is closed after the answer to the last request that it has
  /// brought.
  void CloseAfterAnswers();

  /// Stops accepting connections, and closes those that have been without a request, also one in
  /// part, for `idle_time` since they were accepted or since their last answer.
  void CloseIdle(Duration idle_time);

  /// Closes the port and all connections immediately, including those with unfinished writes.
  void Close();

  /// Returns the listening port (useful with options.port = 0), or 0 when not open.
  std::uint16_t port() const;

  const HttpServerCounters& counters() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace mulberry
