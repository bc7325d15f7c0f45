#include "standins/server/backend_server.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <cmath>
#include <utility>

namespace mulberry {
namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kLoadLag{200};
constexpr std::chrono::milliseconds kOverloadTime{1000};
constexpr double kOverloadFactor = 10;
constexpr std::size_t kMaxPadBytes = 900 * 1024;

std::uint64_t NewStartId() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 16U | device()) + 1;
}

/// Location of a lognormal distribution with this mean.
double LogLocation(double mean, double sigma) { return std::log(mean) - sigma * sigma / 2; }

}  // namespace

BackendServer::BackendServer(asio::io_context& io, BackendServerOptions options)
    : io_(io),
      options_(std::move(options)),
      record_(options_.record),
      random_(options_.seed),
      run_time_ms_(LogLocation(options_.service_ms, options_.sigma), options_.sigma),
      start_id_(NewStartId()),
      started_(Clock::now()) {
  Record("boot", {});
  Sample(started_);
}

void BackendServer::Handle(ServerRequest request, HttpServer::Respond respond) {
  if (request.path == "/load") {
    Probe(request, respond);
  } else if (request.path == "/admin/mode") {
    respond(SetMode(request));
  } else {
    Work(std::move(request), std::move(respond));
  }
}

void BackendServer::Work(ServerRequest request, HttpServer::Respond respond) {
  if (mode_.drain) {
    respond(NotRun(request, 503, "shed"));
    return;
  }
  const std::string deadline = HeaderOf(request, "x-deadline");
  if (!deadline.empty() && WallMilliseconds() > std::atoll(deadline.c_str())) {
    respond(NotRun(request, 503, "expired"));
    return;
  }
  if (mode_.shed || running_.size() >= options_.slots) {
    respond(NotRun(request, 429, "shed"));
    return;
  }
  Run(std::move(request), std::move(respond));
}

void BackendServer::Run(ServerRequest request, HttpServer::Respond respond) {
  const auto now = Clock::now();
  const std::uint64_t number = next_number_++;
  auto running = std::make_shared<Running>(
      Running{number, std::move(request), std::move(respond), asio::steady_timer(io_)});
  running->timer.expires_after(RunTime(now));
  running_[number] = running;
  Record("start", running->request);
  Sample(now);
  if (Cold(now) && running_.size() > options_.cold_slots) {
    Record("overload", running->request);
    Overload();
  }
  Arm(running);
}

void BackendServer::Arm(const std::shared_ptr<Running>& running) {
  running->timer.async_wait([this, number = running->number](const asio::error_code& error) {
    if (!error) {
      End(number);
    }
  });
}

void BackendServer::End(std::uint64_t number) {
  const auto it = running_.find(number);
  if (it == running_.end()) {
    return;
  }
  const std::shared_ptr<Running> running = it->second;
  Record("end", running->request);
  running_.erase(it);
  ++completed_;
  Sample(Clock::now());
  running->respond(Result(running->request));
}

void BackendServer::Overload() {
  const auto now = Clock::now();
  overloaded_until_ = now + kOverloadTime;
  for (auto& [number, running] : running_) {
    const auto left = running->timer.expiry() - now;
    running->timer.expires_after(
        std::chrono::duration_cast<Clock::duration>(left * kOverloadFactor));
    Arm(running);
  }
}

void BackendServer::OnClosed(std::uint64_t connection) {
  for (auto it = running_.begin(); it != running_.end();) {
    const ServerRequest& request = it->second->request;
    const bool keeps_running = !HeaderOf(request, "x-idempotency-key").empty();
    if (request.connection != connection) {
      ++it;
      continue;
    }
    Record("cancelled", request);
    if (keeps_running) {
      ++it;
      continue;
    }
    it->second->timer.cancel();
    it = running_.erase(it);
  }
  Sample(Clock::now());
}

ServerAnswer BackendServer::Result(const ServerRequest& request) const {
  if (mode_.mid_body) {
    return TruncatedAnswer();
  }
  const auto pad = static_cast<std::size_t>(NumberOf(request, "pad").value_or(0));
  ServerAnswer answer =
      JsonAnswer(mode_.fail ? 500 : 200, {{"server", options_.name},
                                          {"start_id", start_id_},
                                          {"path", request.path},
                                          {"body_hash", StableHash(request.body)},
                                          {"pad", std::string(std::min(pad, kMaxPadBytes), 'p')}});
  AddIds(request, answer);
  return answer;
}

ServerAnswer BackendServer::NotRun(const ServerRequest& request, int status, const char* event) {
  Record(event, request);
  ServerAnswer answer = JsonAnswer(status, {{"server", options_.name}, {"error", event}});
  answer.headers.emplace_back("X-Not-Run", "1");
  AddIds(request, answer);
  return answer;
}

void BackendServer::AddIds(const ServerRequest& request, ServerAnswer& answer) const {
  answer.headers.emplace_back("X-Start-Id", std::to_string(start_id_));
  answer.headers.emplace_back("X-Request-Id", HeaderOf(request, "x-request-id"));
}

void BackendServer::Probe(const ServerRequest& request, const HttpServer::Respond& respond) {
  Record("probe", request);
  auto timer = std::make_shared<asio::steady_timer>(io_, options_.probe_time);
  timer->async_wait([this, timer, respond](const asio::error_code&) {
    respond(JsonAnswer(200, Load(Clock::now())));
  });
}

json BackendServer::Load(Clock::time_point now) const {
  json load = {{"start_id", start_id_},
               {"uptime_ms", std::chrono::floor<std::chrono::milliseconds>(now - started_).count()},
               {"in_flight", 0},
               {"slots", options_.slots},
               {"state", "warm"}};
  if (mode_.lie) {
    return load;
  }
  load["in_flight"] = samples_.front().in_flight;
  load["state"] = samples_.front().state;
  for (const LoadSample& sample : samples_) {
    if (sample.at + kLoadLag > now) {
      break;
    }
    load["in_flight"] = sample.in_flight;
    load["state"] = sample.state;
  }
  return load;
}

ServerAnswer BackendServer::SetMode(const ServerRequest& request) {
  const auto flag = [&](std::string_view name, bool* value) {
    *value = NumberOf(request, name).value_or(*value ? 1 : 0) != 0;
  };
  flag("fail", &mode_.fail);
  flag("shed", &mode_.shed);
  flag("drain", &mode_.drain);
  flag("lie", &mode_.lie);
  flag("mid_body", &mode_.mid_body);
  mode_.hold_ms = NumberOf(request, "hold_ms").value_or(mode_.hold_ms);
  const std::string slow = QueryOf(request, "slow");
  if (!slow.empty()) {
    mode_.slow = std::atof(slow.c_str());
  }
  const std::string burst = QueryOf(request, "burst");
  if (!burst.empty() && !SetBurst(burst)) {
    return JsonAnswer(400, {{"error", "burst is not period_ms,length_ms,factor"}});
  }
  Sample(Clock::now());
  return JsonAnswer(200, json::object());
}

bool BackendServer::SetBurst(const std::string& text) {
  const std::vector<std::string> fields = absl::StrSplit(text, ',');
  return fields.size() == 3 && absl::SimpleAtoi(fields[0], &mode_.burst_period_ms) &&
         absl::SimpleAtoi(fields[1], &mode_.burst_length_ms) &&
         absl::SimpleAtod(fields[2], &mode_.burst_factor);
}

BackendServer::Clock::duration BackendServer::RunTime(Clock::time_point now) {
  const double run_ms =
      run_time_ms_(random_) * SlowFactor(now) + static_cast<double>(mode_.hold_ms);
  return std::chrono::duration_cast<Clock::duration>(
      std::chrono::duration<double, std::milli>(run_ms));
}

double BackendServer::SlowFactor(Clock::time_point now) const {
  double factor = mode_.slow;
  if (mode_.burst_period_ms > 0) {
    const auto phase = static_cast<std::int64_t>(options_.seed * 7919 %
                                                 static_cast<std::uint64_t>(mode_.burst_period_ms));
    if ((WallMilliseconds() + phase) % mode_.burst_period_ms < mode_.burst_length_ms) {
      factor *= mode_.burst_factor;
    }
  }
  return now < overloaded_until_ ? factor * kOverloadFactor : factor;
}

bool BackendServer::Cold(Clock::time_point now) const {
  if (options_.start_warm) {
    return false;
  }
  return now - started_ < options_.cold_time || completed_ < options_.cold_requests;
}

void BackendServer::Sample(Clock::time_point now) {
  const char* state = mode_.drain ? "draining" : (Cold(now) ? "cold" : "warm");
  samples_.push_back({now, static_cast<std::uint32_t>(running_.size()), state});
  while (samples_.size() > 1 && samples_[1].at + kLoadLag <= now) {
    samples_.pop_front();
  }
}

void BackendServer::Record(const char* event, const ServerRequest& request) {
  RecordedEvent line;
  line.event = event;
  line.id = HeaderOf(request, "x-request-id");
  line.key = HeaderOf(request, "x-idempotency-key");
  line.class_name = HeaderOf(request, "x-class");
  line.path = request.path;
  line.at_once = static_cast<std::uint32_t>(running_.size());
  line.cold = Cold(Clock::now());
  record_.Write(line);
}

}  // namespace mulberry
