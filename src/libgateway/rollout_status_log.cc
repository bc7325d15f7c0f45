#include "libgateway/rollout_status_log.h"

#include <algorithm>
#include <utility>

namespace mulberry::gateway {
namespace {

/// As for reads of the other topics, see StoreReader.
constexpr Duration kCallTimeout = std::chrono::milliseconds(1000);
/// Pause after a failed call, doubled with each further one up to the second value.
constexpr Duration kRetryPause = std::chrono::milliseconds(300);
constexpr Duration kMaxRetryPause = std::chrono::milliseconds(1500);
constexpr int kStatusOk = 200;

/// Reasons of running orders change by themselves and are not worth a call.
bool Holds(const rollout::Status* held, const rollout::Status& wanted) {
  if (held == nullptr || held->target != wanted.target || held->state != wanted.state) return false;
  return wanted.state == rollout::State::kRunning || held->reason == wanted.reason;
}

}  // namespace

RolloutStatusLog::RolloutStatusLog(StoreClient& store, const PlatformAdapter& adapter,
                                   RecordedCallback callback)
    : store_(store), adapter_(adapter), callback_(std::move(callback)) {}

const rollout::Status* RolloutStatusLog::Find(const ServiceName& service) const {
  const auto found = statuses_.find(service);
  return found == statuses_.end() ? nullptr : &found->second;
}

bool RolloutStatusLog::OnEra(StoreEra era) {
  if (era <= era_) return false;
  era_ = era;
  known_ = false;
  page_after_.clear();
  return true;
}

void RolloutStatusLog::Tick(const std::deque<rollout::Status>& wanted, TimePoint now) {
  if (call_pending_ || now < next_call_at_ || wanted.empty()) return;
  if (!known_) {
    Read(now);
    return;
  }
  for (const rollout::Status& status : wanted) {
    if (Holds(Find(status.service), status)) continue;
    Write(status, now);
    return;
  }
}

void RolloutStatusLog::Read(TimePoint now) {
  call_pending_ = true;
  next_call_at_ = now;
  if (page_after_.empty()) page_statuses_.clear();
  store_.Call(adapter_.ReadNewest(Topic::kStatus, page_after_), kCallTimeout,
              [this](Result<HttpMessage> response) { OnNewest(response); });
}

bool RolloutStatusLog::AcceptResponse(const char* call, const Result<HttpMessage>& response) {
  call_pending_ = false;
  std::string problem;
  if (!response) {
    problem = response.error().message;
  } else if (response.value().status != kStatusOk &&
             !adapter_.IsConflict(response.value().status)) {
    problem = "status " + std::to_string(response.value().status);
  }
  if (!problem.empty()) {
    pause_ = std::min(std::max(kRetryPause, 2 * pause_), kMaxRetryPause);
    next_call_at_ = MonotonicClock::now() + pause_;
    LogEvent(LogLevel::kWarning, "rollout_status_call_failed",
             {{"call", call}, {"error", problem}, {"pause_ms", ToMilliseconds(pause_)}});
    return false;
  }
  pause_ = Duration::zero();
  const auto era = adapter_.ParseStoreEra(response.value().headers);
  if (!era || *era == era_) return true;
  const bool is_first = era_ == StoreEra();
  if (*era < era_) return false;
  OnEra(*era);
  return is_first;
}

void RolloutStatusLog::OnNewest(const Result<HttpMessage>& response) {
  if (!AcceptResponse("read", response) || response.value().status != kStatusOk) return;
  const auto page = adapter_.ParseNewest(response.value().body.Text());
  if (!page) {
    LogEvent(LogLevel::kWarning, "rollout_status_unreadable", {{"error", page.error().message}});
    next_call_at_ = MonotonicClock::now() + kMaxRetryPause;
    return;
  }
  if (page_after_.empty()) end_ = page.value().end;
  for (const TopicRecord& record : page.value().records) {
    const auto status = adapter_.ParseRolloutStatus(record);
    if (status) page_statuses_[status.value().service] = status.value();
  }
  if (page.value().more && !page.value().records.empty()) {
    page_after_ = page.value().records.back().key;
    return;
  }
  page_after_.clear();
  statuses_ = std::exchange(page_statuses_, {});
  known_ = true;
  const auto statuses = statuses_;
  for (const auto& [service, status] : statuses) callback_(status);
}

void RolloutStatusLog::Write(const rollout::Status& status, TimePoint now) {
  call_pending_ = true;
  next_call_at_ = now;
  store_.Call(adapter_.PutRolloutStatus(status, end_), kCallTimeout,
              [this, status](const Result<HttpMessage>& response) { OnWritten(status, response); });
}

void RolloutStatusLog::OnWritten(const rollout::Status& status,
                                 const Result<HttpMessage>& response) {
  // After a call without a response, the record may have been written or may be written later; the
  // condition allows only one of the two writes.
  if (!AcceptResponse("write", response)) {
    known_ = false;
    return;
  }
  if (adapter_.IsConflict(response.value().status)) {
    LogEvent(LogLevel::kInfo, "rollout_status_conflict",
             {{"service", status.service.str()}, {"end", end_.value()}});
    known_ = false;
    return;
  }
  LogEvent(LogLevel::kInfo, "rollout_status_written",
           {{"service", status.service.str()},
            {"target", status.target.str()},
            {"state", rollout::StateName(status.state)},
            {"reason", status.reason}});
  end_ = Offset(end_.value() + 1);
  statuses_[status.service] = status;
  callback_(status);
}

}  // namespace mulberry::gateway
