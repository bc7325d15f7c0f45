#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "libfleet/peer_message.h"

namespace mulberry {

/// Limits of a claim holder.
struct ClaimHolderOptions {
  std::size_t max_claims = 200000;
  /// A claim is kept this long after its ticket has expired.
  Duration keep_after_expiry = std::chrono::seconds(30);
};

/// Records which incarnation may run the request of a key. The first claim wins and is kept until
/// the ticket has expired; a holder that restarted is another incarnation and grants nothing for
/// older tickets. Pure and not thread safe.
class ClaimHolder {
 public:
  ClaimHolder(Incarnation self, ClaimHolderOptions options);

  /// Answers a claim. A repeated claim of the same claimant and round is granted again. An expired
  /// ticket or a full table is refused, never forgotten.
  ClaimAnswer OnClaim(const Incarnation& claimant, const ClaimRequest& request, WallTime wall);

  /// Frees a claim that the sender gave up in this round, and bars the round should its claim
  /// arrive later.
  void OnRelease(const Incarnation& claimant, const ClaimRelease& release);

  /// Forgets claims whose tickets expired long ago; a few of them a call.
  void Expire(WallTime wall);

  std::size_t size() const { return claims_.size(); }

 private:
  /// All rounds of `claimant` up to `round` were given up.
  struct GivenUp {
    Incarnation claimant;
    std::uint64_t round = 0;
  };
  struct Record {
    Incarnation claimant;  ///< Start id zero while nobody holds the claim.
    std::uint64_t round = 0;
    std::uint64_t request_digest = 0;
    bool has_digest = false;  ///< False while only releases arrived.
    WallTime keep_until;
    std::vector<GivenUp> given_up;
  };

  ClaimVerdict Judge(const Incarnation& claimant, const ClaimRequest& request);
  static ClaimVerdict JudgeRecord(const Incarnation& claimant, const ClaimRequest& request,
                                  Record* record);
  static bool IsGivenUp(const Record& record, const Incarnation& claimant, std::uint64_t round);

  Incarnation self_;
  ClaimHolderOptions options_;
  std::unordered_map<IdempotencyKey, Record> claims_;
  /// Latest wall time seen: a wall clock that steps back revives no forgotten key.
  WallTime latest_wall_;
  std::size_t next_bucket_ = 0;
};

}  // namespace mulberry
