#include "libentry/claim_desk.h"

#include <algorithm>
#include <utility>

namespace mulberry {
namespace {

constexpr Duration kRoundTime = std::chrono::milliseconds(150);
constexpr Duration kBackOffStep = std::chrono::milliseconds(4);
constexpr std::uint32_t kRounds = 4;
constexpr std::chrono::milliseconds kKeepAfterExpiry = std::chrono::seconds(30);
constexpr std::chrono::milliseconds kExpiryInterval = std::chrono::seconds(1);
constexpr std::size_t kMaxKeptBody = 64UL * 1024;
constexpr std::size_t kMaxKeptBytes = 8UL * 1024 * 1024;
constexpr int kStatusUnknown = 504;

CallerAnswer MayHaveRun(std::string reason) {
  return UnansweredAnswer(RunOutcome::kMayHaveRun, kStatusUnknown, std::move(reason));
}

CallerAnswer KeyReused() { return UnansweredAnswer(RunOutcome::kNotRun, 422, "key_reused"); }

OutcomeAnswer ToOutcome(const IdempotencyKey& key, RequestId id, const CallerAnswer& answer) {
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

ClaimDesk::ClaimDesk(Incarnation self, ClaimHolderOptions options, std::uint64_t random_seed)
    : self_(std::move(self)), holder_(self_, options), random_(random_seed | 1) {}

std::uint64_t ClaimDesk::NextRandom() {
  random_ ^= random_ << 13;
  random_ ^= random_ >> 7;
  random_ ^= random_ << 17;
  return random_;
}

void ClaimDesk::Begin(RequestId request, const IdempotencyKey& key, const Ticket& ticket,
                      std::uint64_t digest, TimePoint deadline, Instant now, ClaimEvents& events) {
  const auto ended = finished_.find(key);
  if (ended != finished_.end()) {
    const bool same = ended->second.digest == digest;
    events.emplace_back(ClaimEnded{request, same ? ended->second.answer : KeyReused()});
    return;
  }
  const auto known = records_.find(key);
  if (known == records_.end()) {
    Record record;
    record.ticket = ticket;
    record.digest = digest;
    record.rounds_left = kRounds;
    record.primary = {request, deadline};
    auto it = records_.emplace(key, std::move(record)).first;
    StartRound(it->second, key, now, events);
    Settle(it, now, events);
    return;
  }
  Record& record = known->second;
  if (record.digest != digest) {
    events.emplace_back(ClaimEnded{request, KeyReused()});
    return;
  }
  record.local_waiters.push_back({request, deadline});
}

void ClaimDesk::StartRound(Record& record, const IdempotencyKey& key, Instant now,
                           ClaimEvents& events) {
  record.stage = Stage::kClaiming;
  record.round = next_round_++;
  record.rounds_left -= 1;
  record.run.emplace(self_, key, record.round, record.ticket.holders);
  record.due = std::min(now.mono + kRoundTime, record.primary.deadline);
  for (std::size_t i = 0; i < kClaimHolders; ++i) {
    const Incarnation& holder = record.ticket.holders[i];
    ClaimRequest request;
    request.key = key;
    request.round = record.round;
    request.request_digest = record.digest;
    request.holder_start = holder.start;
    request.expires = record.ticket.expires;
    if (holder.host == self_.host) {
      record.run->OnAnswer(self_.host, holder_.OnClaim(self_, request, now.wall));
    } else {
      events.emplace_back(SendPeer{holder.host, record.ticket.peer_addresses[i], request});
    }
  }
}

void ClaimDesk::Settle(Records::iterator it, Instant now, ClaimEvents& events) {
  Record& record = it->second;
  if (record.stage != Stage::kClaiming) {
    return;
  }
  switch (record.run->state()) {
    case ClaimState::kPending:
      return;
    case ClaimState::kWon:
      record.stage = Stage::kWon;
      record.due = TimePoint::max();
      events.emplace_back(ClaimWon{record.primary.request, it->first});
      return;
    case ClaimState::kHeldByOther:
      ReleaseRound(record, it->first, events);
      AskOther(record, it->first, now, events);
      return;
    case ClaimState::kKeyReused:
      ReleaseRound(record, it->first, events);
      Lose(it, KeyReused(), events);
      return;
    case ClaimState::kExpired:
      ReleaseRound(record, it->first, events);
      Lose(it, MayHaveRun("ticket_expired"), events);
      return;
    case ClaimState::kUndecided:
      ReleaseRound(record, it->first, events);
      break;
  }
  const Duration pause = kBackOffStep * (1 + NextRandom() % 8);
  if (record.rounds_left == 0 || now.mono + pause >= record.primary.deadline) {
    Lose(it, MayHaveRun("claim_undecided"), events);
    return;
  }
  record.stage = Stage::kBackingOff;
  record.due = now.mono + pause;
}

void ClaimDesk::AskOther(Record& record, const IdempotencyKey& key, Instant now,
                         ClaimEvents& events) {
  const Incarnation other = record.run->other_claimant();
  record.stage = Stage::kAskingOther;
  record.due = record.primary.deadline;
  OutcomeQuery query;
  query.key = key;
  query.claimant_start = other.start;
  query.id = record.primary.request;
  query.time_left = record.primary.deadline - now.mono;
  events.emplace_back(SendPeer{other.host, "", query});
}

void ClaimDesk::ReleaseRound(const Record& record, const IdempotencyKey& key, ClaimEvents& events) {
  const ClaimRelease release{key, record.round};
  for (const HostName& host : record.run->ReleaseTargets()) {
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

void ClaimDesk::EndAttempts(Record& record, const IdempotencyKey& key, const CallerAnswer& answer,
                            ClaimEvents& events) {
  for (const LocalWaiter& waiter : record.local_waiters) {
    events.emplace_back(ClaimEnded{waiter.request, answer});
  }
  record.local_waiters.clear();
  for (const RemoteWaiter& waiter : record.remote_waiters) {
    events.emplace_back(SendPeer{waiter.host, "", ToOutcome(key, waiter.id, answer)});
  }
  record.remote_waiters.clear();
}

void ClaimDesk::Lose(Records::iterator it, const CallerAnswer& answer, ClaimEvents& events) {
  events.emplace_back(ClaimEnded{it->second.primary.request, answer});
  EndAttempts(it->second, it->first, answer, events);
  records_.erase(it);
}

void ClaimDesk::Keep(const IdempotencyKey& key, const Record& record, const CallerAnswer& answer,
                     WallTime now) {
  Finished finished{record.digest, answer, std::max(record.ticket.expires, now) + kKeepAfterExpiry};
  if (answer.body.size() > kMaxKeptBody || kept_bytes_ + answer.body.size() > kMaxKeptBytes) {
    finished.answer = MayHaveRun("ran_answer_not_kept");
  }
  kept_bytes_ += finished.answer.body.size();
  finished_.emplace(key, std::move(finished));
  finished_order_.push_back(key);
}

void ClaimDesk::Finish(const IdempotencyKey& key, const CallerAnswer& answer, Instant now,
                       ClaimEvents& events) {
  const auto it = records_.find(key);
  if (it == records_.end() || it->second.stage != Stage::kWon) {
    return;
  }
  EndAttempts(it->second, key, answer, events);
  Keep(key, it->second, answer, now.wall);
  records_.erase(it);
}

void ClaimDesk::Forget(RequestId request) {
  for (auto& [key, record] : records_) {
    std::erase_if(record.local_waiters,
                  [&](const LocalWaiter& waiter) { return waiter.request == request; });
  }
}

void ClaimDesk::OnClaimRequest(const Incarnation& from, const ClaimRequest& message, Instant now,
                               ClaimEvents& events) {
  events.emplace_back(SendPeer{from.host, "", holder_.OnClaim(from, message, now.wall)});
}

void ClaimDesk::OnClaimAnswer(const Incarnation& from, const ClaimAnswer& message, Instant now,
                              ClaimEvents& events) {
  const auto it = records_.find(message.key);
  if (it == records_.end() || it->second.stage != Stage::kClaiming) {
    return;
  }
  it->second.run->OnAnswer(from.host, message);
  Settle(it, now, events);
}

void ClaimDesk::OnClaimRelease(const Incarnation& from, const ClaimRelease& message) {
  holder_.OnRelease(from, message);
}

void ClaimDesk::OnOutcomeQuery(const Incarnation& from, const OutcomeQuery& message, Instant now,
                               ClaimEvents& events) {
  const auto it = records_.find(message.key);
  const auto reply = [&](const CallerAnswer& answer) {
    events.emplace_back(SendPeer{from.host, "", ToOutcome(message.key, message.id, answer)});
  };
  const auto ended = finished_.find(message.key);
  if (message.claimant_start == self_.start && ended != finished_.end()) {
    reply(ended->second.answer);
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

void ClaimDesk::OnOutcomeAnswer(const OutcomeAnswer& message, ClaimEvents& events) {
  const auto it = records_.find(message.key);
  if (it == records_.end() || it->second.stage != Stage::kAskingOther ||
      it->second.primary.request != message.id) {
    return;
  }
  CallerAnswer answer;
  answer.outcome = message.outcome;
  answer.status = message.status == 0 ? kStatusUnknown : static_cast<int>(message.status);
  answer.content_type = message.content_type;
  answer.body = message.body;
  if (message.outcome != RunOutcome::kAnswered) {
    answer.reason = "claimed_elsewhere";
  }
  Lose(it, answer, events);
}

void ClaimDesk::ExpireWaiters(Record& record, const IdempotencyKey& key, TimePoint now,
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
    events.emplace_back(SendPeer{waiter.host, "", ToOutcome(key, waiter.id, answer)});
    return true;
  });
}

void ClaimDesk::ForgetExpired(WallTime now) {
  while (!finished_order_.empty()) {
    const auto it = finished_.find(finished_order_.front());
    if (it->second.keep_until > now) {
      return;
    }
    kept_bytes_ -= it->second.answer.body.size();
    finished_.erase(it);
    finished_order_.pop_front();
  }
}

void ClaimDesk::Tick(Instant now, ClaimEvents& events) {
  if (now.wall - last_expiry_ >= kExpiryInterval) {
    last_expiry_ = now.wall;
    holder_.Expire(now.wall);
    ForgetExpired(now.wall);
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
    if (record.stage == Stage::kAskingOther) {
      Lose(it, MayHaveRun("claimed_elsewhere"), events);
    } else if (record.stage == Stage::kBackingOff) {
      StartRound(record, key, now, events);
      Settle(it, now, events);
    } else {
      record.run->OnTimeout();
      Settle(it, now, events);
    }
  }
}

TimePoint ClaimDesk::NextTick() const {
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
