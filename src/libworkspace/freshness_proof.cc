#include "libworkspace/freshness_proof.h"

#include <algorithm>

namespace mulberry::workspace {
namespace {

/// No copy precedes this era of a store; eras are counted from 0 or 1.
constexpr StoreEra kFirstEra(1);
/// Time after a restore in which operators write again what the copy lacks (within two seconds).
constexpr Duration kRewriteTime = std::chrono::milliseconds(2300);
/// Older questions are forgotten: an answer to one would prove less than is needed.
constexpr Duration kQueryLifetime = std::chrono::seconds(5);
/// Bounds the memory for questions: a host that asks as often as it may sends 500 in 5 s.
constexpr std::size_t kMaxQueries = 512;
/// Statements about newer configurations that are kept; versions differ by one or two.
constexpr std::size_t kMaxPending = 4;

}  // namespace

void FreshnessProof::OnEra(StoreEra era, TimePoint now) {
  if (era <= era_) return;
  era_ = era;
  if (era > kFirstEra) own_reads_count_from_ = now + kRewriteTime;
}

void FreshnessProof::OnOwnRead(TimePoint sent) {
  if (sent >= own_reads_count_from_) Advance(sent);
}

void FreshnessProof::OnVersion(DirectoryVersion version) {
  version_ = std::max(version_, version);
  std::erase_if(pending_, [this](const PendingProof& pending) {
    if (pending.version > version_) return false;
    Advance(pending.as_of);
    return true;
  });
}

QueryStamp FreshnessProof::OnQuerySent(TimePoint now) {
  while (!queries_.empty() &&
         (now - queries_.front().sent > kQueryLifetime || queries_.size() >= kMaxQueries)) {
    queries_.pop_front();
  }
  auto stamp = static_cast<std::uint64_t>(now.time_since_epoch().count());
  // Two questions in the same microsecond get different stamps.
  if (!queries_.empty()) stamp = std::max(stamp, queries_.back().stamp.value() + 1);
  queries_.push_back({QueryStamp(stamp), now});
  return QueryStamp(stamp);
}

bool FreshnessProof::OnAnswer(const ProofAnswer& answer, TimePoint now) {
  const auto query = std::find_if(queries_.begin(), queries_.end(),
                                  [&](const Query& sent) { return sent.stamp == answer.stamp; });
  if (query == queries_.end() || now - query->sent > kQueryLifetime) return false;
  if (answer.age < Duration::zero() || answer.age > kQueryLifetime * 1000) return false;
  const TimePoint as_of = query->sent - answer.age;
  if (answer.version <= version_) return Advance(as_of);
  if (pending_.size() == kMaxPending) pending_.erase(pending_.begin());
  pending_.push_back({answer.version, as_of});
  return false;
}

Duration FreshnessProof::Age(TimePoint now) const {
  return as_of_ ? now - *as_of_ : Duration::max();
}

bool FreshnessProof::Advance(TimePoint as_of) {
  if (as_of_ && as_of <= *as_of_) return false;
  as_of_ = as_of;
  return true;
}

}  // namespace mulberry::workspace
