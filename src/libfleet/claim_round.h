#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "libfleet/peer_message.h"

namespace mulberry {

/// Holders that a ticket names.
inline constexpr std::size_t kClaimHolders = 3;

/// State of one attempt to claim a key.
enum class ClaimState {
  kPending,
  kWon,          ///< A majority granted: this host alone may run the request.
  kHeldByOther,  ///< Another host holds a majority or may come to hold it.
  kUndecided,    ///< No majority within the time; nobody may run it by this attempt.
  kKeyReused,
  kExpired,
};

/// One round of claiming a key at the three holders that its ticket names. Pure, not thread safe.
class ClaimRound {
 public:
  /// `self` is the claimant. Precondition: no other run of this claimant for the key is undecided
  /// or was won, and `round` is higher than in its former runs.
  ClaimRound(Incarnation self, IdempotencyKey key, std::uint64_t round,
             std::array<Incarnation, kClaimHolders> holders);

  /// Takes a holder's answer; answers of other rounds, and second answers, are ignored.
  void OnAnswer(const HostName& from, const ClaimAnswer& answer);

  /// No more answers are awaited: an undecided run ends as kUndecided.
  void OnTimeout();

  /// Takes a holder as not reachable; two of them end the run.
  void OnUnreachable(const HostName& holder);

  ClaimState state() const { return state_; }
  const IdempotencyKey& key() const { return key_; }
  std::uint64_t round() const { return round_; }

  /// Incarnation that holds the key, when kHeldByOther.
  const Incarnation& other_claimant() const { return other_; }

  /// Holders to which a ClaimRelease goes after a run that was not won: all that granted or did not
  /// answer.
  std::vector<HostName> ReleaseTargets() const;

 private:
  enum class Vote { kOpen, kGranted, kHeldByOther, kExpired, kRefused, kUnreachable };
  std::size_t Count(Vote vote) const;
  std::size_t IndexOf(const HostName& holder) const;
  void Decide();
  void EndWithoutMajority();

  Incarnation self_;
  IdempotencyKey key_;
  std::uint64_t round_;
  std::array<Incarnation, kClaimHolders> holders_;
  std::array<Vote, kClaimHolders> votes_{};
  std::array<Incarnation, kClaimHolders> others_{};
  ClaimState state_ = ClaimState::kPending;
  Incarnation other_;
};

}  // namespace mulberry
