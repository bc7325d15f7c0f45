#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "libfleet/peer_message.h"

namespace mulberry {

/// Capacity and retention of a claim holder.
struct ClaimHolderOptions {
  std::size_t max_claims = 200000;
  /// A claim is kept this long after its ticket has expired.
  Duration keep_after_expiry = std::chrono::seconds(30);
};

/// Records on one entry host which incarnation may run the request with a given key. The first
/// claim is granted and kept until the ticket has expired. After a restart the holder is a new
/// incarnation and refuses claims for tickets that name the previous one. Performs no I/O; not
/// thread safe.
class ClaimHolder {
 public:
  ClaimHolder(Incarnation self, ClaimHolderOptions options);

  /// Answers a claim. Repeating a claim with the same claimant and round is granted again. A claim
  /// with an expired ticket, or for a new key while the table is full, is refused; no record is
  /// evicted to make room.
  ClaimAnswer OnClaim(const Incarnation& claimant, const ClaimRequest& request, WallTime wall);

  /// Frees a claim that the sender abandoned in this round, and rejects this round's claim if it
  /// arrives after the release.
  void OnRelease(const Incarnation& claimant, const ClaimRelease& release);

  /// Removes claims whose retention period after ticket expiry is over. Each call scans only part
  /// of the table.
  void Expire(WallTime wall);

  std::size_t size() const { return claims_.size(); }

 private:
  /// All rounds of `claimant` up to and including `round` were abandoned.
  struct AbandonedRounds {
    Incarnation claimant;
    std::uint64_t round = 0;
  };
  struct Record {
    Incarnation claimant;  ///< Start id zero while no claimant holds the claim.
    std::uint64_t round = 0;
    std::uint64_t request_digest = 0;
    bool has_digest = false;  ///< False while only releases have arrived.
    WallTime retain_until;
    std::vector<AbandonedRounds> abandoned;
  };

  ClaimVerdict Evaluate(const Incarnation& claimant, const ClaimRequest& request);
  static ClaimVerdict EvaluateRecord(const Incarnation& claimant, const ClaimRequest& request,
                                     Record* record);
  static bool IsAbandoned(const Record& record, const Incarnation& claimant, std::uint64_t round);

  Incarnation self_;
  ClaimHolderOptions options_;
  std::unordered_map<IdempotencyKey, Record> claims_;
  /// Latest wall time seen. Used instead of the current time so that a clock stepping back does not
  /// make removed keys claimable again.
  WallTime latest_wall_;
  std::size_t next_bucket_ = 0;
};

}  // namespace mulberry
