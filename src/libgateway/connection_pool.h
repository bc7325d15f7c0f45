#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "libgateway/http_client_connection.h"

namespace mulberry::gateway {

/// Parses "ip:port". Errors: kInvalidArgument.
Result<asio::ip::tcp::endpoint> ParseEndpoint(const std::string& address);

/// Keep-alive connections by address. Only for the thread that runs the io_context.
class ConnectionPool {
 public:
  ConnectionPool(asio::io_context& io, ReadLimits limits) : io_(io), limits_(limits) {}
  ~ConnectionPool();
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  /// Returns the idle connection that was used last, if it was used within `max_idle` and its peer
  /// has not closed it; a new one otherwise. Errors: the address can't be parsed.
  Result<std::shared_ptr<HttpClientConnection>> Acquire(const std::string& address,
                                                        Duration max_idle);
  /// Returns a new connection, whatever idle ones there are. Errors: the address can't be parsed.
  Result<std::shared_ptr<HttpClientConnection>> Open(const std::string& address);
  /// Returns a connection to the pool; one that can't be reused is closed.
  void Release(const std::string& address, const std::shared_ptr<HttpClientConnection>& connection);
  /// Closes the idle connections to an address.
  void CloseIdle(const std::string& address);
  /// Closes connections that have been idle for too long or that the peer is about to close.
  void Sweep(TimePoint now);

  std::uint64_t connections_opened() const { return connections_opened_; }

 private:
  asio::io_context& io_;
  ReadLimits limits_;
  std::map<std::string, std::vector<std::shared_ptr<HttpClientConnection>>> idle_;
  std::uint64_t connections_opened_ = 0;
};

}  // namespace mulberry::gateway
