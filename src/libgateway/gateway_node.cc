#include "libgateway/gateway_node.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mulberry::gateway {
namespace {

/// Interval of periodic work; a tenth of the shortest deadline that depends on it.
constexpr Duration kTickInterval = std::chrono::milliseconds(200);
/// A lost host is detected after four missing heartbeats, see FleetOptions::silent_after.
constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(400);
/// Every third heartbeat also goes to the hosts of other data centres that only need to know where
/// to direct callers.
constexpr std::uint64_t kFarHeartbeatPeriod = 3;
/// The first and the last heartbeats of a host go to all hosts, twice because a datagram may be
/// lost.
constexpr std::uint32_t kBroadcastHeartbeats = 2;
/// If the host list is still incomplete after this time, the directory answers with the hosts heard
/// from so far.
constexpr Duration kHostListTimeout = std::chrono::seconds(3);
/// Callers query the directory again after this time.
constexpr Duration kAddressTtl = std::chrono::seconds(2);
/// Pause between log lines about what a shutdown waits for.
constexpr Duration kShutdownLogInterval = std::chrono::seconds(1);
/// Fraction of the request limit of a cold server that all hosts of a data centre use together.
constexpr double kColdFraction = 0.8;
/// Fraction of kColdFraction that is divided among the hosts advertised by default, when all hosts
/// are alive.
constexpr double kDefaultHostFraction = 0.7;
/// Hosts of a data centre that are advertised to callers: with fewer, callers may have no host for
/// a while after one is lost; with more, each host sees fewer load reports of the servers.
constexpr std::uint32_t kAdvertisedHosts = 2;
/// Requests per second that a host serves at about 30 % of its processor and of its network link
/// (docs/measurements.md): 0.4 ms per request, and 10 KB in and out.
constexpr double kRequestsPerSecondPerCore = 700;
constexpr double kRequestsPerSecondPerMegabit = 4;
/// Weight of the newest sample in the moving average of the request rate; small so that a short
/// burst changes little.
constexpr double kRequestRateSmoothing = 0.1;
/// Part of the process's memory for the bodies of requests and responses. The rest is for
/// connections, what is known of servers and hosts, and what the allocator keeps.
constexpr double kBodyMemoryFraction = 0.4;
/// Largest configuration that fits a datagram beside the other fields.
constexpr std::size_t kMaxConfigRecordBytes = 24 * 1024;
constexpr std::size_t kBytesPerMegabyte = 1024 * 1024;
/// Time for the last bytes to leave the sockets before the process exits, and pause between checks
/// whether a caller still reads a response.
constexpr Duration kFinalFlushTime = std::chrono::milliseconds(50);

constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusUnavailable = 503;

HostRecord MakeHostRecord(const GatewaySettings& settings) {
  HostRecord record{settings.host, settings.data_centre,
                    settings.ip + ":" + std::to_string(settings.peer_port)};
  // Whole numbers, so that the conversion to float in datagrams does not change the ranking of
  // hosts.
  record.capacity = std::floor(std::min(settings.processor_share * kRequestsPerSecondPerCore,
                                        settings.link_mbps * kRequestsPerSecondPerMegabit));
  return record;
}

FleetOptions MakeFleetOptions(const GatewaySettings& settings) {
  FleetOptions options;
  options.self = MakeHostRecord(settings);
  options.self_caller_address = settings.callers;
  options.min_advertised_hosts = kAdvertisedHosts;
  return options;
}

std::size_t BodyMemory(const GatewaySettings& settings) {
  const auto bytes = static_cast<double>(settings.memory_mb) * kBytesPerMegabyte;
  return static_cast<std::size_t>(bytes * kBodyMemoryFraction);
}

PoolOptions MakePoolOptions(const GatewaySettings& settings, StartId start) {
  PoolOptions options;
  options.data_centre = settings.data_centre;
  options.random_seed = start.value();
  options.cold_overage = settings.cold_overage;
  options.cold_slack = settings.cold_slack;
  options.spill = settings.spill;
  options.spill_costs = settings.spill_costs;
  return options;
}

/// The newest era of the store that the sender knows.
StoreEra NewestEra(const PeerMessage& message) {
  StoreEra era = message.heartbeat.operator_position.era;
  if (message.server_update) era = std::max(era, message.server_update->era);
  if (message.operator_update) era = std::max(era, message.operator_update->era);
  return era;
}

}  // namespace

GatewayNode::GatewayNode(asio::io_context& io, const GatewaySettings& settings,
                         const PlatformAdapter& adapter, StartId start)
    : io_(io),
      settings_(settings),
      adapter_(adapter),
      start_(start),
      memory_(BodyMemory(settings)),
      pool_(MakePoolOptions(settings, start)),
      fleet_(MakeFleetOptions(settings)),
      store_(io, settings.store_address),
      store_view_(
          io, store_, adapter,
          {.leaving_bound = settings.leaving_bound, .server_heartbeat = settings.server_heartbeat},
          *this),
      host_list_(
          io, store_, adapter, MakeHostRecord(settings),
          [this](const HostRecord& host) {
            fleet_.Register(host);
            UpdateFleetState(MonotonicClock::now());
          },
          [this](StoreEra era) { OnStoreEra(era); }),
      peer_channel_(io, [this](const PeerMessage& message) { OnPeerMessage(message); }),
      rollout_(MakeRolloutController()),
      cap_sync_({io, fleet_, peer_channel_, metrics_, settings.host, start, settings.first_start,
                 [this] { return SenderOnly(); }}),
      forwarder_({io, adapter, config_, pool_, metrics_, memory_, settings.retries,
                  rollout_ ? &*rollout_ : nullptr}),
      proof_exchange_({forwarder_.key_gate(), fleet_, store_view_, peer_channel_,
                       [this] { return OwnHeartbeat(); },
                       [this] { forwarder_.OnKeysChanged(MonotonicClock::now()); },
                       [this](const HostHeartbeat& host) { SendOperatorRecords(host); }}),
      health_checker_(io, adapter, pool_, metrics_),
      load_report_sync_({io, pool_, fleet_, forwarder_, health_checker_, peer_channel_,
                         [this] { return OwnHeartbeat(); }}),
      readiness_server_(io,
                        [this](const HttpMessage& request) { return HandleReadiness(request); }),
      directory_server_(io,
                        [this](const HttpMessage& request) { return HandleAddressQuery(request); }),
      metrics_server_(io,
                      [this](const HttpMessage&) {
                        return HttpResponse{kStatusOk, "text/plain", metrics_.Text()};
                      }),
      caller_server_(io, forwarder_, &memory_),
      tick_timer_(io),
      heartbeat_timer_(io),
      exit_timer_(io) {
  forwarder_.SetServer(&caller_server_);
  forwarder_.key_gate().SetLimits(settings.revocation);
  forwarder_.SetCaps(&cap_sync_);
  cap_sync_.SetLimits(settings.caps);
  cap_sync_.SetWaitCallback(
      [this](CallId call, bool expired) { forwarder_.OnCapWait(call, expired); });
}

GatewayNode::~GatewayNode() = default;

std::optional<RolloutController> GatewayNode::MakeRolloutController() {
  if (!settings_.rollout) return std::nullopt;
  return std::optional<RolloutController>(
      std::in_place,
      RolloutController::Parts{adapter_, pool_, fleet_, store_, metrics_, settings_.host, start_,
                               *settings_.rollout,
                               [this](PeerMessage message, const std::string& address) {
                                 message.heartbeat = OwnHeartbeat();
                                 peer_channel_.Send(message, {address});
                               }});
}

Result<void> GatewayNode::Start() {
  const auto callers = ParseEndpoint(settings_.callers);
  if (!callers) return callers.error();
  started_at_ = MonotonicClock::now();
  BOOST_OUTCOME_TRY(
      caller_server_.Open(callers.value().address().to_string(), callers.value().port()));
  BOOST_OUTCOME_TRY(readiness_server_.Open(settings_.readiness));
  BOOST_OUTCOME_TRY(directory_server_.Open(settings_.directory));
  BOOST_OUTCOME_TRY(
      metrics_server_.Open(settings_.ip + ":" + std::to_string(settings_.metrics_port)));
  BOOST_OUTCOME_TRY(peer_channel_.Open(settings_.ip, settings_.peer_port));
  store_view_.Start();
  host_list_.Start(settings_.first_start);
  broadcasts_left_ = kBroadcastHeartbeats;
  Tick();
  SendHeartbeat();
  load_report_sync_.Start();
  return boost::outcome_v2::success();
}

void GatewayNode::OnOperatorUpdate(OperatorUpdate update) {
  const TimePoint now = MonotonicClock::now();
  if (auto* config = std::get_if<ConfigUpdate>(&update)) {
    ApplyConfig(std::move(config->config), now);
    return;
  }
  if (rollout_) rollout_->OnOperatorUpdate(update, now);
  const auto* out = std::get_if<DataCentreOutUpdate>(&update);
  if (out == nullptr) return;
  LogEvent(LogLevel::kInfo, out->out ? "data_centre_out" : "data_centre_back",
           {{"data_centre", out->data_centre.str()}});
  pool_.SetDataCentreOut(out->data_centre, out->out, now);
  UpdateFleetState(now);
  SendHeartbeatNow();
  forwarder_.DispatchQueued();
}

void GatewayNode::ApplyConfig(Config config, TimePoint now) {
  const ConfigVersion offered = config.version;
  const auto accepted = config_.Update(std::move(config));
  if (!accepted) {
    LogEvent(LogLevel::kWarning, "configuration_unusable",
             {{"version", offered.value()},
              {"kept", config_.version().value()},
              {"error", accepted.error().message}});
    return;
  }
  if (!accepted.value()) {
    LogEvent(LogLevel::kInfo, "configuration_not_newer",
             {{"version", offered.value()}, {"kept", config_.version().value()}});
    return;
  }
  LogEvent(LogLevel::kInfo, "configuration_in_force",
           {{"version", offered.value()}, {"routes", config_.config().routes.size()}});
  pool_.SetServices(config_.config().services);
  cap_sync_.SetWorkspaces(config_.config().workspaces);
  caller_server_.SetLimits(config_.config().limits);
  forwarder_.key_gate().proof().OnVersion(workspace::DirectoryVersion(offered.value()));
  forwarder_.OnKeysChanged(now);
  UpdateFleetState(now);
  cap_sync_.UpdateRoles(host_list_.complete());
  forwarder_.DispatchQueued();
}

bool GatewayNode::HasAnnouncedLeaving(const ServerName& id) const {
  return pool_.HasAnnouncedLeaving(id);
}

bool GatewayNode::MayBeService(const ServiceName& service) const {
  return !config_.ready() || config_.config().services.count(service) != 0;
}

bool GatewayNode::OnServerEntry(const ServerEntry& entry) {
  const TimePoint now = MonotonicClock::now();
  const std::string before = pool_.StateName(entry.id, now);
  const bool changed = pool_.Put(entry, now);
  const std::string after = pool_.StateName(entry.id, now);
  if (before != after) {
    LogEvent(LogLevel::kInfo, "server_entry",
             {{"server", entry.id.str()},
              {"service", entry.service.str()},
              {"version", entry.version.str()},
              {"state", after},
              {"before", before}});
  }
  return changed;
}

void GatewayNode::OnServerRemoved(const ServerName& id) { pool_.Remove(id); }

void GatewayNode::OnStoreEra(StoreEra era) {
  forwarder_.key_gate().proof().OnEra(era, MonotonicClock::now());
  store_view_.OnEra(era, MonotonicClock::now());
  host_list_.OnEra(era);
  if (rollout_) rollout_->OnStoreEra(era);
}

void GatewayNode::OnStoreUpdated() {
  if (rollout_ && store_view_.complete()) rollout_->OnServersChanged();
  forwarder_.DispatchQueued();
  CheckReady();
}

/// Tells the others at once when this host becomes ready, so that callers are sent here.
void GatewayNode::CheckReady() {
  if (Ready() == was_ready_) return;
  was_ready_ = Ready();
  LogEvent(LogLevel::kInfo, was_ready_ ? "ready" : "not_ready",
           {{"version", config_.version().value()}, {"servers", pool_.size()}});
  if (!was_ready_) return;
  UpdateFleetState(MonotonicClock::now());
  broadcasts_left_ = std::max(broadcasts_left_, 1U);
  SendHeartbeatNow();
}

/// When the store stops answering this host, another host has to read it.
void GatewayNode::OnStoreReachable(bool) {
  UpdateFleetState(MonotonicClock::now());
  SendHeartbeatNow();
}

void GatewayNode::OnOperatorTopicEnd(TimePoint sent) {
  proof_exchange_.OnOwnRead(sent, MonotonicClock::now());
}

void GatewayNode::OnUpdateForPeers(PeerMessage message) {
  message.heartbeat = OwnHeartbeat();
  peer_channel_.Send(message, fleet_.StoreUpdateTargets());
}

void GatewayNode::OnPeerMessage(const PeerMessage& message) {
  if (cap_sync_.OnPeerMessage(message)) return;
  const TimePoint now = MonotonicClock::now();
  if (!fleet_.OnHeartbeat(message.heartbeat, now)) return;
  OnStoreEra(NewestEra(message));
  if (message.config_record) store_view_.OnPeerConfig(*message.config_record);
  if (message.server_update || message.operator_update) store_view_.OnPeerUpdate(message, now);
  if (load_report_sync_.OnPeerMessage(message, now)) forwarder_.DispatchQueued();
  if (rollout_) rollout_->OnPeerMessage(message, now);
  const HostHeartbeat& sender = message.heartbeat;
  if (store_view_.OnPeerState({store_view_.applied_operator_position(), config_.version()},
                              {sender.operator_position, sender.version}, now)) {
    PeerMessage question;
    question.heartbeat = OwnHeartbeat();
    question.wants_operator_records = true;
    peer_channel_.Send(question, {sender.record.peer_address});
  }
  if (message.wants_operator_records) SendOperatorRecords(sender);
  proof_exchange_.OnPeerMessage(message, now);
}

/// Sends the operators' records that another host lacks, as far as they are kept here.
void GatewayNode::SendOperatorRecords(const HostHeartbeat& receiver) {
  for (TopicUpdate& update : store_view_.OperatorUpdatesFor(receiver.operator_position)) {
    PeerMessage answer;
    answer.heartbeat = OwnHeartbeat();
    answer.operator_update = std::move(update);
    peer_channel_.Send(answer, {receiver.record.peer_address});
  }
  const std::optional<TopicRecord>& record = store_view_.newest_config();
  if (!record || receiver.version >= config_.version()) return;
  if (record->value && record->value->size() > kMaxConfigRecordBytes) return;
  PeerMessage answer;
  answer.heartbeat = OwnHeartbeat();
  answer.config_record = record;
  peer_channel_.Send(answer, {receiver.record.peer_address});
}

HostHeartbeat GatewayNode::SenderOnly() const {
  HostHeartbeat sender;
  sender.record.host = settings_.host;
  sender.record.data_centre = settings_.data_centre;
  sender.record.peer_address = settings_.ip + ":" + std::to_string(settings_.peer_port);
  sender.start = start_;
  sender.caller_address = settings_.callers;
  return sender;
}

HostHeartbeat GatewayNode::OwnHeartbeat() const {
  HostHeartbeat heartbeat;
  heartbeat.record = MakeHostRecord(settings_);
  heartbeat.request_rate = request_rate_;
  heartbeat.start = start_;
  heartbeat.caller_address = settings_.callers;
  heartbeat.leaving = shutdown_.has_value();
  heartbeat.ready = Ready();
  heartbeat.version = config_.version();
  heartbeat.operator_position = store_view_.operator_position();
  heartbeat.local_usable_share = pool_.LocalUsableShare(MonotonicClock::now());
  heartbeat.store_reachable = store_view_.reachable();
  return heartbeat;
}

void GatewayNode::MeasureRequestRate(TimePoint now) {
  const double seconds = std::chrono::duration<double>(now - rate_measured_at_).count();
  const std::uint64_t requests = forwarder_.requests();
  if (seconds <= 0) return;
  const double rate = static_cast<double>(requests - rate_request_count_) / seconds;
  request_rate_ += kRequestRateSmoothing * (rate - request_rate_);
  rate_request_count_ = requests;
  rate_measured_at_ = now;
  fleet_.SetRequestRate(request_rate_);
}

void GatewayNode::SendHeartbeat() {
  HeartbeatScope scope =
      ++heartbeats_sent_ % kFarHeartbeatPeriod == 0 ? HeartbeatScope::kFar : HeartbeatScope::kNear;
  if (broadcasts_left_ > 0) {
    --broadcasts_left_;
    scope = HeartbeatScope::kAll;
  }
  PeerMessage message;
  message.heartbeat = OwnHeartbeat();
  peer_channel_.Send(message, fleet_.HeartbeatTargets(scope, MonotonicClock::now()));
  heartbeat_timer_.expires_after(kHeartbeatInterval);
  heartbeat_timer_.async_wait([this](const asio::error_code& error) {
    if (!error) SendHeartbeat();
  });
}

/// Sends a heartbeat now instead of at the end of the interval.
void GatewayNode::SendHeartbeatNow() {
  heartbeat_timer_.cancel();
  SendHeartbeat();
}

bool GatewayNode::Ready() const { return config_.ready() && store_view_.complete() && !shutdown_; }

HttpResponse GatewayNode::HandleReadiness(const HttpMessage& request) const {
  if (!adapter_.IsReadinessRequest(request.target)) return {kStatusNotFound, "", ""};
  return {Ready() ? kStatusOk : kStatusUnavailable, "", ""};
}

HttpResponse GatewayNode::HandleAddressQuery(const HttpMessage& request) const {
  const auto query = adapter_.ParseAddressQuery(request.target);
  if (!query) return {kStatusNotFound, "", ""};
  const TimePoint now = MonotonicClock::now();
  const bool host_list_known = host_list_.complete() || now - started_at_ > kHostListTimeout;
  const std::vector<std::string> addresses = fleet_.AddressesFor(query->data_centre, now);
  if (!host_list_known || addresses.empty()) return {kStatusUnavailable, "", ""};
  const Duration ttl = std::min<Duration>(kAddressTtl, settings_.longest_ttl);
  return {kStatusOk, "application/json", adapter_.WriteAddresses(addresses, ttl)};
}

void GatewayNode::UpdateFleetState(TimePoint now) {
  fleet_.SetOwnState(Ready(), shutdown_.has_value(), store_view_.reachable());
  fleet_.SetLocalUsableShare(pool_.LocalUsableShare(now));
  forwarder_.SetSlackShare(1.0 / static_cast<double>(fleet_.HostCount()));
  pool_.SetColdShare(ColdShare(now));
  pool_.SetSenders(Senders(now));
}

/// The advertised hosts in the order of their addresses, and this host's place among them. A host
/// that is not advertised may still get requests; it counts itself as one more.
placement::SenderPosition GatewayNode::Senders(TimePoint now) const {
  const std::string self = MakeHostRecord(settings_).peer_address;
  std::vector<std::string> local = fleet_.OtherAdvertisedPeers(now);
  std::vector<std::string> all = fleet_.RemoteAdvertisedPeers(now);
  all.insert(all.end(), local.begin(), local.end());
  const auto rank = [&self](const std::vector<std::string>& others) {
    return static_cast<std::uint32_t>(std::count_if(
        others.begin(), others.end(), [&self](const std::string& other) { return other < self; }));
  };
  return {static_cast<std::uint32_t>(local.size() + 1), rank(local),
          static_cast<std::uint32_t>(all.size() + 1), rank(all)};
}

/// This host's share of the request limit of a cold server in its data centre. The shares of all
/// registered hosts add up to less than the limit, whichever hosts consider themselves advertised
/// to callers.
double GatewayNode::ColdShare(TimePoint now) const {
  if (!host_list_.complete()) return 0;
  const auto hosts = static_cast<double>(fleet_.HostCountInDataCentre());
  const double default_hosts = std::min<double>(hosts, kAdvertisedHosts);
  if (fleet_.IsAdvertisedByDefault()) return kColdFraction * kDefaultHostFraction / default_hosts;
  if (fleet_.OwnAdvertisedPosition(now).count == 0) return 0;
  return kColdFraction * (1 - kDefaultHostFraction) / std::max(1.0, hosts - default_hosts);
}

void GatewayNode::Tick() {
  const TimePoint now = MonotonicClock::now();
  MeasureRequestRate(now);
  UpdateFleetState(now);
  cap_sync_.UpdateRoles(host_list_.complete());
  store_view_.Tick(fleet_.IsStoreReader(now), fleet_.IsStoreUnreachable(now), now);
  proof_exchange_.Tick(now);
  CheckReady();
  caller_server_.Sweep(now);
  readiness_server_.Sweep(now);
  directory_server_.Sweep(now);
  metrics_server_.Sweep(now);
  forwarder_.Sweep(now);
  if (rollout_ && store_view_.complete()) rollout_->Tick(store_view_.reachable(), now);
  forwarder_.DispatchQueued();
  UpdateGauges();
  FlushLog();
  if (exiting_) return;
  if (shutdown_) ContinueShutdown(now);
  next_tick_at_ = now + kTickInterval;
  tick_timer_.expires_after(kTickInterval);
  tick_timer_.async_wait([this](const asio::error_code& error) {
    if (!error) Tick();
  });
}

void GatewayNode::UpdateGauges() {
  const auto proven_as_of = forwarder_.key_gate().proof().as_of();
  if (forwarder_.key_gate().active() && proven_as_of) {
    metrics_.SetGauge("mulberry_proof_age_seconds",
                      "Age of the proof that the configuration is the newest",
                      std::chrono::duration<double>(MonotonicClock::now() - *proven_as_of).count());
  }
  metrics_.SetGauge("mulberry_connections", "Open connections of callers",
                    static_cast<double>(caller_server_.connections()));
  metrics_.SetGauge("mulberry_calls", "Requests in work", static_cast<double>(forwarder_.calls()));
  metrics_.SetGauge("mulberry_body_bytes", "Memory reserved for bodies",
                    static_cast<double>(memory_.used()));
  metrics_.SetGauge("mulberry_servers", "Backend servers known", static_cast<double>(pool_.size()));
  metrics_.SetGauge("mulberry_hanging_services", "Services whose servers hang when full",
                    static_cast<double>(pool_.HangingServices()));
  metrics_.SetGauge("mulberry_silent_requests", "Requests that full servers did not answer",
                    static_cast<double>(pool_.silent_requests()));
  metrics_.SetGauge("mulberry_last_resort_requests",
                    "Requests to ejected servers because no other was left",
                    static_cast<double>(pool_.last_resorts()));
  metrics_.SetGauge("mulberry_config_version", "Version in force",
                    static_cast<double>(config_.version().value()));
  metrics_.SetGauge("mulberry_store_calls", "Calls to the store since the start",
                    static_cast<double>(store_.calls()));
}

void GatewayNode::Reload(const GatewaySettings& settings) {
  const bool changed =
      settings.callers != settings_.callers || settings.readiness != settings_.readiness ||
      settings.directory != settings_.directory || settings.peer_port != settings_.peer_port ||
      settings.metrics_port != settings_.metrics_port || settings.host != settings_.host ||
      settings.ip != settings_.ip;
  if (changed) LogEvent(LogLevel::kWarning, "reload_needs_restart", {{"part", "addresses, name"}});
  settings_.memory_mb = settings.memory_mb;
  memory_.SetLimit(BodyMemory(settings));
  settings_.leaving_bound = settings.leaving_bound;
  store_view_.SetLeavingBound(settings.leaving_bound);
  settings_.longest_ttl = settings.longest_ttl;
  settings_.grace = settings.grace;
  settings_.retries = settings.retries;
  settings_.cold_overage = settings.cold_overage;
  settings_.cold_slack = settings.cold_slack;
  if (rollout_ && settings.rollout) rollout_->SetLimits(*settings.rollout);
  pool_.SetColdLimit(settings.cold_overage, settings.cold_slack);
  settings_.caps = settings.caps;
  cap_sync_.SetLimits(settings.caps);
  forwarder_.SetRetryLimits(settings.retries);
  settings_.revocation = settings.revocation;
  forwarder_.key_gate().SetLimits(settings.revocation);
  if (settings.store_address != settings_.store_address) {
    settings_.store_address = settings.store_address;
    store_.SetAddress(settings.store_address);
  }
  settings_.log_level = settings.log_level;
  LogLevel level = LogLevel::kInfo;
  if (ParseLogLevel(settings.log_level, &level)) SetLogLevel(level);
  LogEvent(LogLevel::kInfo, "reloaded",
           {{"store", settings_.store_address}, {"log_level", settings_.log_level}});
}

void GatewayNode::Stop() {
  if (shutdown_) return;
  shutdown_started_at_ = MonotonicClock::now();
  // A tick that is overdue shows that the process was busy or suspended. The signal may have come
  // then, and the grace period runs from the signal.
  const TimePoint signalled_at = std::min(shutdown_started_at_, next_tick_at_);
  shutdown_.emplace(signalled_at, settings_.grace, shutdown_started_at_);
  LogEvent(LogLevel::kInfo, "stopping",
           {{"connections", caller_server_.connections()},
            {"requests", forwarder_.calls()},
            {"late_ms", ToMilliseconds(shutdown_started_at_ - signalled_at)}});
  caller_server_.SetDraining();
  forwarder_.SetShutdown(*shutdown_);
  UpdateFleetState(shutdown_started_at_);
  broadcasts_left_ = kBroadcastHeartbeats;
  SendHeartbeatNow();
  exit_timer_.expires_after(shutdown_->exit_at() - shutdown_started_at_);
  exit_timer_.async_wait([this](const asio::error_code& error) {
    if (!error) ContinueShutdown(MonotonicClock::now());
  });
}

/// Closes what is idle when it is time; exits when no connection is left.
void GatewayNode::ContinueShutdown(TimePoint now) {
  if (now - shutdown_logged_at_ >= kShutdownLogInterval) {
    LogShutdown("stop_waits", now);
    shutdown_logged_at_ = now;
  }
  const ShutdownStep step = shutdown_->StepAt(now);
  if (step == ShutdownStep::kServe) return;
  // Requests that have arrived by now are answered first; with the port closed no others follow.
  caller_server_.StopAccepting();
  caller_server_.CloseIdle();
  if (step == ShutdownStep::kExit || caller_server_.connections() == 0) FinishShutdown(now);
}

void GatewayNode::LogShutdown(const char* event, TimePoint now) const {
  const ConnectionCounts counts = caller_server_.CountConnections();
  LogEvent(LogLevel::kInfo, event,
           {{"after_ms", ToMilliseconds(now - shutdown_started_at_)},
            {"connections", caller_server_.connections()},
            {"idle", counts.idle},
            {"receiving", counts.receiving},
            {"answering", counts.answering},
            {"lingering", counts.lingering},
            {"unanswered", caller_server_.pending_requests()}});
}

void GatewayNode::FinishShutdown(TimePoint now) {
  if (std::exchange(exiting_, true)) return;
  LogShutdown("stopped", now);
  forwarder_.FailAll(now);
  caller_server_.RefuseIncomplete();
  FlushLog();
  ExitOnceWritten();
}

/// Callers that read slowly get their responses as far as the grace period allows.
void GatewayNode::ExitOnceWritten() {
  exit_timer_.expires_after(kFinalFlushTime);
  exit_timer_.async_wait([this](const asio::error_code& error) {
    if (error) return;
    const std::size_t unwritten = caller_server_.CountConnections().answering;
    if (unwritten > 0 && MonotonicClock::now() + kFinalFlushTime < shutdown_->write_until()) {
      ExitOnceWritten();
      return;
    }
    if (unwritten > 0) {
      LogEvent(LogLevel::kWarning, "responses_cut", {{"connections", unwritten}});
      FlushLog();
    }
    io_.stop();
  });
}

}  // namespace mulberry::gateway
