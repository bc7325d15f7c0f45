#include "libgateway/proof_exchange.h"

#include <algorithm>
#include <utility>

namespace mulberry::gateway {
namespace {

/// Interval of questions of a host with requests.
constexpr Duration kAskInterval = std::chrono::seconds(1);
/// The same while the proof is old, and for requests that wait while a question is unanswered.
constexpr Duration kUrgentAskInterval = std::chrono::milliseconds(200);
/// Requests that wait ask again this soon after an answer; less than a round trip to another data
/// centre.
constexpr Duration kMinAskInterval = std::chrono::milliseconds(10);
/// An answer is expected for this long, as a request waits.
constexpr Duration kAnswerTime = std::chrono::milliseconds(40);
/// The store is read for hosts that ask when the proof here is older. With kAskInterval, proofs
/// stay younger than 2 s.
constexpr Duration kReadAge = std::chrono::milliseconds(800);
/// From this age on, more than one host is asked if the last question gave no young proof.
constexpr Duration kOldAge = std::chrono::seconds(2);
constexpr std::size_t kTargetsWhenOld = 3;
/// A read for other hosts that takes longer is of no use to their requests.
constexpr Duration kWaitingTime = std::chrono::seconds(1);
/// Hosts that wait for one read; each asks at most every few milliseconds.
constexpr std::size_t kMaxWaiting = 1024;

}  // namespace

ProofExchange::ProofExchange(Dependencies deps) : deps_(std::move(deps)) {
  deps_.gate.SetAskCallback([this](TimePoint now) { return Ask(now); });
}

void ProofExchange::Tick(TimePoint now) {
  if (!deps_.gate.active()) return;
  deps_.gate.SetStoreReachable(!deps_.fleet.IsStoreUnreachable(now));
  if (!deps_.gate.WantsProof(now)) return;
  const Duration age = deps_.gate.proof().Age(now);
  if (age < kReadAge) return;
  const Duration interval = age > kOldAge ? kUrgentAskInterval : kAskInterval;
  if (now - asked_at_ >= interval) SendQuery(now);
}

bool ProofExchange::Ask(TimePoint now) {
  const Duration since = now - asked_at_;
  if (since >= kUrgentAskInterval || (answered_ && since >= kMinAskInterval)) {
    SendQuery(now);
    return true;
  }
  return since < kAnswerTime;
}

/// The hosts most likely to have a younger proof: those that reach the store, by rank, so that most
/// questions go to one host.
std::vector<std::string> ProofExchange::Targets(bool asks_more, TimePoint now) {
  const ProofSources sources = deps_.fleet.FindProofSources(now);
  if (sources.self_is_first && !asks_more) return {};
  std::vector<std::string> targets = sources.peers;
  const std::size_t wanted = asks_more ? kTargetsWhenOld : 1;
  if (targets.size() <= wanted) return targets;
  // One more, in case all of the first ones are cut off from this host or from the store.
  if (asks_more) {
    std::uniform_int_distribution<std::size_t> index(wanted, targets.size() - 1);
    std::swap(targets[wanted], targets[index(random_)]);
  }
  targets.resize(asks_more ? wanted + 1 : wanted);
  return targets;
}

void ProofExchange::SendQuery(TimePoint now) {
  // After a time without requests the proof is old, but the first in rank has a young one or reads.
  const bool asks_more = !answered_ && deps_.gate.proof().Age(now) > kOldAge;
  asked_at_ = now;
  answered_ = false;
  if (asks_more || deps_.fleet.FindProofSources(now).self_is_first) ReadStore(now);
  const std::vector<std::string> targets = Targets(asks_more, now);
  if (targets.empty()) return;
  PeerMessage message;
  message.heartbeat = deps_.own_heartbeat();
  message.proof_query = deps_.gate.proof().OnQuerySent(now).value();
  deps_.peers.Send(message, targets);
}

void ProofExchange::ReadStore(TimePoint now) {
  if (!deps_.store.reachable() || now < deps_.gate.proof().own_reads_count_from()) return;
  deps_.store.ReadOperatorTopicEnd();
}

void ProofExchange::OnPeerMessage(const PeerMessage& message, TimePoint now) {
  const HostHeartbeat& sender = message.heartbeat;
  if (message.proof_query) {
    if (sender.version < deps_.own_heartbeat().version) deps_.send_records(sender);
    const std::string& address = sender.record.peer_address;
    SendAnswer(address, sender.start, *message.proof_query, now);
    if (deps_.gate.proof().Age(now) >= kReadAge) {
      if (waiting_.size() < kMaxWaiting) {
        waiting_.push_back({address, sender.start, *message.proof_query, now});
      }
      ReadStore(now);
    }
  }
  if (!message.proof_answer || message.proof_answer->start != deps_.own_heartbeat().start) return;
  const workspace::ProofAnswer answer{workspace::QueryStamp(message.proof_answer->stamp),
                                      message.proof_answer->age,
                                      workspace::DirectoryVersion(sender.version.value())};
  if (deps_.gate.proof().OnAnswer(answer, now)) OnYoungerProof(now);
}

void ProofExchange::OnOwnRead(TimePoint sent, TimePoint now) {
  const auto before = deps_.gate.proof().as_of();
  deps_.gate.proof().OnOwnRead(sent);
  for (const Waiting& waiting : std::exchange(waiting_, {})) {
    if (now - waiting.since > kWaitingTime) continue;
    SendAnswer(waiting.address, waiting.start, waiting.stamp, now);
  }
  if (deps_.gate.proof().as_of() != before) OnYoungerProof(now);
}

void ProofExchange::OnYoungerProof(TimePoint now) {
  // An old answer tells that no other can be had soon.
  if (deps_.gate.proof().Age(now) < kAskInterval) answered_ = true;
  if (deps_.gate.active()) deps_.on_proof();
}

void ProofExchange::SendAnswer(const std::string& address, StartId start, std::uint64_t stamp,
                               TimePoint now) {
  const workspace::FreshnessProof& proof = deps_.gate.proof();
  if (!proof.as_of()) return;
  PeerMessage message;
  message.heartbeat = deps_.own_heartbeat();
  message.proof_answer = ProofAnswerMessage{stamp, start, proof.Age(now)};
  deps_.peers.Send(message, {address});
}

}  // namespace mulberry::gateway
