#include "libgateway/cap_sync.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace mulberry::gateway {
namespace {

/// Interval of requesting tokens in advance; a sixth of the time of demand that is requested.
constexpr Duration kAheadInterval = std::chrono::milliseconds(50);
/// While calls wait, queries without an answer are detected at this interval.
constexpr Duration kWaitInterval = std::chrono::milliseconds(5);
/// A call waits this long for a token at most: time for three queries without an answer.
constexpr Duration kMaxWait = std::chrono::milliseconds(40);
/// A host that did nothing for this long was suspended or frozen; its tick is due every 50 ms.
constexpr Duration kPauseDetection = std::chrono::milliseconds(1500);
/// After a pause, the configuration is brought up to date within this time: a heartbeat of another
/// host, which tells its version, comes every 0.4 s.
constexpr Duration kCatchUpTime = std::chrono::milliseconds(1000);
/// In this time after a first start, no requests have come yet, and the hosts find each other.
constexpr Duration kFirstStartTime = std::chrono::seconds(3);
/// Interval of the log line about one workspace over its cap.
constexpr Duration kLogInterval = std::chrono::seconds(10);

}  // namespace

CapSync::CapSync(Parts parts)
    : parts_(std::move(parts)),
      limiter_(parts_.start),
      timer_(parts_.io),
      started_at_(MonotonicClock::now()),
      last_read_(started_at_) {}

workspace::CapTime CapSync::ReadClocks() {
  const TimePoint now = MonotonicClock::now();
  if (due_ != TimePoint::max() && now - last_read_ > kPauseDetection) {
    suspended_until_ = now + kCatchUpTime;
    LogEvent(LogLevel::kWarning, "cap_paused", {{"pause_ms", ToMilliseconds(now - last_read_)}});
    UpdateSuspension(now);
  }
  last_read_ = now;
  const auto running = std::chrono::steady_clock::now().time_since_epoch();
  return {now, TimePoint(std::chrono::duration_cast<Duration>(running))};
}

void CapSync::SetLimits(const workspace::CapLimits& limits) {
  limiter_.SetLimits(limits, ReadClocks());
}

void CapSync::SetWorkspaces(const std::vector<workspace::Workspace>& workspaces) {
  limiter_.SetWorkspaces(workspaces, ReadClocks());
  std::erase_if(refusals_, [&](const auto& entry) { return !limiter_.IsLimited(entry.first); });
  std::vector<WorkspaceName> unlimited;
  for (const auto& [name, calls] : waiters_) {
    if (!limiter_.IsLimited(name)) unlimited.push_back(name);
  }
  for (const WorkspaceName& name : unlimited) DecideAgain(name);
  Arm();
}

void CapSync::UpdateRoles(bool host_list_complete) {
  const workspace::CapTime time = ReadClocks();
  workspace::CapRoles roles;
  lender_addresses_.clear();
  for (const HostRecord& record : parts_.fleet.FirstInRank()) {
    const bool is_self = record.host == parts_.host;
    if (is_self && !host_list_complete) continue;
    if (is_self) roles.own_lender = roles.lenders.size();
    roles.lenders.push_back(record.host);
    lender_addresses_[record.host] = record.peer_address;
  }
  roles.floor_hosts = parts_.fleet.DefaultAdvertisedCount();
  roles.has_floor = host_list_complete && parts_.fleet.IsAdvertisedByDefault();
  const bool fresh = parts_.first_start && time.now - started_at_ < kFirstStartTime;
  limiter_.SetRoles(roles, fresh, time);
  has_contact_ = parts_.fleet.HasRecentContact(time.now);
  UpdateSuspension(time.now);
}

void CapSync::UpdateSuspension(TimePoint now) {
  const bool suspended = !has_contact_ || now < suspended_until_;
  limiter_.SetSuspended(suspended);
  if (suspended == std::exchange(suspended_, suspended) || !limiter_.active()) return;
  LogEvent(LogLevel::kInfo, suspended ? "cap_buckets_suspended" : "cap_buckets_resumed",
           {{"contact", has_contact_}});
}

void CapSync::OnArrival(const WorkspaceName& workspace) {
  if (limiter_.IsLimited(workspace)) limiter_.OnDemand(workspace, ReadClocks());
}

workspace::CapDecision CapSync::Decide(const WorkspaceName& workspace) {
  if (!limiter_.IsLimited(workspace)) return {};
  return limiter_.Decide(workspace, ReadClocks());
}

bool CapSync::Take(const WorkspaceName& workspace) {
  return !limiter_.IsLimited(workspace) || limiter_.Take(workspace, ReadClocks());
}

void CapSync::Wait(const WorkspaceName& workspace, CallId call) {
  const TimePoint now = ReadClocks().now;
  const auto known = wait_ends_.find(call);
  const TimePoint until = known == wait_ends_.end() ? now + kMaxWait : known->second;
  std::vector<Waiter>& waiters = waiters_[workspace];
  waiters.push_back({call, until});
  limiter_.SetWaiting(workspace, static_cast<std::uint32_t>(waiters.size()));
  SendQueries(false);
  Arm();
}

bool CapSync::OnPeerMessage(const PeerMessage& message) {
  if (message.token_query) {
    const HostRecord& sender = message.heartbeat.record;
    auto grant =
        limiter_.OnQuery(sender.host, message.heartbeat.start, *message.token_query, ReadClocks());
    if (grant) {
      std::uint64_t lent = 0;
      for (const workspace::TokenGrant::Part& part : grant->parts) lent += part.tokens;
      parts_.metrics.OnCapTokens("lent", lent);
      PeerMessage answer;
      answer.token_grant = std::move(grant);
      Send(std::move(answer), sender.peer_address);
    }
  }
  if (message.token_grant) OnGrant(message);
  return message.token_query || message.token_grant;
}

void CapSync::OnGrant(const PeerMessage& message) {
  const std::vector<WorkspaceName> affected =
      limiter_.OnGrant(message.heartbeat.record.host, *message.token_grant, ReadClocks());
  if (affected.empty()) return;
  std::uint64_t borrowed = 0;
  for (const workspace::TokenGrant::Part& part : message.token_grant->parts) {
    borrowed += part.tokens;
  }
  parts_.metrics.OnCapTokens("borrowed", borrowed);
  for (const WorkspaceName& workspace : affected) DecideAgain(workspace);
}

void CapSync::SendQueries(bool ahead) {
  for (auto& [lender, query] : limiter_.TakeQueries(ahead, ReadClocks())) {
    const auto address = lender_addresses_.find(lender);
    if (address == lender_addresses_.end()) continue;
    PeerMessage message;
    message.token_query = std::move(query);
    Send(std::move(message), address->second);
  }
}

void CapSync::Send(PeerMessage message, const std::string& address) {
  message.heartbeat = parts_.sender();
  parts_.peer_channel.Send(message, {address});
  parts_.metrics.OnCapDatagram();
}

/// Has the waiting calls of a workspace decided about again, in the order of their arrival; those
/// that still have to wait are added again.
void CapSync::DecideAgain(const WorkspaceName& workspace) {
  const auto found = waiters_.find(workspace);
  if (found == waiters_.end()) return;
  const std::vector<Waiter> waiters = std::move(found->second);
  waiters_.erase(found);
  limiter_.SetWaiting(workspace, 0);
  const TimePoint now = ReadClocks().now;
  for (const Waiter& waiter : waiters) {
    wait_ends_[waiter.call] = waiter.until;
    wait_callback_(waiter.call, now >= waiter.until);
    wait_ends_.erase(waiter.call);
  }
}

void CapSync::OnRefused(const WorkspaceName& workspace, Duration retry_after) {
  const TimePoint now = ReadClocks().now;
  parts_.metrics.OnCapRefusal(workspace);
  Refusals& refusals = refusals_[workspace];
  ++refusals.count;
  const bool is_first = refusals.logged_at == TimePoint();
  if (!is_first && now - refusals.logged_at < kLogInterval) return;
  LogEvent(LogLevel::kInfo, "cap_reached",
           {{"workspace", workspace.str()},
            {"refused", refusals.count},
            {"retry_after_ms", ToMilliseconds(retry_after)},
            {"silent_lenders", silent_lenders_.size()},
            {"suspended", suspended_}});
  refusals = {0, now};
}

void CapSync::LogSilentLenders(TimePoint now) {
  std::vector<HostName> silent = limiter_.SilentLenders(now);
  if (silent == silent_lenders_) return;
  for (const HostName& host : silent) {
    if (std::find(silent_lenders_.begin(), silent_lenders_.end(), host) != silent_lenders_.end()) {
      continue;
    }
    LogEvent(LogLevel::kDebug, "cap_lender_silent", {{"lender", host.str()}});
  }
  silent_lenders_ = std::move(silent);
}

void CapSync::Arm() {
  if (!limiter_.active()) return;
  const Duration interval = waiters_.empty() ? kAheadInterval : kWaitInterval;
  const TimePoint due = MonotonicClock::now() + interval;
  if (due >= due_) return;
  due_ = due;
  timer_.expires_after(interval);
  timer_.async_wait([this](const asio::error_code& error) {
    if (!error) Tick();
  });
}

void CapSync::Tick() {
  const workspace::CapTime time = ReadClocks();
  due_ = TimePoint::max();
  UpdateSuspension(time.now);
  std::vector<WorkspaceName> waiting;
  for (const auto& [workspace, calls] : waiters_) waiting.push_back(workspace);
  for (const WorkspaceName& workspace : waiting) DecideAgain(workspace);
  if (time.now - sent_ahead_at_ >= kAheadInterval) {
    sent_ahead_at_ = time.now;
    SendQueries(true);
    LogSilentLenders(time.now);
  }
  Arm();
}

}  // namespace mulberry::gateway
