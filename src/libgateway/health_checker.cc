#include "libgateway/health_checker.h"

#include <utility>

namespace mulberry::gateway {
namespace {

/// The result of a longer check would not reflect the current load.
constexpr Duration kCheckTimeout = std::chrono::milliseconds(200);
constexpr Duration kCheckConnectTimeout = std::chrono::milliseconds(100);
constexpr Duration kMaxConnectionIdleTime = std::chrono::seconds(8);
constexpr std::size_t kMaxResponseBytes = 16 * 1024;

}  // namespace

HealthChecker::HealthChecker(asio::io_context& io, const PlatformAdapter& adapter, ServerPool& pool,
                             GatewayMetrics& metrics)
    : adapter_(adapter),
      pool_(pool),
      metrics_(metrics),
      connections_(io, {.max_head_bytes = kMaxResponseBytes, .max_body_bytes = kMaxResponseBytes}) {
}

HealthChecker::~HealthChecker() {
  for (auto& [server, check] : running_checks_) check.connection->Close();
}

void HealthChecker::Tick(const HealthCheckShare& share, TimePoint now) {
  for (auto check = running_checks_.begin(); check != running_checks_.end();) {
    if (now - check->second.started <= kCheckTimeout) {
      ++check;
      continue;
    }
    check->second.connection->Close();
    metrics_.OnHealthCheck("timed_out");
    pool_.OnHealthCheckEnd(check->first, false, now);
    check = running_checks_.erase(check);
  }
  for (const HealthCheckTarget& target : pool_.DueHealthChecks(share, now)) {
    if (running_checks_.count(target.id) == 0) Start(target, now);
  }
  connections_.Sweep(now);
}

void HealthChecker::Start(const HealthCheckTarget& target, TimePoint now) {
  auto connection = connections_.Acquire(target.address, kMaxConnectionIdleTime);
  if (!connection) return;
  running_checks_[target.id] = {connection.value(), now};
  ExchangeRequest request;
  request.head = "GET " + target.health_path + " HTTP/1.1\r\n";
  AppendHeader(request.head, "Host", target.address);
  request.head += "\r\n";
  request.connect_timeout = kCheckConnectTimeout;
  connection.value()->Exchange(std::move(request), [this, target](const ExchangeResult& result) {
    OnResult(target, result);
  });
}

void HealthChecker::OnResult(const HealthCheckTarget& target, const ExchangeResult& result) {
  const auto check = running_checks_.extract(target.id);
  if (check.empty()) return;
  connections_.Release(target.address, check.mapped().connection);
  const TimePoint now = MonotonicClock::now();
  if (result.outcome != ExchangeOutcome::kResponseReceived) {
    // The server may have closed an idle connection, which does not mean that it is unhealthy.
    if (!result.reused) pool_.OnHealthCheckEnd(target.id, false, now);
    metrics_.OnHealthCheck("failed");
    return;
  }
  const HealthReport report = adapter_.ParseHealth(result.response.status, result.response.headers);
  if (report.id != target.id) {
    metrics_.OnHealthCheck("other_server");
    return;
  }
  metrics_.OnHealthCheck("answered");
  pool_.OnHealthCheckEnd(target.id, true, now);
  if (report.leaving) pool_.OnLeavingAnnounced(target.id);
  pool_.OnColdTimeLeft(target.id, report.cold_time_left, now);
  if (!report.load) return;
  pool_.OnLoadReport(target.id, *report.load, now);
  reported_.push_back(target.id);
}

std::vector<ServerName> HealthChecker::TakeReported() { return std::exchange(reported_, {}); }

}  // namespace mulberry::gateway
