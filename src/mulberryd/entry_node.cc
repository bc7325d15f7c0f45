#include "mulberryd/entry_node.h"

#include <algorithm>
#include <asio/post.hpp>
#include <utility>

#include "mulberryd/caller_api.h"
#include "mulberryd/server_protocol.h"

namespace mulberry {
namespace {

constexpr Duration kProbeTimeout = std::chrono::milliseconds(500);
/// Answers to probes have less than 1 KiB.
constexpr std::size_t kMaxProbeAnswerBytes = 16 * 1024;
/// Delay between the end of draining and the process exit, so that the last messages to other
/// hosts are sent.
constexpr Duration kFlushDelay = std::chrono::milliseconds(50);
/// A connection that was accepted just before the port closed may take this long to bring its
/// request.
constexpr Duration kIdleBeforeClose = std::chrono::milliseconds(250);

EntryOptions MakeEntryOptions(const Settings& settings, StartId start) {
  EntryOptions options;
  const std::string ip = settings.listen_ip + ":";
  options.self.self = {settings.host, start};
  options.self.data_centre = settings.data_centre;
  options.self.http_address = ip + std::to_string(settings.caller_port);
  options.self.peer_address = ip + std::to_string(settings.peer_port);
  options.membership.heartbeat_interval = settings.heartbeat_interval;
  options.membership.heartbeat_timeout = settings.lease_time;
  options.membership.heartbeat_gateways = settings.gateways;
  options.lease.lease_time = settings.lease_time;
  options.lease.max_request_time = settings.max_deadline;
  options.dispatcher.queue_per_slot = settings.queue_per_slot;
  options.dispatcher.max_attempts = settings.max_attempts;
  options.dispatcher.retry_budget_ratio = settings.retry_budget;
  options.dispatcher.cold_slots = settings.cold_slots;
  options.dispatcher.cold_hold = settings.cold_hold;
  options.dispatcher.idle_recheck = settings.idle_recheck;
  options.ticket_secret = settings.ticket_secret;
  options.address_ttl = settings.address_ttl;
  options.ticket_ttl = settings.ticket_ttl;
  options.default_deadline = settings.default_deadline;
  options.max_deadline = settings.max_deadline;
  options.max_requests = settings.max_requests;
  options.max_depth = settings.max_depth;
  options.naive = settings.naive;
  options.random_seed = start.value();
  options.dispatcher.random_seed = start.value();
  options.follower.random_seed = start.value();
  return options;
}

}  // namespace

EntryNode::EntryNode(asio::io_context& io, const Settings& settings, StartId start)
    : io_(io),
      settings_(settings),
      metrics_(),
      metrics_observer_(metrics_),
      host_(MakeEntryOptions(settings, start), metrics_observer_, Now()),
      answer_memory_(settings.answer_memory_bytes),
      http_client_(io),
      platform_client_(http_client_, settings.platform_address, settings.platform_timeout),
      peer_socket_(io, Incarnation{settings.host, start},
                   [this](PeerEnvelope envelope) {
                     HandleEvent([&](Instant now, EntryActions& actions) {
                       host_.OnPeer(envelope, now, actions);
                     });
                   }),
      tick_timer_(io),
      exit_timer_(io),
      host_list_timer_(io),
      part_check_timer_(io) {}

EntryNode::~EntryNode() = default;

Instant EntryNode::Now() {
  return {MonotonicClock::now(), std::chrono::time_point_cast<std::chrono::milliseconds>(
                                     std::chrono::system_clock::now())};
}

/// Passes an event to EntryHost and executes the actions that it returns.
template <class Event>
void EntryNode::HandleEvent(Event event) {
  EntryActions actions;
  event(Now(), actions);
  Execute(actions);
  const TimePoint due = host_.NextTick();
  if (due < tick_due_) {
    ArmTickTimer(due);
  }
}

void EntryNode::Execute(EntryActions& actions) {
  for (EntryAction& action : actions) {
    std::visit([this](auto& typed_action) { ExecuteAction(typed_action); }, action);
  }
}

void EntryNode::ArmTickTimer(TimePoint due) {
  tick_due_ = due;
  const Duration wait = std::max(Duration::zero(), Duration(due - MonotonicClock::now()));
  tick_timer_.expires_after(wait);
  tick_timer_.async_wait([this](const std::error_code& error) {
    if (!error) {
      OnTickTimer();
    }
  });
}

void EntryNode::OnTickTimer() {
  tick_due_ = TimePoint::max();
  HandleEvent([this](Instant now, EntryActions& actions) { host_.Tick(now, actions); });
  if (stopping_ && !exiting_) {
    ContinueStop();
  }
}

void EntryNode::ContinueStop() {
  const std::uint64_t connections = http_server_->counters().connections;
  const LeavingStep step = host_.NextLeavingStep(connections, MonotonicClock::now());
  if (step == LeavingStep::kServe) {
    return;
  }
  http_server_->CloseIdle(kIdleBeforeClose);
  if (step == LeavingStep::kExit) {
    Exit();
  }
}

void EntryNode::Exit() {
  exiting_ = true;
  LogEvent(LogLevel::kInfo, "drained", {{"host", settings_.host.str()}});
  supervisor_->Stop();
  exit_timer_.expires_after(kFlushDelay);
  exit_timer_.async_wait([this](const std::error_code&) { io_.stop(); });
}

void EntryNode::Start() {
  supervisor_ = MakeSupervisor();
  (void)supervisor_->Start(MonotonicClock::now());
  ArmTickTimer(MonotonicClock::now());
  CheckPartsAndPublishMetrics();
}

void EntryNode::Stop() {
  if (stopping_) {
    io_.stop();
    return;
  }
  stopping_ = true;
  LogEvent(LogLevel::kInfo, "leaving", {{"host", settings_.host.str()}});
  http_server_->CloseAfterAnswers();
  HandleEvent([this](Instant now, EntryActions& actions) { host_.BeginLeaving(now, actions); });
}

void EntryNode::OnHttpRequest(ServerRequest request, HttpServer::Respond respond) {
  if (IsCallPath(request.path)) {
    OnCall(std::move(request), std::move(respond));
    return;
  }
  if (request.method != "GET") {
    respond(MakeRefusalAnswer(405, "method_not_allowed", settings_.host));
    return;
  }
  if (request.path == "/v1/addresses") {
    const auto answer = host_.Addresses(ClassName(QueryOf(request, "class")),
                                        DataCentreName(QueryOf(request, "dc")), Now());
    respond(MakeAddressesAnswer(answer, settings_.host));
    return;
  }
  if (request.path == "/v1/status") {
    respond(StatusAnswer());
    return;
  }
  respond(MakeRefusalAnswer(404, "unknown_path", settings_.host));
}

void EntryNode::OnCall(ServerRequest request, HttpServer::Respond respond) {
  const RequestId id(next_request_++);
  const std::uint64_t connection = request.connection;
  auto call = ParseCallRequest(std::move(request), id);
  if (!call) {
    respond(MakeRefusalAnswer(400, call.error().message, settings_.host));
    return;
  }
  pending_calls_[id] = {std::move(respond), connection};
  requests_by_connection_[connection].insert(id.value());
  HandleEvent([&](Instant now, EntryActions& actions) {
    host_.OnCaller(std::move(call.value()), now, actions);
  });
}

void EntryNode::OnConnectionClosed(std::uint64_t connection) {
  auto node = requests_by_connection_.extract(connection);
  if (node.empty()) {
    return;
  }
  for (const std::uint64_t id : node.mapped()) {
    pending_calls_.erase(RequestId(id));
    HandleEvent([&](Instant now, EntryActions& actions) {
      host_.OnCallerGone(RequestId(id), now, actions);
    });
  }
}

ServerAnswer EntryNode::StatusAnswer() const {
  nlohmann::json status = host_.Status(Now());
  status["supervisor"] = supervisor_->Status();
  const PeerSocketCounters& peers = peer_socket_.counters();
  status["peer_messages"] = {{"sent", peers.sent},
                             {"sent_bytes", peers.sent_bytes},
                             {"received", peers.received},
                             {"received_bytes", peers.received_bytes}};
  ServerAnswer answer;
  answer.body = status.dump() + "\n";
  return answer;
}

void EntryNode::StartConfigReader() {
  HandleEvent([this](Instant now, EntryActions& actions) { host_.Start(now, actions); });
}

void EntryNode::PollHostList() {
  platform_client_.Hosts(
      settings_.host, DataCentreName(),
      [this](const Result<std::optional<HostList>>& hosts) { OnHostListFetched(hosts); });
}

void EntryNode::OnHostListFetched(const Result<std::optional<HostList>>& hosts) {
  if (hosts && hosts.value()) {
    HandleEvent([&](Instant now, EntryActions& actions) {
      host_.OnHostList(*hosts.value(), now, actions);
    });
  }
  host_list_timer_.expires_after(settings_.host_list_interval);
  host_list_timer_.async_wait([this](const std::error_code& error) {
    if (!error) {
      PollHostList();
    }
  });
}

void EntryNode::ExecuteAction(SendPeer& action) {
  const auto sent = peer_socket_.Send(action.address, action.message);
  if (!sent) {
    LogEvent(LogLevel::kDebug, "peer_send_failed",
             {{"peer", action.host.str()}, {"error", sent.error().message}});
  }
}

void EntryNode::ExecuteAction(SendToServer& action) {
  const DispatchId dispatch = action.dispatch;
  const bool idempotent = action.idempotent;
  HttpRequest request = MakeServerRequest(std::move(action));
  request.answer_memory = &answer_memory_;
  server_requests_[dispatch] = http_client_.Start(
      std::move(request), idempotent,
      [this, dispatch](HttpAnswer answer) { OnServerAnswer(dispatch, std::move(answer)); });
}

void EntryNode::OnServerAnswer(DispatchId dispatch, HttpAnswer answer) {
  server_requests_.erase(dispatch);
  if (!answer.error.empty()) {
    LogEvent(LogLevel::kInfo, "server_answer_failed",
             {{"dispatch", dispatch.value()}, {"error", answer.error}});
  }
  ServerReply reply = ParseServerAnswer(dispatch, std::move(answer));
  HandleEvent([&](Instant now, EntryActions& actions) {
    host_.OnServerReply(std::move(reply), now, actions);
  });
}

void EntryNode::ExecuteAction(CancelSend& action) {
  auto server_request = server_requests_.extract(action.dispatch);
  if (server_request.empty()) {
    return;
  }
  http_client_.Cancel(server_request.mapped());
  asio::post(io_, [this, dispatch = action.dispatch] {
    ServerReply reply;
    reply.report.dispatch = dispatch;
    reply.report.result = DispatchResult::kCancelled;
    HandleEvent([&](Instant now, EntryActions& actions) {
      host_.OnServerReply(std::move(reply), now, actions);
    });
  });
}

void EntryNode::ExecuteAction(ProbeServer& action) {
  HttpRequest request;
  request.url = "http://" + action.address + "/load";
  request.timeout = kProbeTimeout;
  request.max_answer_bytes = kMaxProbeAnswerBytes;
  request.answer_memory = &answer_memory_;
  http_client_.Start(
      std::move(request), true,
      [this, server = action.server](const HttpAnswer& answer) { OnProbeAnswer(server, answer); });
}

void EntryNode::OnProbeAnswer(const ServerName& server, const HttpAnswer& answer) {
  const ProbeReport report = ParseProbeAnswer(server, answer);
  HandleEvent([&](Instant now, EntryActions& actions) { host_.OnProbe(report, now, actions); });
}

void EntryNode::ExecuteAction(AnswerCaller& action) {
  auto call = pending_calls_.extract(action.request);
  if (call.empty()) {
    return;
  }
  const auto connection = requests_by_connection_.find(call.mapped().connection);
  if (connection != requests_by_connection_.end()) {
    connection->second.erase(action.request.value());
    if (connection->second.empty()) {
      requests_by_connection_.erase(connection);
    }
  }
  call.mapped().respond(MakeCallAnswer(std::move(action.answer), settings_.host));
}

void EntryNode::ExecuteAction(ReadLog& action) {
  platform_client_.Read(kConfigStream, action.from, action.wait,
                        [this](const Result<LogPage>& page) {
                          HandleEvent([&](Instant now, EntryActions& actions) {
                            if (page) {
                              host_.OnLogPage(page.value(), now, actions);
                            } else {
                              host_.OnLogFailed(now, actions);
                            }
                          });
                        });
}

void EntryNode::ExecuteAction(AppendRecord& action) {
  platform_client_.Append(kConfigStream, std::move(action.data),
                          [this](const Result<Offset>& offset) {
                            HandleEvent([&](Instant now, EntryActions& actions) {
                              host_.OnAppended(offset.has_value(), now, actions);
                            });
                          });
}

}  // namespace mulberry
