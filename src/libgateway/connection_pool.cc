#include "libgateway/connection_pool.h"

#include <algorithm>

namespace mulberry::gateway {
namespace {

/// A connection is not reused in the last 500 ms of its peer's keep-alive timeout.
constexpr Duration kKeepAliveMargin = std::chrono::milliseconds(500);
/// Connections that are idle for longer than this are closed; the limit where the peer states none.
constexpr Duration kMaxIdleTime = std::chrono::seconds(8);

bool IdleTooLong(const HttpClientConnection& connection, TimePoint now) {
  const Duration limit = connection.keep_alive_timeout() > Duration::zero()
                             ? connection.keep_alive_timeout() - kKeepAliveMargin
                             : kMaxIdleTime;
  return now - connection.idle_since() > std::min(limit, kMaxIdleTime);
}

}  // namespace

Result<asio::ip::tcp::endpoint> ParseEndpoint(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  std::uint32_t port = 0;
  asio::error_code error;
  if (colon == std::string::npos || !ParseNumber(address.substr(colon + 1), &port) || port == 0 ||
      port > 65535) {
    return Fail(ErrorCode::kInvalidArgument, "not an ip:port address: " + address);
  }
  const auto ip = asio::ip::make_address_v4(address.substr(0, colon), error);
  if (error) return Fail(ErrorCode::kInvalidArgument, "not an ip:port address: " + address);
  return asio::ip::tcp::endpoint(ip, static_cast<std::uint16_t>(port));
}

ConnectionPool::~ConnectionPool() {
  for (auto& [address, connections] : idle_) {
    for (const auto& connection : connections) connection->Close();
  }
}

Result<std::shared_ptr<HttpClientConnection>> ConnectionPool::Acquire(const std::string& address,
                                                                      Duration max_idle) {
  const TimePoint now = MonotonicClock::now();
  auto& connections = idle_[address];
  while (!connections.empty()) {
    const std::shared_ptr<HttpClientConnection> idle = connections.back();
    if (now - idle->idle_since() > max_idle && idle->open()) break;
    connections.pop_back();
    if (idle->reusable() && !IdleTooLong(*idle, now) && idle->SocketIsIdle()) return idle;
    idle->Close();
  }
  return Open(address);
}

Result<std::shared_ptr<HttpClientConnection>> ConnectionPool::Open(const std::string& address) {
  auto endpoint = ParseEndpoint(address);
  if (!endpoint) return endpoint.error();
  ++connections_opened_;
  // The pool outlives its connections, because its destructor closes them.
  return std::make_shared<HttpClientConnection>(
      io_, endpoint.value(), limits_, [this, address](HttpClientConnection* connection) {
        std::erase_if(idle_[address], [&](const auto& idle) { return idle.get() == connection; });
      });
}

void ConnectionPool::Release(const std::string& address,
                             const std::shared_ptr<HttpClientConnection>& connection) {
  if (connection->reusable()) {
    idle_[address].push_back(connection);
  } else {
    connection->Close();
  }
}

void ConnectionPool::CloseIdle(const std::string& address) {
  const auto found = idle_.find(address);
  if (found == idle_.end()) return;
  for (const auto& connection : found->second) connection->Close();
  idle_.erase(found);
}

void ConnectionPool::Sweep(TimePoint now) {
  for (auto& [address, connections] : idle_) {
    std::erase_if(connections, [&](const auto& connection) {
      if (connection->open() && !IdleTooLong(*connection, now)) return false;
      connection->Close();
      return true;
    });
  }
  std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace mulberry::gateway
