#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "libbase/base.h"

namespace mulberry::rollout {

/// Counts of response times in steps of a factor of the square root of 2, from 1 ms to 8 s. Thread
/// safety: as std::array.
class TimeHistogram {
 public:
  static constexpr std::size_t kBuckets = 28;

  void Add(Duration took);
  /// Adds `count` to one bucket; one out of range is ignored.
  void AddToBucket(std::size_t bucket, std::uint32_t count);
  void Merge(const TimeHistogram& other);

  std::uint32_t total() const;
  const std::array<std::uint32_t, kBuckets>& buckets() const { return buckets_; }
  /// Index of the bucket of a time.
  static std::size_t BucketOf(Duration took);
  /// The median, in milliseconds, interpolated in its bucket; 0 without entries.
  double MedianMs() const;
  /// Number of entries in the buckets above `bucket`.
  std::uint32_t CountAbove(std::size_t bucket) const;

  bool operator==(const TimeHistogram&) const = default;

 private:
  std::array<std::uint32_t, kBuckets> buckets_{};
};

/// Servers that are counted together. The target's servers are in two halves, by a hash of their
/// names, so that a single faulty server can be told from a bad version.
enum class ServerGroup : std::uint8_t { kOther = 0, kTargetFirstHalf = 1, kTargetSecondHalf = 2 };
constexpr std::size_t kServerGroups = 3;

/// Responses of one group of servers.
struct ResponseCounts {
  std::uint32_t responses = 0;
  std::uint32_t failures = 0;
  TimeHistogram times;

  void Merge(const ResponseCounts& other);
  bool operator==(const ResponseCounts&) const = default;
};

/// Responses on one route by group of servers.
struct RouteCounts {
  std::array<ResponseCounts, kServerGroups> groups;

  const ResponseCounts& other() const { return groups[0]; }
  const ResponseCounts& half(std::size_t index) const { return groups[1 + index]; }
  ResponseCounts Target() const;
  void Merge(const RouteCounts& other);
  bool operator==(const RouteCounts&) const = default;
};

/// Responses by name of the route.
using Evidence = std::map<std::string, RouteCounts>;

void MergeEvidence(const Evidence& from, Evidence* into);

/// What the evidence says about the target version.
struct Verdict {
  bool bad = false;
  /// Enough responses on each route that has traffic.
  bool enough = false;
  /// Too few responses, and many of them failures: not to be completed.
  bool doubtful = false;
  std::string reason;  ///< With the figures that it rests on.
};

/// Judges the target version. `shifting`: most requests go to the target already, so the other
/// version's responses are older than the target's, and a larger difference is asked for.
Verdict Judge(const Evidence& evidence, bool shifting);

}  // namespace mulberry::rollout
