#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "libworkspace/bucket_set.h"
#include "libworkspace/cap_types.h"
#include "libworkspace/lender_view.h"
#include "libworkspace/token_lender.h"

namespace mulberry::workspace {

/// Whether a request may be sent to a server.
struct CapDecision {
  enum class Step {
    kSend,    ///< A token is available.
    kWait,    ///< A lender may still grant one.
    kRefuse,  ///< None can come now.
  };
  Step step = Step::kSend;
  /// With kRefuse: when there will be room.
  Duration retry_after{};
};

/// The rate limits of all workspaces as one host enforces them: it takes tokens from its floor,
/// from those that it has borrowed, and from its own buckets if it is a lender. Does no I/O: time
/// is passed in. Not thread safe.
class CapLimiter {
 public:
  struct Query {
    HostName lender;
    TokenQuery query;
  };

  explicit CapLimiter(StartId start) : start_(start) {}

  /// Configures who is responsible. `fresh`: no host of the deployment has ever served a request,
  /// so that buckets of a new role may start full.
  void SetRoles(const CapRoles& roles, bool fresh, const CapTime& time);
  void SetLimits(const CapLimits& limits, const CapTime& time);
  void SetWorkspaces(const std::vector<Workspace>& workspaces, const CapTime& time);
  /// While suspended, the host uses none of its own buckets and lends nothing: its configuration
  /// may be outdated, and a cap may have been lowered.
  void SetSuspended(bool suspended) { suspended_ = suspended; }
  /// True if any workspace is limited.
  bool active() const { return !states_.empty(); }
  bool IsLimited(const WorkspaceName& workspace) const { return states_.contains(workspace); }

  /// Counts a request that has arrived, for the estimate of the demand.
  void OnDemand(const WorkspaceName& workspace, const CapTime& time);
  /// Decides about one more request beside those that wait. Takes nothing.
  CapDecision Decide(const WorkspaceName& workspace, const CapTime& time);
  /// Takes a token for a send that happens now; false if there is none.
  bool Take(const WorkspaceName& workspace, const CapTime& time);
  /// Sets how many requests wait for a token.
  void SetWaiting(const WorkspaceName& workspace, std::uint32_t count);

  /// Returns the queries to send now: for requests that wait and, with `ahead`, for the expected
  /// demand.
  std::vector<Query> TakeQueries(bool ahead, const CapTime& time);
  /// Applies a lender's answer; returns the workspaces that it is about. One that is late, repeated
  /// or for another run of this host has no effect.
  std::vector<WorkspaceName> OnGrant(const HostName& lender, const TokenGrant& grant,
                                     const CapTime& time);
  /// Answers another host's query.
  std::optional<TokenGrant> OnQuery(const HostName& host, StartId start, const TokenQuery& query,
                                    const CapTime& time);
  /// The lenders from which no answer has come lately.
  std::vector<HostName> SilentLenders(TimePoint now) const;

 private:
  struct Lot {
    TimePoint expires;
    std::uint32_t tokens = 0;
  };
  struct State {
    Workspace workspace;
    CapShare share;
    std::vector<Lot> borrowed;  ///< In the order of expiry.
    std::vector<LenderView> lenders;
    std::uint32_t waiting = 0;
    double demand = 0;  ///< Requests per second at this host.
    TimePoint demand_at;
    TimePoint last_refusal_slot;
  };
  struct Lender {
    std::uint64_t unanswered = 0;  ///< Queries without an answer, in a row.
    TimePoint ask_again_at;
  };
  struct Outstanding {
    std::size_t lender = 0;
    TimePoint sent_at;
    bool timed_out = false;
    std::vector<TokenQuery::Part> parts;
  };

  void UpdateShares(const CapTime& time);
  void ResetLenders(State& state) const;
  /// Whole tokens that this host has without asking another one.
  std::uint32_t OwnTokens(const State& state, const CapTime& time);
  static std::uint32_t Borrowed(const State& state, TimePoint now);
  bool IsSilent(std::size_t lender, TimePoint now) const {
    return now < lenders_[lender].ask_again_at;
  }
  bool IsOwn(std::size_t lender) const { return roles_.own_lender == lender; }
  void ExpireQueries(TimePoint now);
  static double DemandAt(const State& state, TimePoint now);
  std::uint32_t TokensToAsk(const State& state, bool ahead, const CapTime& time);
  std::vector<std::size_t> LendersByPreference(const State& state, TimePoint now) const;
  Duration RetryAfterFor(State& state, const CapTime& time);

  StartId start_;
  CapLimits limits_;
  CapRoles roles_;
  bool suspended_ = false;
  BucketSet floors_;
  TokenLender own_lender_;
  std::unordered_map<WorkspaceName, State> states_;
  std::vector<Lender> lenders_;
  std::map<std::uint64_t, Outstanding> outstanding_;
  std::uint64_t next_sequence_ = 1;
};

}  // namespace mulberry::workspace
