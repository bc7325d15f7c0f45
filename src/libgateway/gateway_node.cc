#include "libgateway/gateway_node.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mulberry::gateway {
namespace {

/// How often due work is looked for; a tenth of the shortest bound that hangs on it.
constexpr Duration kTick = std::chrono::milliseconds(200);
/// A host that is lost is noticed after four beats, see FleetOptions::silent_after.
constexpr Duration kBeat = std::chrono::milliseconds(400);
/// Every so many beats also go to hosts elsewhere that only direct callers.
constexpr std::uint64_t kFarBeat = 3;
/// The first and the last beats of a host go to all, twice since a datagram may be lost.
constexpr std::uint32_t kBeatsToAll = 2;
/// Without the list of hosts, addresses are named after this time from the hosts heard so far.
constexpr Duration kListPatience = std::chrono::seconds(3);
/// Callers ask again after this time.
constexpr Duration kAddressTtl = std::chrono::seconds(2);
/// A leaving host serves on for this long although nothing is due, since callers keep addresses.
constexpr Duration kLeastStop = std::chrono::milliseconds(2500);
/// Part of the grace time after which a leaving host ends in any case.
constexpr double kStopPart = 0.9;
/// Part of the bound on cold servers that all hosts of a data centre use together.
constexpr double kColdPart = 0.8;
/// Part of that bound which the hosts share that are named to callers when all live.
constexpr double kFirstChoicePart = 0.7;
/// Hosts of a data centre that are named to callers: with fewer, a lost one leaves none for a
/// while; with more, each hears less of the servers' load.
constexpr std::uint32_t kDeciders = 2;
/// Requests a second that a host serves at some 30 % of its processor and of its link, from
/// docs/measurements.md: 0.4 ms a request, and 10 KB in and out.
constexpr double kRequestsPerCore = 700;
constexpr double kRequestsPerMegabit = 4;
/// Weight of the newest measurement of the request rate, so that a short burst changes little.
constexpr double kRateSmoothing = 0.1;
/// Time to let the last answers leave the sockets before the process ends.
constexpr Duration kFlushTime = std::chrono::milliseconds(50);

constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusUnavailable = 503;

HostRecord RecordOf(const GatewaySettings& settings) {
  HostRecord record{settings.host, settings.data_centre,
                    settings.ip + ":" + std::to_string(settings.peer_port)};
  // Whole numbers, so that rounding on the way does not change the order of hosts.
  record.capacity = std::floor(std::min(settings.processor_share * kRequestsPerCore,
                                        settings.link_mbps * kRequestsPerMegabit));
  return record;
}

FleetOptions FleetOptionsOf(const GatewaySettings& settings) {
  FleetOptions options;
  options.self = RecordOf(settings);
  options.self_caller_address = settings.callers;
  options.deciders = kDeciders;
  return options;
}

PoolOptions PoolOptionsOf(const GatewaySettings& settings, StartId start) {
  PoolOptions options;
  options.data_centre = settings.data_centre;
  options.random_seed = start.value();
  options.cold_overage = settings.cold_overage;
  options.cold_slack = settings.cold_slack;
  return options;
}

}  // namespace

GatewayNode::GatewayNode(asio::io_context& io, const GatewaySettings& settings,
                         const PlatformAdapter& adapter, StartId start)
    : io_(io),
      settings_(settings),
      adapter_(adapter),
      start_(start),
      pool_(PoolOptionsOf(settings, start)),
      fleet_(FleetOptionsOf(settings)),
      store_(io, settings.store_address),
      store_view_(io, store_, adapter, {.leaving_bound = settings.leaving_bound}, *this),
      host_list_(io, store_, adapter, RecordOf(settings),
                 [this](const HostRecord& host) {
                   fleet_.Register(host);
                   UpdateShares(MonotonicClock::now());
                 }),
      peers_(io, [this](const PeerMessage& message) { OnPeer(message); }),
      forwarder_({io, adapter, config_, pool_, metrics_, settings.retries}),
      load_watch_(io, adapter, pool_, metrics_),
      load_sharing_(
          {io, pool_, fleet_, forwarder_, load_watch_, peers_, [this] { return OwnBeat(); }}),
      readiness_(io, [this](const HttpMessage& question) { return AnswerReadiness(question); }),
      directory_(io, [this](const HttpMessage& question) { return AnswerAddresses(question); }),
      metrics_server_(io,
                      [this](const HttpMessage&) {
                        return HttpResponse{kStatusOk, "text/plain", metrics_.Text()};
                      }),
      callers_(io, forwarder_),
      tick_timer_(io),
      beat_timer_(io),
      end_timer_(io) {
  forwarder_.SetServer(&callers_);
}

GatewayNode::~GatewayNode() = default;

Result<void> GatewayNode::Start() {
  const auto callers = ParseEndpoint(settings_.callers);
  if (!callers) return callers.error();
  started_ = MonotonicClock::now();
  BOOST_OUTCOME_TRY(callers_.Open(callers.value().address().to_string(), callers.value().port()));
  BOOST_OUTCOME_TRY(readiness_.Open(settings_.readiness));
  BOOST_OUTCOME_TRY(directory_.Open(settings_.directory));
  BOOST_OUTCOME_TRY(
      metrics_server_.Open(settings_.ip + ":" + std::to_string(settings_.metrics_port)));
  BOOST_OUTCOME_TRY(peers_.Open(settings_.ip, settings_.peer_port));
  store_view_.Start();
  host_list_.Start(settings_.first_start);
  beats_to_all_ = kBeatsToAll;
  Tick();
  SendBeat();
  load_sharing_.Start();
  return boost::outcome_v2::success();
}

void GatewayNode::OnOperatorFact(OperatorFact fact) {
  const TimePoint now = MonotonicClock::now();
  if (auto* config = std::get_if<ConfigFact>(&fact)) {
    TakeConfig(std::move(config->config), now);
    return;
  }
  const auto* out = std::get_if<DataCentreOutFact>(&fact);
  if (out == nullptr) return;
  LogEvent(LogLevel::kInfo, out->out ? "data_centre_out" : "data_centre_back",
           {{"data_centre", out->data_centre.str()}});
  pool_.SetOut(out->data_centre, out->out, now);
  UpdateShares(now);
  BeatSoon();
  forwarder_.Pump();
}

void GatewayNode::TakeConfig(Config config, TimePoint now) {
  const ConfigVersion offered = config.version;
  const auto taken = config_.Offer(std::move(config));
  if (!taken) {
    LogEvent(LogLevel::kWarning, "configuration_unusable",
             {{"version", offered.value()},
              {"kept", config_.version().value()},
              {"error", taken.error().message}});
    return;
  }
  if (!taken.value()) {
    LogEvent(LogLevel::kInfo, "configuration_not_newer",
             {{"version", offered.value()}, {"kept", config_.version().value()}});
    return;
  }
  LogEvent(LogLevel::kInfo, "configuration_in_force",
           {{"version", offered.value()}, {"routes", config_.config().routes.size()}});
  pool_.SetServices(config_.config().services);
  callers_.SetLimits(config_.config().limits);
  UpdateShares(now);
  forwarder_.Pump();
}

bool GatewayNode::OnServerEntry(const ServerEntry& entry) {
  const TimePoint now = MonotonicClock::now();
  const std::string before = pool_.Describe(entry.id, now);
  const bool changed = pool_.Put(entry, now);
  const std::string after = pool_.Describe(entry.id, now);
  if (before != after) {
    LogEvent(LogLevel::kInfo, "server_entry",
             {{"server", entry.id.str()},
              {"service", entry.service.str()},
              {"state", after},
              {"before", before}});
  }
  return changed;
}

void GatewayNode::OnServerRemoved(const ServerName& id) { pool_.Remove(id); }

void GatewayNode::OnStoreUpdated() { forwarder_.Pump(); }

/// Another host has to read where the store has stopped answering this one.
void GatewayNode::OnStoreReachable(bool) {
  UpdateShares(MonotonicClock::now());
  BeatSoon();
}

void GatewayNode::OnUpdateForPeers(PeerMessage message) {
  message.heartbeat = OwnBeat();
  peers_.Send(message, fleet_.NewsTargets());
}

void GatewayNode::OnPeer(const PeerMessage& message) {
  const TimePoint now = MonotonicClock::now();
  if (!fleet_.OnBeat(message.heartbeat, now)) return;
  if (message.server_update || message.operator_update) store_view_.OnPeerUpdate(message, now);
  if (load_sharing_.OnPeer(message, now)) forwarder_.Pump();
  store_view_.OnPeerOffset(message.heartbeat.operator_offset);
}

HostBeat GatewayNode::OwnBeat() const {
  HostBeat beat;
  beat.record = RecordOf(settings_);
  beat.request_rate = request_rate_;
  beat.start = start_;
  beat.caller_address = settings_.callers;
  beat.leaving = stopping_;
  beat.ready = Ready();
  beat.version = config_.version();
  beat.operator_offset = store_view_.operator_offset();
  beat.local_part = pool_.LocalPart(MonotonicClock::now());
  beat.store_answers = store_view_.reachable();
  return beat;
}

void GatewayNode::MeasureRate(TimePoint now) {
  const double seconds = std::chrono::duration<double>(now - counted_at_).count();
  const std::uint64_t requests = forwarder_.requests();
  if (seconds <= 0) return;
  const double rate = static_cast<double>(requests - counted_requests_) / seconds;
  request_rate_ += kRateSmoothing * (rate - request_rate_);
  counted_requests_ = requests;
  counted_at_ = now;
  fleet_.SetRequestRate(request_rate_);
}

void GatewayNode::SendBeat() {
  BeatReach reach = ++beats_ % kFarBeat == 0 ? BeatReach::kFar : BeatReach::kNear;
  if (beats_to_all_ > 0) {
    --beats_to_all_;
    reach = BeatReach::kAll;
  }
  PeerMessage message;
  message.heartbeat = OwnBeat();
  peers_.Send(message, fleet_.BeatTargets(reach, MonotonicClock::now()));
  beat_timer_.expires_after(kBeat);
  beat_timer_.async_wait([this](const asio::error_code& error) {
    if (!error) SendBeat();
  });
}

/// Sends the next beat without waiting for its time.
void GatewayNode::BeatSoon() {
  beat_timer_.cancel();
  SendBeat();
}

bool GatewayNode::Ready() const { return config_.ready() && store_view_.complete() && !stopping_; }

HttpResponse GatewayNode::AnswerReadiness(const HttpMessage& question) const {
  if (!adapter_.IsReadyQuestion(question.target)) return {kStatusNotFound, "", ""};
  return {Ready() ? kStatusOk : kStatusUnavailable, "", ""};
}

HttpResponse GatewayNode::AnswerAddresses(const HttpMessage& question) const {
  const auto asked = adapter_.ParseAddressQuestion(question.target);
  if (!asked) return {kStatusNotFound, "", ""};
  const TimePoint now = MonotonicClock::now();
  const bool knows_hosts = host_list_.complete() || now - started_ > kListPatience;
  const std::vector<std::string> addresses = fleet_.AddressesFor(asked->data_centre, now);
  if (!knows_hosts || addresses.empty()) return {kStatusUnavailable, "", ""};
  const Duration ttl = std::min<Duration>(kAddressTtl, settings_.longest_ttl);
  return {kStatusOk, "application/json", adapter_.WriteAddresses(addresses, ttl)};
}

void GatewayNode::UpdateShares(TimePoint now) {
  fleet_.SetSelf(Ready(), stopping_, store_view_.reachable());
  fleet_.SetLocalPart(pool_.LocalPart(now));
  forwarder_.SetSlackPart(1.0 / static_cast<double>(fleet_.Hosts()));
  pool_.SetColdShare(ColdShare(now));
}

/// This host's part of what a cold server of its data centre bears. The parts of all registered
/// hosts add up to less than the bound, whoever believes to be named to callers.
double GatewayNode::ColdShare(TimePoint now) const {
  if (!host_list_.complete()) return 0;
  const auto hosts = static_cast<double>(fleet_.HostsOfDataCentre());
  const double first = std::min<double>(hosts, kDeciders);
  if (fleet_.IsFirstChoice()) return kColdPart * kFirstChoicePart / first;
  if (fleet_.PlaceOfSelf(now).count == 0) return 0;
  return kColdPart * (1 - kFirstChoicePart) / std::max(1.0, hosts - first);
}

void GatewayNode::Tick() {
  const TimePoint now = MonotonicClock::now();
  MeasureRate(now);
  UpdateShares(now);
  store_view_.Tick(fleet_.IsReader(now), fleet_.StoreIsAway(now), now);
  if (Ready() != was_ready_) {
    was_ready_ = Ready();
    LogEvent(LogLevel::kInfo, was_ready_ ? "ready" : "not_ready",
             {{"version", config_.version().value()}, {"servers", pool_.size()}});
  }
  callers_.Sweep(now);
  readiness_.Sweep(now);
  directory_.Sweep(now);
  metrics_server_.Sweep(now);
  forwarder_.Sweep(now);
  forwarder_.Pump();
  SetGauges();
  FlushLog();
  if (stopping_ && StopIsDue(now)) {
    End();
    return;
  }
  tick_timer_.expires_after(kTick);
  tick_timer_.async_wait([this](const asio::error_code& error) {
    if (!error) Tick();
  });
}

void GatewayNode::SetGauges() {
  metrics_.SetGauge("mulberry_connections", "Open connections of callers",
                    static_cast<double>(callers_.connections()));
  metrics_.SetGauge("mulberry_calls", "Requests in work", static_cast<double>(forwarder_.calls()));
  metrics_.SetGauge("mulberry_servers", "Backend servers known", static_cast<double>(pool_.size()));
  metrics_.SetGauge("mulberry_config_version", "Version in force",
                    static_cast<double>(config_.version().value()));
  metrics_.SetGauge("mulberry_store_calls", "Calls to the store since the start",
                    static_cast<double>(store_.calls()));
}

void GatewayNode::Reload(const GatewaySettings& settings) {
  const bool moved =
      settings.callers != settings_.callers || settings.readiness != settings_.readiness ||
      settings.directory != settings_.directory || settings.peer_port != settings_.peer_port ||
      settings.metrics_port != settings_.metrics_port || settings.host != settings_.host ||
      settings.ip != settings_.ip;
  if (moved) LogEvent(LogLevel::kWarning, "reload_needs_restart", {{"part", "addresses or name"}});
  settings_.leaving_bound = settings.leaving_bound;
  store_view_.SetLeavingBound(settings.leaving_bound);
  settings_.longest_ttl = settings.longest_ttl;
  settings_.grace = settings.grace;
  settings_.retries = settings.retries;
  settings_.cold_overage = settings.cold_overage;
  settings_.cold_slack = settings.cold_slack;
  pool_.SetColdBound(settings.cold_overage, settings.cold_slack);
  forwarder_.SetRetryLimits(settings.retries);
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
  if (stopping_) return;
  stopping_ = true;
  stop_began_ = MonotonicClock::now();
  LogEvent(LogLevel::kInfo, "stopping",
           {{"connections", callers_.connections()}, {"requests", forwarder_.calls()}});
  callers_.SetClosing();
  UpdateShares(stop_began_);
  beats_to_all_ = kBeatsToAll;
  BeatSoon();
}

bool GatewayNode::StopIsDue(TimePoint now) const {
  const Duration passed = now - stop_began_;
  if (passed >= Duration(static_cast<std::int64_t>(static_cast<double>(settings_.grace.count()) *
                                                   kStopPart))) {
    return true;
  }
  return passed >= kLeastStop && callers_.pending_requests() == 0;
}

void GatewayNode::End() {
  LogEvent(LogLevel::kInfo, "stopped",
           {{"connections", callers_.connections()}, {"unanswered", callers_.pending_requests()}});
  FlushLog();
  callers_.StopAccepting();
  callers_.CloseIdle();
  end_timer_.expires_after(kFlushTime);
  end_timer_.async_wait([this](const asio::error_code& error) {
    if (!error) io_.stop();
  });
}

}  // namespace mulberry::gateway
