#include "librollout/evidence.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace mulberry::rollout {
namespace {

/// A good version must not be taken back by chance: the test is made a few times a second on each
/// route for some seconds, a thousand times in all.
constexpr double kMaxChance = 1e-6;
/// Fewer failures than this are no evidence, whatever their rate.
constexpr std::uint32_t kMinFailures = 5;
/// Smallest part of the responses by which failures must exceed the other version's rate; the
/// second one applies during the shift, when the rates are not of the same time.
constexpr double kMinFailureExcess = 0.01;
constexpr double kMinFailureExcessShifting = 0.04;
/// A response is slow above this multiple of the other version's median. Cold servers, which take
/// twice the usual time, stay below it.
constexpr double kSlowFactor = 2.5;
/// No response is slow below this time: on a host with a tenth of a core, the host's own delays are
/// of this size.
constexpr double kMinSlowMs = 50;
/// Smallest part of the responses by which slow ones must exceed the other version's.
constexpr double kMinSlowExcess = 0.18;
constexpr double kMinSlowExcessShifting = 0.25;
/// Standard deviations of the difference: a chance of about 1e-6, with room for the times of
/// successive responses not being independent.
constexpr double kMinSlowDeviations = 5;
/// Response times are compared from this number of responses of each version on.
constexpr std::uint32_t kMinTimedResponses = 15;
/// A half of the target's servers with fewer responses says nothing.
constexpr std::uint32_t kMinHalfResponses = 4;
/// Part of the excess over all servers that each half must show.
constexpr double kMinHalfFraction = 0.3;
/// Each half must differ from the other version by itself, though less surely than both together:
/// one faulty server and a chance failure in the other half are no evidence.
constexpr double kMaxHalfChance = 1e-4;
constexpr double kMinHalfDeviations = 3.7;
/// Evidence of one half alone may be a single faulty server, so more is asked for.
constexpr std::uint32_t kMinFailuresOneHalf = 15;
constexpr double kMinSlowDeviationsOneHalf = 8;
/// With too few responses for a verdict, this many failures and this part of the responses suffice
/// to take a version back; ejected servers give no more.
constexpr std::uint32_t kMinFailuresOfFew = 3;
constexpr double kFailureRateOfFew = 0.25;
/// Responses of the target that suffice on one route: with them, failures of a fifth of the
/// responses are found with 98 % probability.
constexpr std::uint32_t kEnoughResponses = 40;
/// A route with a smaller part of the responses need not be judged by itself.
constexpr double kMinTrafficFraction = 0.01;
constexpr double kBucketsPerDoubling = 2;
/// Variance of a rate at least: that of one slow response in a hundred.
constexpr double kMinVariance = 0.01;

/// Probability that a Poisson variable of this mean is at least `count`.
double PoissonTail(double mean, std::uint32_t count) {
  double below = 0;
  for (std::uint32_t i = 0; i < count; ++i) {
    below += std::exp(-mean + i * std::log(mean) - std::lgamma(i + 1.0));
  }
  return std::max(0.0, 1 - below);
}

double Rate(std::uint32_t part, std::uint32_t whole) {
  return whole == 0 ? 0 : static_cast<double>(part) / whole;
}

std::string Share(std::uint32_t part, std::uint32_t whole) {
  return std::to_string(part) + " of " + std::to_string(whole);
}

/// Number of halves of the target's servers with enough responses.
int HalvesWithResponses(const RouteCounts& counts) {
  return (counts.half(0).responses >= kMinHalfResponses ? 1 : 0) +
         (counts.half(1).responses >= kMinHalfResponses ? 1 : 0);
}

/// Returns the reason if the target fails more often than the other version, empty otherwise.
std::string JudgeFailures(const RouteCounts& counts, bool shifting) {
  const ResponseCounts target = counts.Target();
  const bool one_half = HalvesWithResponses(counts) < 2;
  if (target.failures < (one_half ? kMinFailuresOneHalf : kMinFailures)) return {};
  // One failure and some responses more, since a rate of none in a few says little.
  const double usual = (counts.other().failures + 1.0) / (counts.other().responses + 100.0);
  const double excess = Rate(target.failures, target.responses) - usual;
  if (excess < (shifting ? kMinFailureExcessShifting : kMinFailureExcess)) return {};
  if (PoissonTail(usual * target.responses, target.failures) > kMaxChance) return {};
  for (std::size_t i = 0; i < 2; ++i) {
    const ResponseCounts& half = counts.half(i);
    if (half.responses < kMinHalfResponses) continue;
    if (Rate(half.failures, half.responses) < usual + kMinHalfFraction * excess) return {};
    if (PoissonTail(usual * half.responses, half.failures) > kMaxHalfChance) return {};
  }
  return "failures " + Share(target.failures, target.responses) + ", other version " +
         Share(counts.other().failures, counts.other().responses);
}

/// Returns the reason if the target is slower than the other version, empty otherwise.
std::string JudgeTimes(const RouteCounts& counts, bool shifting) {
  const ResponseCounts target = counts.Target();
  const TimeHistogram& usual = counts.other().times;
  const std::uint32_t responses = target.times.total();
  if (responses < kMinTimedResponses || usual.total() < kMinTimedResponses) return {};
  const double slow_ms = std::max(kMinSlowMs, usual.MedianMs() * kSlowFactor);
  const std::size_t bucket =
      TimeHistogram::BucketOf(Duration(static_cast<std::int64_t>(slow_ms * 1000)));
  const std::uint32_t slow = target.times.CountAbove(bucket);
  const std::uint32_t usual_slow = usual.CountAbove(bucket);
  const double usual_rate = Rate(usual_slow, usual.total());
  const double excess = Rate(slow, responses) - usual_rate;
  if (excess < (shifting ? kMinSlowExcessShifting : kMinSlowExcess)) return {};
  const double pooled = Rate(slow + usual_slow, responses + usual.total());
  const double deviation = std::sqrt(std::max(pooled * (1 - pooled), kMinVariance) *
                                     (1.0 / responses + 1.0 / usual.total()));
  const bool one_half = HalvesWithResponses(counts) < 2;
  if (excess < deviation * (one_half ? kMinSlowDeviationsOneHalf : kMinSlowDeviations)) return {};
  for (std::size_t i = 0; i < 2; ++i) {
    const TimeHistogram& half = counts.half(i).times;
    if (half.total() < kMinHalfResponses) continue;
    const double half_excess = Rate(half.CountAbove(bucket), half.total()) - usual_rate;
    const double half_deviation =
        std::sqrt(std::max(usual_rate * (1 - usual_rate), kMinVariance) / half.total());
    if (half_excess < kMinHalfFraction * excess) return {};
    if (half_excess < kMinHalfDeviations * half_deviation) return {};
  }
  return "above " + std::to_string(static_cast<int>(slow_ms)) + " ms " + Share(slow, responses) +
         ", other version " + Share(usual_slow, usual.total());
}

std::string JudgeRoute(const RouteCounts& counts, bool shifting) {
  std::string reason = JudgeFailures(counts, shifting);
  return reason.empty() ? JudgeTimes(counts, shifting) : reason;
}

}  // namespace

std::size_t TimeHistogram::BucketOf(Duration took) {
  const double ms = static_cast<double>(took.count()) / 1000;
  if (ms <= 1) return 0;
  const auto bucket = static_cast<std::size_t>(std::log2(ms) * kBucketsPerDoubling) + 1;
  return std::min(bucket, kBuckets - 1);
}

void TimeHistogram::Add(Duration took) { ++buckets_[BucketOf(took)]; }

void TimeHistogram::AddToBucket(std::size_t bucket, std::uint32_t count) {
  if (bucket < kBuckets) buckets_[bucket] += count;
}

void TimeHistogram::Merge(const TimeHistogram& other) {
  for (std::size_t i = 0; i < kBuckets; ++i) buckets_[i] += other.buckets_[i];
}

std::uint32_t TimeHistogram::total() const {
  return std::accumulate(buckets_.begin(), buckets_.end(), 0U);
}

double TimeHistogram::MedianMs() const {
  const double middle = total() / 2.0;
  double before = 0;
  for (std::size_t i = 0; i < kBuckets; ++i) {
    if (buckets_[i] > 0 && before + buckets_[i] >= middle) {
      const double part = (middle - before) / buckets_[i];
      if (i == 0) return part;
      return std::exp2((static_cast<double>(i) - 1 + part) / kBucketsPerDoubling);
    }
    before += buckets_[i];
  }
  return 0;
}

std::uint32_t TimeHistogram::CountAbove(std::size_t bucket) const {
  std::uint32_t count = 0;
  for (std::size_t i = bucket + 1; i < kBuckets; ++i) count += buckets_[i];
  return count;
}

void ResponseCounts::Merge(const ResponseCounts& other) {
  responses += other.responses;
  failures += other.failures;
  times.Merge(other.times);
}

ResponseCounts RouteCounts::Target() const {
  ResponseCounts both = half(0);
  both.Merge(half(1));
  return both;
}

void RouteCounts::Merge(const RouteCounts& other) {
  for (std::size_t i = 0; i < kServerGroups; ++i) groups[i].Merge(other.groups[i]);
}

void MergeEvidence(const Evidence& from, Evidence* into) {
  for (const auto& [route, counts] : from) (*into)[route].Merge(counts);
}

Verdict Judge(const Evidence& evidence, bool shifting) {
  RouteCounts all;
  for (const auto& [route, counts] : evidence) all.Merge(counts);
  const std::uint32_t target_responses = all.Target().responses;
  const double responses = all.other().responses + static_cast<double>(target_responses);
  Verdict verdict;
  verdict.enough = target_responses >= kEnoughResponses;
  for (const auto& [route, counts] : evidence) {
    const std::string reason = JudgeRoute(counts, shifting);
    if (!reason.empty()) {
      return {true, true, false, std::string("route ").append(route).append(": ").append(reason)};
    }
    const std::uint32_t of_target = counts.Target().responses;
    const double on_route = counts.other().responses + static_cast<double>(of_target);
    if (on_route >= kMinTrafficFraction * responses && of_target < kEnoughResponses) {
      verdict.enough = false;
    }
  }
  const std::uint32_t failures = all.Target().failures;
  verdict.doubtful = !verdict.enough && failures >= kMinFailuresOfFew &&
                     Rate(failures, target_responses) >=
                         kFailureRateOfFew + Rate(all.other().failures, all.other().responses);
  // Response times of routes differ, and so may the routes' parts of the two versions' responses;
  // failures can be added.
  const std::string reason = JudgeFailures(all, shifting);
  if (!reason.empty()) return {true, true, false, "all routes: " + reason};
  verdict.reason = "failures " + Share(all.Target().failures, target_responses) +
                   ", other version " + Share(all.other().failures, all.other().responses);
  return verdict;
}

}  // namespace mulberry::rollout
