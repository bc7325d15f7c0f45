#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "libbase/base.h"

namespace mulberry {

/// How an exchange ended, as far as the client can tell.
enum class HttpEnd {
  kAnswered,        ///< A complete answer arrived.
  kConnectRefused,  ///< No connection was made; nothing was sent.
  kNotSent,         ///< Failed or timed out before the first byte of the request was written.
  kBroken,          ///< Failed after bytes may have been written, or the answer is invalid.
  kTimedOut,        ///< Timed out after bytes may have been written.
  kCancelled,
};

/// A request to be sent by HttpClient.
struct HttpRequest {
  std::string method = "GET";
  std::string url;  ///< "http://IP:PORT/TARGET"; the target is sent unchanged.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  Duration timeout = std::chrono::seconds(5);
  /// Timeout for establishing the connection, part of `timeout`; exceeding it gives kNotSent.
  Duration connect_timeout = std::chrono::milliseconds(500);
  /// Name of a header of the request that its answer may repeat, in lower case; empty for none. An
  /// answer in which it has another value belongs to another request: the exchange is kBroken, and
  /// its connection is closed.
  std::string id_header;
  /// Maximum size of an answer body, in bytes; a larger one gives kBroken.
  std::size_t max_answer_bytes = 4 * 1024 * 1024;
  /// Budget for the answer while it is received; one that does not fit gives kBroken. Must outlive
  /// the exchange. Null: only the size of each answer is limited.
  MemoryBudget* answer_memory = nullptr;
};

/// Result of an exchange: the answer if `end` is kAnswered, otherwise an error text.
struct HttpAnswer {
  HttpEnd end = HttpEnd::kBroken;
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;  ///< Names in lower case.
  std::string body;
  std::string error;
};

/// Returns the value of a header, empty when absent. Precondition: `name` is in lower case.
std::string HeaderOf(const HttpAnswer& answer, std::string_view name);

/// HTTP/1.1 client over libcurl's multi interface on an Asio io_context, with persistent
/// connections. A non-idempotent request is sent at most once: it gets a new connection, since
/// libcurl resends a request when a reused connection turns out to be closed. An answer with
/// neither Content-Length nor chunked encoding is kBroken as soon as its head has arrived, since
/// its end can't be distinguished from a broken connection. An answer whose head or trailer has a
/// line that the standard rules out (libbase/http_syntax.h) is kBroken at that line. Not thread
/// safe: use it on the thread that runs the io_context, which must outlive it.
class HttpClient {
 public:
  using Handle = std::uint64_t;
  using Callback = std::function<void(HttpAnswer)>;

  explicit HttpClient(asio::io_context& io);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Starts an exchange. `done` is called once, asynchronously, on the io_context's thread, but not
  /// after Cancel. It must not destroy the client.
  Handle Start(HttpRequest request, bool idempotent, Callback done);

  /// Aborts an exchange and closes its connection; `done` is not called. Unknown handles are
  /// ignored.
  void Cancel(Handle handle);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace mulberry
