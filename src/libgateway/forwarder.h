#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "libadmission/admission.h"
#include "libgateway/active_config.h"
#include "libgateway/call_timers.h"
#include "libgateway/caller_server.h"
#include "libgateway/cap_gate.h"
#include "libgateway/connection_pool.h"
#include "libgateway/gateway_metrics.h"
#include "libgateway/http_writer.h"
#include "libgateway/key_gate.h"
#include "libgateway/platform_adapter.h"
#include "libgateway/retry_budget.h"
#include "libgateway/retry_policy.h"
#include "libgateway/rollout_controller.h"
#include "libgateway/server_pool.h"
#include "libgateway/shutdown_policy.h"

namespace mulberry::gateway {

/// Handles each request of a caller from its arrival to its single response: routing, server
/// selection, attempts, and the error response when they fail. Decisions are made by ActiveConfig,
/// ServerPool, RetryBudget and retry_policy. Only for the thread that runs the io_context.
class Forwarder : public CallerEvents {
 public:
  struct Dependencies {
    asio::io_context& io;
    const PlatformAdapter& adapter;
    ActiveConfig& config;
    ServerPool& pool;
    GatewayMetrics& metrics;
    /// For the bodies of responses.
    MemoryBudget& memory;
    RetryLimits retries;
    /// Null: versions of servers are ignored.
    RolloutController* rollout = nullptr;
  };

  explicit Forwarder(Dependencies deps);
  ~Forwarder() override;

  /// Sets where responses are sent. Precondition: called before the first request.
  void SetServer(CallerServer* server) { server_ = server; }
  /// Sets this host's share, 0 to 1, of the fleet-wide retry slack.
  void SetSlackShare(double share);
  void SetRetryLimits(const RetryLimits& limits);
  /// From now on, refuses requests that might not be answered before the host exits.
  void SetShutdown(const ShutdownPolicy& policy) { shutdown_ = policy; }

  /// Sets what enforces the rate limits of workspaces; without it, none are enforced.
  void SetCaps(CapGate* caps) { caps_ = caps; }
  /// Decides again about a call that waits for a token; `expired`: it must not wait any longer.
  void OnCapWait(CallId id, bool expired);

  void OnRequest(ExchangeId exchange, HttpMessage request, TimePoint arrived) override;
  void OnDisconnected(ExchangeId exchange) override;
  void OnMemoryFull(ExchangeId exchange, const HttpMessage& head) override;

  KeyGate& key_gate() { return key_gate_; }
  /// Decides again about the calls that wait for a proof of freshness, after the proof or the
  /// configuration has changed.
  void OnKeysChanged(TimePoint now);

  /// Dispatches queued calls again after capacity may have become available.
  void DispatchQueued();
  void Sweep(TimePoint now);
  /// Gives all calls that have no response an error response.
  void FailAll(TimePoint now);
  /// Requests accepted since the start.
  std::uint64_t requests() const { return next_call_ - 1; }
  std::size_t calls() const { return calls_.size(); }

  /// Servers whose load reports arrived with responses since the last call, to be shared with other
  /// hosts.
  std::vector<ServerName> TakeReported();

 private:
  struct Attempt {
    AttemptId id;
    ServerName server;
    std::string address;
    AttemptContext context;
    std::shared_ptr<HttpClientConnection> link;
  };
  /// The next step of the call is being decided.
  struct Ready {};
  /// The call waits for a proof that the configuration is the newest.
  struct WaitsForProof {
    TimePoint until;
  };
  /// The call waits in the queue of its service.
  struct Queued {};
  /// The call waits for a token of its workspace's rate limit.
  struct WaitsForCap {};
  /// At least one attempt is running.
  struct Running {
    TimePoint hedge_at = TimePoint::max();
  };
  /// The caller has its response or is gone; only late attempts remain.
  struct Answered {};
  /// A call is in one phase at a time, and only EnterPhase changes it.
  using Phase = std::variant<Ready, WaitsForProof, Queued, WaitsForCap, Running, Answered>;
  struct Call {
    CallId id;
    ExchangeId exchange = 0;
    HttpMessage request;  ///< Its body is in `body`.
    std::shared_ptr<const MessageBody> body;
    std::string request_id;
    std::shared_ptr<const Route> route;
    ServiceName service;
    TimePoint arrived;
    TimePoint deadline;
    std::uint32_t priority = 0;  ///< The workspace's if it has one, else the route's.
    WorkspaceHeaders workspace;  ///< Of the configuration by which the key was last checked.
    /// What the queue knows of the call, from EnterQueue on. Unlike `workspace` it never changes.
    admission::QueuedCall queue_entry;
    Phase phase;
    CallState state;
    std::set<ServerName> tried;
    std::set<std::string> tried_addresses;
    std::vector<Attempt> running;
    const char* last_wait_reason = "";
  };
  enum class FailureCause { kTimeout, kOverCap, kOther };
  Call* Find(CallId id);
  bool Admit(Call& call);
  bool AdmitKey(Call& call);
  void AdoptWorkspace(Call& call, const KeyDecision& decision);
  void DecideWaiting(CallId id, bool may_wait, TimePoint now);
  void RefuseKey(const Call& call, const KeyDecision& decision, TimePoint now);
  bool IsKeyStillValid(Call& call, bool hedge, TimePoint now);
  bool IsTooLate(const Call& call, TimePoint now) const;
  void EnterPhase(Call& call, Phase phase);
  template <class P>
  static bool IsIn(const Call& call) {
    return std::holds_alternative<P>(call.phase);
  }
  static bool MaySend(const Call& call, bool hedge);
  void TryDispatch(Call& call, bool hedge, TimePoint now);
  bool CheckCap(Call& call, bool hedge, TimePoint now);
  /// The call's workspace if rate limits are enforced, else null.
  const WorkspaceName* CappedWorkspace(const Call& call) const;
  void OnWorkspaceKnown(const Call& call);
  bool HasCapToken(const Call& call) const;
  void WaitForCap(Call& call);
  void FailOverCap(Call& call, Duration retry_after, TimePoint now);
  /// Counts the call's arrival and lets those that already wait go first.
  void EnterQueue(Call& call, TimePoint now);
  /// True when a queued call whose timer expired may wait on.
  bool KeepsWaiting(const Call& call, TimePoint now);
  TimePoint FailTimeOf(const Call& call, TimePoint now);
  void Enqueue(Call& call, NoServerReason reason, TimePoint now);
  void LeaveQueue(const Call& call);
  Result<std::shared_ptr<HttpClientConnection>> ConnectionFor(const Call& call,
                                                              const std::string& address);
  void Send(Call& call, const Selection& choice, bool hedge, TimePoint now);
  TimePoint HedgeTime(const Call& call, TimePoint now) const;
  void OnAttemptEnd(CallId id, AttemptId attempt, ExchangeResult answer);
  void LogAttemptFailure(const Call& call, const Attempt& attempt, AttemptOutcome end,
                         const ExchangeResult& answer, TimePoint now) const;
  void RecordForRollout(const Call& call, const Attempt& attempt, AttemptOutcome end,
                        TimePoint now);
  void RecordLoadReport(const ServerName& server, AttemptOutcome end, const HttpMessage& message,
                        TimePoint now);
  void RecordLeaving(const ServerName& server, AttemptOutcome end, const HttpMessage& message);
  void RecordPause(const ServerName& server, AttemptOutcome end, const HttpMessage& message,
                   TimePoint now);
  void HandleAttemptEnd(Call& call, AttemptOutcome end, HttpMessage& message,
                        const Attempt& attempt, TimePoint now);
  void Relay(Call& call, HttpMessage& message, const Attempt& attempt, TimePoint now);
  void FailCall(Call& call, FailureCause cause, std::string_view reason, Duration retry_after,
                TimePoint now);
  void Reply(Call& call, std::string head, MessageBody body);
  void Refuse(ExchangeId exchange, int status, std::string_view reason,
              const std::string& request_id, Duration retry_after);
  void CancelAttempts(Call& call, AttemptOutcome end, TimePoint now);
  void EraseIfDone(CallId id);
  static admission::QueuedCall ToQueuedCall(const Call& call);
  Duration RetryAfterFor(const Call& call, TimePoint now);

  void SetTimer(const Call& call);
  TimePoint DueTime(const Call& call, const Ready& phase) const;
  TimePoint DueTime(const Call& call, const WaitsForProof& phase) const;
  TimePoint DueTime(const Call& call, const Queued& phase);
  TimePoint DueTime(const Call& call, const WaitsForCap& phase) const;
  TimePoint DueTime(const Call& call, const Running& phase) const;
  TimePoint DueTime(const Call& call, const Answered& phase) const;
  void OnCallTimer(CallId id, TimePoint now);
  void OnTimer(Call& call, const Ready& phase, TimePoint now);
  void OnTimer(Call& call, const WaitsForProof& phase, TimePoint now);
  void OnTimer(Call& call, const Queued& phase, TimePoint now);
  void OnTimer(Call& call, const WaitsForCap& phase, TimePoint now);
  void OnTimer(Call& call, const Running& phase, TimePoint now);
  void OnTimer(Call& call, const Answered& phase, TimePoint now);

  Dependencies deps_;
  KeyGate key_gate_{deps_.config};
  /// Calls in the phase WaitsForProof.
  std::set<CallId> waiting_for_proof_;
  CallerServer* server_ = nullptr;
  CapGate* caps_ = nullptr;
  ConnectionPool links_;
  TrafficSplitter traffic_splitter_{std::random_device{}()};
  std::map<ServiceName, RetryBudget> retry_budgets_;
  double slack_share_ = 0;
  std::optional<ShutdownPolicy> shutdown_;
  std::unordered_map<CallId, std::unique_ptr<Call>> calls_;
  std::unordered_map<ExchangeId, CallId> calls_by_exchange_;
  std::map<ServiceName, admission::CallQueue> queues_;
  /// Mean bytes of a request and its response by route, for the price of leaving the data centre.
  std::map<std::string, double> route_bytes_;
  std::minstd_rand random_{std::random_device{}()};
  CallTimers timers_;
  std::uint64_t next_call_ = 1;
  std::uint64_t next_attempt_ = 1;
  std::set<ServerName> reported_;
  bool dispatching_ = false;
};

}  // namespace mulberry::gateway
