#include "libworkspace/cap_limiter.h"

#include <algorithm>
#include <cmath>

namespace mulberry::workspace {
namespace {

/// A query counts as unanswered after this time, and another one is sent; a round trip between data
/// centres takes up to 8 ms. A later answer is still accepted.
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(10);
/// Unanswered queries in a row after which a lender counts as silent. With one, the loss of a tenth
/// of the datagrams had requests refused while all lenders counted as silent.
constexpr std::uint64_t kUnansweredUntilSilent = 3;
/// A silent lender is asked again after this time, which doubles up to the maximum.
constexpr Duration kMinSilentPause = std::chrono::milliseconds(100);
constexpr Duration kMaxSilentPause = std::chrono::milliseconds(1600);
constexpr std::uint64_t kMaxSilentDoublings = 4;
/// From this demand on, tokens are requested in advance; below it, most of them would expire.
constexpr double kMinDemandAhead = 10;
/// Tokens requested in advance, as a time of demand. It is shorter than the tokens' lifetime, so
/// that few expire.
constexpr double kSecondsAhead = 0.3;
/// Time constant of the demand estimate.
constexpr double kDemandSeconds = 0.5;
/// A nearer lender is preferred while its bucket holds at least this part of the fullest one.
/// Asking only the nearest one would leave the others full, and the inflow of a full bucket is
/// lost.
constexpr double kNearPreference = 0.5;
/// Bounds of the Retry-After value. The least is several round trips to the lenders.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(20);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(5);
/// Refused requests are told moments within this time, unless the next token comes later.
constexpr Duration kMaxRetrySpread = std::chrono::seconds(2);

}  // namespace

void CapLimiter::SetRoles(const CapRoles& roles, bool fresh, const CapTime& time) {
  if (roles == roles_) return;
  const bool lenders_changed = roles.lenders != roles_.lenders;
  roles_ = roles;
  const TimePoint trusted_at =
      fresh ? time.running : time.running + limits_.window + kTokenLifetime;
  const auto switch_role = [&](BucketSet& buckets, bool has_role) {
    if (has_role && !buckets.active()) buckets.Start(time.running, trusted_at);
    if (!has_role) buckets.Stop();
  };
  switch_role(floors_, roles.has_floor);
  switch_role(own_lender_.buckets(), roles.own_lender.has_value());
  if (lenders_changed) {
    outstanding_.clear();
    lenders_.assign(roles.lenders.size(), {});
    for (auto& [name, state] : states_) ResetLenders(state);
  }
  UpdateShares(time);
}

void CapLimiter::SetLimits(const CapLimits& limits, const CapTime& time) {
  limits_ = limits;
  UpdateShares(time);
}

void CapLimiter::SetWorkspaces(const std::vector<Workspace>& workspaces, const CapTime& time) {
  std::unordered_map<WorkspaceName, State> before = std::exchange(states_, {});
  for (const Workspace& workspace : workspaces) {
    if (workspace.rate_per_s <= 0) continue;
    const auto found = before.find(workspace.name);
    State state;
    if (found != before.end()) {
      state = std::move(found->second);
    } else {
      ResetLenders(state);
    }
    state.workspace = {workspace.name, {}, {}, workspace.rate_per_s, workspace.burst};
    states_.emplace(workspace.name, std::move(state));
  }
  UpdateShares(time);
}

void CapLimiter::ResetLenders(State& state) const {
  state.lenders.assign(roles_.lenders.size(), {});
}

void CapLimiter::UpdateShares(const CapTime& time) {
  BucketSet::Limits floors;
  BucketSet::Limits lent;
  for (auto& [name, state] : states_) {
    state.share = ShareOf(state.workspace, limits_, roles_.lenders.size(), roles_.floor_hosts);
    for (LenderView& lender : state.lenders) lender.SetLimits(state.share.lender);
    floors.emplace_back(name, state.share.floor);
    lent.emplace_back(name, state.share.lender);
  }
  floors_.SetLimits(floors, limits_.window, time.running);
  own_lender_.buckets().SetLimits(lent, limits_.window, time.running);
}

double CapLimiter::DemandAt(const State& state, TimePoint now) {
  const double age = std::chrono::duration<double>(now - state.demand_at).count();
  return state.demand * std::exp(-age / kDemandSeconds);
}

void CapLimiter::OnDemand(const WorkspaceName& workspace, const CapTime& time) {
  const auto found = states_.find(workspace);
  if (found == states_.end()) return;
  State& state = found->second;
  state.demand = DemandAt(state, time.now) + 1 / kDemandSeconds;
  state.demand_at = time.now;
}

std::uint32_t CapLimiter::Borrowed(const State& state, TimePoint now) {
  std::uint32_t tokens = 0;
  for (const Lot& lot : state.borrowed) {
    if (now < lot.expires) tokens += lot.tokens;
  }
  return tokens;
}

std::uint32_t CapLimiter::OwnTokens(const State& state, const CapTime& time) {
  std::uint32_t tokens = Borrowed(state, time.now);
  if (suspended_) return tokens;
  for (BucketSet* buckets : {&floors_, &own_lender_.buckets()}) {
    TokenBucket* bucket = buckets->Find(state.workspace.name);
    if (bucket != nullptr) tokens += bucket->Available(time.running);
  }
  return tokens;
}

CapDecision CapLimiter::Decide(const WorkspaceName& workspace, const CapTime& time) {
  const auto found = states_.find(workspace);
  if (found == states_.end()) return {};
  State& state = found->second;
  if (OwnTokens(state, time) > 0) return {};
  // This host has just started and does not know the lenders yet.
  if (roles_.lenders.empty() && !roles_.has_floor) return {CapDecision::Step::kWait, {}};
  ExpireQueries(time.now);
  // Tokens that the lenders can grant at most. The requests that wait have the first claim.
  double expected = 0;
  for (std::size_t i = 0; i < state.lenders.size(); ++i) {
    const LenderView& lender = state.lenders[i];
    if (IsOwn(i)) continue;
    const bool may_grant =
        lender.asked_tokens() > 0 || (!IsSilent(i, time.now) && lender.MayGrant(time.now));
    if (may_grant) expected += std::floor(lender.Content(time.now));
  }
  if (expected >= state.waiting + 1.0) return {CapDecision::Step::kWait, {}};
  return {CapDecision::Step::kRefuse, RetryAfterFor(state, time)};
}

/// Each refused request is told a moment of its own, as far apart as tokens come, so that callers
/// that wait as instructed don't return together.
Duration CapLimiter::RetryAfterFor(State& state, const CapTime& time) {
  Duration wait = kMaxRetryAfter;
  for (BucketSet* buckets : {&floors_, &own_lender_.buckets()}) {
    TokenBucket* bucket = buckets->Find(state.workspace.name);
    if (bucket != nullptr) wait = std::min(wait, bucket->TimeUntilToken(time.running));
  }
  for (std::size_t i = 0; i < state.lenders.size(); ++i) {
    if (IsOwn(i)) continue;
    const Duration until_asked = lenders_[i].ask_again_at - time.now;
    wait = std::min(wait, std::max(until_asked, state.lenders[i].TimeUntilToken(time.now)));
  }
  const double host_rate = state.workspace.rate_per_s /
                           static_cast<double>(std::max<std::size_t>(1, roles_.floor_hosts));
  const auto spacing = std::chrono::ceil<Duration>(std::chrono::duration<double>(1 / host_rate));
  const TimePoint slot = std::max(time.now + wait, state.last_refusal_slot + spacing);
  state.last_refusal_slot = std::min(slot, time.now + std::max(wait, kMaxRetrySpread));
  return std::clamp<Duration>(state.last_refusal_slot - time.now, kMinRetryAfter, kMaxRetryAfter);
}

bool CapLimiter::Take(const WorkspaceName& workspace, const CapTime& time) {
  const auto found = states_.find(workspace);
  if (found == states_.end()) return true;
  State& state = found->second;
  std::erase_if(state.borrowed,
                [&](const Lot& lot) { return lot.tokens == 0 || time.now >= lot.expires; });
  if (!state.borrowed.empty()) {
    --state.borrowed.front().tokens;
    return true;
  }
  if (suspended_) return false;
  for (BucketSet* buckets : {&floors_, &own_lender_.buckets()}) {
    TokenBucket* bucket = buckets->Find(workspace);
    if (bucket != nullptr && bucket->Take(1, time.running) == 1) return true;
  }
  return false;
}

void CapLimiter::SetWaiting(const WorkspaceName& workspace, std::uint32_t count) {
  const auto found = states_.find(workspace);
  if (found != states_.end()) found->second.waiting = count;
}

std::uint32_t CapLimiter::TokensToAsk(const State& state, bool ahead, const CapTime& time) {
  double wanted = state.waiting;
  const double demand = ahead ? DemandAt(state, time.now) : 0;
  if (demand >= kMinDemandAhead) wanted += std::ceil(demand * kSecondsAhead);
  if (wanted <= 0) return 0;
  wanted -= OwnTokens(state, time);
  for (const LenderView& lender : state.lenders) wanted -= lender.asked_tokens();
  return static_cast<std::uint32_t>(std::max(0.0, wanted));
}

std::vector<std::size_t> CapLimiter::LendersByPreference(const State& state, TimePoint now) const {
  std::vector<std::size_t> order;
  double fullest = 0;
  for (std::size_t i = 0; i < state.lenders.size(); ++i) {
    if (IsOwn(i) || IsSilent(i, now) || !state.lenders[i].CanAsk(now)) continue;
    order.push_back(i);
    fullest = std::max(fullest, state.lenders[i].Content(now));
  }
  std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    return state.lenders[a].Content(now) > state.lenders[b].Content(now);
  });
  const auto nearest = std::find(order.begin(), order.end(), std::size_t{0});
  if (nearest != order.end() && state.lenders[0].Content(now) >= kNearPreference * fullest) {
    std::rotate(order.begin(), nearest, nearest + 1);
  }
  return order;
}

std::vector<CapLimiter::Query> CapLimiter::TakeQueries(bool ahead, const CapTime& time) {
  ExpireQueries(time.now);
  std::vector<std::vector<TokenQuery::Part>> parts(lenders_.size());
  for (auto& [name, state] : states_) {
    if (!ahead && state.waiting == 0) continue;
    std::uint32_t missing = TokensToAsk(state, ahead, time);
    if (missing == 0) continue;
    for (const std::size_t i : LendersByPreference(state, time.now)) {
      const auto holds = static_cast<std::uint32_t>(state.lenders[i].Content(time.now));
      const std::uint32_t tokens = std::min(missing, holds);
      state.lenders[i].OnAsked(tokens, time.now);
      parts[i].push_back({name, tokens});
      missing -= tokens;
      if (missing == 0) break;
    }
  }
  std::vector<Query> queries;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    if (parts[i].empty()) continue;
    const std::uint64_t sequence = next_sequence_++;
    queries.push_back({roles_.lenders[i], {sequence, parts[i]}});
    outstanding_[sequence] = {i, time.now, false, std::move(parts[i])};
  }
  return queries;
}

void CapLimiter::ExpireQueries(TimePoint now) {
  for (auto next = outstanding_.begin(); next != outstanding_.end();) {
    Outstanding& query = next->second;
    // Sequence numbers rise with the time, so the rest is younger.
    if (now - query.sent_at < kAnswerTimeout) break;
    if (!query.timed_out) {
      query.timed_out = true;
      for (const TokenQuery::Part& part : query.parts) {
        const auto found = states_.find(part.workspace);
        if (found != states_.end()) found->second.lenders[query.lender].OnTimeout();
      }
      Lender& lender = lenders_[query.lender];
      if (now >= lender.ask_again_at && ++lender.unanswered >= kUnansweredUntilSilent) {
        const auto doublings =
            std::min(lender.unanswered - kUnansweredUntilSilent, kMaxSilentDoublings);
        lender.ask_again_at =
            now + std::min<Duration>(kMaxSilentPause, kMinSilentPause * (1 << doublings));
      }
    }
    next = now - query.sent_at >= kTokenLifetime ? outstanding_.erase(next) : std::next(next);
  }
}

std::vector<WorkspaceName> CapLimiter::OnGrant(const HostName& lender, const TokenGrant& grant,
                                               const CapTime& time) {
  ExpireQueries(time.now);
  const auto found = outstanding_.find(grant.sequence);
  if (grant.receiver_start != start_ || found == outstanding_.end()) return {};
  const Outstanding query = std::move(found->second);
  if (roles_.lenders[query.lender] != lender) return {};
  outstanding_.erase(found);
  lenders_[query.lender] = {};
  std::vector<WorkspaceName> affected;
  for (const TokenGrant::Part& part : grant.parts) {
    const auto state = states_.find(part.workspace);
    if (state == states_.end()) continue;
    LenderView& view = state->second.lenders[query.lender];
    affected.push_back(part.workspace);
    if (!part.known) {
      view.OnUnknown(time.now);
      continue;
    }
    view.OnAnswer(part.tokens, part.left, time.now);
    if (part.tokens == 0) continue;
    std::vector<Lot>& borrowed = state->second.borrowed;
    const Lot lot{query.sent_at + kTokenLifetime, part.tokens};
    const auto place = std::find_if(borrowed.begin(), borrowed.end(),
                                    [&](const Lot& other) { return other.expires > lot.expires; });
    borrowed.insert(place, lot);
  }
  return affected;
}

std::optional<TokenGrant> CapLimiter::OnQuery(const HostName& host, StartId start,
                                              const TokenQuery& query, const CapTime& time) {
  if (suspended_) return std::nullopt;
  return own_lender_.OnQuery(host, start, query, time);
}

std::vector<HostName> CapLimiter::SilentLenders(TimePoint now) const {
  std::vector<HostName> silent;
  for (std::size_t i = 0; i < lenders_.size(); ++i) {
    if (IsSilent(i, now)) silent.push_back(roles_.lenders[i]);
  }
  return silent;
}

}  // namespace mulberry::workspace
