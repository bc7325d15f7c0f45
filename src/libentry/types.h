#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "libconfig/config.h"
#include "libfleet/fleet.h"
#include "libpolicy/policy.h"

namespace mulberry {

/// Point of time as both clocks show it, taken once for each event.
struct Instant {
  TimePoint mono;
  WallTime wall;
};

/// Settings of the decisions of one entry host.
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
  /// Round robin over all servers with plain retries, for comparison.
  bool naive = false;
  std::uint64_t random_seed = 1;
};

/// A request as a caller sent it.
struct CallerRequest {
  RequestId id;  ///< Chosen by the transport, unique in this process.
  ClassName class_name;
  std::string method;
  std::string path;  ///< With the query; begins with '/'.
  std::string content_type;
  std::string body;
  /// Time that the caller gives, zero for the default.
  Duration timeout{};
  std::string ticket;
  std::uint32_t depth = 0;
  bool no_retry = false;
};

/// What the caller is told.
struct CallerAnswer {
  RunOutcome outcome = RunOutcome::kNotRun;
  int status = 503;
  std::string reason;  ///< snake_case, empty when answered.
  std::string content_type;
  std::string body;
  std::string server;
  bool no_retry = false;
};

/// Addresses for a class.
struct AddressAnswer {
  /// "ip:port" of entry hosts, best first.
  std::vector<std::string> addresses;
  Duration ttl{};
  std::string ticket;  ///< Empty for idempotent classes.
  Duration ticket_ttl{};
};

/// End of an attempt, with the answer that the backend server gave.
struct ServerReply {
  DispatchReport report;
  int status = 0;
  std::string content_type;
  std::string body;
};

/// Send a message to another entry host.
struct SendPeer {
  HostName host;
  std::string address;
  PeerMessage message;
};
/// Send a request to a backend server.
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
/// End an exchange with a backend server.
struct CancelSend {
  DispatchId dispatch;
};
/// Ask a backend server's load endpoint.
struct ProbeServer {
  ServerName server;
  std::string address;
};
/// Answer a caller.
struct AnswerCaller {
  RequestId request;
  CallerAnswer answer;
};

/// An order of the decisions to the transports.
using EntryAction = std::variant<SendPeer, SendToServer, CancelSend, ProbeServer, AnswerCaller,
                                 ReadLog, AppendRecord>;
using EntryActions = std::vector<EntryAction>;

/// Receives what is counted. Implementations must be quick and must not call back.
class EntryObserver {
 public:
  virtual ~EntryObserver() = default;
  virtual void OnAnswered(const ClassName& class_name, Duration latency) = 0;
  virtual void OnRefused(const ClassName& class_name, const std::string& reason) = 0;
  virtual void OnRetry(const ClassName& class_name, const std::string& reason) = 0;
  virtual void OnForward(const ClassName& class_name, const std::string& result) = 0;
  virtual void OnProbe(const ServiceName& service) = 0;
  virtual void OnClaim(const std::string& result) = 0;
};

}  // namespace mulberry
