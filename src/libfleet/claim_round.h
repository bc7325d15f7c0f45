#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "libfleet/peer_message.h"

namespace mulberry {

/// Number of claim holders that a ticket names.
inline constexpr std::size_t kClaimHolders = 3;

/// State of one attempt to claim a key.
enum class ClaimState {
  kPending,
  kWon,          ///< A majority granted the claim: only this host may run the request.
  kHeldByOther,  ///< Another host holds a majority or may still obtain one.
  kUndecided,    ///< No majority before the timeout; this round lets no host run the request.
  kKeyReused,
  kExpired,
};

/// One round of claiming a key at the three holders that its ticket names. Performs no I/O; not
/// thread safe.
class ClaimRound {
 public:
  /// `self` is the claimant. Precondition: no other round of this claimant for the key is pending
  /// or was won, and `round` is higher than in its previous rounds.
  ClaimRound(Incarnation self, IdempotencyKey key, std::uint64_t round,
             std::array<Incarnation, kClaimHolders> holders);

  /// Processes a holder's answer. Answers to other rounds and repeated answers are ignored.
  void OnAnswer(const HostName& from, const ClaimAnswer& answer);

  /// Ends a pending round: kHeldByOther or kExpired if a holder answered so, else kUndecided.
  void OnTimeout();

  /// Marks a holder as unreachable. Two unreachable holders end the round.
  void OnUnreachable(const HostName& holder);

  ClaimState state() const { return state_; }
  const IdempotencyKey& key() const { return key_; }
  std::uint64_t round() const { return round_; }

  /// Incarnation that holds the key if the state is kHeldByOther.
  const Incarnation& other_claimant() const { return other_claimant_; }

  /// Holders to send a ClaimRelease after a round that was not won: all that granted the claim or
  /// did not answer.
  std::vector<HostName> ReleaseTargets() const;

 private:
  enum class Vote { kPending, kGranted, kHeldByOther, kExpired, kRefused, kUnreachable };
  std::size_t Count(Vote vote) const;
  std::size_t IndexOf(const HostName& holder) const;
  void Decide();
  void EndWithoutMajority();

  Incarnation self_;
  IdempotencyKey key_;
  std::uint64_t round_;
  std::array<Incarnation, kClaimHolders> holders_;
  std::array<Vote, kClaimHolders> votes_{};
  std::array<Incarnation, kClaimHolders> other_claimants_{};
  ClaimState state_ = ClaimState::kPending;
  Incarnation other_claimant_;
};

}  // namespace mulberry
