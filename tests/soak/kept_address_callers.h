#pragma once

#include <sys/types.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <random>
#include <vector>

#include "soak/callers.h"

namespace mulberry::soak {

/// Callers that use one host's address, and the connections to it that stay open, for as long as
/// its process runs, whatever the directory says. They keep requests in work at the host all the
/// time. Only for the io_context's thread.
class KeptAddressCallers {
 public:
  /// `callers` sends the requests. Precondition: the host runs.
  KeptAddressCallers(asio::io_context& io, Callers& callers, Host& host, std::uint64_t seed);

  void Start() { Tick(); }
  /// The process that they used has ended.
  bool ended() const { return host_.process.pid() != pid_; }

 private:
  using Connection = gateway::HttpClientConnection;

  void Tick();

  asio::io_context& io_;
  Callers& callers_;
  Host& host_;
  pid_t pid_;
  asio::ip::tcp::endpoint peer_;
  std::mt19937_64 random_;
  asio::steady_timer timer_;
  /// One for each caller; null before its first request.
  std::vector<std::shared_ptr<Connection>> links_;
};

}  // namespace mulberry::soak
