#pragma once

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "libbase/base.h"

namespace mulberry {

/// Properties and targets of a class of requests.
struct ClassTarget {
  ClassName name;
  bool idempotent = true;
  /// Target for the time from arrival to answer.
  Duration latency_target{};
  /// Share of requests, 0 to 1, that must be answered within latency_target.
  double reliability_target = 0.99;
};

/// A request that is submitted to a dispatcher.
struct RequestInfo {
  RequestId id;
  ClassName class_name;
  /// Time at which the entry host that accepted the request received it from the caller.
  TimePoint arrived;
  /// No attempt starts at or after this time.
  TimePoint deadline;
  /// True when the request results from a retry elsewhere and so must not be retried here.
  bool no_retry = false;
  /// False when the request must not run twice, even if its class is idempotent by now.
  bool idempotent = true;
};

/// One backend server of a group, as the platform and the configuration describe it.
struct ServerInfo {
  ServerName name;
  /// Requests that the server can run concurrently when warm.
  std::uint32_t slots = 1;
  /// True once the platform's list or an operator marks the server as leaving. A leaving server
  /// gets no new requests.
  bool leaving = false;
  /// True when the platform announces that the server is starting cold.
  bool announced_cold = false;
};

/// State of a server that the owner of a group passes on to the group's next owner.
struct ServerHandover {
  ServerName name;
  StartId start;
  /// True when the server is warm and may use all of its slots.
  bool warm = false;
  /// Concurrent requests that a cold server gets. Meaningless for a warm one.
  std::uint32_t limit = 1;
  /// Until then a cold server gets at most `cold_slots`.
  TimePoint cold_until;
  auto operator<=>(const ServerHandover&) const = default;
};

/// Share of the servers' limits that this owner of a group may use.
enum class LimitShare {
  kNone,     ///< No dispatch and no probe.
  kReduced,  ///< Half of the warm limit, no requests to cold servers, no probes.
  kWarm,     ///< The whole warm limit, half of the cold limit (rounded down), no probes.
  kFull,     ///< All limits, and probes.
};

/// How one attempt on a backend server ended.
enum class DispatchResult {
  kAnswered,        ///< A complete answer with a status below 500.
  kServerError,     ///< A complete answer with status 500 or above, other than kShed.
  kShed,            ///< An explicit "not run" answer: overloaded, draining or too late.
  kConnectRefused,  ///< No connection was established, so not run.
  kNotSent,         ///< Failed before the first byte of the request was sent, so not run.
  kBroken,          ///< Connection lost after the first byte was sent and before the answer ended.
  kTimedOut,        ///< No complete answer by the deadline.
  kCancelled,       ///< Ended by CancelDispatch.
};

/// True when the result proves that the server did not run the request.
bool ProvesNotRun(DispatchResult result);

/// Describes how an attempt ended.
struct DispatchReport {
  DispatchId dispatch;
  DispatchResult result = DispatchResult::kAnswered;
  /// Start id in the answer, zero if there was no answer.
  StartId server_start;
  /// True when the server's answer forbids a retry.
  bool no_retry = false;
};

/// Result of a probe of a server's load endpoint. What the endpoint reports can be outdated or
/// wrong.
struct ProbeReport {
  ServerName server;
  bool answered = false;
  StartId server_start;
  bool reported_cold = false;
  bool reported_leaving = false;
  std::uint32_t reported_in_flight = 0;
};

/// Why a request was refused. Each reason has a counter.
enum class RefusalReason {
  kQueueFull,
  kDeadlineUnreachable,  ///< The expected wait exceeds the time left until the deadline.
  kDeadlinePassed,       ///< The deadline passed in the queue.
  kShedForOtherClass,    ///< Shed on a full queue in favour of another class.
  kNoServer,             ///< Every server is leaving, ejected, absent, or cold and busy.
  kRetryBudgetSpent,     ///< An attempt failed and the retry budget is spent.
  kAttemptsExhausted,
  kServerFailed,  ///< A failure after which a retry is not allowed.
  kNotOwner,      ///< This entry host does not hold the group's lease.
  kLeaving,       ///< The data centre or entry host is leaving.
  kCancelled,     ///< The caller disconnected.
};

/// Returns the snake_case name of a reason, for metrics, logs and answers.
const char* RefusalReasonName(RefusalReason reason);

/// Why a further attempt was made. Each reason has a counter.
enum class RetryReason { kShed, kConnectRefused, kNotSent, kBroken, kServerError, kHedge };

/// Returns the snake_case name of a reason, for metrics and logs.
const char* RetryReasonName(RetryReason reason);

/// Sends a request and its deadline to a server.
struct StartDispatch {
  DispatchId dispatch;
  RequestId request;
  ServerName server;
  TimePoint deadline;
  /// Set on every attempt but the first.
  std::optional<RetryReason> retry;
};
/// Cancels an attempt whose answer is no longer needed.
struct CancelDispatch {
  DispatchId dispatch;
};
/// Sends the complete answer of this attempt to the caller.
struct RelayAnswer {
  RequestId request;
  DispatchId dispatch;
};
/// Ends a request without an answer from a server.
struct RefuseRequest {
  RequestId request;
  RefusalReason reason = RefusalReason::kQueueFull;
  /// True when a server may have run an attempt.
  bool may_have_run = false;
};
/// Returns a request that the group cannot serve in time and of which no attempt was made. The
/// router may forward it to another data centre or refuse it with this reason.
struct ReturnToRouter {
  RequestId request;
  RefusalReason reason = RefusalReason::kQueueFull;
};
/// Queries a server's load endpoint. Counts against the limit on the rate of probes.
struct StartProbe {
  ServerName server;
};

/// An action that the transports carry out for the dispatcher.
using PolicyAction = std::variant<StartDispatch, CancelDispatch, RelayAnswer, RefuseRequest,
                                  ReturnToRouter, StartProbe>;
/// Actions in the order in which they must be carried out.
using PolicyActions = std::vector<PolicyAction>;

}  // namespace mulberry
