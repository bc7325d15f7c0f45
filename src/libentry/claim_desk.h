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

/// This host alone may run the request now.
struct ClaimWon {
  RequestId request;
  IdempotencyKey key;
};
/// The request ends with this answer and must not be run here.
struct ClaimEnded {
  RequestId request;
  CallerAnswer answer;
};

using ClaimEvent = std::variant<SendPeer, ClaimWon, ClaimEnded>;
using ClaimEvents = std::vector<ClaimEvent>;

/// Claims the keys of non-idempotent requests for this host, keeps what became of them for further
/// attempts, and holds claims of other hosts.
///
/// "Not run" is said of a key only while this host holds its claim and has not let it run. A
/// SendPeer with an empty address goes to the host's listed address. Pure and not thread safe; not
/// to be called from the handling of its own events.
class ClaimDesk {
 public:
  ClaimDesk(Incarnation self, ClaimHolderOptions options, std::uint64_t random_seed);

  /// Starts to claim a key, or joins the attempt that this host already knows.
  /// Precondition: `request` is new; `deadline` is in the future.
  void Begin(RequestId request, const IdempotencyKey& key, const Ticket& ticket,
             std::uint64_t digest, TimePoint deadline, Instant now, ClaimEvents& events);

  /// Ends a won key: its answer, or kNotRun when it was never dispatched and never will be.
  /// Further attempts get the same. Unknown keys are ignored.
  void Finish(const IdempotencyKey& key, const CallerAnswer& answer, Instant now,
              ClaimEvents& events);

  /// The caller of an attempt went away; a won request is not affected.
  void Forget(RequestId request);

  void OnClaimRequest(const Incarnation& from, const ClaimRequest& message, Instant now,
                      ClaimEvents& events);
  void OnClaimAnswer(const Incarnation& from, const ClaimAnswer& message, Instant now,
                     ClaimEvents& events);
  void OnClaimRelease(const Incarnation& from, const ClaimRelease& message);
  void OnOutcomeQuery(const Incarnation& from, const OutcomeQuery& message, Instant now,
                      ClaimEvents& events);
  void OnOutcomeAnswer(const OutcomeAnswer& message, ClaimEvents& events);

  /// Ends rounds and waits that are due and forgets what has expired.
  void Tick(Instant now, ClaimEvents& events);

  /// Time at which Tick has something to do, TimePoint::max() when never.
  TimePoint NextTick() const;

  /// Keys with a claim round or a won request that has not ended.
  std::size_t open() const { return records_.size(); }
  std::size_t held_for_others() const { return holder_.size(); }

 private:
  enum class Stage { kClaiming, kBackingOff, kAskingOther, kWon };
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
    std::optional<ClaimRound> run;
    /// End of the round, of the pause before the next one, or of the wait for another host.
    TimePoint due = TimePoint::max();
    LocalWaiter primary;
    std::vector<LocalWaiter> local_waiters;
    std::vector<RemoteWaiter> remote_waiters;
  };
  /// What became of a key that this host had won.
  struct Finished {
    std::uint64_t digest = 0;
    CallerAnswer answer;
    WallTime keep_until;
  };
  using Records = std::map<IdempotencyKey, Record>;

  void StartRound(Record& record, const IdempotencyKey& key, Instant now, ClaimEvents& events);
  void Settle(Records::iterator it, Instant now, ClaimEvents& events);
  void AskOther(Record& record, const IdempotencyKey& key, Instant now, ClaimEvents& events);
  void ReleaseRound(const Record& record, const IdempotencyKey& key, ClaimEvents& events);
  void EndAttempts(Record& record, const IdempotencyKey& key, const CallerAnswer& answer,
                   ClaimEvents& events);
  void Lose(Records::iterator it, const CallerAnswer& answer, ClaimEvents& events);
  void Keep(const IdempotencyKey& key, const Record& record, const CallerAnswer& answer,
            WallTime now);
  void ForgetExpired(WallTime now);
  void ExpireWaiters(Record& record, const IdempotencyKey& key, TimePoint now, ClaimEvents& events);
  std::uint64_t NextRandom();

  Incarnation self_;
  ClaimHolder holder_;
  Records records_;
  std::unordered_map<IdempotencyKey, Finished> finished_;
  std::deque<IdempotencyKey> finished_order_;
  std::uint64_t next_round_ = 1;
  std::uint64_t random_;
  std::size_t kept_bytes_ = 0;
  WallTime last_expiry_;
};

/// Builds the answer for a request that ended without one from a backend server.
CallerAnswer UnansweredAnswer(RunOutcome outcome, int status, std::string reason);

}  // namespace mulberry
