#include "libpolicy/backend_server.h"

#include <algorithm>
#include <utility>

namespace mulberry {
namespace {

constexpr double kSlownessWeight = 0.25;
constexpr double kLatencyWeight = 0.125;
constexpr double kSuspectedSlowness = 4.0;
constexpr Duration kSlownessValid = std::chrono::milliseconds(250);
// An answer that took less than this multiple of the median shows a server at its usual speed.
constexpr double kUsualRatio = 1.5;
constexpr int kUsualValidMedians = 1;
constexpr Duration kEjectedProbeInterval = std::chrono::seconds(1);
constexpr Duration kDrainingValid = std::chrono::seconds(5);

}  // namespace

BackendServer::BackendServer(const DispatcherOptions& options, ServerInfo info, TimePoint now)
    : options_(&options),
      info_(std::move(info)),
      limit_(options, info_.slots, info_.announced_cold, now),
      last_answer_(now),
      last_probe_(now - options.idle_recheck) {}

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
  if (limit_.phase() != ConcurrencyLimit::Phase::kUnverified && now >= IdleTime()) {
    limit_.MarkUnverified(now);
    last_answer_ = now;
  }
}

std::uint32_t BackendServer::Limit(LimitShare share, TimePoint now) const {
  if (!InService()) return 0;
  const std::uint32_t usable = limit_.Usable(share, now);
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

void BackendServer::Begin(DispatchId dispatch, TimePoint overdue_at, TimePoint now) {
  running_.push_back({dispatch, now, overdue_at});
}

void BackendServer::End(const DispatchReport& report, TimePoint started, std::uint32_t epoch,
                        Duration median, bool in_time, TimePoint now) {
  std::erase_if(running_, [&](const Running& r) { return r.dispatch == report.dispatch; });
  if (report.result == DispatchResult::kAnswered) NoteLatency(now - started, median, now);
  if (report.server_start != StartId()) last_answer_ = now;
  NoteLimit(report, epoch, in_time, now);
  const bool trial = health_.StateAt(now) == ServerHealth::State::kTrial;
  health_.OnResult(report.result, started, now);
  if (report.result != DispatchResult::kAnswered) return;
  if (trial || failing_) limit_.Recover(now);
  failing_ = false;
}

void BackendServer::NoteLatency(Duration latency, Duration median, TimePoint now) {
  const auto micros = static_cast<double>(latency.count());
  latency_us_ += (latency_us_ == 0 ? 1.0 : kLatencyWeight) * (micros - latency_us_);
  last_answer_ = now;
  if (median == Duration::zero()) return;
  const double ratio = micros / static_cast<double>(median.count());
  if (ratio < kUsualRatio) usual_until_ = now + kUsualValidMedians * median;
  const double old = Slowness(now);
  slowness_ = old + kSlownessWeight * (ratio - old);
}

void BackendServer::NoteLimit(const DispatchReport& report, std::uint32_t epoch, bool in_time,
                              TimePoint now) {
  using Evidence = ConcurrencyLimit::Evidence;
  switch (report.result) {
    case DispatchResult::kAnswered:
      return limit_.OnAnswer(report.server_start, epoch,
                             in_time ? Evidence::kInTime
                             : limit_.phase() == ConcurrencyLimit::Phase::kCold
                                 ? Evidence::kOverload
                                 : Evidence::kNeutral,
                             now);
    case DispatchResult::kServerError:
      return limit_.OnAnswer(report.server_start, epoch,
                             limit_.phase() == ConcurrencyLimit::Phase::kCold ? Evidence::kOverload
                                                                              : Evidence::kNeutral,
                             now);
    case DispatchResult::kShed:
      return limit_.OnAnswer(report.server_start, epoch, Evidence::kOverload, now);
    case DispatchResult::kConnectRefused:
    case DispatchResult::kNotSent:
    case DispatchResult::kBroken:
      return limit_.MarkUnverified(now);
    case DispatchResult::kTimedOut:
      return limit_.OnTimeout(epoch, now);
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
  draining_until_ = now + kDrainingValid;
  if (ejected && !report.reported_leaving) health_.AllowTrial(now);
}

bool BackendServer::Suspected(TimePoint now) const {
  if (Slowness(now) > kSuspectedSlowness) return true;
  // One long request among others that end as usual says nothing of the server.
  if (now < usual_until_) return false;
  return std::any_of(running_.begin(), running_.end(),
                     [now](const Running& attempt) { return attempt.overdue_at <= now; });
}

Duration BackendServer::ExpectedDelay(TimePoint now) const {
  Duration delay{};
  for (const Running& attempt : running_) {
    if (attempt.overdue_at <= now) delay = std::max(delay, Duration(now - attempt.started));
  }
  const double excess = std::max(0.0, Slowness(now) - 1.0);
  const auto slow = Duration(static_cast<std::int64_t>(excess * latency_us_));
  return std::max(delay, slow);
}

TimePoint BackendServer::NextOverdue(TimePoint now) const {
  TimePoint next = TimePoint::max();
  for (const Running& attempt : running_) {
    if (attempt.overdue_at > now) next = std::min(next, attempt.overdue_at);
  }
  return next;
}

double BackendServer::Slowness(TimePoint now) const {
  return now - last_answer_ > kSlownessValid ? 1.0 : slowness_;
}

TimePoint BackendServer::IdleTime() const {
  return running_.empty() ? last_answer_ + options_->idle_recheck : TimePoint::max();
}

TimePoint BackendServer::ProbeTime() const {
  if (!InService() || !running_.empty()) return TimePoint::max();
  if (health_.TrialTime() != TimePoint::max()) return last_probe_ + kEjectedProbeInterval;
  const Duration interval = options_->idle_recheck / 2;
  if (phase() == ConcurrencyLimit::Phase::kUnverified) return last_probe_ + interval;
  return std::max(last_probe_, last_answer_) + interval;
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
    set("leaving", "the host list or an operator says that it leaves");
  } else if (draining_) {
    set("leaving", "its load endpoint says that it drains");
  } else if (health_.StateAt(now) == ServerHealth::State::kEjected) {
    set("ejected", "recent attempts failed; waits for its back-off");
  } else if (health_.StateAt(now) == ServerHealth::State::kTrial) {
    set("ejected", "recent attempts failed; one trial request at a time");
  } else if (phase() == ConcurrencyLimit::Phase::kCold) {
    set("cold", "started recently; its limit rises with answers in time");
  } else if (phase() == ConcurrencyLimit::Phase::kUnverified) {
    set("unverified", "may have restarted; waits for an answer that names its start");
  } else {
    set("warm", "");
    if (phase() == ConcurrencyLimit::Phase::kRecovering)
      state.reason = "limit rises after a setback";
    if (Suspected(now)) state.reason = "slow; others are preferred";
    if (failing_) state.reason = "fails, but too many are ejected; one request at a time";
  }
  return state;
}

}  // namespace mulberry
