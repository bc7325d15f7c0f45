#include "libworkspace/cap_shares.h"

#include <algorithm>

namespace mulberry::workspace {
namespace {

/// Part of a cap that is lent; the rest is divided among the floors.
constexpr double kLentPart = 0.8;
/// A cap is divided into floors only if each floor gets at least this many tokens per second; less
/// would mostly lie unused while callers of other hosts are refused.
constexpr double kMinFloorRate = 0.2;
/// Part of the slack that buckets may use; the rest is for sends that a pause of the process delays
/// between the decision and the socket.
constexpr double kUsableSlack = 0.9;
/// A token more lets the bucket of a small cap hold a whole token while a fraction accrues.
constexpr double kMinExtraTokens = 1;
constexpr double kMaxExtraTokens = 2;

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

CapShare ShareOf(const Workspace& workspace, const CapLimits& limits, std::size_t lenders,
                 std::size_t floor_hosts) {
  const auto lender_count = static_cast<double>(std::max<std::size_t>(1, lenders));
  auto floor_count = static_cast<double>(floor_hosts);
  const bool has_floors =
      floor_hosts > 0 && (1 - kLentPart) * workspace.rate_per_s / floor_count >= kMinFloorRate;
  const double lent = has_floors ? kLentPart : 1;
  if (!has_floors) floor_count = 0;
  const double window = Seconds(limits.window);
  const double allowed = window * (1 + limits.overage);
  // A token may be used up to its lifetime after the lender's bucket gave it out.
  const double issued = window + lent * Seconds(kTokenLifetime);
  const double rate = workspace.rate_per_s * std::min(1.0, allowed / issued);
  const double spare = kUsableSlack * limits.slack + limits.overage * workspace.burst +
                       std::max(0.0, allowed - issued) * workspace.rate_per_s;
  const double spare_per_bucket = spare / (lender_count + floor_count);
  const double extra = std::min(spare_per_bucket,
                                std::clamp(spare_per_bucket / 2, kMinExtraTokens, kMaxExtraTokens));
  const double restart_content = std::min(spare_per_bucket - extra, kMaxExtraTokens);
  CapShare share;
  share.lender = {lent * rate / lender_count, lent * workspace.burst / lender_count + extra,
                  restart_content};
  if (has_floors) {
    share.floor = {(1 - lent) * rate / floor_count,
                   (1 - lent) * workspace.burst / floor_count + extra, restart_content};
  }
  return share;
}

}  // namespace mulberry::workspace
