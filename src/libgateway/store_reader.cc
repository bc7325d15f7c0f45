#include "libgateway/store_reader.h"

#include <utility>

namespace mulberry::gateway {
namespace {

/// Time for an answer of the store beyond the wait that was asked for; it usually takes a few
/// milliseconds, and another host should read soon when a connection has gone silent.
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(600);
/// The same after a failure, for a store that is slow.
constexpr Duration kSlowAnswerTimeout = std::chrono::milliseconds(1500);
constexpr int kStatusOk = 200;

}  // namespace

const char* TopicName(Topic topic) {
  switch (topic) {
    case Topic::kOperator:
      return "operator";
    case Topic::kServers:
      return "servers";
    case Topic::kHosts:
      return "hosts";
  }
  return "unknown";
}

StoreReader::StoreReader(asio::io_context& io, StoreClient& store, const PlatformAdapter& adapter,
                         Topic topic, FollowOptions options, TopicFollower::Sink sink,
                         Updated updated)
    : store_(store),
      adapter_(adapter),
      topic_(topic),
      options_(options),
      follower_(options, std::move(sink)),
      updated_(std::move(updated)),
      timer_(io) {}

void StoreReader::Start() { Step(); }

void StoreReader::RequestRead() {
  if (!failing_) {
    hurried_ = true;
    if (!calling_) ReadNow();
    return;
  }
  // A store that does not answer is not pressed, but tried again as soon as if nobody else read.
  if (std::exchange(wanted_, true) || calling_) return;
  timer_.expires_after(options_.retry_pause);
  timer_.async_wait([this](const asio::error_code& error) {
    if (!error) ReadNow();
  });
}

void StoreReader::ReadNow() {
  follower_.OnPauseOver();
  timer_.cancel();
  Step();
}

void StoreReader::SetSuspended(bool suspended) {
  const bool resumed = suspended_ && !suspended;
  suspended_ = suspended;
  if (resumed && !calling_) ReadNow();
}

void StoreReader::OnRelayed(Offset from, Offset to, const std::vector<TopicRecord>& records) {
  // A read that is running asks from the offset before; its records would be taken twice, which
  // does no harm, since they are taken in order.
  if (!follower_.OnRelayed(from, to, records)) RequestRead();
}

void StoreReader::Step() {
  if (calling_) return;
  if (suspended_ && follower_.complete() && !hurried_ && !failing_) return;
  const FollowStep step = follower_.Next();
  if (const auto* pause = std::get_if<FollowPause>(&step)) {
    timer_.expires_after(pause->wait);
    timer_.async_wait([this](const asio::error_code& error) {
      if (error) return;
      follower_.OnPauseOver();
      Step();
    });
    return;
  }
  calling_ = true;
  LogEvent(LogLevel::kDebug, "store_read",
           {{"topic", TopicName(topic_)},
            {"from", follower_.next_offset().value()},
            {"hurried", hurried_},
            {"suspended", suspended_},
            {"failing", failing_}});
  hurried_ = false;
  StoreCall call;
  Duration timeout = failing_ ? kSlowAnswerTimeout : kAnswerTimeout;
  if (const auto* newest = std::get_if<FollowNewest>(&step)) {
    call = adapter_.ReadNewest(topic_, newest->after);
  } else {
    call = adapter_.ReadRecords(topic_, std::get<FollowRecords>(step).from, options_.wait);
    timeout += options_.wait;
  }
  store_.Call(call, timeout, [this, step](Result<HttpMessage> answer) {
    calling_ = false;
    OnAnswer(step, std::move(answer));
    if (failing_) hurried_ = false;
    if (hurried_) follower_.OnPauseOver();
    Step();
  });
}

void StoreReader::OnAnswer(const FollowStep& step, Result<HttpMessage> answer) {
  if (!answer) {
    Fail(answer.error().message);
    return;
  }
  const HttpMessage& message = answer.value();
  if (adapter_.IsExpired(message.status)) {
    LogEvent(LogLevel::kInfo, "store_records_expired",
             {{"topic", TopicName(topic_)}, {"offset", follower_.next_offset().value()}});
    follower_.OnExpired();
    return;
  }
  if (message.status != kStatusOk) {
    Fail("status " + std::to_string(message.status));
    return;
  }
  const Offset asked = follower_.next_offset();
  const auto taken = Take(step, message);
  if (!taken) {
    Fail(taken.error().message);
    return;
  }
  const bool regained = failing_ || !answered_;
  failing_ = false;
  wanted_ = false;
  answered_ = true;
  if (regained) {
    LogEvent(LogLevel::kInfo, "store_answers",
             {{"topic", TopicName(topic_)}, {"offset", follower_.next_offset().value()}});
  }
  const bool is_newest = std::holds_alternative<FollowNewest>(step);
  updated_(is_newest ? follower_.next_offset() : asked);
  if (regained && reachability_callback_) reachability_callback_(true);
}

Result<void> StoreReader::Take(const FollowStep& step, const HttpMessage& answer) {
  if (std::holds_alternative<FollowNewest>(step)) {
    const auto page = adapter_.ParseNewest(answer.body);
    if (!page) return page.error();
    follower_.OnNewest(page.value());
    return boost::outcome_v2::success();
  }
  const auto page = adapter_.ParseRecords(answer.body, std::get<FollowRecords>(step).from);
  if (!page) return page.error();
  follower_.OnRecords(page.value());
  return boost::outcome_v2::success();
}

void StoreReader::Fail(const std::string& why) {
  if (!failing_) {
    LogEvent(LogLevel::kWarning, "store_lost",
             {{"topic", TopicName(topic_)},
              {"offset", follower_.next_offset().value()},
              {"error", why}});
  }
  const bool lost = !std::exchange(failing_, true);
  follower_.OnFailed(std::uniform_real_distribution<double>(0, 1)(random_), suspended_ && !wanted_);
  if (lost && reachability_callback_) reachability_callback_(false);
}

}  // namespace mulberry::gateway
