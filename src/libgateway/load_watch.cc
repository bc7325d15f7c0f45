#include "libgateway/load_watch.h"

#include <utility>

namespace mulberry::gateway {
namespace {

/// A check that takes longer says nothing about the present load.
constexpr Duration kCheckTimeout = std::chrono::milliseconds(200);
constexpr Duration kCheckConnectTimeout = std::chrono::milliseconds(100);
constexpr Duration kCheckIdle = std::chrono::seconds(8);
constexpr std::size_t kMostAnswerBytes = 16 * 1024;

}  // namespace

LoadWatch::LoadWatch(asio::io_context& io, const PlatformAdapter& adapter, ServerPool& pool,
                     GatewayMetrics& metrics)
    : adapter_(adapter),
      pool_(pool),
      metrics_(metrics),
      links_(io, {.max_head_bytes = kMostAnswerBytes, .max_body_bytes = kMostAnswerBytes}) {}

LoadWatch::~LoadWatch() {
  for (auto& [server, check] : running_) check.link->Close();
}

void LoadWatch::Tick(const HealthCheckShare& share, TimePoint now) {
  for (auto check = running_.begin(); check != running_.end();) {
    if (now - check->second.started <= kCheckTimeout) {
      ++check;
      continue;
    }
    check->second.link->Close();
    metrics_.OnHealthCheck("timed_out");
    pool_.OnHealthCheckEnd(check->first, false, now);
    check = running_.erase(check);
  }
  for (const HealthCheckTarget& target : pool_.DueHealthChecks(share, now)) {
    if (running_.count(target.id) == 0) Start(target, now);
  }
  links_.Sweep(now);
}

void LoadWatch::Start(const HealthCheckTarget& target, TimePoint now) {
  auto link = links_.Take(target.address, kCheckIdle);
  if (!link) return;
  running_[target.id] = {link.value(), now};
  LinkRequest request;
  request.bytes = "GET " + target.health_path + " HTTP/1.1\r\n";
  AppendHeader(request.bytes, "Host", target.address);
  request.bytes += "\r\n";
  request.connect_timeout = kCheckConnectTimeout;
  link.value()->Exchange(std::move(request),
                         [this, target](const LinkAnswer& answer) { OnAnswer(target, answer); });
}

void LoadWatch::OnAnswer(const HealthCheckTarget& target, const LinkAnswer& answer) {
  const auto check = running_.extract(target.id);
  if (check.empty()) return;
  links_.Give(target.address, check.mapped().link);
  const TimePoint now = MonotonicClock::now();
  if (answer.end != LinkEnd::kAnswered) {
    // A kept connection may have been closed unseen, which says nothing of the server.
    if (!answer.reused) pool_.OnHealthCheckEnd(target.id, false, now);
    metrics_.OnHealthCheck("failed");
    return;
  }
  const HealthReport report = adapter_.ParseHealth(answer.message.status, answer.message.headers);
  if (report.id != target.id) {
    metrics_.OnHealthCheck("other_server");
    return;
  }
  metrics_.OnHealthCheck("answered");
  pool_.OnHealthCheckEnd(target.id, true, now);
  pool_.OnColdTimeLeft(target.id, report.cold_time_left, now);
  if (!report.load) return;
  pool_.OnLoadReport(target.id, *report.load, now);
  reported_.push_back(target.id);
}

std::vector<ServerName> LoadWatch::TakeReported() { return std::exchange(reported_, {}); }

}  // namespace mulberry::gateway
