#include "libgateway/store_reader.h"

#include <utility>

namespace mulberry::gateway {
namespace {

/// Time for a response of the store in addition to the requested wait. A response usually takes a
/// few milliseconds, and another host should take over soon when a connection stops responding.
constexpr Duration kResponseTimeout = std::chrono::milliseconds(600);
/// The same after a failed read, for a slow store.
constexpr Duration kSlowResponseTimeout = std::chrono::milliseconds(1500);
constexpr int kStatusOk = 200;

}  // namespace

const char* TopicName(Topic topic) {
  switch (topic) {
    case Topic::kOperator:
      return "operator";
    case Topic::kServers:
      return "servers";
    case Topic::kStatus:
      return "status";
    case Topic::kHosts:
      return "hosts";
  }
  return "unknown";
}

StoreReader::StoreReader(asio::io_context& io, StoreClient& store, const PlatformAdapter& adapter,
                         Topic topic, FollowOptions options, TopicFollower::Sink sink,
                         UpdateCallback update_callback)
    : store_(store),
      adapter_(adapter),
      topic_(topic),
      options_(options),
      follower_(options, std::move(sink)),
      update_callback_(std::move(update_callback)),
      timer_(io) {}

void StoreReader::Start() { RunNextStep(); }

void StoreReader::RequestRead() {
  if (!failing_) {
    read_requested_ = true;
    if (!call_pending_) ReadNow();
    return;
  }
  // If the store does not respond, it is retried after the shortest retry pause, as if no other
  // host read it.
  if (std::exchange(records_missing_, true) || call_pending_) return;
  timer_.expires_after(options_.retry_pause);
  timer_.async_wait([this](const asio::error_code& error) {
    if (!error) ReadNow();
  });
}

void StoreReader::ReadNow() {
  follower_.OnPauseOver();
  timer_.cancel();
  RunNextStep();
}

void StoreReader::SetSuspended(bool suspended) {
  const bool resumed = suspended_ && !suspended;
  suspended_ = suspended;
  if (resumed && !call_pending_) ReadNow();
}

void StoreReader::OnEra(StoreEra era, Duration spread) {
  // The response to a first read tells its own era.
  const bool restarts = follower_.complete() || follower_.reading_pages();
  const TopicPosition before = follower_.position();
  if (!follower_.OnEra(era) || !restarts) return;
  LogEvent(LogLevel::kInfo, "store_restored",
           {{"topic", TopicName(topic_)},
            {"era", era.value()},
            {"before", before.era.value()},
            {"offset", before.offset.value()}});
  records_missing_ = true;
  call_pending_ = false;
  ++last_call_;
  const double random = std::uniform_real_distribution<double>(0, 1)(random_);
  timer_.expires_after(
      Duration(static_cast<std::int64_t>(static_cast<double>(spread.count()) * random)));
  timer_.async_wait([this](const asio::error_code& error) {
    if (!error) ReadNow();
  });
}

void StoreReader::OnRelayed(const TopicUpdate& update) {
  LogIgnoredUpdate(update);
  // A running read started at an earlier offset and delivers these records a second time. That does
  // no harm, because they are applied in order.
  if (!follower_.OnRelayed(update)) RequestRead();
}

/// In the servers' topic, the updates of two readers overlap all the time.
void StoreReader::LogIgnoredUpdate(const TopicUpdate& update) const {
  const TopicPosition own = follower_.position();
  if (update.records.empty() || TopicPosition{update.era, update.to} >= own) return;
  LogEvent(topic_ == Topic::kServers ? LogLevel::kDebug : LogLevel::kInfo, "store_update_known",
           {{"topic", TopicName(topic_)},
            {"era", update.era.value()},
            {"to", update.to.value()},
            {"own_era", own.era.value()},
            {"own_offset", own.offset.value()}});
}

void StoreReader::RunNextStep() {
  if (call_pending_) return;
  if (suspended_ && follower_.up_to_date() && !read_requested_ && !failing_) return;
  const FollowStep step = follower_.Next();
  if (const auto* pause = std::get_if<FollowPause>(&step)) {
    timer_.expires_after(pause->wait);
    timer_.async_wait([this](const asio::error_code& error) {
      if (error) return;
      follower_.OnPauseOver();
      RunNextStep();
    });
    return;
  }
  call_pending_ = true;
  LogEvent(LogLevel::kDebug, "store_read",
           {{"topic", TopicName(topic_)},
            {"era", follower_.era().value()},
            {"from", follower_.position().offset.value()},
            {"requested", read_requested_},
            {"suspended", suspended_},
            {"failing", failing_}});
  read_requested_ = false;
  StoreCall call;
  Duration timeout = failing_ ? kSlowResponseTimeout : kResponseTimeout;
  if (const auto* newest = std::get_if<FollowNewest>(&step)) {
    call = adapter_.ReadNewest(topic_, newest->after);
    if (newest->after.empty()) first_page_sent_ = MonotonicClock::now();
  } else {
    // A store that may not respond is not asked to hold the response.
    const Duration wait = failing_ ? Duration::zero() : options_.wait;
    call = adapter_.ReadRecords(topic_, std::get<FollowRecords>(step).from, wait);
    timeout += wait;
  }
  const TimePoint sent = MonotonicClock::now();
  const auto on_response = [this, step, sent, number = ++last_call_](Result<HttpMessage> response) {
    if (number != last_call_) return;
    call_pending_ = false;
    OnResponse(step, std::move(response), sent);
    if (failing_) read_requested_ = false;
    if (read_requested_) follower_.OnPauseOver();
    RunNextStep();
  };
  store_.Call(call, timeout, on_response);
}

void StoreReader::ReadBeside() {
  if (beside_pending_ || failing_ || !follower_.up_to_date()) return;
  const TimePoint now = MonotonicClock::now();
  // A store that rejects the read is not asked again with each question of another host.
  if (now - beside_sent_ < options_.retry_pause) return;
  beside_pending_ = true;
  beside_sent_ = now;
  const FollowRecords step{follower_.position().offset};
  store_.Call(adapter_.ReadRecords(topic_, step.from, Duration::zero()), kResponseTimeout,
              [this, step, era = follower_.era(), sent = now](const Result<HttpMessage>& response) {
                beside_pending_ = false;
                OnResponseBeside(step, era, response, sent);
              });
}

/// Leaves all that is unusual, a failure included, to the reads of RunNextStep.
void StoreReader::OnResponseBeside(const FollowRecords& step, StoreEra era,
                                   const Result<HttpMessage>& response, TimePoint sent) {
  if (!response || response.value().status != kStatusOk) return;
  const auto response_era = adapter_.ParseStoreEra(response.value().headers);
  if (response_era && *response_era > follower_.era()) {
    OnEra(*response_era, Duration::zero());
    if (era_callback_) era_callback_(*response_era);
  }
  // An offset of one era means nothing in another.
  if (response_era.value_or(era) != era || follower_.era() != era) return;
  if (!follower_.up_to_date()) return;
  const TopicPosition before = follower_.position();
  if (!ApplyResponse(step, response.value())) return;
  update_callback_(before);
  if (reached_end_ && end_callback_) end_callback_(sent);
}

void StoreReader::OnResponse(const FollowStep& step, Result<HttpMessage> response, TimePoint sent) {
  if (!response) {
    OnReadFailed(response.error().message);
    return;
  }
  const HttpMessage& message = response.value();
  if (!AcceptEra(step, message)) return;
  if (adapter_.IsExpired(message.status)) {
    LogEvent(LogLevel::kInfo, "store_records_expired",
             {{"topic", TopicName(topic_)},
              {"era", follower_.era().value()},
              {"offset", follower_.position().offset.value()}});
    follower_.OnExpired();
    return;
  }
  if (message.status != kStatusOk) {
    OnReadFailed("status " + std::to_string(message.status));
    return;
  }
  const TopicPosition before = follower_.position();
  const auto applied = ApplyResponse(step, message);
  if (!applied) {
    OnReadFailed(applied.error().message);
    return;
  }
  OnReadSucceeded(step, before, sent);
}

/// Returns false when the response is of no use: it is of an older era, or shows that the store was
/// restored and continues what was read before.
bool StoreReader::AcceptEra(const FollowStep& step, const HttpMessage& response) {
  const auto era = adapter_.ParseStoreEra(response.headers);
  if (!era || *era == follower_.era()) return true;
  if (*era < follower_.era()) {
    LogEvent(
        LogLevel::kInfo, "store_response_late",
        {{"topic", TopicName(topic_)}, {"era", era->value()}, {"known", follower_.era().value()}});
    follower_.OnLateResponse();
    return false;
  }
  OnEra(*era, Duration::zero());
  if (era_callback_) era_callback_(*era);
  const auto* newest = std::get_if<FollowNewest>(&step);
  return response.status != kStatusOk || (newest != nullptr && newest->after.empty());
}

void StoreReader::OnReadSucceeded(const FollowStep& step, TopicPosition before, TimePoint sent) {
  const bool reachable_again = failing_ || !has_responded_;
  failing_ = false;
  records_missing_ = false;
  has_responded_ = true;
  if (reachable_again) {
    LogEvent(LogLevel::kInfo, "store_answers",
             {{"topic", TopicName(topic_)},
              {"era", follower_.era().value()},
              {"offset", follower_.position().offset.value()}});
  }
  if (follower_.up_to_date()) {
    const bool is_newest = std::holds_alternative<FollowNewest>(step);
    update_callback_(is_newest ? follower_.position() : before);
    if (reached_end_ && end_callback_) end_callback_(is_newest ? first_page_sent_ : sent);
  }
  if (reachable_again && reachability_callback_) reachability_callback_(true);
}

Result<void> StoreReader::ApplyResponse(const FollowStep& step, const HttpMessage& response) {
  if (std::holds_alternative<FollowNewest>(step)) {
    auto page = adapter_.ParseNewest(response.body.Text());
    if (!page) return page.error();
    page.value().era = follower_.era();
    reached_end_ = true;
    follower_.OnNewest(page.value());
    return boost::outcome_v2::success();
  }
  auto page = adapter_.ParseRecords(response.body.Text(), std::get<FollowRecords>(step).from);
  if (!page) return page.error();
  page.value().era = follower_.era();
  reached_end_ = page.value().next >= page.value().end;
  follower_.OnRecords(page.value());
  return boost::outcome_v2::success();
}

void StoreReader::OnReadFailed(const std::string& reason) {
  if (!failing_) {
    LogEvent(LogLevel::kWarning, "store_lost",
             {{"topic", TopicName(topic_)},
              {"era", follower_.era().value()},
              {"offset", follower_.position().offset.value()},
              {"error", reason}});
  }
  const bool became_unreachable = !std::exchange(failing_, true);
  follower_.OnFailed(std::uniform_real_distribution<double>(0, 1)(random_),
                     suspended_ && !records_missing_);
  if (became_unreachable && reachability_callback_) reachability_callback_(false);
}

}  // namespace mulberry::gateway
