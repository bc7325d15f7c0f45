#include "libfleet/claim_holder.h"

#include <algorithm>
#include <utility>

namespace mulberry {
namespace {

constexpr std::size_t kBucketsPerExpire = 512;
constexpr std::size_t kMaxGivenUp = 16;

}  // namespace

ClaimHolder::ClaimHolder(Incarnation self, ClaimHolderOptions options)
    : self_(std::move(self)), options_(options) {}

ClaimAnswer ClaimHolder::OnClaim(const Incarnation& claimant, const ClaimRequest& request,
                                 WallTime wall) {
  latest_wall_ = std::max(latest_wall_, wall);
  ClaimAnswer answer;
  answer.key = request.key;
  answer.round = request.round;
  answer.verdict = Judge(claimant, request);
  if (answer.verdict == ClaimVerdict::kGranted) answer.claimant = claimant;
  if (answer.verdict == ClaimVerdict::kHeldByOther) {
    answer.claimant = claims_.at(request.key).claimant;
  }
  return answer;
}

ClaimVerdict ClaimHolder::Judge(const Incarnation& claimant, const ClaimRequest& request) {
  if (request.holder_start != self_.start) return ClaimVerdict::kWrongIncarnation;
  if (request.expires <= latest_wall_) return ClaimVerdict::kExpired;
  const auto found = claims_.find(request.key);
  if (found != claims_.end()) return JudgeRecord(claimant, request, &found->second);
  if (claims_.size() >= options_.max_claims) return ClaimVerdict::kFull;
  Record& record = claims_[request.key];
  record.keep_until = request.expires + std::chrono::duration_cast<std::chrono::milliseconds>(
                                            options_.keep_after_expiry);
  return JudgeRecord(claimant, request, &record);
}

ClaimVerdict ClaimHolder::JudgeRecord(const Incarnation& claimant, const ClaimRequest& request,
                                      Record* record) {
  if (record->has_digest && record->request_digest != request.request_digest) {
    return ClaimVerdict::kKeyReused;
  }
  if (IsGivenUp(*record, claimant, request.round)) return ClaimVerdict::kHeldByOther;
  const bool held = record->claimant.start.value() != 0;
  if (held && record->claimant != claimant) return ClaimVerdict::kHeldByOther;
  if (held && record->round > request.round) return ClaimVerdict::kHeldByOther;
  record->claimant = claimant;
  record->round = request.round;
  record->request_digest = request.request_digest;
  record->has_digest = true;
  record->keep_until = std::max(record->keep_until, request.expires);
  return ClaimVerdict::kGranted;
}

bool ClaimHolder::IsGivenUp(const Record& record, const Incarnation& claimant,
                            std::uint64_t round) {
  return std::any_of(record.given_up.begin(), record.given_up.end(), [&](const GivenUp& past) {
    return past.claimant == claimant && past.round >= round;
  });
}

void ClaimHolder::OnRelease(const Incarnation& claimant, const ClaimRelease& release) {
  const bool is_new = claims_.count(release.key) == 0;
  // A round that is not barred can only hold the key without use until the ticket expires.
  if (is_new && claims_.size() >= options_.max_claims) return;
  Record& record = claims_[release.key];
  if (is_new) {
    record.keep_until = latest_wall_ + std::chrono::duration_cast<std::chrono::milliseconds>(
                                           options_.keep_after_expiry);
  }
  if (record.claimant == claimant && record.round == release.round) record.claimant = Incarnation();
  const auto past = std::find_if(record.given_up.begin(), record.given_up.end(),
                                 [&](const GivenUp& each) { return each.claimant == claimant; });
  if (past != record.given_up.end()) {
    past->round = std::max(past->round, release.round);
  } else if (record.given_up.size() < kMaxGivenUp) {
    record.given_up.push_back({claimant, release.round});
  }
}

void ClaimHolder::Expire(WallTime wall) {
  latest_wall_ = std::max(latest_wall_, wall);
  std::vector<IdempotencyKey> expired;
  const std::size_t buckets = claims_.bucket_count();
  for (std::size_t i = 0; i < std::min(kBucketsPerExpire, buckets); ++i) {
    next_bucket_ = (next_bucket_ + 1) % buckets;
    for (auto it = claims_.cbegin(next_bucket_); it != claims_.cend(next_bucket_); ++it) {
      if (it->second.keep_until <= latest_wall_) expired.push_back(it->first);
    }
  }
  for (const IdempotencyKey& key : expired) claims_.erase(key);
}

}  // namespace mulberry
