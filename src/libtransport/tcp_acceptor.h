#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "libbase/base.h"

namespace mulberry {

/// Accepts TCP connections and retries after errors such as running out of file descriptors. Not
/// thread safe: use it on the thread that runs the io_context.
class TcpAcceptor {
 public:
  using AcceptHandler = std::function<void(asio::ip::tcp::socket)>;

  TcpAcceptor(asio::io_context& io, AcceptHandler on_accept);
  ~TcpAcceptor();
  TcpAcceptor(const TcpAcceptor&) = delete;
  TcpAcceptor& operator=(const TcpAcceptor&) = delete;

  /// Listens on ip:port. Errors: kUnavailable with the address and the system error message.
  Result<void> Open(const std::string& ip, std::uint16_t port);

  /// Accepts the connections already in the listen backlog, then closes the port.
  void Stop();

  /// Returns the listening port, or 0 when closed.
  std::uint16_t port() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace mulberry
