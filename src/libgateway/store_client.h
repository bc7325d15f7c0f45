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

/// Calls the store. Each call has a timeout of its own, for a connection can go silent. Only for
/// the thread that runs the io_context.
class StoreClient {
 public:
  /// The status and body of an answer, or why there is none.
  using Done = std::function<void(Result<HttpMessage>)>;

  StoreClient(asio::io_context& io, std::string address);
  ~StoreClient();
  StoreClient(const StoreClient&) = delete;
  StoreClient& operator=(const StoreClient&) = delete;

  /// `done` is called once, later, unless the client is destroyed before.
  void Call(const StoreCall& call, Duration timeout, Done done);
  /// Later calls go to this address.
  void SetAddress(std::string address) { address_ = std::move(address); }
  std::uint64_t calls() const { return calls_; }

 private:
  struct Running {
    /// Where it was sent, which the client's address may no longer be.
    std::string address;
    std::shared_ptr<HttpClientConnection> link;
    asio::steady_timer timer;
    Done done;
  };

  void OnAnswer(std::uint64_t number, ExchangeResult answer);
  void OnTimeout(std::uint64_t number);

  asio::io_context& io_;
  std::string address_;
  ConnectionPool links_;
  std::uint64_t calls_ = 0;
  std::map<std::uint64_t, Running> running_;  ///< By number of the call.
};

}  // namespace mulberry::gateway
