#include "libgateway/store_reader.h"

#include <utility>

namespace mulberry::gateway {
namespace {

/// Time for an answer of the store beyond the wait that was asked for.
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(1500);
/// A kept connection to the store is not used after this idle time.
constexpr Duration kStoreIdle = std::chrono::seconds(5);
constexpr std::size_t kMostAnswerBytes = 16 * 1024 * 1024;
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

StoreClient::StoreClient(asio::io_context& io, std::string address)
    : io_(io),
      address_(std::move(address)),
      links_(io, {.max_head_bytes = 16 * 1024, .max_body_bytes = kMostAnswerBytes}) {}

void StoreClient::Call(const StoreCall& call, Duration timeout, Done done) {
  auto taken = links_.Take(address_, kStoreIdle);
  if (!taken) {
    asio::post(io_, [done = std::move(done), error = taken.error()] { done(error); });
    return;
  }
  ++calls_;
  const std::shared_ptr<HttpLink> link = taken.value();
  LinkRequest request;
  request.bytes = call.method + " " + call.target + " HTTP/1.1\r\n";
  AppendHeader(request.bytes, "Host", address_);
  if (!call.content_type.empty()) AppendHeader(request.bytes, "Content-Type", call.content_type);
  if (call.method != "GET") {
    AppendHeader(request.bytes, "Content-Length", std::to_string(call.body.size()));
  }
  request.bytes += "\r\n" + call.body;
  auto timer = std::make_shared<asio::steady_timer>(io_);
  auto finish = std::make_shared<Done>(std::move(done));
  timer->expires_after(timeout);
  timer->async_wait([link, finish](const asio::error_code& error) {
    if (error || !*finish) return;
    link->Close();
    std::exchange(*finish, nullptr)(Error{ErrorCode::kTimeout, "no answer of the store in time"});
  });
  link->Exchange(std::move(request), [this, link, timer, finish](LinkAnswer answer) {
    timer->cancel();
    if (!*finish) return;
    links_.Give(address_, link);
    const Done call_back = std::exchange(*finish, nullptr);
    if (answer.end == LinkEnd::kAnswered) {
      call_back(std::move(answer.message));
    } else {
      call_back(Error{ErrorCode::kUnavailable, answer.error});
    }
  });
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

void StoreReader::Hurry() {
  hurried_ = true;
  if (calling_) return;
  follower_.OnPauseOver();
  timer_.cancel();
  Step();
}

void StoreReader::SetSuspended(bool suspended) {
  const bool resumed = suspended_ && !suspended;
  suspended_ = suspended;
  if (resumed && !calling_) Hurry();
}

void StoreReader::OnRelayed(Offset from, Offset to, const std::vector<TopicRecord>& records) {
  // A read that is running asks from the offset before; its records would be taken twice, which
  // does no harm, since they are taken in order.
  if (!follower_.OnRelayed(from, to, records)) Hurry();
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
  Duration timeout = kAnswerTimeout;
  if (const auto* newest = std::get_if<FollowNewest>(&step)) {
    call = adapter_.ReadNewest(topic_, newest->after);
  } else {
    call = adapter_.ReadRecords(topic_, std::get<FollowRecords>(step).from, options_.wait);
    timeout += options_.wait;
  }
  store_.Call(call, timeout, [this, step](Result<HttpMessage> answer) {
    calling_ = false;
    OnAnswer(step, std::move(answer));
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
  last_answer_ = MonotonicClock::now();
  if (failing_ || answering_since_ == TimePoint::max()) {
    answering_since_ = last_answer_;
    LogEvent(LogLevel::kInfo, "store_answers",
             {{"topic", TopicName(topic_)}, {"offset", follower_.next_offset().value()}});
  }
  failing_ = false;
  const bool is_newest = std::holds_alternative<FollowNewest>(step);
  updated_(is_newest ? follower_.next_offset() : asked);
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
  failing_ = true;
  follower_.OnFailed(std::uniform_real_distribution<double>(0, 1)(random_));
}

}  // namespace mulberry::gateway
