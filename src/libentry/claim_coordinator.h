#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "libentry/types.h"

namespace mulberry {

/// This host won the claim: it is the only one that may run the request.
struct ClaimWon {
  RequestId request;
  IdempotencyKey key;
};
/// The request ends with this answer and must not run on this host.
struct ClaimEnded {
  RequestId request;
  CallerAnswer answer;
};

using ClaimEvent = std::variant<SendPeer, ClaimWon, ClaimEnded>;
using ClaimEvents = std::vector<ClaimEvent>;

/// Claims the keys of non-idempotent requests for this host, stores their results for further
/// attempts, and acts as claim holder for other hosts.
///
/// Reports "not run" for a key only while this host holds its claim and has not started the
/// request. A SendPeer with an empty address goes to the host's listed address. Does no I/O and
/// reads no clock. Not thread safe; must not be called while its own events are being handled.
class ClaimCoordinator {
 public:
  ClaimCoordinator(Incarnation self, ClaimHolderOptions options, std::uint64_t random_seed);

  /// Starts to claim a key, or waits for the attempt that this host already tracks.
  /// Precondition: `request` is new; `deadline` is in the future.
  void Begin(RequestId request, const IdempotencyKey& key, const Ticket& ticket,
             std::uint64_t digest, TimePoint deadline, Instant now, ClaimEvents& events);

  /// Completes a request whose key this host won, with its answer, or with kNotRun if it was never
  /// dispatched and never will be. Further attempts get the same answer. Unknown keys are ignored.
  void Finish(const IdempotencyKey& key, const CallerAnswer& answer, Instant now,
              ClaimEvents& events);

  /// Removes the waiting attempt of a caller that disconnected. A request that won its claim is not
  /// affected.
  void RemoveWaiter(RequestId request);

  void OnClaimRequest(const Incarnation& from, const ClaimRequest& message, Instant now,
                      ClaimEvents& events);
  void OnClaimAnswer(const Incarnation& from, const ClaimAnswer& message, Instant now,
                     ClaimEvents& events);
  void OnClaimRelease(const Incarnation& from, const ClaimRelease& message);
  void OnOutcomeQuery(const Incarnation& from, const OutcomeQuery& message, Instant now,
                      ClaimEvents& events);
  void OnOutcomeAnswer(const OutcomeAnswer& message, ClaimEvents& events);

  /// Ends due claim rounds and waits, and removes expired results.
  void Tick(Instant now, ClaimEvents& events);

  /// Returns the time of the next due timer, TimePoint::max() if there is none.
  TimePoint NextTick() const;

  /// Number of keys with an unfinished claim or an unfinished won request.
  std::size_t unfinished() const { return records_.size(); }
  std::size_t claims_held_for_others() const { return holder_.size(); }

 private:
  enum class Stage { kClaiming, kBackoff, kQueryingClaimant, kWon };
  struct LocalWaiter {
    RequestId request;
    TimePoint deadline;
  };
  struct RemoteWaiter {
    HostName host;
    RequestId id;
    TimePoint deadline;
  };
  struct Record {
    Stage stage = Stage::kClaiming;
    Ticket ticket;
    std::uint64_t digest = 0;
    std::uint64_t round = 0;
    std::uint32_t rounds_left = 0;
    std::optional<ClaimRound> claim_round;
    /// End of the round, of the backoff before the next one, or of the wait for another host.
    TimePoint due = TimePoint::max();
    LocalWaiter initiator;
    std::vector<LocalWaiter> local_waiters;
    std::vector<RemoteWaiter> remote_waiters;
  };
  /// Result of a request whose key this host had won.
  struct CompletedRequest {
    std::uint64_t digest = 0;
    CallerAnswer answer;
    WallTime retain_until;
  };
  using RecordMap = std::map<IdempotencyKey, Record>;

  void StartRound(Record& record, const IdempotencyKey& key, Instant now, ClaimEvents& events);
  void ApplyRoundResult(RecordMap::iterator it, Instant now, ClaimEvents& events);
  void QueryClaimant(Record& record, const IdempotencyKey& key, Instant now, ClaimEvents& events);
  void ReleaseRound(const Record& record, const IdempotencyKey& key, ClaimEvents& events);
  void AnswerWaiters(Record& record, const IdempotencyKey& key, const CallerAnswer& answer,
                     ClaimEvents& events);
  void EndWithoutClaim(RecordMap::iterator it, const CallerAnswer& answer, ClaimEvents& events);
  void StoreResult(const IdempotencyKey& key, const Record& record, const CallerAnswer& answer,
                   WallTime now);
  void RemoveExpired(WallTime now);
  void ExpireWaiters(Record& record, const IdempotencyKey& key, TimePoint now, ClaimEvents& events);
  std::uint64_t NextRandom();

  Incarnation self_;
  ClaimHolder holder_;
  RecordMap records_;
  std::unordered_map<IdempotencyKey, CompletedRequest> completed_;
  std::deque<IdempotencyKey> completion_order_;
  std::uint64_t next_round_ = 1;
  std::uint64_t random_;
  std::size_t stored_bytes_ = 0;
  WallTime last_expired_at_;
};

/// Builds the answer for a request that ended without one from a backend server.
CallerAnswer UnansweredAnswer(RunOutcome outcome, int status, std::string reason);

}  // namespace mulberry
