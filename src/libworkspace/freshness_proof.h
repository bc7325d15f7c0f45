#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "libbase/base.h"

namespace mulberry::workspace {

/// Identifies a question of this process to other hosts.
using QueryStamp = StrongNumber<struct QueryStampTag>;
/// Version of a configuration; a higher one is newer.
using DirectoryVersion = StrongNumber<struct DirectoryVersionTag>;

/// What another host states in answer to a question: `age` before it wrote the answer, no
/// configuration newer than `version` was published.
struct ProofAnswer {
  QueryStamp stamp;
  Duration age{};
  DirectoryVersion version;
};

/// The time as of which the configuration in force at this host is known to be the newest one. It
/// comes from reads of the store, which count from when they were sent, and from answers of other
/// hosts, which count from when this host sent its question, minus the stated age; so no delay and
/// no suspension makes the proof younger than it is. Does no I/O: time is passed in and must count
/// suspended time. Not thread safe.
class FreshnessProof {
 public:
  /// The store is in this era. After a restore, the store may lack the newest configuration, so own
  /// reads count only when they are sent after a time in which it is written again.
  void OnEra(StoreEra era, TimePoint now);
  /// A read sent at `sent` showed the end of the operators' topic, and what it returned has been
  /// applied. Precondition: OnEra was called with the era of the response.
  void OnOwnRead(TimePoint sent);
  /// This version is in force. It never decreases.
  void OnVersion(DirectoryVersion version);

  /// Returns the stamp of a question that is sent now.
  QueryStamp OnQuerySent(TimePoint now);
  /// Applies an answer to a question of this process. Returns true when the proof became younger.
  /// Answers to unknown and old questions are ignored. If the answer is about a newer version than
  /// the one in force, it counts once that version is in force.
  bool OnAnswer(const ProofAnswer& answer, TimePoint now);

  /// The time as of which the configuration in force is known to be the newest; empty if never.
  std::optional<TimePoint> as_of() const { return as_of_; }
  /// Returns how old the proof is; Duration::max() without one.
  Duration Age(TimePoint now) const;
  /// Own reads sent before this time do not count.
  TimePoint own_reads_count_from() const { return own_reads_count_from_; }

 private:
  struct Query {
    QueryStamp stamp;
    TimePoint sent;
  };
  /// Proof for a configuration that is not in force yet.
  struct PendingProof {
    DirectoryVersion version;
    TimePoint as_of;
  };
  bool Advance(TimePoint as_of);

  StoreEra era_;
  TimePoint own_reads_count_from_;
  DirectoryVersion version_;
  std::optional<TimePoint> as_of_;
  std::deque<Query> queries_;  ///< Oldest first.
  std::vector<PendingProof> pending_;
};

}  // namespace mulberry::workspace
