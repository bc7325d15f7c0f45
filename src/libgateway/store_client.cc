#include "libgateway/store_client.h"

#include <utility>

namespace mulberry::gateway {
namespace {

/// A kept connection that was idle for longer may be closed or silent; readers call more often.
constexpr Duration kStoreIdle = std::chrono::seconds(5);
constexpr std::size_t kMostHeadBytes = 16 * 1024;
/// Several times what a read returns by default (1 MB), so that only a broken answer exceeds it.
constexpr std::size_t kMostAnswerBytes = 16 * 1024 * 1024;

}  // namespace

StoreClient::StoreClient(asio::io_context& io, std::string address)
    : io_(io),
      address_(std::move(address)),
      links_(io, {.max_head_bytes = kMostHeadBytes, .max_body_bytes = kMostAnswerBytes}) {}

StoreClient::~StoreClient() {
  for (auto& [number, running] : running_) {
    if (running.link) running.link->Close();
  }
}

void StoreClient::Call(const StoreCall& call, Duration timeout, Done done) {
  const std::uint64_t number = ++calls_;
  auto taken = links_.Acquire(address_, kStoreIdle);
  Running& running =
      running_.emplace(number, Running{address_, nullptr, asio::steady_timer(io_), std::move(done)})
          .first->second;
  running.timer.expires_after(taken ? timeout : Duration::zero());
  running.timer.async_wait([this, number](const asio::error_code& error) {
    if (!error) OnTimeout(number);
  });
  if (!taken) {
    LogEvent(LogLevel::kError, "store_address_unusable", {{"error", taken.error().message}});
    return;
  }
  running.link = taken.value();
  ExchangeRequest request;
  request.bytes = call.method + " " + call.target + " HTTP/1.1\r\n";
  AppendHeader(request.bytes, "Host", address_);
  if (!call.content_type.empty()) AppendHeader(request.bytes, "Content-Type", call.content_type);
  if (call.method != "GET") {
    AppendHeader(request.bytes, "Content-Length", std::to_string(call.body.size()));
  }
  request.bytes += "\r\n" + call.body;
  running.link->Exchange(std::move(request), [this, number](ExchangeResult answer) {
    OnAnswer(number, std::move(answer));
  });
}

void StoreClient::OnAnswer(std::uint64_t number, ExchangeResult answer) {
  auto call = running_.extract(number);
  if (call.empty()) return;
  links_.Release(call.mapped().address, call.mapped().link);
  if (answer.outcome == ExchangeOutcome::kResponseReceived) {
    call.mapped().done(std::move(answer.response));
  } else {
    call.mapped().done(Error{ErrorCode::kUnavailable, answer.error});
  }
}

void StoreClient::OnTimeout(std::uint64_t number) {
  auto call = running_.extract(number);
  if (call.empty()) return;
  if (call.mapped().link) call.mapped().link->Close();
  call.mapped().done(Error{ErrorCode::kTimeout, "no answer of the store in time"});
}

}  // namespace mulberry::gateway
