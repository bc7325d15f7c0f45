#include "libgateway/health_checker.h"

#include <utility>

namespace mulberry::gateway {
namespace {

/// A check that takes longer says nothing about the present load.
constexpr Duration kCheckTimeout = std::chrono::milliseconds(200);
constexpr Duration kCheckConnectTimeout = std::chrono::milliseconds(100);
constexpr Duration kCheckIdle = std::chrono::seconds(8);
constexpr std::size_t kMostAnswerBytes = 16 * 1024;

}  // namespace

HealthChecker::HealthChecker(asio::io_context& io, const PlatformAdapter& adapter, ServerPool& pool,
                             GatewayMetrics& metrics)
    : adapter_(adapter),
      pool_(pool),
      metrics_(metrics),
      links_(io, {.max_head_bytes = kMostAnswerBytes, .max_body_bytes = kMostAnswerBytes}) {}

HealthChecker::~HealthChecker() {
  for (auto& [server, check] : running_) check.link->Close();
}

void HealthChecker::Tick(const ProbeShare& share, TimePoint now) {
  for (auto check = running_.begin(); check != running_.end();) {
    if (now - check->second.started <= kCheckTimeout) {
      ++check;
      continue;
    }
    check->second.link->Close();
    metrics_.OnProbe("timed_out");
    pool_.OnProbeEnd(check->first, false, now);
    check = running_.erase(check);
  }
  for (const ProbeTarget& target : pool_.DueProbes(share, now)) {
    if (running_.count(target.id) == 0) Start(target, now);
  }
  links_.Sweep(now);
}

void HealthChecker::Start(const ProbeTarget& target, TimePoint now) {
  auto link = links_.Acquire(target.address, kCheckIdle);
  if (!link) return;
  running_[target.id] = {link.value(), now};
  ExchangeRequest request;
  request.bytes = "GET " + target.health_path + " HTTP/1.1\r\n";
  AppendHeader(request.bytes, "Host", target.address);
  request.bytes += "\r\n";
  request.connect_timeout = kCheckConnectTimeout;
  link.value()->Exchange(std::move(request), [this, target](const ExchangeResult& answer) {
    OnAnswer(target, answer);
  });
}

void HealthChecker::OnAnswer(const ProbeTarget& target, const ExchangeResult& answer) {
  const auto check = running_.extract(target.id);
  if (check.empty()) return;
  links_.Release(target.address, check.mapped().link);
  const TimePoint now = MonotonicClock::now();
  if (answer.outcome != ExchangeOutcome::kResponseReceived) {
    // A kept connection may have been closed unseen, which says nothing of the server.
    if (!answer.reused) pool_.OnProbeEnd(target.id, false, now);
    metrics_.OnProbe("failed");
    return;
  }
  const HealthReport report = adapter_.ParseHealth(answer.response.status, answer.response.headers);
  if (report.id != target.id) {
    metrics_.OnProbe("other_server");
    return;
  }
  metrics_.OnProbe("answered");
  pool_.OnProbeEnd(target.id, true, now);
  pool_.OnColdLeft(target.id, report.cold_left, now);
  if (!report.load) return;
  pool_.OnReport(target.id, *report.load, now);
  reported_.push_back(target.id);
}

std::vector<ServerName> HealthChecker::TakeReported() { return std::exchange(reported_, {}); }

}  // namespace mulberry::gateway
