#include "mulberryd/metrics_observer.h"

namespace mulberry {
namespace {

constexpr const char* kLeasePhases[] = {"none", "reduced", "warm", "full"};

}  // namespace

MetricsObserver::MetricsObserver(Metrics& metrics) : metrics_(metrics) {}

MetricCounter& MetricsObserver::Counter(const std::string& name, const std::string& help,
                                        const std::string& class_name, const std::string& label,
                                        const std::string& value) {
  const CounterKey key{name, class_name, value};
  const auto found = counters_.find(key);
  if (found != counters_.end()) {
    return found->second;
  }
  MetricLabels labels = {{label, value}};
  if (!class_name.empty()) {
    labels["class"] = class_name;
  }
  return counters_.emplace(key, metrics_.CounterFor(name, help, labels)).first->second;
}

void MetricsObserver::OnAnswered(const ClassName& class_name, Duration latency) {
  auto found = latency_histograms_.find(class_name);
  if (found == latency_histograms_.end()) {
    auto histogram = metrics_.HistogramFor("mulberry_answer_seconds",
                                           "Time from a request's arrival to its answer",
                                           {{"class", class_name.str()}});
    found = latency_histograms_.emplace(class_name, histogram).first;
  }
  found->second.Observe(latency);
}

void MetricsObserver::OnRefused(const ClassName& class_name, const std::string& reason) {
  Counter("mulberry_refusals_total", "Requests that ended without an answer", class_name.str(),
          "reason", reason)
      .Add();
}

void MetricsObserver::OnRetry(const ClassName& class_name, const std::string& reason) {
  Counter("mulberry_retries_total", "Further attempts, hedges included", class_name.str(), "reason",
          reason)
      .Add();
}

void MetricsObserver::OnForward(const ClassName& class_name, const std::string& result) {
  Counter("mulberry_forwards_total", "Requests handed to another entry host", class_name.str(),
          "result", result)
      .Add();
}

void MetricsObserver::OnProbe(const ServiceName& service) {
  Counter("mulberry_probes_total", "Questions to load endpoints", "", "service", service.str())
      .Add();
}

void MetricsObserver::OnClaim(const std::string& result) {
  Counter("mulberry_claims_total", "Ended claims of idempotency keys", "", "result", result).Add();
}

void MetricsObserver::OnLeaseChange(const GroupName& group, const std::string& before,
                                    const std::string& after) {
  LogEvent(LogLevel::kInfo, "lease",
           {{"service", group.service.str()},
            {"data_centre", group.data_centre.str()},
            {"before", before},
            {"after", after}});
}

void MetricsObserver::Gauge(const std::string& name, const std::string& help, double value,
                            const MetricLabels& labels) {
  metrics_.GaugeFor(name, help, labels).Set(value);
}

void MetricsObserver::PublishGroups(const nlohmann::json& groups) {
  for (const auto& group : groups) {
    const std::string service = group["service"];
    for (const char* phase : kLeasePhases) {
      Gauge("mulberry_lease", "1 for the lease phase of a service's group at this host",
            group["lease"] == phase ? 1 : 0, {{"service", service}, {"phase", phase}});
    }
    Gauge("mulberry_queued", "Requests that wait for a backend server", group.value("queued", 0),
          {{"service", service}});
    Gauge("mulberry_in_flight", "Attempts that run on backend servers", group.value("in_flight", 0),
          {{"service", service}});
  }
}

void MetricsObserver::Publish(const nlohmann::json& status, const PeerSocketCounters& peers,
                              const HttpServerCounters* server) {
  const auto& config = status["config"];
  Gauge("mulberry_config_version", "Offset of the configuration in force", config["offset"]);
  Gauge("mulberry_config_age_seconds", "Time since the configuration changed here",
        config["age_ms"].get<double>() / 1000);
  const bool permitted =
      config["permission"] == "log_read" || config["permission"] == "log_down_for_all";
  Gauge("mulberry_may_take_work", "0 while this host takes no new work", permitted ? 1 : 0);
  Gauge("mulberry_config_digest_mismatches", "Peers with another digest at the same offset",
        config["digest_mismatches"]);
  Gauge("mulberry_pending_requests", "Requests held now", status["pending"]);
  PublishGroups(status["groups"]);
  Gauge("mulberry_peer_sent_bytes", "Bytes sent to other entry hosts",
        static_cast<double>(peers.sent_bytes));
  Gauge("mulberry_peer_received_bytes", "Bytes received from other entry hosts",
        static_cast<double>(peers.received_bytes));
  Gauge("mulberry_peer_not_sent", "Messages dropped at the sender",
        static_cast<double>(peers.not_sent + peers.too_large));
  if (server == nullptr) {
    return;
  }
  Gauge("mulberry_connections", "Callers' connections open now",
        static_cast<double>(server->connections));
  const std::pair<const char*, std::uint64_t> refused[] = {
      {"too_many_connections", server->refused_connections},
      {"malformed", server->malformed},
      {"too_large", server->too_large},
      {"slow", server->slow}};
  for (const auto& [reason, count] : refused) {
    Gauge("mulberry_input_refusals_total", "Connections and requests refused before they were read",
          static_cast<double>(count), {{"reason", reason}});
  }
}

}  // namespace mulberry
