#include "libgateway/connection_pool.h"

#include <algorithm>

namespace mulberry::gateway {
namespace {

/// A link is not reused in the last part of the time after which its peer closes it.
constexpr Duration kIdleMargin = std::chrono::milliseconds(500);
/// Links that are idle for longer than this are closed, where the peer states no time.
constexpr Duration kLongestIdle = std::chrono::seconds(8);

bool Outlived(const HttpClientConnection& link, TimePoint now) {
  const Duration limit = link.keep_alive_timeout() > Duration::zero()
                             ? link.keep_alive_timeout() - kIdleMargin
                             : kLongestIdle;
  return now - link.idle_since() > std::min(limit, kLongestIdle);
}

}  // namespace

Result<asio::ip::tcp::endpoint> ParseEndpoint(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  std::uint32_t port = 0;
  asio::error_code error;
  if (colon == std::string::npos || !ParseNumber(address.substr(colon + 1), &port) || port == 0 ||
      port > 65535) {
    return Fail(ErrorCode::kInvalidArgument, "not an address: " + address);
  }
  const auto ip = asio::ip::make_address_v4(address.substr(0, colon), error);
  if (error) return Fail(ErrorCode::kInvalidArgument, "not an address: " + address);
  return asio::ip::tcp::endpoint(ip, static_cast<std::uint16_t>(port));
}

ConnectionPool::~ConnectionPool() {
  for (auto& [address, links] : idle_) {
    for (const auto& link : links) link->Close();
  }
}

Result<std::shared_ptr<HttpClientConnection>> ConnectionPool::Acquire(const std::string& address,
                                                                      Duration max_idle) {
  const TimePoint now = MonotonicClock::now();
  auto& links = idle_[address];
  while (!links.empty()) {
    const std::shared_ptr<HttpClientConnection> link = links.back();
    if (now - link->idle_since() > max_idle && link->open()) break;
    links.pop_back();
    if (link->reusable() && !Outlived(*link, now) && link->SocketIsIdle()) return link;
    link->Close();
  }
  auto endpoint = ParseEndpoint(address);
  if (!endpoint) return endpoint.error();
  ++connections_opened_;
  // The pool outlives its links: its destructor closes them.
  return std::make_shared<HttpClientConnection>(
      io_, endpoint.value(), limits_, [this, address](HttpClientConnection* link) {
        std::erase_if(idle_[address], [&](const auto& idle) { return idle.get() == link; });
      });
}

void ConnectionPool::Release(const std::string& address,
                             const std::shared_ptr<HttpClientConnection>& link) {
  if (link->reusable()) {
    idle_[address].push_back(link);
  } else {
    link->Close();
  }
}

void ConnectionPool::CloseIdle(const std::string& address) {
  const auto found = idle_.find(address);
  if (found == idle_.end()) return;
  for (const auto& link : found->second) link->Close();
  idle_.erase(found);
}

void ConnectionPool::Sweep(TimePoint now) {
  for (auto& [address, links] : idle_) {
    std::erase_if(links, [&](const auto& link) {
      if (link->open() && !Outlived(*link, now)) return false;
      link->Close();
      return true;
    });
  }
  std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace mulberry::gateway
