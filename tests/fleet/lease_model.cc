#include "lease_model.h"

#include <algorithm>

namespace mulberry {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTick(25);

double ColdShare(LeasePhase phase) {
  if (phase == LeasePhase::kFull) return 1;
  return phase == LeasePhase::kWarm ? 0.5 : 0;
}

}  // namespace

LeaseModel::LeaseModel(LeaseModelOptions options, std::vector<Fault> faults)
    : options_(options),
      faults_(std::move(faults)),
      group_(KeyOf({ServiceName("reservas"), DataCentreName("uio-a"), 0})),
      random_(options.seed),
      nodes_(options.hosts) {
  lease_options_.max_request_time = milliseconds(2000);
  std::sort(faults_.begin(), faults_.end(),
            [](const Fault& a, const Fault& b) { return a.at_ms < b.at_ms; });
  lists_.emplace_back();
  for (std::uint32_t host = 0; host < options_.hosts; ++host) {
    lists_[0].push_back({NameOf(host), DataCentreName("uio-a"), "http", "peer", false});
  }
}

void LeaseModel::Start(std::uint32_t host) {
  Node& node = nodes_[host];
  const StartId start(next_start_++);
  node = Node();
  node.self = {NameOf(host), start};
  const SelfDescription self{node.self, DataCentreName("uio-a"), "http", "peer"};
  node.membership = std::make_unique<Membership>(self, MembershipOptions(), now_);
  node.holder = std::make_unique<LeaseHolder>(node.self, lease_options_, now_);
  node.grantor = std::make_unique<LeaseGrantor>(lease_options_, now_);
  ChangeList(host, true);
  ReadList(&node);
}

bool LeaseModel::MayDelist(std::uint32_t host) const {
  if (!nodes_[host].running()) return true;
  const auto unlisted = [&](const Node& node) {
    return node.running() &&
           std::none_of(lists_.back().begin(), lists_.back().end(),
                        [&](const auto& entry) { return entry.name == node.self.host; });
  };
  const auto count = std::count_if(nodes_.begin(), nodes_.end(), unlisted);
  return options_.list_lag == 0 && count < options_.wrongly_unlisted;
}

void LeaseModel::ReadList(Node* node) {
  const std::size_t newest = lists_.size() - 1;
  const std::size_t oldest = newest < options_.list_lag ? 0 : newest - options_.list_lag;
  const std::size_t read = oldest + Random(static_cast<std::uint32_t>(newest - oldest + 1));
  node->list_version = std::max(node->list_version, read);
  node->membership->SetHostList(lists_[node->list_version], now_);
}

void LeaseModel::ChangeList(std::uint32_t host, bool listed) {
  std::vector<EntryHostEntry> list = lists_.back();
  const auto removed = std::erase_if(list, [&](const auto& e) { return e.name == NameOf(host); });
  if ((removed > 0) == listed) return;
  if (listed) list.push_back({NameOf(host), DataCentreName("uio-a"), "http", "peer", false});
  lists_.push_back(list);
  const std::size_t oldest =
      lists_.size() - 1 - std::min<std::size_t>(options_.list_lag, lists_.size() - 1);
  for (Node& node : nodes_) {
    if (!node.running() || node.list_version >= oldest) continue;
    node.list_version = oldest;
    node.membership->SetHostList(lists_[oldest], now_);
  }
}

void LeaseModel::Apply(const Fault& fault) {
  const std::uint32_t host = fault.host % options_.hosts;
  const TimePoint until = now_ + milliseconds(fault.lasts_ms);
  switch (fault.kind) {
    case Fault::Kind::kCrash:
      nodes_[host] = Node();
      return;
    case Fault::Kind::kRestart:
      Start(host);
      return;
    case Fault::Kind::kPause:
      nodes_[host].paused_until = until;
      return;
    case Fault::Kind::kCutLink:
      cut_until_[{host, fault.other % options_.hosts}] = until;
      return;
    case Fault::Kind::kIsolate:
      for (std::uint32_t other = 0; other < options_.hosts; ++other) {
        cut_until_[{host, other}] = until;
        cut_until_[{other, host}] = until;
      }
      return;
    case Fault::Kind::kDelist:
      if (MayDelist(host)) ChangeList(host, false);
      return;
    case Fault::Kind::kList:
      ChangeList(host, true);
      return;
    case Fault::Kind::kLeave:
      nodes_[host].leaving = true;
      if (nodes_[host].running()) nodes_[host].membership->SetLeaving();
      return;
  }
}

void LeaseModel::Heal() {
  cut_until_.clear();
  options_.loss_percent = 0;
  options_.slow_percent = 0;
  options_.list_lag = 0;
  for (std::uint32_t host = 0; host < options_.hosts; ++host) {
    ChangeList(host, true);
    nodes_[host].paused_until = now_;
    if (!nodes_[host].running() || nodes_[host].leaving) Start(host);
  }
}

LeaseModelResult LeaseModel::Run() {
  LeaseModelResult result;
  for (std::uint32_t host = 0; host < options_.hosts; ++host) Start(host);
  const TimePoint heal = start_ + milliseconds(options_.faults_ms);
  const TimePoint end = heal + milliseconds(options_.heal_ms);
  std::size_t next_fault = 0;
  for (bool healed = false; now_ < end; now_ += kTick) {
    while (next_fault < faults_.size() && !healed &&
           start_ + milliseconds(faults_[next_fault].at_ms) <= now_) {
      Apply(faults_[next_fault++]);
    }
    if (!healed && now_ >= heal) {
      Heal();
      healed = true;
    }
    Deliver();
    for (std::uint32_t host = 0; host < options_.hosts; ++host) Step(host);
    Observe(&result);
  }
  std::vector<HostName> names;
  for (std::uint32_t host = 0; host < options_.hosts; ++host) names.push_back(NameOf(host));
  const HostName preferred = RendezvousOrder(group_, names).front();
  for (const Node& node : nodes_) {
    if (PhaseOf(node) != LeasePhase::kFull) continue;
    ++result.full_at_end;
    result.preferred_at_end = node.self.host == preferred;
  }
  return result;
}

void LeaseModel::Step(std::uint32_t host) {
  Node& node = nodes_[host];
  if (!node.running() || node.paused_until > now_) return;
  if (Random(20) == 0) ReadList(&node);
  node.holder->SetView({group_}, node.membership->LiveInOwnDataCentre(now_),
                       node.membership->KnownInOwnDataCentre(now_), now_);
  node.last_event = now_;
  if (node.membership->HeartbeatDue(now_)) SendHeartbeats(host);
  Drain(host);
}

void LeaseModel::SendHeartbeats(std::uint32_t host) {
  Node& node = nodes_[host];
  const std::vector<HostName> peers = node.membership->NextHeartbeatPeers(now_);
  Heartbeat heartbeat = node.membership->MakeHeartbeat(ConfigMark(), now_);
  heartbeat.wanted = node.holder->WantedGroups(now_);
  const auto own = GrantsFor(&node, node.self, heartbeat.wanted);
  node.holder->OnGrants(node.self, heartbeat.sequence, own, now_);
  for (const HostName& peer : peers) {
    node.holder->OnHeartbeatSent(peer, heartbeat.sequence, now_);
    Send(host, peer, heartbeat);
  }
}

void LeaseModel::Send(std::uint32_t from, const HostName& to, const PeerMessage& message) {
  std::uint32_t receiver = 0;
  while (NameOf(receiver) != to) ++receiver;
  const auto cut = cut_until_.find({from, receiver});
  if (cut != cut_until_.end() && cut->second > now_) return;
  if (Random(100) < options_.loss_percent) return;
  const std::uint32_t copies = Random(20) == 0 ? 2 : 1;
  for (std::uint32_t copy = 0; copy < copies; ++copy) {
    const bool slow = Random(100) < options_.slow_percent;
    const std::uint32_t jitter_ms = options_.slow_percent > 0 ? Random(5) : 0;
    const std::uint32_t delay_ms = slow ? Random(1500) : 1 + jitter_ms;
    mail_.emplace(now_ + milliseconds(delay_ms), Mail{receiver, {nodes_[from].self, message}});
  }
}

void LeaseModel::Deliver() {
  while (!mail_.empty() && mail_.begin()->first <= now_) {
    Mail mail = std::move(mail_.begin()->second);
    mail_.erase(mail_.begin());
    Node& node = nodes_[mail.to];
    if (!node.running()) continue;
    // Mail waits in the socket of a paused process.
    if (node.paused_until > now_) {
      mail_.emplace(node.paused_until, std::move(mail));
    } else {
      OnMail(&node, mail.envelope);
    }
  }
}

void LeaseModel::OnMail(Node* node, const PeerEnvelope& envelope) {
  node->last_event = now_;
  if (const auto* heartbeat = std::get_if<Heartbeat>(&envelope.message)) {
    node->membership->OnHeartbeat(envelope.from, *heartbeat, now_);
    HeartbeatAck ack = node->membership->MakeAck(*heartbeat, ConfigMark(), now_);
    ack.grants = GrantsFor(node, envelope.from, heartbeat->wanted);
    Send(static_cast<std::uint32_t>(node - nodes_.data()), envelope.from.host, ack);
  } else if (const auto* ack = std::get_if<HeartbeatAck>(&envelope.message)) {
    node->membership->OnHeartbeatAck(envelope.from, *ack, now_);
    node->holder->OnGrants(envelope.from, ack->sequence, ack->grants, now_);
  } else if (const auto* release = std::get_if<LeaseRelease>(&envelope.message)) {
    for (const GroupKey group : release->groups) {
      node->grantor->OnRelease(group, envelope.from, now_);
    }
  }
}

std::vector<LeaseGrant> LeaseModel::GrantsFor(Node* node, const Incarnation& candidate,
                                              const std::vector<GroupKey>& wanted) {
  std::vector<LeaseGrant> grants;
  for (const GroupKey group : wanted) {
    grants.push_back(node->grantor->OnLeaseRequest(group, candidate, now_));
    if (options_.mutation != LeaseMutation::kNoReducedWait) continue;
    grants.back().former_remaining = Duration::zero();
    grants.back().fresh = false;
  }
  return grants;
}

void LeaseModel::Drain(std::uint32_t host) {
  Node& node = nodes_[host];
  if (node.holder->DrainingGroups(now_).empty()) {
    node.drains_since = TimePoint::max();
    return;
  }
  node.drains_since = std::min(node.drains_since, now_);
  if (now_ - node.drains_since < lease_options_.max_request_time) return;
  uses_.erase(node.self.start);
  for (const HostName& peer : node.holder->Release(group_, now_)) {
    if (peer == node.self.host) node.grantor->OnRelease(group_, node.self, now_);
    if (peer != node.self.host) Send(host, peer, LeaseRelease{{group_}});
  }
}

LeasePhase LeaseModel::PhaseOf(const Node& node) const {
  if (!node.running()) return LeasePhase::kNone;
  if (options_.mutation == LeaseMutation::kNoLeaseCheck) {
    return node.holder->GetLease(group_, node.last_event).phase;
  }
  // Woken in the midst of a pause: the lease is checked before each dispatch.
  return node.holder->GetLease(group_, now_).phase;
}

void LeaseModel::Observe(LeaseModelResult* result) {
  const auto ms = static_cast<std::uint32_t>(ToMilliseconds(now_ - start_));
  for (Node& node : nodes_) {
    const LeasePhase phase = PhaseOf(node);
    if (phase != node.phase) result->changes.push_back({ms, node.self, phase});
    node.phase = phase;
    const bool draining = node.drains_since != TimePoint::max();
    const double share = draining ? 0 : ColdShare(phase);
    if (share > 0) uses_[node.self.start].push_back({now_, share});
  }
  const bool idle = std::none_of(nodes_.begin(), nodes_.end(), [&](const Node& node) {
    return node.phase != LeasePhase::kNone && node.drains_since == TimePoint::max();
  });
  if (idle && ms < options_.faults_ms) result->idle_ms += static_cast<std::uint32_t>(kTick.count());
  double sum = 0;
  for (auto& [start, uses] : uses_) {
    while (!uses.empty() && now_ - uses.front().at >= lease_options_.max_request_time) {
      uses.pop_front();
    }
    double most = 0;
    for (const Use& use : uses) most = std::max(most, use.share);
    sum += most;
  }
  if (sum <= result->worst_cold) return;
  result->worst_cold = sum;
  result->worst_at_ms = ms;
}

}  // namespace mulberry
