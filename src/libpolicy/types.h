#pragma once

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "libbase/base.h"

namespace mulberry {

/// What the policy needs to know of a class of work.
struct ClassTarget {
  ClassName name;
  bool idempotent = true;
  /// Answer time that the class should keep.
  Duration latency_target{};
  /// Share of requests, 0 to 1, that must be answered within latency_target.
  double reliability_target = 0.99;
};

/// What the policy needs to know of a request that waits for a backend server.
struct RequestInfo {
  RequestId id;
  ClassName class_name;
  /// When the entry host that took it from the caller received it.
  TimePoint arrived;
  /// Nothing is dispatched after this point.
  TimePoint deadline;
  /// True when this request descends from a retry elsewhere, so that it must not be retried.
  bool no_retry = false;
};

/// What the platform and the configuration say about one backend server of a group.
struct ServerInfo {
  ServerName name;
  /// Requests that the server can run at once when warm.
  std::uint32_t slots = 1;
  /// True once the platform's list or an operator says that it leaves: no new work.
  bool leaving = false;
  /// True when the platform announces that it is starting cold.
  bool announced_cold = false;
};

/// What is known of a server's start, for the next owner of its group.
struct ServerHandover {
  ServerName name;
  StartId start;
  /// True when the server serves all of its slots.
  bool warm = false;
  auto operator<=>(const ServerHandover&) const = default;
};

/// Share of a server's limits that this owner may use.
enum class LimitShare {
  kNone,     ///< No dispatch and no probe.
  kReduced,  ///< Half of the warm limit, nothing to cold servers, no probes.
  kWarm,     ///< The whole warm limit, half of the cold limit (rounded down), no probes.
  kFull,     ///< Everything.
};

/// How one attempt on a backend server ended.
enum class DispatchResult {
  kAnswered,        ///< A whole answer below status 500.
  kServerError,     ///< A whole answer of status 500 or more that is not a shed.
  kShed,            ///< The server's explicit "not run" answer (overloaded, draining, too late).
  kConnectRefused,  ///< No connection, so not run.
  kNotSent,         ///< Failed before the first byte of the request, so not run.
  kBroken,          ///< Connection lost after the first byte and before the whole answer.
  kTimedOut,        ///< No whole answer by the deadline.
  kCancelled,       ///< Ended by CancelDispatch.
};

/// True when the result proves that the server did not run the request.
bool ProvesNotRun(DispatchResult result);

/// Report of one attempt's end.
struct DispatchReport {
  DispatchId dispatch;
  DispatchResult result = DispatchResult::kAnswered;
  /// Start id named in the answer, zero if there was no answer.
  StartId server_start;
  /// True when the server's answer forbids a retry.
  bool no_retry = false;
};

/// Answer to a probe: the server's load endpoint, which can lag or mislead.
struct ProbeReport {
  ServerName server;
  bool answered = false;
  StartId server_start;
  bool reported_cold = false;
  bool reported_leaving = false;
  std::uint32_t reported_in_flight = 0;
};

/// Why a request was refused; each has a counter.
enum class RefusalReason {
  kQueueFull,
  kDeadlineUnreachable,  ///< Expected wait is longer than the time left.
  kDeadlinePassed,       ///< Expired in the queue.
  kShedForOtherClass,    ///< Overload: another class is further from its reliability target.
  kNoServer,             ///< Every server is leaving, ejected, cold and busy, or absent.
  kRetryBudgetSpent,     ///< Attempts failed and the retry budget is spent.
  kAttemptsExhausted,
  kServerFailed,  ///< A failure after which a retry is not allowed.
  kNotOwner,      ///< This host has no lease on the group now.
  kLeaving,       ///< Data centre or entry host is leaving.
  kCancelled,     ///< The caller went away.
};

/// Returns the snake_case name of a reason, for metrics, logs and answers.
const char* RefusalReasonName(RefusalReason reason);

/// Why an attempt was made again; each has a counter.
enum class RetryReason { kShed, kConnectRefused, kNotSent, kBroken, kServerError, kHedge };

/// Returns the snake_case name of a reason, for metrics and logs.
const char* RetryReasonName(RetryReason reason);

/// Send a request to a server. The deadline goes with it.
struct StartDispatch {
  DispatchId dispatch;
  RequestId request;
  ServerName server;
  TimePoint deadline;
  /// Set on a further attempt.
  std::optional<RetryReason> retry;
};
/// End an attempt whose answer is not wanted any more.
struct CancelDispatch {
  DispatchId dispatch;
};
/// Give the caller the answer of this attempt, whole.
struct RelayAnswer {
  RequestId request;
  DispatchId dispatch;
};
/// The request ends without an answer.
struct RefuseRequest {
  RequestId request;
  RefusalReason reason = RefusalReason::kQueueFull;
  /// True when an attempt may have run at a server.
  bool may_have_run = false;
};
/// The group can't take the request in time; nothing was dispatched. The router may hand it to
/// another data centre or refuse it with this reason.
struct ReturnToRouter {
  RequestId request;
  RefusalReason reason = RefusalReason::kQueueFull;
};
/// Ask a server's load endpoint. Costs one unit of the probe budget.
struct StartProbe {
  ServerName server;
};

/// An order of the policy to the transports.
using PolicyAction = std::variant<StartDispatch, CancelDispatch, RelayAnswer, RefuseRequest,
                                  ReturnToRouter, StartProbe>;
/// Orders in the sequence in which they must be carried out.
using PolicyActions = std::vector<PolicyAction>;

}  // namespace mulberry
