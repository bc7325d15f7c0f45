#pragma once

#include <cstdint>

#include "libworkspace/cap_shares.h"

namespace mulberry::workspace {

/// What a host knows of one workspace's bucket at one lender: an upper bound of its content, and
/// the query that is under way. Does no I/O: time is passed in. Not thread safe.
class LenderView {
 public:
  /// Limits of the bucket; until the lender has answered, it is taken to be full.
  void SetLimits(const BucketLimits& limits);
  /// Upper bound of the tokens that the lender can grant.
  double Content(TimePoint now) const;
  /// True if a query may be sent now: none is under way, the bucket may hold a token, and the last
  /// query was not refused just now.
  bool CanAsk(TimePoint now) const;
  /// True if a token may come soon: a query is under way or may be sent, or the lender is expected
  /// to learn of the workspace at any moment.
  bool MayGrant(TimePoint now) const;
  /// Time until CanAsk may become true; Duration::max() if the bucket never holds a token.
  Duration TimeUntilToken(TimePoint now) const;

  void OnAsked(std::uint32_t tokens, TimePoint now);
  void OnAnswer(std::uint32_t granted, double left, TimePoint now);
  /// The lender's configuration does not have the workspace yet.
  void OnUnknown(TimePoint now);
  /// The lender is silent; an answer may still come.
  void OnTimeout() { asked_tokens_ = 0; }
  /// Tokens that were asked for and not answered; 0 if no query is under way.
  std::uint32_t asked_tokens() const { return asked_tokens_; }

 private:
  BucketLimits limits_;
  bool known_ = false;
  bool lacks_workspace_ = false;
  double left_ = 0;
  TimePoint left_at_;
  std::uint32_t asked_tokens_ = 0;
  std::uint32_t last_asked_tokens_ = 0;
  TimePoint next_query_at_;
};

}  // namespace mulberry::workspace
