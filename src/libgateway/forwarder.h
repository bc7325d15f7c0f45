#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "libgateway/active_config.h"
#include "libgateway/call_queue.h"
#include "libgateway/call_timers.h"
#include "libgateway/caller_server.h"
#include "libgateway/connection_pool.h"
#include "libgateway/gateway_metrics.h"
#include "libgateway/platform_adapter.h"
#include "libgateway/retry_budget.h"
#include "libgateway/retry_policy.h"
#include "libgateway/server_pool.h"

namespace mulberry::gateway {

/// Takes each caller's request from its arrival to its one answer: route, server, attempts, and
/// what the caller gets when they fail. Decisions are asked of ActiveConfig, ServerPool,
/// RetryBudget and attempt_rules. Only for the thread that runs the io_context.
class Forwarder : public CallerEvents {
 public:
  struct Parts {
    asio::io_context& io;
    const PlatformAdapter& adapter;
    ActiveConfig& config;
    ServerPool& pool;
    GatewayMetrics& metrics;
    RetryLimits retries;
  };

  explicit Forwarder(Parts parts);
  ~Forwarder() override;

  /// Sets where answers go. Precondition: called before the first request.
  void SetServer(CallerServer* server) { server_ = server; }
  /// Sets this host's part of fleet-wide slack, 0 to 1.
  void SetSlackShare(double part);
  void SetRetryLimits(const RetryLimits& limits);

  void OnRequest(ExchangeId exchange, HttpMessage request, TimePoint arrived) override;
  void OnDisconnected(ExchangeId exchange) override;

  /// Tries the waiting calls again, after something has changed for the better.
  void DispatchQueued();
  void Sweep(TimePoint now);
  /// Requests that were taken since the start.
  std::uint64_t requests() const { return next_call_ - 1; }
  std::size_t calls() const { return calls_.size(); }

  /// Reports that came with answers since the last call, for other hosts.
  std::vector<ServerName> TakeReported();

 private:
  struct Attempt {
    AttemptId id;
    ServerName server;
    std::string address;
    AttemptContext context;
    std::shared_ptr<HttpClientConnection> link;
  };
  struct Call {
    CallId id;
    ExchangeId exchange = 0;
    HttpMessage request;
    std::string request_id;
    std::shared_ptr<const Route> route;
    ServiceName service;
    TimePoint arrived;
    TimePoint deadline;
    CallState state;
    std::set<ServerName> tried;
    std::vector<Attempt> running;
    TimePoint hedge_at = TimePoint::max();
    bool answered = false;  ///< Only late attempts are left.
    bool queued = false;
    const char* last_reason = "";
  };
  Call* Find(CallId id);
  bool Admit(Call& call);
  bool IsTooLate(const Call& call, TimePoint now) const;
  void TryPlace(Call& call, bool hedge, TimePoint now);
  void Enqueue(Call& call, NoServerReason reason, TimePoint now);
  void Dequeue(Call& call);
  void Send(Call& call, const Selection& choice, bool hedge, TimePoint now);
  void OnAttemptEnd(CallId id, AttemptId attempt, ExchangeResult answer);
  void TakeLoad(const ServerName& server, AttemptOutcome end, const HttpMessage& message,
                TimePoint now);
  void AfterEnd(Call& call, AttemptOutcome end, HttpMessage& message, const Attempt& attempt,
                TimePoint now);
  void Relay(Call& call, HttpMessage& message, const Attempt& attempt, TimePoint now);
  void FailCall(Call& call, int status, std::string_view reason, Duration retry_after,
                TimePoint now);
  void Reply(Call& call, std::string head, const std::string& body);
  void Refuse(ExchangeId exchange, int status, std::string_view reason,
              const std::string& request_id);
  void EndAttempts(Call& call, AttemptOutcome end, TimePoint now);
  void DropIfDone(CallId id);
  static QueuedCall QueuedFormOf(const Call& call);
  QueuePosition PositionOf(const Call& call, TimePoint now);
  Duration RetryAfterFor(const Call& call, TimePoint now);

  void SetTimer(Call& call);
  void OnDue(CallId id, TimePoint now);

  Parts parts_;
  CallerServer* server_ = nullptr;
  ConnectionPool links_;
  TrafficSplitter dealer_;
  std::map<ServiceName, RetryBudget> retry_windows_;
  double slack_part_ = 0;
  std::unordered_map<CallId, std::unique_ptr<Call>> calls_;
  std::unordered_map<ExchangeId, CallId> by_exchange_;
  std::map<ServiceName, CallQueue> queues_;
  std::minstd_rand random_{std::random_device{}()};
  CallTimers timers_;
  std::uint64_t next_call_ = 1;
  std::uint64_t next_attempt_ = 1;
  std::set<ServerName> reported_;
  bool pumping_ = false;
};

}  // namespace mulberry::gateway
