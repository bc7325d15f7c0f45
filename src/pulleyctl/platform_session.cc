#include "pulleyctl/platform_session.h"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <limits>

namespace mulberry {

namespace {

/// Upper bound of the timeout of one call.
constexpr Duration kMaxCallTimeout = std::chrono::seconds(2);
constexpr Duration kRetryDelay = std::chrono::milliseconds(100);
/// Name under which the host list is requested from the platform.
constexpr const char* kClientName = "pulleyctl";
constexpr int kStatusOk = 200;

/// Options of a follower that never writes snapshots and retries without delay.
FollowerOptions ReaderOptions() {
  FollowerOptions options;
  options.retry_delay = Duration::zero();
  options.records_per_snapshot = std::numeric_limits<std::uint64_t>::max();
  options.max_snapshot_age = std::chrono::hours(24);
  options.lost_records_wait = std::chrono::hours(24);
  return options;
}

}  // namespace

PlatformSession::PlatformSession(const std::string& address, Duration timeout)
    : work_guard_(asio::make_work_guard(io_)),
      http_(io_),
      deadline_(MonotonicClock::now() + timeout),
      call_timeout_(std::min(kMaxCallTimeout, timeout)),
      platform_(http_, address, call_timeout_),
      follower_(ReaderOptions(), MonotonicClock::now()) {}

void PlatformSession::RunUntil(const std::function<bool()>& done) {
  while (!done()) io_.run_one();
}

template <class T>
Result<T> PlatformSession::Await(const std::function<void(std::function<void(Result<T>)>)>& start) {
  std::optional<Result<T>> answer;
  start([&answer](Result<T> result) { answer = std::move(result); });
  RunUntil([&answer] { return answer.has_value(); });
  return std::move(*answer);
}

Result<void> PlatformSession::ReadPage() {
  const Result<LogPage> page = Await<LogPage>([this](std::function<void(Result<LogPage>)> done) {
    platform_.Read(kConfigStream, *next_read_offset_, Duration::zero(), std::move(done));
  });
  FollowerActions actions;
  const TimePoint now = MonotonicClock::now();
  const std::uint64_t truncated_reads_before = follower_.counters().truncated_log_reads;
  if (page) {
    follower_.OnPage(page.value(), now, actions);
  } else {
    follower_.OnReadFailed(now, actions);
  }
  follower_.Tick(now, actions);
  for (const FollowerAction& action : actions) {
    if (const auto* read = std::get_if<ReadLog>(&action)) next_read_offset_ = read->from;
  }
  if (!page) return page.error();
  if (follower_.counters().truncated_log_reads != truncated_reads_before) {
    return Fail(ErrorCode::kUnavailable, "the log is shorter than the part already read");
  }
  if (page.value().records.empty() && !follower_.IsCurrent()) {
    return Fail(ErrorCode::kUnavailable,
                "the beginning of the log was removed and the log holds no usable snapshot yet; a "
                "running entry host writes one");
  }
  return boost::outcome_v2::success();
}

Result<void> PlatformSession::ReadToEnd() {
  if (!next_read_offset_) {
    FollowerActions actions;
    follower_.Start(MonotonicClock::now(), actions);
    next_read_offset_ = Offset(1);
  }
  do {
    BOOST_OUTCOME_TRY(ReadPage());
    if (DeadlineExceeded() && !follower_.IsCurrent()) {
      return Fail(ErrorCode::kTimeout, "the log was not read to its end in time");
    }
  } while (!follower_.IsCurrent());
  return boost::outcome_v2::success();
}

Result<Offset> PlatformSession::Append(const std::string& record) {
  return Await<Offset>([&](std::function<void(Result<Offset>)> done) {
    platform_.Append(kConfigStream, record, std::move(done));
  });
}

void PlatformSession::WaitBeforeRetry() {
  asio::steady_timer timer(io_, kRetryDelay);
  bool expired = false;
  timer.async_wait([&expired](const std::error_code&) { expired = true; });
  RunUntil([&expired] { return expired; });
}

bool PlatformSession::DeadlineExceeded() const { return MonotonicClock::now() >= deadline_; }

Result<HostList> PlatformSession::FetchHostList() {
  using Answer = std::optional<HostList>;
  const Result<Answer> list = Await<Answer>([this](std::function<void(Result<Answer>)> done) {
    platform_.Hosts(HostName(kClientName), DataCentreName(), std::move(done));
  });
  if (!list) return list.error();
  if (list.value()) host_list_ = *list.value();
  return host_list_;
}

std::vector<Result<std::string>> PlatformSession::FetchStatusBodies(
    const std::vector<std::string>& addresses) {
  std::vector<std::optional<HttpAnswer>> answers(addresses.size());
  std::size_t pending_count = addresses.size();
  for (std::size_t i = 0; i < addresses.size(); ++i) {
    HttpRequest request;
    request.url = "http://" + addresses[i] + "/v1/status";
    request.timeout = call_timeout_;
    http_.Start(std::move(request), true, [&answers, &pending_count, i](HttpAnswer answer) {
      answers[i] = std::move(answer);
      --pending_count;
    });
  }
  RunUntil([&pending_count] { return pending_count == 0; });
  std::vector<Result<std::string>> statuses;
  for (const auto& answer : answers) {
    if (answer->end != HttpEnd::kAnswered) {
      statuses.emplace_back(Fail(ErrorCode::kUnavailable, answer->error));
    } else if (answer->status != kStatusOk) {
      statuses.emplace_back(
          Fail(ErrorCode::kUnavailable, "status " + std::to_string(answer->status)));
    } else {
      statuses.emplace_back(answer->body);
    }
  }
  return statuses;
}

}  // namespace mulberry
