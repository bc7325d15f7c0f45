#include "libpolicy/backend_server.h"

#include <algorithm>
#include <utility>

namespace mulberry {
namespace {

constexpr double kSlownessSmoothing = 0.25;
constexpr double kLatencySmoothing = 0.125;
constexpr double kSuspectedSlownessRatio = 4.0;
constexpr Duration kSlownessValidity = std::chrono::milliseconds(250);
// An answer that took less than this multiple of the median shows that the server has its normal
// speed.
constexpr double kNormalLatencyRatio = 1.5;
constexpr int kNormalSpeedValidityMedians = 1;
constexpr Duration kEjectedProbeInterval = std::chrono::seconds(1);
constexpr Duration kDrainingValidity = std::chrono::seconds(5);

}  // namespace

BackendServer::BackendServer(const DispatcherOptions& options, ServerInfo info, TimePoint now)
    : options_(&options),
      info_(std::move(info)),
      limit_(options, info_.slots, info_.announced_cold, now),
      last_answer_at_(now),
      last_probe_at_(now - options.idle_recheck) {}

void BackendServer::Update(ServerInfo info, TimePoint now) {
  const bool returns = absent_ || (info_.leaving && !info.leaving);
  const bool turns_cold = info.announced_cold && !info_.announced_cold;
  info_ = std::move(info);
  absent_ = false;
  limit_.SetSlots(info_.slots);
  if (returns) limit_.MarkUnverified(now);
  if (turns_cold || (returns && info_.announced_cold)) limit_.MarkCold(now);
}

void BackendServer::SetAbsent(TimePoint now) {
  if (absent_) return;
  absent_ = true;
  absent_since_ = now;
}

void BackendServer::Advance(TimePoint now) {
  limit_.Advance(now);
  if (draining_ && now >= draining_until_) draining_ = false;
  if (limit_.phase() != ConcurrencyLimit::Phase::kUnverified && now >= IdleRecheckTime()) {
    limit_.MarkUnverified(now);
    last_answer_at_ = now;
  }
}

std::uint32_t BackendServer::Limit(LimitShare share, TimePoint now) const {
  if (!InService()) return 0;
  const std::uint32_t usable = limit_.UsableSlots(share, now);
  switch (health_.StateAt(now)) {
    case ServerHealth::State::kEjected:
      return 0;
    case ServerHealth::State::kTrial:
      return std::min(1U, usable);
    case ServerHealth::State::kHealthy:
      return failing_ ? std::min(1U, usable) : usable;
  }
  return 0;
}

TimePoint BackendServer::NextChange() const {
  if (absent_ || info_.leaving) return TimePoint::max();
  TimePoint next = std::min(limit_.NextStep(), health_.TrialTime());
  if (draining_) next = std::min(next, draining_until_);
  return next;
}

void BackendServer::OnAttemptStart(DispatchId dispatch, TimePoint overdue_at, TimePoint now) {
  running_.push_back({dispatch, now, overdue_at});
}

void BackendServer::OnAttemptEnd(const DispatchReport& report, TimePoint started,
                                 std::uint32_t epoch, Duration median, bool in_time,
                                 TimePoint now) {
  std::erase_if(running_, [&](const RunningAttempt& r) { return r.dispatch == report.dispatch; });
  if (report.result == DispatchResult::kAnswered) RecordLatency(now - started, median, now);
  if (report.server_start != StartId()) last_answer_at_ = now;
  UpdateLimit(report, epoch, in_time, now);
  const bool trial = health_.StateAt(now) == ServerHealth::State::kTrial;
  health_.OnResult(report.result, started, now);
  if (report.result != DispatchResult::kAnswered) return;
  if (trial || failing_) limit_.StartRecovery(now);
  failing_ = false;
}

void BackendServer::RecordLatency(Duration latency, Duration median, TimePoint now) {
  const auto latency_us = static_cast<double>(latency.count());
  latency_us_ += (latency_us_ == 0 ? 1.0 : kLatencySmoothing) * (latency_us - latency_us_);
  last_answer_at_ = now;
  if (median == Duration::zero()) return;
  const double ratio = latency_us / static_cast<double>(median.count());
  if (ratio < kNormalLatencyRatio) normal_speed_until_ = now + kNormalSpeedValidityMedians * median;
  const double old = Slowness(now);
  slowness_ = old + kSlownessSmoothing * (ratio - old);
}

void BackendServer::UpdateLimit(const DispatchReport& report, std::uint32_t epoch, bool in_time,
                                TimePoint now) {
  using CapacitySignal = ConcurrencyLimit::CapacitySignal;
  switch (report.result) {
    case DispatchResult::kAnswered:
      return limit_.OnAnswer(report.server_start, epoch,
                             in_time ? CapacitySignal::kInTime
                             : limit_.phase() == ConcurrencyLimit::Phase::kCold
                                 ? CapacitySignal::kLate
                                 : CapacitySignal::kNeutral,
                             now);
    case DispatchResult::kServerError:
      return limit_.OnAnswer(report.server_start, epoch,
                             limit_.phase() == ConcurrencyLimit::Phase::kCold
                                 ? CapacitySignal::kOverload
                                 : CapacitySignal::kNeutral,
                             now);
    case DispatchResult::kShed:
      return limit_.OnAnswer(report.server_start, epoch, CapacitySignal::kOverload, now);
    case DispatchResult::kConnectRefused:
    case DispatchResult::kNotSent:
    case DispatchResult::kBroken:
      return limit_.MarkUnverified(now);
    case DispatchResult::kTimedOut:
      // An attempt that began shortly before the deadline says nothing about the server.
      if (!in_time) limit_.OnTimeout(epoch, now);
      return;
    case DispatchResult::kCancelled:
      return;
  }
}

void BackendServer::OnProbe(const ProbeReport& report, TimePoint now) {
  const bool ejected = health_.StateAt(now) != ServerHealth::State::kHealthy;
  if (!report.answered) {
    if (ejected && running_.empty()) health_.Eject(now);
    return;
  }
  limit_.OnProbe(report.server_start, report.reported_cold, now);
  draining_ = report.reported_leaving;
  draining_until_ = now + kDrainingValidity;
  if (ejected && !report.reported_leaving) health_.AllowTrial(now);
}

bool BackendServer::SuspectedSlow(TimePoint now) const {
  if (Slowness(now) > kSuspectedSlownessRatio) return true;
  // A single long request among others of normal duration does not indicate a slow server.
  if (now < normal_speed_until_) return false;
  return std::any_of(running_.begin(), running_.end(),
                     [now](const RunningAttempt& attempt) { return attempt.overdue_at <= now; });
}

Duration BackendServer::ExpectedDelay(TimePoint now) const {
  Duration delay{};
  for (const RunningAttempt& attempt : running_) {
    if (attempt.overdue_at <= now) delay = std::max(delay, Duration(now - attempt.started));
  }
  const double excess = std::max(0.0, Slowness(now) - 1.0);
  const auto slow = Duration(static_cast<std::int64_t>(excess * latency_us_));
  return std::max(delay, slow);
}

TimePoint BackendServer::NextOverdueTime(TimePoint now) const {
  TimePoint next = TimePoint::max();
  for (const RunningAttempt& attempt : running_) {
    if (attempt.overdue_at > now) next = std::min(next, attempt.overdue_at);
  }
  return next;
}

double BackendServer::Slowness(TimePoint now) const {
  return now - last_answer_at_ > kSlownessValidity ? 1.0 : slowness_;
}

TimePoint BackendServer::IdleRecheckTime() const {
  return running_.empty() ? last_answer_at_ + options_->idle_recheck : TimePoint::max();
}

TimePoint BackendServer::ProbeTime() const {
  if (!InService() || !running_.empty()) return TimePoint::max();
  if (health_.TrialTime() != TimePoint::max()) return last_probe_at_ + kEjectedProbeInterval;
  const Duration interval = options_->idle_recheck / 2;
  if (phase() == ConcurrencyLimit::Phase::kUnverified) return last_probe_at_ + interval;
  return std::max(last_probe_at_, last_answer_at_) + interval;
}

ServerState BackendServer::Describe(LimitShare share, TimePoint now) const {
  ServerState state;
  state.name = info_.name;
  state.in_flight = in_flight();
  state.limit = Limit(share, now);
  state.latency = Duration(static_cast<std::int64_t>(latency_us_));
  state.start = limit_.start();
  const auto set = [&state](const char* text, const char* reason) {
    state.state = text;
    state.reason = reason;
  };
  if (absent_) {
    set("absent", "not in the host list");
  } else if (info_.leaving) {
    set("leaving", "marked as leaving by the host list or an operator");
  } else if (draining_) {
    set("leaving", "its load endpoint reports that it is draining");
  } else if (health_.StateAt(now) == ServerHealth::State::kEjected) {
    set("ejected", "recent attempts failed; no requests until its backoff ends");
  } else if (health_.StateAt(now) == ServerHealth::State::kTrial) {
    set("ejected", "recent attempts failed; one trial request at a time");
  } else if (phase() == ConcurrencyLimit::Phase::kCold) {
    set("cold", "started recently; the limit rises with answers in time");
  } else if (phase() == ConcurrencyLimit::Phase::kUnverified) {
    set("unverified", "may have restarted; waits for an answer with its start id");
  } else {
    set("warm", "");
    if (phase() == ConcurrencyLimit::Phase::kRecovering) state.reason = "recovering; limit rises";
    if (SuspectedSlow(now)) state.reason = "slow; other servers are preferred";
    if (failing_) state.reason = "failing, but too many servers are ejected; one request at a time";
  }
  return state;
}

}  // namespace mulberry
