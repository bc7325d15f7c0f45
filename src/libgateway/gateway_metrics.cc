#include "libgateway/gateway_metrics.h"

namespace mulberry::gateway {

GatewayMetrics::GatewayMetrics() = default;

void GatewayMetrics::OnResponse(const ServiceName& service, int status, Duration took) {
  metrics_
      .CounterFor("mulberry_answers_total", "Answers to callers",
                  {{"service", service.str()}, {"status", std::to_string(status)}})
      .Add();
  metrics_
      .HistogramFor("mulberry_answer_seconds", "Time from a request's arrival to its answer",
                    {{"service", service.str()}})
      .Observe(took);
}

void GatewayMetrics::OnRefusal(std::string_view reason) {
  metrics_
      .CounterFor("mulberry_refusals_total", "Requests refused or failed by this host",
                  {{"reason", std::string(reason)}})
      .Add();
}

void GatewayMetrics::OnAttempt(std::string_view end, Duration took) {
  metrics_
      .CounterFor("mulberry_attempts_total", "Sends to backend servers by their end",
                  {{"end", std::string(end)}})
      .Add();
  metrics_.HistogramFor("mulberry_attempt_seconds", "Time of sends to backend servers")
      .Observe(took);
}

void GatewayMetrics::OnVersionAttempt(const ServiceName& service, const ServerVersion& version,
                                      std::string_view end) {
  metrics_
      .CounterFor("mulberry_version_attempts_total", "Sends by version of the server and their end",
                  {{"service", service.str()},
                   {"server_version", version.str()},
                   {"end", std::string(end)}})
      .Add();
}

void GatewayMetrics::OnRetry(std::string_view reason) {
  metrics_
      .CounterFor("mulberry_retries_total", "Further sends of a request",
                  {{"reason", std::string(reason)}})
      .Add();
}

void GatewayMetrics::OnHealthCheck(std::string_view end) {
  metrics_
      .CounterFor("mulberry_probes_total", "Health checks of backend servers by their end",
                  {{"end", std::string(end)}})
      .Add();
}

void GatewayMetrics::OnCapRefusal(const WorkspaceName& workspace) {
  metrics_
      .CounterFor("mulberry_cap_refusals_total", "Requests over their workspace's rate limit",
                  {{"workspace", workspace.str()}})
      .Add();
}

void GatewayMetrics::OnCapTokens(std::string_view direction, std::uint64_t count) {
  metrics_
      .CounterFor("mulberry_cap_tokens_total",
                  "Tokens of rate limits borrowed from or lent to hosts",
                  {{"direction", std::string(direction)}})
      .Add(count);
}

void GatewayMetrics::OnCapDatagram() {
  metrics_.CounterFor("mulberry_cap_datagrams_total", "Datagrams sent about tokens").Add();
}

void GatewayMetrics::OnSpill(const ServiceName& service, std::string_view reason) {
  metrics_
      .CounterFor("mulberry_spilled_total", "Requests sent to another data centre",
                  {{"service", service.str()}, {"reason", std::string(reason)}})
      .Add();
}

void GatewayMetrics::OnCallerDisconnected() {
  metrics_.CounterFor("mulberry_callers_gone_total", "Requests whose caller left").Add();
}

void GatewayMetrics::OnQueueWait(Duration waited) {
  metrics_.HistogramFor("mulberry_queue_seconds", "Time of requests in this host's queue")
      .Observe(waited);
}

void GatewayMetrics::SetGauge(const std::string& name, const std::string& help, double value) {
  metrics_.GaugeFor(name, help).Set(value);
}

}  // namespace mulberry::gateway
