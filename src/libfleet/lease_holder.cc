#include "libfleet/lease_holder.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

namespace mulberry {
namespace {

/// Heartbeats without an answer that are remembered for each peer.
constexpr std::size_t kMaxSentPerPeer = 32;

/// Last answer of one grantor on one group.
struct GrantState {
  TimePoint sent;  ///< When the heartbeat that it answers was sent.
  bool granted = false;
  bool abstained = false;
  bool fresh = false;
  TimePoint former_until;
};

struct PeerState {
  std::map<std::uint64_t, TimePoint> sent;  ///< Heartbeats without an answer, by sequence.
  TimePoint last_heard;                     ///< When the newest answered heartbeat was sent.
};

struct GroupState {
  std::vector<HostName> order;     ///< Known hosts in rendezvous order.
  std::vector<HostName> grantors;  ///< The first of `order`.
  HostName preferred;              ///< First live host; empty when none is live.
  std::optional<TimePoint> grantors_changed;
  std::optional<TimePoint> grantor_lost;  ///< When one of them left the known hosts.
  TimePoint preferred_since;
  std::map<HostName, GrantState> grants;
  LeasePhase phase = LeasePhase::kNone;  ///< As of the last event.
  std::optional<TimePoint> contested_since;
  TimePoint quiet_until;  ///< Without a lease, none is wished for before.
  TimePoint ignore_sent_before;
};

/// Votes of a group's grantors at one instant.
struct Tally {
  std::size_t grantors = 0;
  std::size_t granted = 0;
  std::size_t remembering = 0;  ///< Granted, and has run long enough to know a former owner.
  bool own_granted = false;     ///< By this host's own grantor.
  bool refused = false;         ///< By any host, a grantor or not.
  bool pending = false;         ///< A grantor's answer is still awaited.
  TimePoint until = TimePoint::max();
  TimePoint former_until = TimePoint::min();
};

/// Majority: has a grantor in common with any other majority, and with all grantors of a host whose
/// list differs by one host.
std::size_t Quorum(std::size_t grantors) { return grantors / 2 + 1; }

}  // namespace

class LeaseHolder::Impl {
 public:
  Impl(Incarnation self, LeaseOptions options, TimePoint start)
      : self_(std::move(self)), options_(options), start_(start) {}

  void SetView(const std::vector<GroupKey>& groups, const std::vector<HostName>& live,
               const std::vector<HostName>& known, TimePoint now) {
    Settle(now);
    if (groups == groups_ && live == live_ && known == known_) return;
    groups_ = groups;
    live_ = live;
    known_ = known;
    for (const HostName& host : known_) {
      peers_.try_emplace(host, PeerState{{}, now});
    }
    std::erase_if(peers_, [&](const auto& peer) { return !Contains(known_, peer.first); });
    std::map<GroupKey, GroupState> former = std::move(states_);
    states_.clear();
    for (const GroupKey group : groups_) {
      const auto found = former.find(group);
      GroupState state = found == former.end() ? GroupState() : std::move(found->second);
      UpdateView(group, found == former.end(), &state, now);
      states_.emplace(group, std::move(state));
    }
    Settle(now);
  }

  std::vector<GroupKey> WantedGroups(TimePoint now) const {
    std::vector<GroupKey> wanted;
    for (const auto& [group, state] : states_) {
      if (IsWanted(state, now)) wanted.push_back(group);
    }
    return wanted;
  }

  void OnHeartbeatSent(const HostName& peer, std::uint64_t sequence, TimePoint now) {
    const auto found = peers_.find(peer);
    if (found == peers_.end()) return;
    std::map<std::uint64_t, TimePoint>& sent = found->second.sent;
    sent[sequence] = now;
    if (sent.size() > kMaxSentPerPeer) sent.erase(sent.begin());
  }

  void OnGrants(const Incarnation& from, std::uint64_t sequence,
                const std::vector<LeaseGrant>& grants, TimePoint now) {
    Settle(now);
    const auto found = peers_.find(from.host);
    if (found == peers_.end()) return;
    PeerState& peer = found->second;
    const std::optional<TimePoint> sent = TakeSent(from.host, sequence, &peer, now);
    if (!sent) return;
    peer.last_heard = std::max(peer.last_heard, *sent);
    for (const LeaseGrant& grant : grants) OnGrant(from.host, grant, *sent, now);
    Settle(now);
  }

  Lease GetLease(GroupKey group, TimePoint now) const {
    const auto found = states_.find(group);
    if (found == states_.end()) return Lease();
    const Tally tally = Count(found->second, now);
    Lease lease;
    lease.phase = PhaseOf(found->second, tally, now);
    if (lease.phase != LeasePhase::kNone) lease.expires = UntilOf(tally, now);
    return lease;
  }

  HostName PreferredOwner(GroupKey group) const {
    const auto found = states_.find(group);
    return found == states_.end() ? HostName() : found->second.preferred;
  }

  std::vector<GroupKey> DrainingGroups(TimePoint now) const {
    std::vector<GroupKey> draining;
    const bool leaving = !Contains(live_, self_.host);
    for (const auto& [group, state] : states_) {
      if (state.preferred == self_.host || GetLease(group, now).phase == LeasePhase::kNone)
        continue;
      const bool settled = now - state.preferred_since >= 2 * options_.lease_time;
      if (leaving || settled) draining.push_back(group);
    }
    return draining;
  }

  std::vector<HostName> Release(GroupKey group, TimePoint now) {
    const auto found = states_.find(group);
    if (found == states_.end()) return {};
    GroupState& state = found->second;
    state.grants.clear();
    state.phase = LeasePhase::kNone;
    state.contested_since.reset();
    // A late copy of the release must not end a lease that is granted after it.
    state.quiet_until = now + 2 * options_.lease_time;
    state.ignore_sent_before = state.quiet_until;
    return known_;
  }

 private:
  static bool Contains(const std::vector<HostName>& hosts, const HostName& host) {
    return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
  }

  void UpdateView(GroupKey group, bool is_new, GroupState* state, TimePoint now) const {
    state->order = RendezvousOrder(group, known_);
    const std::size_t count = std::min<std::size_t>(options_.grantor_count, state->order.size());
    std::vector<HostName> grantors(state->order.begin(),
                                   state->order.begin() + static_cast<std::ptrdiff_t>(count));
    if (!is_new && grantors != state->grantors) state->grantors_changed = now;
    const bool lost = std::any_of(state->grantors.begin(), state->grantors.end(),
                                  [&](const HostName& host) { return !Contains(known_, host); });
    if (lost) state->grantor_lost = now;
    state->grantors = std::move(grantors);

    const std::vector<HostName> live = RendezvousOrder(group, live_);
    const HostName preferred = live.empty() ? HostName() : live.front();
    if (preferred != state->preferred) state->preferred_since = now;
    state->preferred = preferred;
    std::erase_if(state->grants, [&](const auto& grant) { return !Contains(known_, grant.first); });
  }

  bool IsWanted(const GroupState& state, TimePoint now) const {
    // Gives an owner the time to renew at this host's grantor after a restart.
    const Duration startup = options_.lease_time + options_.lease_time / 2;
    if (now - start_ < startup) return false;
    if (PhaseOf(state, Count(state, now), now) != LeasePhase::kNone) return true;
    return state.preferred == self_.host && now >= state.quiet_until;
  }

  /// Returns when the answered heartbeat was sent; none for an answer that is stale or unknown.
  std::optional<TimePoint> TakeSent(const HostName& from, std::uint64_t sequence, PeerState* peer,
                                    TimePoint now) const {
    if (from == self_.host) return now;
    const auto sent = peer->sent.find(sequence);
    if (sent == peer->sent.end()) return std::nullopt;
    const TimePoint when = sent->second;
    peer->sent.erase(peer->sent.begin(), std::next(sent));
    return when;
  }

  void OnGrant(const HostName& from, const LeaseGrant& grant, TimePoint sent, TimePoint now) {
    const auto found = states_.find(grant.group);
    if (found == states_.end() || sent < found->second.ignore_sent_before) return;
    GrantState& state = found->second.grants[from];
    state.sent = sent;
    state.granted = grant.granted;
    state.abstained = !grant.granted && grant.fresh;
    state.fresh = grant.fresh;
    state.former_until = now + grant.former_remaining;
  }

  Duration HeldTime() const { return options_.lease_time - options_.clock_drift_margin; }

  Tally Count(const GroupState& state, TimePoint now) const {
    Tally tally;
    tally.grantors = state.grantors.size();
    for (const auto& [host, grant] : state.grants) {
      if (grant.sent + HeldTime() <= now) continue;
      if (!grant.granted && !grant.abstained) tally.refused = true;
      if (!grant.granted) continue;
      tally.former_until = std::max(tally.former_until, grant.former_until);
      if (host != self_.host) continue;
      tally.own_granted = true;
      tally.until = grant.sent + HeldTime();
    }
    for (const HostName& host : state.grantors) CountGrantor(state, host, now, &tally);
    return tally;
  }

  void CountGrantor(const GroupState& state, const HostName& host, TimePoint now,
                    Tally* tally) const {
    const auto found = state.grants.find(host);
    const bool answered = found != state.grants.end() && found->second.sent + HeldTime() > now;
    if (answered && found->second.granted) {
      ++tally->granted;
      if (!found->second.fresh) ++tally->remembering;
      tally->until = std::min(tally->until, found->second.sent + HeldTime());
      return;
    }
    if (answered) return;
    const auto peer = peers_.find(host);
    const bool silent =
        peer == peers_.end() || now - peer->second.last_heard >= options_.lease_time;
    if (!silent) tally->pending = true;
  }

  LeasePhase PhaseOf(const GroupState& state, const Tally& tally, TimePoint now) const {
    if (tally.grantors == 0) return LeasePhase::kNone;
    if (tally.granted < Quorum(tally.grantors)) return MinorityPhase(state, tally);
    const bool all = tally.granted == tally.grantors;
    if (all && state.phase == LeasePhase::kFull) return LeasePhase::kFull;
    const bool former_over = tally.former_until <= now && IsForgotten(state.grantor_lost, now);
    const bool all_remember = tally.remembering == tally.grantors;
    if (former_over && all_remember && IsForgotten(state.grantors_changed, now)) {
      return LeasePhase::kFull;
    }
    if (state.phase >= LeasePhase::kWarm) return LeasePhase::kWarm;
    const bool remembered = tally.remembering >= Quorum(tally.grantors);
    return former_over && remembered ? LeasePhase::kWarm : LeasePhase::kReduced;
  }

  /// True when nothing that a lease of that time allowed can still run.
  bool IsForgotten(const std::optional<TimePoint>& event, TimePoint now) const {
    return !event || now - *event >= options_.lease_time + options_.max_request_time;
  }

  /// Phase without a quorum: reduced when nobody who could object is heard.
  LeasePhase MinorityPhase(const GroupState& state, const Tally& tally) const {
    const bool candidate = state.preferred == self_.host || state.phase != LeasePhase::kNone;
    if (!candidate || !tally.own_granted) return LeasePhase::kNone;
    if (tally.refused || tally.pending) return LeasePhase::kNone;
    return LeasePhase::kReduced;
  }

  TimePoint UntilOf(const Tally& tally, TimePoint now) const {
    return std::min(tally.until, now + HeldTime());
  }

  /// Records the phases at `now`; called around each event, since grants lapse between events.
  void Settle(TimePoint now) {
    for (auto& [group, state] : states_) {
      if (state.grants.empty()) continue;
      state.phase = PhaseOf(state, Count(state, now), now);
      SettleContest(&state, now);
      if (!IsWanted(state, now)) EraseLapsed(&state, now);
    }
  }

  void EraseLapsed(GroupState* state, TimePoint now) const {
    std::erase_if(state->grants,
                  [&](const auto& grant) { return grant.second.sent + HeldTime() <= now; });
  }

  /// A candidate that shares the grantors with another one for long withdraws for a time that
  /// differs between hosts.
  void SettleContest(GroupState* state, TimePoint now) const {
    const Tally tally = Count(*state, now);
    const bool contested = state->phase == LeasePhase::kNone && tally.refused && tally.granted > 0;
    if (!contested) {
      state->contested_since.reset();
      return;
    }
    if (!state->contested_since) state->contested_since = now;
    if (now - *state->contested_since < 2 * options_.lease_time) return;
    const auto rank =
        std::find(state->order.begin(), state->order.end(), self_.host) - state->order.begin();
    state->quiet_until = now + options_.lease_time + (rank + 1) * (options_.lease_time / 2);
    state->contested_since.reset();
  }

  Incarnation self_;
  LeaseOptions options_;
  TimePoint start_;
  std::vector<GroupKey> groups_;
  std::vector<HostName> live_;
  std::vector<HostName> known_;
  std::map<HostName, PeerState> peers_;
  std::map<GroupKey, GroupState> states_;
};

LeaseHolder::LeaseHolder(Incarnation self, LeaseOptions options, TimePoint start)
    : impl_(std::make_unique<Impl>(std::move(self), options, start)) {}

LeaseHolder::~LeaseHolder() = default;
LeaseHolder::LeaseHolder(LeaseHolder&&) noexcept = default;

void LeaseHolder::SetView(const std::vector<GroupKey>& groups, const std::vector<HostName>& live,
                          const std::vector<HostName>& known, TimePoint now) {
  impl_->SetView(groups, live, known, now);
}

std::vector<GroupKey> LeaseHolder::WantedGroups(TimePoint now) const {
  return impl_->WantedGroups(now);
}

void LeaseHolder::OnHeartbeatSent(const HostName& peer, std::uint64_t sequence, TimePoint now) {
  impl_->OnHeartbeatSent(peer, sequence, now);
}

void LeaseHolder::OnGrants(const Incarnation& from, std::uint64_t sequence,
                           const std::vector<LeaseGrant>& grants, TimePoint now) {
  impl_->OnGrants(from, sequence, grants, now);
}

Lease LeaseHolder::GetLease(GroupKey group, TimePoint now) const {
  return impl_->GetLease(group, now);
}

HostName LeaseHolder::PreferredOwner(GroupKey group) const { return impl_->PreferredOwner(group); }

std::vector<GroupKey> LeaseHolder::DrainingGroups(TimePoint now) const {
  return impl_->DrainingGroups(now);
}

std::vector<HostName> LeaseHolder::Release(GroupKey group, TimePoint now) {
  return impl_->Release(group, now);
}

}  // namespace mulberry
