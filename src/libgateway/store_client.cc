#include "libgateway/store_client.h"

#include <utility>

namespace mulberry::gateway {
namespace {

/// A connection that was idle for longer may be closed or unresponsive. Readers call more often.
constexpr Duration kMaxConnectionIdleTime = std::chrono::seconds(5);
constexpr std::size_t kMaxHeadBytes = 16 * 1024;
/// Several times what a read returns by default (1 MB), so that only a faulty response exceeds it.
constexpr std::size_t kMaxBodyBytes = 16 * 1024 * 1024;

}  // namespace

StoreClient::StoreClient(asio::io_context& io, std::string address)
    : io_(io),
      address_(std::move(address)),
      connections_(io, {.max_head_bytes = kMaxHeadBytes, .max_body_bytes = kMaxBodyBytes}) {}

StoreClient::~StoreClient() {
  for (auto& [call_id, pending] : pending_calls_) {
    if (pending.connection) pending.connection->Close();
  }
}

void StoreClient::Call(const StoreCall& call, Duration timeout, Callback callback) {
  const std::uint64_t call_id = ++calls_;
  auto acquired = connections_.Acquire(address_, kMaxConnectionIdleTime);
  PendingCall& pending =
      pending_calls_
          .emplace(call_id,
                   PendingCall{address_, nullptr, asio::steady_timer(io_), std::move(callback)})
          .first->second;
  pending.timer.expires_after(acquired ? timeout : Duration::zero());
  pending.timer.async_wait([this, call_id](const asio::error_code& error) {
    if (!error) OnTimeout(call_id);
  });
  if (!acquired) {
    LogEvent(LogLevel::kError, "invalid_store_address", {{"error", acquired.error().message}});
    return;
  }
  pending.connection = acquired.value();
  ExchangeRequest request;
  request.head = call.method + " " + call.target + " HTTP/1.1\r\n";
  AppendHeader(request.head, "Host", address_);
  if (!call.content_type.empty()) AppendHeader(request.head, "Content-Type", call.content_type);
  if (call.method != "GET") {
    AppendHeader(request.head, "Content-Length", std::to_string(call.body.size()));
  }
  request.head += "\r\n";
  if (!call.body.empty()) request.body = std::make_shared<const MessageBody>(call.body);
  pending.connection->Exchange(std::move(request), [this, call_id](ExchangeResult result) {
    OnResult(call_id, std::move(result));
  });
}

void StoreClient::OnResult(std::uint64_t call_id, ExchangeResult result) {
  auto call = pending_calls_.extract(call_id);
  if (call.empty()) return;
  connections_.Release(call.mapped().address, call.mapped().connection);
  if (result.outcome == ExchangeOutcome::kResponseReceived) {
    call.mapped().callback(std::move(result.response));
  } else {
    call.mapped().callback(Error{ErrorCode::kUnavailable, result.error});
  }
}

void StoreClient::OnTimeout(std::uint64_t call_id) {
  auto call = pending_calls_.extract(call_id);
  if (call.empty()) return;
  if (call.mapped().connection) call.mapped().connection->Close();
  call.mapped().callback(Error{ErrorCode::kTimeout, "store did not respond in time"});
}

}  // namespace mulberry::gateway
