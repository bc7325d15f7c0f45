#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "libgateway/connection_pool.h"
#include "libgateway/platform_adapter.h"

namespace mulberry::gateway {

/// HTTP client of the metadata store. Each call has its own timeout, because a connection can stop
/// responding without closing. Only for the thread that runs the io_context.
class StoreClient {
 public:
  /// Receives the response, or the reason why there is none.
  using Callback = std::function<void(Result<HttpMessage>)>;

  StoreClient(asio::io_context& io, std::string address);
  ~StoreClient();
  StoreClient(const StoreClient&) = delete;
  StoreClient& operator=(const StoreClient&) = delete;

  /// Calls `callback` once, later, unless the client is destroyed before.
  void Call(const StoreCall& call, Duration timeout, Callback callback);
  /// Sends later calls to this address.
  void SetAddress(std::string address) { address_ = std::move(address); }
  std::uint64_t calls() const { return calls_; }

 private:
  struct PendingCall {
    /// Where the call was sent; the client's address may have changed since.
    std::string address;
    std::shared_ptr<HttpClientConnection> connection;
    asio::steady_timer timer;
    Callback callback;
  };

  void OnResult(std::uint64_t call_id, ExchangeResult result);
  void OnTimeout(std::uint64_t call_id);

  asio::io_context& io_;
  std::string address_;
  ConnectionPool connections_;
  std::uint64_t calls_ = 0;
  std::map<std::uint64_t, PendingCall> pending_calls_;  ///< By call id.
};

}  // namespace mulberry::gateway
