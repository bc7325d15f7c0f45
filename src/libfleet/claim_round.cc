#include "libfleet/claim_round.h"

#include <algorithm>
#include <utility>

namespace mulberry {
namespace {

constexpr std::size_t kMajority = kClaimHolders / 2 + 1;

}  // namespace

ClaimRound::ClaimRound(Incarnation self, IdempotencyKey key, std::uint64_t round,
                       std::array<Incarnation, kClaimHolders> holders)
    : self_(std::move(self)), key_(std::move(key)), round_(round), holders_(std::move(holders)) {}

std::size_t ClaimRound::Count(Vote vote) const {
  return static_cast<std::size_t>(std::count(votes_.begin(), votes_.end(), vote));
}

std::size_t ClaimRound::IndexOf(const HostName& holder) const {
  std::size_t index = 0;
  while (index < kClaimHolders && holders_[index].host != holder) ++index;
  return index;
}

void ClaimRound::OnAnswer(const HostName& from, const ClaimAnswer& answer) {
  const std::size_t index = IndexOf(from);
  if (state_ != ClaimState::kPending || index == kClaimHolders) return;
  if (answer.key != key_ || answer.round != round_) return;
  const bool open = votes_[index] == Vote::kOpen || votes_[index] == Vote::kUnreachable;
  if (!open) return;
  switch (answer.verdict) {
    case ClaimVerdict::kGranted:
      // A grant to a former incarnation of this host can arrive late.
      if (answer.claimant != self_) return;
      votes_[index] = Vote::kGranted;
      break;
    case ClaimVerdict::kHeldByOther:
      votes_[index] = answer.claimant.host.empty() ? Vote::kRefused : Vote::kHeldByOther;
      others_[index] = answer.claimant;
      break;
    case ClaimVerdict::kKeyReused:
      state_ = ClaimState::kKeyReused;
      votes_[index] = Vote::kRefused;
      return;
    case ClaimVerdict::kExpired:
      votes_[index] = Vote::kExpired;
      break;
    case ClaimVerdict::kWrongIncarnation:
    case ClaimVerdict::kFull:
      votes_[index] = Vote::kRefused;
      break;
  }
  Decide();
}

void ClaimRound::OnTimeout() {
  if (state_ == ClaimState::kPending) EndWithoutMajority();
}

void ClaimRound::OnUnreachable(const HostName& holder) {
  const std::size_t index = IndexOf(holder);
  if (state_ != ClaimState::kPending || index == kClaimHolders) return;
  if (votes_[index] != Vote::kOpen) return;
  votes_[index] = Vote::kUnreachable;
  Decide();
}

void ClaimRound::Decide() {
  const std::size_t granted = Count(Vote::kGranted);
  if (granted >= kMajority) {
    state_ = ClaimState::kWon;
    return;
  }
  const bool majority_possible = granted + Count(Vote::kOpen) >= kMajority;
  if (!majority_possible) EndWithoutMajority();
}

void ClaimRound::EndWithoutMajority() {
  for (std::size_t i = 0; i < kClaimHolders; ++i) {
    if (votes_[i] != Vote::kHeldByOther) continue;
    state_ = ClaimState::kHeldByOther;
    other_ = others_[i];
    const bool twice = std::count(others_.begin(), others_.end(), others_[i]) >= 2;
    if (twice) return;
  }
  if (state_ == ClaimState::kHeldByOther) return;
  state_ = Count(Vote::kExpired) > 0 ? ClaimState::kExpired : ClaimState::kUndecided;
}

std::vector<HostName> ClaimRound::ReleaseTargets() const {
  std::vector<HostName> hosts;
  for (std::size_t i = 0; i < kClaimHolders; ++i) {
    const bool may_hold =
        votes_[i] == Vote::kGranted || votes_[i] == Vote::kOpen || votes_[i] == Vote::kUnreachable;
    if (may_hold) hosts.push_back(holders_[i].host);
  }
  return hosts;
}

}  // namespace mulberry
