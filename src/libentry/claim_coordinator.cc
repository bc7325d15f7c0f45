#include "libentry/claim_coordinator.h"

#include <algorithm>
#include <utility>

namespace mulberry {
namespace {

constexpr Duration kRoundTimeout = std::chrono::milliseconds(150);
constexpr Duration kBackoffStep = std::chrono::milliseconds(4);
constexpr std::uint32_t kMaxRounds = 4;
constexpr std::chrono::milliseconds kRetentionAfterExpiry = std::chrono::seconds(30);
constexpr std::chrono::milliseconds kExpiryInterval = std::chrono::seconds(1);
constexpr std::size_t kMaxStoredBodyBytes = 64UL * 1024;
constexpr std::size_t kMaxStoredBytes = 8UL * 1024 * 1024;
constexpr int kStatusUnknownOutcome = 504;

CallerAnswer MayHaveRun(std::string reason) {
  return UnansweredAnswer(RunOutcome::kMayHaveRun, kStatusUnknownOutcome, std::move(reason));
}

CallerAnswer KeyReused() { return UnansweredAnswer(RunOutcome::kNotRun, 422, "key_reused"); }

OutcomeAnswer MakeOutcomeAnswer(const IdempotencyKey& key, RequestId id,
                                const CallerAnswer& answer) {
  OutcomeAnswer message;
  message.key = key;
  message.id = id;
  message.outcome = answer.outcome;
  message.status = static_cast<std::uint32_t>(answer.status);
  message.content_type = answer.content_type;
  message.body = answer.body;
  return message;
}

}  // namespace

CallerAnswer UnansweredAnswer(RunOutcome outcome, int status, std::string reason) {
  CallerAnswer answer;
  answer.outcome = outcome;
  answer.status = status;
  answer.reason = std::move(reason);
  return answer;
}

ClaimCoordinator::ClaimCoordinator(Incarnation self, ClaimHolderOptions options,
                                   std::uint64_t random_seed)
    : self_(std::move(self)), holder_(self_, options), random_(random_seed | 1) {}

std::uint64_t ClaimCoordinator::NextRandom() {
  random_ ^= random_ << 13;
  random_ ^= random_ >> 7;
  random_ ^= random_ << 17;
  return random_;
}

void ClaimCoordinator::Begin(RequestId request, const IdempotencyKey& key, const Ticket& ticket,
                             std::uint64_t digest, TimePoint deadline, Instant now,
                             ClaimEvents& events) {
  const auto existing = completed_.find(key);
  if (existing != completed_.end()) {
    const bool same_request = existing->second.digest == digest;
    events.emplace_back(ClaimEnded{request, same_request ? existing->second.answer : KeyReused()});
    return;
  }
  const auto known = records_.find(key);
  if (known == records_.end()) {
    Record record;
    record.ticket = ticket;
    record.digest = digest;
    record.rounds_left = kMaxRounds;
    record.initiator = {request, deadline};
    auto it = records_.emplace(key, std::move(record)).first;
    StartRound(it->second, key, now, events);
    ApplyRoundResult(it, now, events);
    return;
  }
  Record& record = known->second;
  if (record.digest != digest) {
    events.emplace_back(ClaimEnded{request, KeyReused()});
    return;
  }
  record.local_waiters.push_back({request, deadline});
}

void ClaimCoordinator::StartRound(Record& record, const IdempotencyKey& key, Instant now,
                                  ClaimEvents& events) {
  record.stage = Stage::kClaiming;
  record.round = next_round_++;
  record.rounds_left -= 1;
  record.claim_round.emplace(self_, key, record.round, record.ticket.holders);
  record.due = std::min(now.mono + kRoundTimeout, record.initiator.deadline);
  for (std::size_t i = 0; i < kClaimHolders; ++i) {
    const Incarnation& holder = record.ticket.holders[i];
    ClaimRequest request;
    request.key = key;
    request.round = record.round;
    request.request_digest = record.digest;
    request.holder_start = holder.start;
    request.expires = record.ticket.expires;
    if (holder.host == self_.host) {
      record.claim_round->OnAnswer(self_.host, holder_.OnClaim(self_, request, now.wall));
    } else {
      events.emplace_back(SendPeer{holder.host, record.ticket.peer_addresses[i], request});
    }
  }
}

void ClaimCoordinator::ApplyRoundResult(RecordMap::iterator it, Instant now, ClaimEvents& events) {
  Record& record = it->second;
  if (record.stage != Stage::kClaiming) {
    return;
  }
  switch (record.claim_round->state()) {
    case ClaimState::kPending:
      return;
    case ClaimState::kWon:
      record.stage = Stage::kWon;
      record.due = TimePoint::max();
      events.emplace_back(ClaimWon{record.initiator.request, it->first});
      return;
    case ClaimState::kHeldByOther:
      ReleaseRound(record, it->first, events);
      QueryClaimant(record, it->first, now, events);
      return;
    case ClaimState::kKeyReused:
      ReleaseRound(record, it->first, events);
      EndWithoutClaim(it, KeyReused(), events);
      return;
    case ClaimState::kExpired:
      ReleaseRound(record, it->first, events);
      EndWithoutClaim(it, MayHaveRun("ticket_expired"), events);
      return;
    case ClaimState::kUndecided:
      ReleaseRound(record, it->first, events);
      break;
  }
  const Duration backoff = kBackoffStep * (1 + NextRandom() % 8);
  if (record.rounds_left == 0 || now.mono + backoff >= record.initiator.deadline) {
    EndWithoutClaim(it, MayHaveRun("claim_undecided"), events);
    return;
  }
  record.stage = Stage::kBackoff;
  record.due = now.mono + backoff;
}

void ClaimCoordinator::QueryClaimant(Record& record, const IdempotencyKey& key, Instant now,
                                     ClaimEvents& events) {
  const Incarnation claimant = record.claim_round->other_claimant();
  record.stage = Stage::kQueryingClaimant;
  record.due = record.initiator.deadline;
  OutcomeQuery query;
  query.key = key;
  query.claimant_start = claimant.start;
  query.id = record.initiator.request;
  query.time_left = record.initiator.deadline - now.mono;
  events.emplace_back(SendPeer{claimant.host, "", query});
}

void ClaimCoordinator::ReleaseRound(const Record& record, const IdempotencyKey& key,
                                    ClaimEvents& events) {
  const ClaimRelease release{key, record.round};
  for (const HostName& host : record.claim_round->ReleaseTargets()) {
    if (host == self_.host) {
      holder_.OnRelease(self_, release);
      continue;
    }
    for (std::size_t i = 0; i < kClaimHolders; ++i) {
      if (record.ticket.holders[i].host == host) {
        events.emplace_back(SendPeer{host, record.ticket.peer_addresses[i], release});
      }
    }
  }
}

void ClaimCoordinator::AnswerWaiters(Record& record, const IdempotencyKey& key,
                                     const CallerAnswer& answer, ClaimEvents& events) {
  for (const LocalWaiter& waiter : record.local_waiters) {
    events.emplace_back(ClaimEnded{waiter.request, answer});
  }
  record.local_waiters.clear();
  for (const RemoteWaiter& waiter : record.remote_waiters) {
    events.emplace_back(SendPeer{waiter.host, "", MakeOutcomeAnswer(key, waiter.id, answer)});
  }
  record.remote_waiters.clear();
}

void ClaimCoordinator::EndWithoutClaim(RecordMap::iterator it, const CallerAnswer& answer,
                                       ClaimEvents& events) {
  events.emplace_back(ClaimEnded{it->second.initiator.request, answer});
  AnswerWaiters(it->second, it->first, answer, events);
  records_.erase(it);
}

void ClaimCoordinator::StoreResult(const IdempotencyKey& key, const Record& record,
                                   const CallerAnswer& answer, WallTime now) {
  CompletedRequest completed{record.digest, answer,
                             std::max(record.ticket.expires, now) + kRetentionAfterExpiry};
  if (answer.body.size() > kMaxStoredBodyBytes ||
      stored_bytes_ + answer.body.size() > kMaxStoredBytes) {
    completed.answer = MayHaveRun("ran_answer_not_kept");
  }
  stored_bytes_ += completed.answer.body.size();
  completed_.emplace(key, std::move(completed));
  completion_order_.push_back(key);
}

void ClaimCoordinator::Finish(const IdempotencyKey& key, const CallerAnswer& answer, Instant now,
                              ClaimEvents& events) {
  const auto it = records_.find(key);
  if (it == records_.end() || it->second.stage != Stage::kWon) {
    return;
  }
  AnswerWaiters(it->second, key, answer, events);
  StoreResult(key, it->second, answer, now.wall);
  records_.erase(it);
}

void ClaimCoordinator::RemoveWaiter(RequestId request) {
  for (auto& [key, record] : records_) {
    std::erase_if(record.local_waiters,
                  [&](const LocalWaiter& waiter) { return waiter.request == request; });
  }
}

void ClaimCoordinator::OnClaimRequest(const Incarnation& from, const ClaimRequest& message,
                                      Instant now, ClaimEvents& events) {
  events.emplace_back(SendPeer{from.host, "", holder_.OnClaim(from, message, now.wall)});
}

void ClaimCoordinator::OnClaimAnswer(const Incarnation& from, const ClaimAnswer& message,
                                     Instant now, ClaimEvents& events) {
  const auto it = records_.find(message.key);
  if (it == records_.end() || it->second.stage != Stage::kClaiming) {
    return;
  }
  it->second.claim_round->OnAnswer(from.host, message);
  ApplyRoundResult(it, now, events);
}

void ClaimCoordinator::OnClaimRelease(const Incarnation& from, const ClaimRelease& message) {
  holder_.OnRelease(from, message);
}

void ClaimCoordinator::OnOutcomeQuery(const Incarnation& from, const OutcomeQuery& message,
                                      Instant now, ClaimEvents& events) {
  const auto it = records_.find(message.key);
  const auto reply = [&](const CallerAnswer& answer) {
    events.emplace_back(
        SendPeer{from.host, "", MakeOutcomeAnswer(message.key, message.id, answer)});
  };
  const auto existing = completed_.find(message.key);
  if (message.claimant_start == self_.start && existing != completed_.end()) {
    reply(existing->second.answer);
    return;
  }
  if (message.claimant_start != self_.start || it == records_.end()) {
    reply(MayHaveRun("claimant_unknown"));
    return;
  }
  Record& record = it->second;
  if (record.stage != Stage::kWon && record.stage != Stage::kClaiming) {
    reply(MayHaveRun("claim_undecided"));
    return;
  }
  record.remote_waiters.push_back({from.host, message.id, now.mono + message.time_left});
}

void ClaimCoordinator::OnOutcomeAnswer(const OutcomeAnswer& message, ClaimEvents& events) {
  const auto it = records_.find(message.key);
  if (it == records_.end() || it->second.stage != Stage::kQueryingClaimant ||
      it->second.initiator.request != message.id) {
    return;
  }
  const int status = static_cast<int>(message.status);
  if (message.outcome == RunOutcome::kAnswered && !IsFinalStatus(status)) {
    // A host of an older version passes on any status.
    EndWithoutClaim(it, MayHaveRun(RefusalReasonName(RefusalReason::kServerFailed)), events);
    return;
  }
  CallerAnswer answer;
  answer.outcome = message.outcome;
  answer.status = message.status == 0 ? kStatusUnknownOutcome : status;
  answer.content_type = message.content_type;
  answer.body = message.body;
  if (message.outcome != RunOutcome::kAnswered) {
    answer.reason = "claimed_elsewhere";
  }
  EndWithoutClaim(it, answer, events);
}

void ClaimCoordinator::ExpireWaiters(Record& record, const IdempotencyKey& key, TimePoint now,
                                     ClaimEvents& events) {
  std::erase_if(record.local_waiters, [&](const LocalWaiter& waiter) {
    if (waiter.deadline > now) {
      return false;
    }
    events.emplace_back(ClaimEnded{waiter.request, MayHaveRun("deadline_passed")});
    return true;
  });
  std::erase_if(record.remote_waiters, [&](const RemoteWaiter& waiter) {
    if (waiter.deadline > now) {
      return false;
    }
    const auto answer = MayHaveRun("deadline_passed");
    events.emplace_back(SendPeer{waiter.host, "", MakeOutcomeAnswer(key, waiter.id, answer)});
    return true;
  });
}

void ClaimCoordinator::RemoveExpired(WallTime now) {
  while (!completion_order_.empty()) {
    const auto it = completed_.find(completion_order_.front());
    if (it->second.retain_until > now) {
      return;
    }
    stored_bytes_ -= it->second.answer.body.size();
    completed_.erase(it);
    completion_order_.pop_front();
  }
}

void ClaimCoordinator::Tick(Instant now, ClaimEvents& events) {
  if (now.wall - last_expired_at_ >= kExpiryInterval) {
    last_expired_at_ = now.wall;
    holder_.Expire(now.wall);
    RemoveExpired(now.wall);
  }
  std::vector<IdempotencyKey> keys;
  for (auto& [key, record] : records_) {
    ExpireWaiters(record, key, now.mono, events);
    if (record.due <= now.mono) {
      keys.push_back(key);
    }
  }
  for (const IdempotencyKey& key : keys) {
    const auto it = records_.find(key);
    Record& record = it->second;
    if (record.stage == Stage::kQueryingClaimant) {
      EndWithoutClaim(it, MayHaveRun("claimed_elsewhere"), events);
    } else if (record.stage == Stage::kBackoff) {
      StartRound(record, key, now, events);
      ApplyRoundResult(it, now, events);
    } else {
      record.claim_round->OnTimeout();
      ApplyRoundResult(it, now, events);
    }
  }
}

TimePoint ClaimCoordinator::NextTick() const {
  TimePoint next = TimePoint::max();
  for (const auto& [key, record] : records_) {
    next = std::min(next, record.due);
    for (const LocalWaiter& waiter : record.local_waiters) {
      next = std::min(next, waiter.deadline);
    }
  }
  return next;
}

}  // namespace mulberry
