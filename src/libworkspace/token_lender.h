#pragma once

#include <cstdint>
#include <map>

#include "libworkspace/bucket_set.h"
#include "libworkspace/cap_types.h"

namespace mulberry::workspace {

/// Grants tokens of the lender's buckets to other hosts. A repeated query gets nothing, so that a
/// duplicated datagram costs no tokens. Does no I/O: time is passed in. Not thread safe.
class TokenLender {
 public:
  BucketSet& buckets() { return buckets_; }

  /// Answers a query of the run `start` of `host`; empty if this host is no lender or has seen the
  /// query.
  std::optional<TokenGrant> OnQuery(const HostName& host, StartId start, const TokenQuery& query,
                                    const CapTime& time);

 private:
  /// Queries seen of one run of a host: the highest sequence number, and a bit for each of the 64
  /// up to it.
  struct Borrower {
    StartId start;
    std::uint64_t newest = 0;
    std::uint64_t seen = 0;
  };
  static bool IsNew(Borrower& borrower, std::uint64_t sequence);

  BucketSet buckets_;
  std::map<HostName, Borrower> borrowers_;
};

}  // namespace mulberry::workspace
