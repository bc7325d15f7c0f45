#include <memory>
#include <utility>

#include "mulberryd/entry_node.h"

namespace mulberry {
namespace {

Result<void> Success() { return boost::outcome_v2::success(); }

std::unique_ptr<Component> MakePart(std::string name, FunctionComponent::Functions functions) {
  return std::make_unique<FunctionComponent>(std::move(name), std::move(functions));
}

HttpServerOptions MakeHttpServerOptions(const Settings& settings) {
  HttpServerOptions options;
  options.ip = settings.listen_ip;
  options.port = settings.caller_port;
  options.max_connections = settings.max_connections;
  options.max_body_bytes = settings.max_body_bytes;
  options.max_head_bytes = settings.max_head_bytes;
  options.read_timeout = settings.head_timeout;
  options.handle_timeout = settings.max_deadline + std::chrono::seconds(1);
  return options;
}

}  // namespace

/// Builds the supervision tree: metrics, fleet (peer socket), platform (configuration reader, host
/// list reader), callers (HTTP server).
std::unique_ptr<Supervisor> EntryNode::MakeSupervisor() {
  const SupervisorOptions options;
  auto root = std::make_unique<Supervisor>("mulberryd", options);
  root->Add(MakePart(
      "metrics",
      {[this](TimePoint) { return metrics_.Open(settings_.listen_ip, settings_.metrics_port); },
       [] {},
       {}}));
  auto fleet = std::make_unique<Supervisor>("fleet", options);
  const std::string peer_address = settings_.listen_ip + ":" + std::to_string(settings_.peer_port);
  fleet->Add(MakePart(
      "peer_socket",
      {[this, peer_address](TimePoint) { return peer_socket_.Bind(peer_address); }, [] {}, {}}));
  root->Add(std::move(fleet));
  auto platform = std::make_unique<Supervisor>("platform", options);
  platform->Add(MakePart("config_reader", {[this](TimePoint) {
                                             StartConfigReader();
                                             return Success();
                                           },
                                           [] {},
                                           {}}));
  platform->Add(MakePart("host_list_reader", {[this](TimePoint) {
                                                PollHostList();
                                                return Success();
                                              },
                                              [this] { host_list_timer_.cancel(); },
                                              {}}));
  root->Add(std::move(platform));
  auto callers = std::make_unique<Supervisor>("callers", options);
  callers->Add(MakePart("http_server", {[this](TimePoint) { return OpenHttpServer(); },
                                        [this] { http_server_->StopAccepting(); },
                                        {}}));
  root->Add(std::move(callers));
  return root;
}

Result<void> EntryNode::OpenHttpServer() {
  http_server_ = std::make_unique<HttpServer>(
      io_, MakeHttpServerOptions(settings_),
      [this](ServerRequest request, HttpServer::Respond respond) {
        OnHttpRequest(std::move(request), std::move(respond));
      },
      [this](std::uint64_t connection) { OnConnectionClosed(connection); });
  return http_server_->Open();
}

/// Restarts parts whose restart is due, at every check, and publishes the metric gauges at every
/// kPartChecksPerMetricsPublish-th check.
void EntryNode::CheckPartsAndPublishMetrics() {
  (void)supervisor_->Check(MonotonicClock::now());
  if (++part_check_count_ % kPartChecksPerMetricsPublish == 0) {
    metrics_observer_.Publish(host_.Status(Now()), peer_socket_.counters(),
                              http_server_ ? &http_server_->counters() : nullptr);
  }
  part_check_timer_.expires_after(kPartCheckInterval);
  part_check_timer_.async_wait([this](const std::error_code& error) {
    if (!error) {
      CheckPartsAndPublishMetrics();
    }
  });
}

}  // namespace mulberry
