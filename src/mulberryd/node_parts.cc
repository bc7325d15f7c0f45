#include <memory>
#include <utility>

#include "mulberryd/entry_node.h"

namespace mulberry {
namespace {

Result<void> Done() { return boost::outcome_v2::success(); }

std::unique_ptr<Component> MakePart(std::string name, FunctionComponent::Functions functions) {
  return std::make_unique<FunctionComponent>(std::move(name), std::move(functions));
}

HttpServerOptions MakeServerOptions(const Settings& settings) {
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

/// The process's parts: metrics, fleet (peer socket), platform (configuration, host list), callers.
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
  fleet->Add(
      MakePart("peer_socket",
               {[this, peer_address](TimePoint) { return peers_.Bind(peer_address); }, [] {}, {}}));
  root->Add(std::move(fleet));
  auto platform = std::make_unique<Supervisor>("platform", options);
  platform->Add(MakePart("config_reader", {[this](TimePoint) {
                                             StartReading();
                                             return Done();
                                           },
                                           [] {},
                                           {}}));
  platform->Add(MakePart("host_list_reader", {[this](TimePoint) {
                                                PollHosts();
                                                return Done();
                                              },
                                              [this] { hosts_timer_.cancel(); },
                                              {}}));
  root->Add(std::move(platform));
  auto callers = std::make_unique<Supervisor>("callers", options);
  callers->Add(MakePart(
      "http_server",
      {[this](TimePoint) { return OpenServer(); }, [this] { server_->StopAccepting(); }, {}}));
  root->Add(std::move(callers));
  return root;
}

Result<void> EntryNode::OpenServer() {
  server_ = std::make_unique<HttpServer>(
      io_, MakeServerOptions(settings_),
      [this](ServerRequest request, HttpServer::Respond respond) {
        OnHttp(std::move(request), std::move(respond));
      },
      [this](std::uint64_t connection) { OnConnectionClosed(connection); });
  return server_->Open();
}

/// Restarts parts that are due and publishes the gauges, regularly.
void EntryNode::CheckParts() {
  (void)supervisor_->Check(MonotonicClock::now());
  if (++checks_ % kChecksPerPublish == 0) {
    observer_.Publish(host_.Status(Now()), peers_.counters(),
                      server_ ? &server_->counters() : nullptr);
  }
  check_timer_.expires_after(kCheckInterval);
  check_timer_.async_wait([this](const std::error_code& error) {
    if (!error) {
      CheckParts();
    }
  });
}

}  // namespace mulberry
