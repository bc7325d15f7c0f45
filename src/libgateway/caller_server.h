#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "libbase/base.h"
#include "libgateway/http_reader.h"
#include "libgateway/types.h"
#include "libtransport/tcp_acceptor.h"

namespace mulberry::gateway {

/// Identifies one request at a CallerServer.
using ExchangeId = std::uint64_t;

/// Receives the events of a CallerServer. Called on the io_context's thread.
class CallerEvents {
 public:
  virtual ~CallerEvents() = default;
  /// A complete request has arrived. Respond with CallerServer::Respond, now or later.
  virtual void OnRequest(ExchangeId exchange, HttpMessage request, TimePoint arrived) = 0;
  /// The caller of a pending request has disconnected.
  virtual void OnDisconnected(ExchangeId exchange) = 0;
  /// There is no memory for the body of a request, whose head has arrived. Respond with a refusal
  /// before returning; its connection is closed after it.
  virtual void OnMemoryFull(ExchangeId exchange, const HttpMessage& head) = 0;
};

/// What the open connections of a CallerServer are doing.
struct ConnectionCounts {
  std::size_t idle = 0;
  std::size_t receiving = 0;  ///< Part of a request has arrived, and none is pending.
  std::size_t answering = 0;  ///< A request is pending, or a response is being written.
  std::size_t lingering = 0;  ///< Closed on this side; the caller has not closed yet.
};

class CallerSession;

/// HTTP/1.1 server for callers on one port: keep-alive connections, pipelined requests whose
/// responses are sent in order, and limits on size and time. Idle connections hold no buffer. Only
/// for the thread that runs the io_context, which must outlive it.
class CallerServer {
 public:
  /// `memory`, for the bodies of requests and for responses until they are written, must outlive
  /// the server; null for none.
  CallerServer(asio::io_context& io, CallerEvents& events, MemoryBudget* memory);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  /// Errors: kUnavailable with the address and the system's message.
  Result<void> Open(const std::string& ip, std::uint16_t port);
  /// Accepts the connections that are waiting, then closes the port.
  void StopAccepting();
  void SetLimits(const CallerLimits& limits) { limits_ = limits; }
  /// From now on, a connection is closed after the responses to the requests that were read from it
  /// before the next response.
  void SetDraining() { draining_ = true; }
  /// Reads what has arrived, then closes the connections on which no request is being received,
  /// processed or answered.
  void CloseIdle();
  /// Refuses the requests of which only a part has arrived.
  void RefuseIncomplete();

  /// Sends a response with a head (status line and header lines, without the blank line,
  /// Content-Length and Connection) and a body. Does nothing if the exchange is unknown or has a
  /// response. `close`: the connection is closed after it.
  void Respond(ExchangeId exchange, std::string head, MessageBody body, bool close = false);
  /// The same with a short body.
  void Respond(ExchangeId exchange, std::string head, std::string_view text, bool close = false);

  /// Closes connections that exceed a time limit; call a few times a second.
  void Sweep(TimePoint now);

  std::size_t connections() const { return sessions_.size(); }
  ConnectionCounts CountConnections() const;
  std::size_t pending_requests() const { return exchanges_.size(); }

 private:
  friend class CallerSession;
  /// Copies the list, so that sessions may close while it is used.
  std::vector<std::shared_ptr<CallerSession>> Sessions() const;

  asio::io_context& io_;
  CallerEvents& events_;
  MemoryBudget* memory_;
  CallerLimits limits_;
  bool draining_ = false;
  ExchangeId next_exchange_ = 1;
  std::unordered_map<ExchangeId, std::shared_ptr<CallerSession>> exchanges_;
  std::unordered_map<CallerSession*, std::shared_ptr<CallerSession>> sessions_;
  TcpAcceptor acceptor_;
};

}  // namespace mulberry::gateway
