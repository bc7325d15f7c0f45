#include "libworkspace/token_lender.h"

namespace mulberry::workspace {
namespace {

constexpr std::uint64_t kSequenceBits = 64;

}  // namespace

bool TokenLender::IsNew(Borrower& borrower, std::uint64_t sequence) {
  if (sequence > borrower.newest) {
    const std::uint64_t steps = sequence - borrower.newest;
    borrower.seen = steps >= kSequenceBits ? 0 : borrower.seen << steps;
    borrower.seen |= 1;
    borrower.newest = sequence;
    return true;
  }
  const std::uint64_t age = borrower.newest - sequence;
  if (age >= kSequenceBits) return false;
  const std::uint64_t bit = std::uint64_t{1} << age;
  if ((borrower.seen & bit) != 0) return false;
  borrower.seen |= bit;
  return true;
}

std::optional<TokenGrant> TokenLender::OnQuery(const HostName& host, StartId start,
                                               const TokenQuery& query, const CapTime& time) {
  if (!buckets_.active()) return std::nullopt;
  Borrower& borrower = borrowers_[host];
  if (borrower.start != start) borrower = {start, 0, 0};
  if (!IsNew(borrower, query.sequence)) return std::nullopt;
  TokenGrant grant{start, query.sequence, {}};
  grant.parts.reserve(query.parts.size());
  for (const TokenQuery::Part& part : query.parts) {
    TokenBucket* bucket = buckets_.Find(part.workspace);
    if (bucket == nullptr) {
      grant.parts.push_back({part.workspace, 0, 0, false});
      continue;
    }
    const std::uint32_t tokens = bucket->Take(part.tokens, time.running);
    grant.parts.push_back({part.workspace, tokens, bucket->Content(time.running), true});
  }
  return grant;
}

}  // namespace mulberry::workspace
