#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "libconfig/config.h"
#include "libfleet/fleet.h"
#include "libpolicy/policy.h"

namespace mulberry {

/// Monotonic and wall-clock time of one event. Both clocks are read once per event.
struct Instant {
  TimePoint mono;
  WallTime wall;
};

/// Settings of one EntryHost.
struct EntryOptions {
  SelfDescription self;
  MembershipOptions membership;
  LeaseOptions lease;
  FollowerOptions follower;
  ClaimHolderOptions claim_holder;
  DispatcherOptions dispatcher;
  std::string ticket_secret;
  Duration address_ttl = std::chrono::seconds(2);
  Duration ticket_ttl = std::chrono::seconds(60);
  Duration default_deadline = std::chrono::seconds(2);
  Duration max_deadline = std::chrono::seconds(5);
  std::uint32_t max_requests = 4000;
  std::uint32_t max_depth = 8;
  /// Uses round robin over all servers with plain retries, as a baseline for comparison.
  bool naive = false;
  std::uint64_t random_seed = 1;
};

/// A request received from a caller.
struct CallerRequest {
  RequestId id;  ///< Chosen by the transport, unique in this process.
  ClassName class_name;
  std::string method;
  std::string path;  ///< With the query; begins with '/'.
  std::string content_type;
  std::string body;
  /// Timeout set by the caller; zero selects `default_deadline`.
  Duration timeout{};
  std::string ticket;
  std::uint32_t depth = 0;
  bool no_retry = false;
};

/// The response to a caller.
struct CallerAnswer {
  RunOutcome outcome = RunOutcome::kNotRun;
  int status = 503;
  std::string reason;  ///< snake_case; empty when a backend server answered.
  std::string content_type;
  std::string body;
  std::string server;
  bool no_retry = false;
};

/// The entry hosts to use for a request class, and a ticket if the class needs one.
struct AddressAnswer {
  /// "ip:port" of entry hosts, best first.
  std::vector<std::string> addresses;
  Duration ttl{};
  std::string ticket;  ///< Empty for idempotent classes.
  Duration ticket_ttl{};
};

/// Result of one attempt on a backend server, with the response if there is one.
struct ServerReply {
  DispatchReport report;
  int status = 0;
  std::string content_type;
  std::string body;
};

/// Sends a message to another entry host.
struct SendPeer {
  HostName host;
  std::string address;
  PeerMessage message;
};
/// Sends a request to a backend server.
struct SendToServer {
  DispatchId dispatch;
  ServerName server;
  std::string address;
  std::string method;
  std::string path;
  std::string content_type;
  std::string body;
  ClassName class_name;
  bool idempotent = true;
  IdempotencyKey key;
  std::uint32_t depth = 0;
  bool no_retry = false;
  WallTime deadline;
  Duration timeout{};
};
/// Cancels a request to a backend server.
struct CancelSend {
  DispatchId dispatch;
};
/// Sends a health check to a backend server's load endpoint.
struct ProbeServer {
  ServerName server;
  std::string address;
};
/// Sends the response to a caller.
struct AnswerCaller {
  RequestId request;
  CallerAnswer answer;
};

/// An action that the decision logic asks the transports to perform.
using EntryAction = std::variant<SendPeer, SendToServer, CancelSend, ProbeServer, AnswerCaller,
                                 ReadLog, AppendRecord>;
using EntryActions = std::vector<EntryAction>;

/// What an entry host that leaves does next.
enum class LeavingStep {
  kServe,      ///< Serves callers that still use its address.
  kCloseIdle,  ///< Closes its port and idle connections, and answers what has arrived.
  kExit        ///< No connection is open and nothing is left to answer.
};

/// Receives the events that metrics count. Implementations must return quickly and must not call
/// back into the entry host.
class EntryObserver {
 public:
  virtual ~EntryObserver() = default;
  virtual void OnAnswered(const ClassName& class_name, Duration latency) = 0;
  virtual void OnRefused(const ClassName& class_name, const std::string& reason) = 0;
  virtual void OnRetry(const ClassName& class_name, const std::string& reason) = 0;
  virtual void OnForward(const ClassName& class_name, const std::string& result) = 0;
  virtual void OnProbe(const ServiceName& service) = 0;
  virtual void OnClaim(const std::string& result) = 0;
  /// This host's lease on a group changed. `before` and `after` are names of lease phases.
  virtual void OnLeaseChange(const GroupName& group, const std::string& before,
                             const std::string& after) = 0;
};

}  // namespace mulberry
