#include "libentry/entry_host.h"

#include <algorithm>
#include <set>
#include <utility>

namespace mulberry {
namespace {

constexpr Duration kRefreshInterval = std::chrono::milliseconds(20);
/// Time within which a caller's last request to a cached address may still arrive.
constexpr Duration kLastRequestGrace = std::chrono::milliseconds(250);
constexpr std::size_t kMaxAddresses = 6;
/// Number of hosts, in rendezvous order, that receive the state of the group's servers from its
/// owner.
constexpr std::size_t kHandoverRecipients = 3;
constexpr Duration kHandoverInterval = std::chrono::seconds(10);

}  // namespace

EntryHost::EntryHost(EntryOptions options, EntryObserver& observer, Instant now)
    : options_(std::move(options)),
      membership_(options_.self, options_.membership, now.mono),
      grantor_(options_.lease, now.mono),
      leases_(options_.self.self, options_.lease, now.mono),
      follower_(options_.follower, now.mono),
      groups_(options_.dispatcher),
      router_(options_, services_, follower_.state_machine().state(), membership_, leases_, groups_,
              observer),
      signer_(options_.ticket_secret),
      observer_(observer),
      config_changed_at_(now.mono),
      ticket_nonce_(options_.random_seed) {}

void EntryHost::Start(Instant now, EntryActions& actions) {
  FollowerActions follower_actions;
  follower_.Start(now.mono, follower_actions);
  ApplyFollowerActions(std::move(follower_actions), now, actions);
}

/// Updates leases and the work permission if `kRefreshInterval` has passed or state has changed.
void EntryHost::Refresh(Instant now, EntryActions& actions) {
  if (!dirty_ && now.mono - refreshed_at_ < kRefreshInterval) {
    return;
  }
  RefreshNow(now, actions);
}

void EntryHost::RefreshNow(Instant now, EntryActions& actions) {
  refreshed_at_ = now.mono;
  dirty_ = false;
  permission_ = membership_.MayTakeWork(follower_.HasState(), now.mono);
  std::vector<GroupKey> keys;
  for (const ServiceMap::Group* group : services_.GroupsIn(options_.self.data_centre)) {
    keys.push_back(group->key);
  }
  leases_.SetView(keys, membership_.LiveInOwnDataCentre(now.mono),
                  membership_.KnownInOwnDataCentre(now.mono), now.mono);
  const bool permitted =
      permission_ == WorkPermission::kLogRead || permission_ == WorkPermission::kLogDownForAll;
  GroupTable::GroupActions group_actions;
  groups_.Refresh(services_, config(), leases_, options_.self, permitted, now.mono, group_actions);
  router_.Apply(std::move(group_actions), now, actions);
  ReleaseDrainedLeases(now, actions);
  ReportLeaseChanges();
}

void EntryHost::ReportLeaseChanges() {
  std::map<GroupName, LeasePhase> leases;
  for (const auto& [key, group] : groups_.groups()) {
    if (group.lease.phase != LeasePhase::kNone) leases[group.name] = group.lease.phase;
  }
  if (leases == reported_leases_) return;
  const auto report = [&](const GroupName& name) {
    const auto before = reported_leases_.find(name);
    const auto after = leases.find(name);
    const LeasePhase from = before == reported_leases_.end() ? LeasePhase::kNone : before->second;
    const LeasePhase to = after == leases.end() ? LeasePhase::kNone : after->second;
    if (from != to) observer_.OnLeaseChange(name, LeasePhaseName(from), LeasePhaseName(to));
  };
  for (const auto& [name, phase] : reported_leases_) report(name);
  for (const auto& [name, phase] : leases) {
    if (reported_leases_.count(name) == 0) report(name);
  }
  reported_leases_ = std::move(leases);
}

/// Releases the leases of draining groups that have no queued and no running requests.
void EntryHost::ReleaseDrainedLeases(Instant now, EntryActions& actions) {
  std::map<HostName, LeaseRelease> releases;
  for (const GroupKey key : leases_.DrainingGroups(now.mono)) {
    const GroupTable::Group* group = groups_.Find(key);
    if (group != nullptr && !group->dispatcher.Idle()) {
      continue;
    }
    for (const HostName& host : leases_.Release(key, now.mono)) {
      releases[host].groups.push_back(key);
    }
    grantor_.OnRelease(key, options_.self.self, now.mono);
  }
  for (auto& [host, release] : releases) {
    if (host != options_.self.self.host) {
      SendTo(host, std::move(release), actions);
    }
  }
}

void EntryHost::SendTo(const HostName& host, PeerMessage message, EntryActions& actions) const {
  if (const EntryHostEntry* entry = membership_.Find(host)) {
    actions.emplace_back(SendPeer{host, entry->peer_address, std::move(message)});
  }
}

ConfigMark EntryHost::CurrentConfigMark() const { return {config().applied, config().digest}; }

void EntryHost::OnCaller(CallerRequest request, Instant now, EntryActions& actions) {
  Refresh(now, actions);
  const bool permitted =
      permission_ == WorkPermission::kLogRead || permission_ == WorkPermission::kLogDownForAll;
  router_.OnCaller(std::move(request), permitted, now, actions);
}

void EntryHost::OnCallerGone(RequestId request, Instant now, EntryActions& actions) {
  Refresh(now, actions);
  router_.OnCallerGone(request, now, actions);
}

void EntryHost::OnServerReply(ServerReply reply, Instant now, EntryActions& actions) {
  Refresh(now, actions);
  router_.OnServerReply(std::move(reply), now, actions);
}

void EntryHost::OnProbe(const ProbeReport& report, Instant now, EntryActions& actions) {
  Refresh(now, actions);
  GroupTable::GroupActions group_actions;
  groups_.OnProbe(report, now.mono, group_actions);
  router_.Apply(std::move(group_actions), now, actions);
}

void EntryHost::OnPeer(const PeerEnvelope& envelope, Instant now, EntryActions& actions) {
  Refresh(now, actions);
  std::visit([&](const auto& message) { Handle(envelope.from, message, now, actions); },
             envelope.message);
}

std::vector<LeaseGrant> EntryHost::GrantsFor(const std::vector<GroupKey>& wanted,
                                             const Incarnation& to, TimePoint now) {
  std::vector<LeaseGrant> grants;
  grants.reserve(wanted.size());
  for (const GroupKey key : wanted) {
    grants.push_back(grantor_.OnLeaseRequest(key, to, now));
  }
  return grants;
}

void EntryHost::Handle(const Incarnation& from, const Heartbeat& message, Instant now,
                       EntryActions& actions) {
  membership_.SetConfigMark(CurrentConfigMark());
  if (membership_.OnHeartbeat(from, message, now.mono)) {
    dirty_ = true;
  }
  FollowerActions follower_actions;
  follower_.OnPeerOffset(from.host, message.config.offset, message.config.digest, now.mono,
                         follower_actions);
  ApplyFollowerActions(std::move(follower_actions), now, actions);
  HeartbeatAck ack = membership_.MakeAck(message, CurrentConfigMark(), now.mono);
  if (message.data_centre == options_.self.data_centre) {
    ack.grants = GrantsFor(message.wanted, from, now.mono);
  }
  SendTo(from.host, std::move(ack), actions);
}

void EntryHost::Handle(const Incarnation& from, const HeartbeatAck& message, Instant now,
                       EntryActions& actions) {
  membership_.SetConfigMark(CurrentConfigMark());
  if (membership_.OnHeartbeatAck(from, message, now.mono)) {
    dirty_ = true;
  }
  leases_.OnGrants(from, message.sequence, message.grants, now.mono);
  FollowerActions follower_actions;
  follower_.OnPeerOffset(from.host, message.config.offset, message.config.digest, now.mono,
                         follower_actions);
  ApplyFollowerActions(std::move(follower_actions), now, actions);
}

void EntryHost::Handle(const Incarnation& from, const LeaseRelease& message, Instant now,
                       EntryActions& actions) {
  bool is_next_owner = false;
  for (const GroupKey key : message.groups) {
    grantor_.OnRelease(key, from, now.mono);
    is_next_owner = is_next_owner || leases_.PreferredOwner(key) == options_.self.self.host;
  }
  dirty_ = true;
  if (is_next_owner) {
    SendHeartbeats(now, actions);
  }
}

void EntryHost::Handle(const Incarnation& from, const ForwardRequest& message, Instant now,
                       EntryActions& actions) {
  router_.OnForward(from, message, now, actions);
}

void EntryHost::Handle(const Incarnation&, const ForwardAnswer& message, Instant now,
                       EntryActions& actions) {
  router_.OnForwardAnswer(message, now, actions);
}

void EntryHost::Handle(const Incarnation& from, const ForwardCancel& message, Instant now,
                       EntryActions& actions) {
  router_.OnForwardCancel(from, message, now, actions);
}

void EntryHost::Handle(const Incarnation& from, const ClaimRequest& message, Instant now,
                       EntryActions& actions) {
  ClaimEvents events;
  router_.claims().OnClaimRequest(from, message, now, events);
  router_.Apply(std::move(events), now, actions);
}

void EntryHost::Handle(const Incarnation& from, const ClaimAnswer& message, Instant now,
                       EntryActions& actions) {
  ClaimEvents events;
  router_.claims().OnClaimAnswer(from, message, now, events);
  router_.Apply(std::move(events), now, actions);
}

void EntryHost::Handle(const Incarnation& from, const ClaimRelease& message, Instant,
                       EntryActions&) {
  router_.claims().OnClaimRelease(from, message);
}

void EntryHost::Handle(const Incarnation& from, const OutcomeQuery& message, Instant now,
                       EntryActions& actions) {
  ClaimEvents events;
  router_.claims().OnOutcomeQuery(from, message, now, events);
  router_.Apply(std::move(events), now, actions);
}

void EntryHost::Handle(const Incarnation&, const OutcomeAnswer& message, Instant now,
                       EntryActions& actions) {
  ClaimEvents events;
  router_.claims().OnOutcomeAnswer(message, events);
  router_.Apply(std::move(events), now, actions);
}

void EntryHost::Handle(const Incarnation& from, const ConfigFetch& message, Instant,
                       EntryActions& actions) {
  std::vector<LogPage::Record> records;
  ConfigContent content;
  follower_.HandlePeerFetch(message.after, &records, &content.snapshot);
  for (LogPage::Record& record : records) {
    content.records.push_back({record.offset, std::move(record.data)});
  }
  SendTo(from.host, std::move(content), actions);
}

void EntryHost::Handle(const Incarnation&, const ConfigContent& message, Instant now,
                       EntryActions& actions) {
  std::vector<LogPage::Record> records;
  for (const LogRecord& record : message.records) {
    records.push_back({record.offset, record.data});
  }
  FollowerActions follower_actions;
  follower_.OnPeerResponse(records, message.snapshot, now.mono, follower_actions);
  ApplyFollowerActions(std::move(follower_actions), now, actions);
}

void EntryHost::Handle(const Incarnation&, const GroupKnowledge& message, Instant now,
                       EntryActions&) {
  std::vector<ServerHandover> handovers;
  for (const KnownServer& server : message.servers) {
    const Duration cold_left = server.limit == 0 ? options_.dispatcher.cold_hold : server.cold_left;
    handovers.push_back(
        {server.name, server.start, server.warm, std::max(1U, server.limit), now.mono + cold_left});
  }
  groups_.StoreHandovers(message.group, std::move(handovers));
}

void EntryHost::OnHostList(const HostList& list, Instant now, EntryActions& actions) {
  membership_.SetHostList(list.entry_hosts, now.mono);
  servers_ = list.backend_servers;
  UpdateServices();
  RefreshNow(now, actions);
}

void EntryHost::UpdateServices() {
  services_.Update(servers_, config());
  groups_.MarkChanged();
  dirty_ = true;
}

void EntryHost::OnLogPage(const LogPage& page, Instant now, EntryActions& actions) {
  FollowerActions follower_actions;
  follower_.OnPage(page, now.mono, follower_actions);
  membership_.SetConfigMark(CurrentConfigMark());
  if (follower_.IsCurrent()) {
    membership_.OnLogRead(log_read_sent_at_);
  }
  ApplyFollowerActions(std::move(follower_actions), now, actions);
  RefreshNow(now, actions);
}

void EntryHost::OnLogFailed(Instant now, EntryActions& actions) {
  Refresh(now, actions);
  FollowerActions follower_actions;
  follower_.OnReadFailed(now.mono, follower_actions);
  ApplyFollowerActions(std::move(follower_actions), now, actions);
}

void EntryHost::OnAppended(bool ok, Instant now, EntryActions& actions) {
  Refresh(now, actions);
  FollowerActions follower_actions;
  follower_.OnAppended(ok, now.mono, follower_actions);
  ApplyFollowerActions(std::move(follower_actions), now, actions);
}

void EntryHost::ApplyFollowerActions(FollowerActions follower_actions, Instant now,
                                     EntryActions& actions) {
  bool changed = false;
  for (FollowerAction& action : follower_actions) {
    if (auto* read = std::get_if<ReadLog>(&action)) {
      log_read_sent_at_ = now.mono;
      actions.emplace_back(*read);
    } else if (auto* append = std::get_if<AppendRecord>(&action)) {
      actions.emplace_back(std::move(*append));
    } else if (auto* fetch = std::get_if<FetchFromPeer>(&action)) {
      SendTo(fetch->peer, ConfigFetch{fetch->after}, actions);
    } else {
      changed = true;
    }
  }
  if (changed) {
    config_changed_at_ = now.mono;
    UpdateServices();
    RefreshNow(now, actions);
  }
}

/// Sends the start ids and warm-up states of the groups' servers to the hosts that may own the
/// groups next.
void EntryHost::SendHandovers(Instant now, EntryActions& actions) {
  for (const auto& [key, group] : groups_.groups()) {
    const auto handovers = groups_.HandoversToSend(key, kHandoverInterval, now.mono);
    if (handovers.empty()) {
      continue;
    }
    GroupKnowledge message;
    message.group = key;
    for (const ServerHandover& known : handovers) {
      const Duration cold_left = std::max(Duration::zero(), Duration(known.cold_until - now.mono));
      message.servers.push_back({known.name, known.start, known.warm, known.limit, cold_left});
    }
    auto hosts = RendezvousOrder(key, membership_.LiveInOwnDataCentre(now.mono));
    hosts.resize(std::min(hosts.size(), kHandoverRecipients));
    for (const HostName& host : hosts) {
      if (host != options_.self.self.host) {
        SendTo(host, message, actions);
      }
    }
  }
}

void EntryHost::SendHeartbeats(Instant now, EntryActions& actions) {
  Heartbeat own = membership_.MakeHeartbeat(CurrentConfigMark(), now.mono);
  own.wanted = leases_.WantedGroups(now.mono);
  leases_.OnHeartbeatSent(options_.self.self.host, own.sequence, now.mono);
  const auto grants = GrantsFor(own.wanted, options_.self.self, now.mono);
  leases_.OnGrants(options_.self.self, own.sequence, grants, now.mono);
  for (const HostName& peer : membership_.NextHeartbeatPeers(now.mono)) {
    const EntryHostEntry* entry = membership_.Find(peer);
    if (entry == nullptr) {
      continue;
    }
    Heartbeat heartbeat = own;
    if (entry->data_centre != options_.self.data_centre) {
      heartbeat.wanted.clear();
    }
    leases_.OnHeartbeatSent(peer, own.sequence, now.mono);
    actions.emplace_back(SendPeer{peer, entry->peer_address, std::move(heartbeat)});
  }
}

void EntryHost::Tick(Instant now, EntryActions& actions) {
  Refresh(now, actions);
  if (membership_.HeartbeatDue(now.mono)) {
    SendHandovers(now, actions);
    SendHeartbeats(now, actions);
  }
  FollowerActions follower_actions;
  follower_.Tick(now.mono, follower_actions);
  ApplyFollowerActions(std::move(follower_actions), now, actions);
  GroupTable::GroupActions group_actions;
  groups_.Tick(now.mono, group_actions);
  router_.Apply(std::move(group_actions), now, actions);
  router_.Tick(now, actions);
}

TimePoint EntryHost::NextTick() const {
  const TimePoint refresh = refreshed_at_ + kRefreshInterval;
  return std::min({refresh, groups_.NextTick(), router_.NextTick()});
}

void EntryHost::BeginLeaving(Instant now, EntryActions& actions) {
  if (leaving_) {
    return;
  }
  leaving_ = true;
  leaving_since_ = now.mono;
  membership_.SetLeaving();
  RefreshNow(now, actions);
  SendHeartbeats(now, actions);
}

bool EntryHost::AddressesExpired(TimePoint now) const {
  return leaving_ && now - leaving_since_ >= options_.address_ttl + kLastRequestGrace;
}

bool EntryHost::Drained(TimePoint now) const {
  return AddressesExpired(now) && router_.Idle() && groups_.Idle() &&
         leases_.DrainingGroups(now).empty();
}

LeavingStep EntryHost::NextLeavingStep(std::size_t open_connections, TimePoint now) const {
  if (!AddressesExpired(now)) {
    return LeavingStep::kServe;
  }
  const bool nothing_left = open_connections == 0 && Drained(now);
  return nothing_left ? LeavingStep::kExit : LeavingStep::kCloseIdle;
}

/// Returns the owners of a service's groups, nearest first, followed by the live hosts of the own
/// data centre. `tie_break_seed` orders data centres of equal rank.
std::vector<HostName> EntryHost::EntryHostsFor(const ServiceName& service,
                                               const DataCentreName& caller_data_centre,
                                               std::uint64_t tie_break_seed, TimePoint now) const {
  std::vector<DataCentreName> centres = services_.AvailableDataCentres(service);
  const auto rank = [&](const DataCentreName& centre) {
    return std::make_tuple(centre != caller_data_centre, centre != options_.self.data_centre,
                           StableHash(centre.str(), tie_break_seed));
  };
  std::sort(centres.begin(), centres.end(),
            [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
  std::vector<HostName> owners;
  for (const DataCentreName& centre : centres) {
    const GroupKey key = KeyOf(GroupName{service, centre, 0});
    if (centre == options_.self.data_centre) {
      owners.push_back(leases_.PreferredOwner(key));
      continue;
    }
    const auto hosts = RendezvousOrder(key, membership_.LiveHostsIn(centre, now));
    if (!hosts.empty()) {
      owners.push_back(hosts.front());
    }
  }
  for (const HostName& host : membership_.LiveInOwnDataCentre(now)) {
    owners.push_back(host);
  }
  return owners;
}

Result<AddressAnswer> EntryHost::Addresses(const ClassName& class_name,
                                           const DataCentreName& caller_data_centre, Instant now) {
  if (!follower_.HasState()) {
    return Fail(ErrorCode::kUnavailable, "no_config");
  }
  const auto item = config().classes.find(class_name);
  if (item == config().classes.end()) {
    return Fail(ErrorCode::kNotFound, "unknown_class");
  }
  AddressAnswer answer;
  answer.ttl = options_.address_ttl;
  std::set<HostName> named;
  for (const HostName& host :
       EntryHostsFor(item->second.service, caller_data_centre, ++address_requests_, now.mono)) {
    const EntryHostEntry* entry = membership_.Find(host);
    const bool self_leaving = leaving_ && host == options_.self.self.host;
    if (entry == nullptr || self_leaving || entry->leaving || !named.insert(host).second) {
      continue;
    }
    answer.addresses.push_back(entry->http_address);
    if (answer.addresses.size() == kMaxAddresses) {
      break;
    }
  }
  if (answer.addresses.empty()) {
    return Fail(ErrorCode::kUnavailable, "no_entry_host");
  }
  if (!item->second.idempotent && !options_.naive) {
    const auto ticket = MakeTicket(now);
    if (!ticket) {
      return Fail(ErrorCode::kUnavailable, "no_claim_holders");
    }
    answer.ticket = signer_.Sign(*ticket);
    answer.ticket_ttl = options_.ticket_ttl;
  }
  return answer;
}

/// Selects three recently heard incarnations as claim holders, in different data centres if
/// possible.
std::optional<Ticket> EntryHost::MakeTicket(Instant now) {
  std::vector<HostName> candidates;
  std::vector<HostName> fallback_candidates;
  for (const DataCentreName& centre : membership_.DataCentres()) {
    std::vector<HostName> hosts = centre == options_.self.data_centre
                                      ? membership_.LiveInOwnDataCentre(now.mono)
                                      : membership_.RecentlyHeardIn(centre, now.mono);
    hosts = RendezvousOrder(GroupKey(ticket_nonce_), std::move(hosts));
    if (hosts.empty()) {
      continue;
    }
    const bool own = centre == options_.self.data_centre;
    candidates.insert(own ? candidates.begin() : candidates.end(), hosts.front());
    fallback_candidates.insert(fallback_candidates.end(), hosts.begin() + 1, hosts.end());
  }
  candidates.insert(candidates.end(), fallback_candidates.begin(), fallback_candidates.end());
  Ticket ticket;
  std::size_t count = 0;
  for (const HostName& host : candidates) {
    const Incarnation holder =
        host == options_.self.self.host ? options_.self.self : membership_.IncarnationOf(host);
    const EntryHostEntry* entry = membership_.Find(host);
    if (holder.start == StartId() || entry == nullptr || count == kClaimHolders) {
      continue;
    }
    ticket.holders[count] = holder;
    ticket.peer_addresses[count] = entry->peer_address;
    ++count;
  }
  if (count < kClaimHolders) {
    return std::nullopt;
  }
  ticket.expires =
      now.wall + std::chrono::duration_cast<std::chrono::milliseconds>(options_.ticket_ttl);
  ticket.nonce = StableHash(options_.self.self.host.str(), ++ticket_nonce_);
  return ticket;
}

}  // namespace mulberry
