#include "libgateway/store_view.h"

#include <utility>

namespace mulberry::gateway {
namespace {

/// Longest time for which the store holds a read of the operator topic until there is a record. An
/// unresponsive connection is detected after it.
constexpr Duration kOperatorReadWait = std::chrono::milliseconds(2000);
/// What expired during an outage of the store, or is missing after a restore, is written again
/// within two seconds.
constexpr Duration kEntryGraceTime = std::chrono::milliseconds(2300);
/// A host that has just started does not know the others, and so could take itself for a reader. By
/// this time each of them has sent it a heartbeat.
constexpr Duration kSettleTime = std::chrono::milliseconds(600);
/// After a restore, the hosts for which others read the store read the newest records at a random
/// moment within this time.
constexpr Duration kRestoreSpread = std::chrono::milliseconds(300);
/// After a restore, all entries are relayed for this long: as long as missing ones are waited for,
/// and the time for the last of them to be read and written once more.
constexpr Duration kRelayAllTime = 2 * kEntryGraceTime;
/// Number of removed servers that are remembered; a few bytes each, and more than leave in the
/// seconds by which a copy may be older.
constexpr std::size_t kRememberedServers = 4096;
/// Fractions of StoreViewOptions::leaving_bound: the pause between reads, the time without updates
/// after which a host begins to read, and the random span added to it, so that the update of the
/// first host spares the others a read.
constexpr double kReadIntervalFraction = 0.35;
constexpr double kSilenceTimeoutFraction = 0.5;
constexpr double kSilenceJitterFraction = 0.15;

Duration FractionOf(Duration whole, double fraction) {
  return Duration(static_cast<std::int64_t>(static_cast<double>(whole.count()) * fraction));
}

}  // namespace

StoreView::StoreView(asio::io_context& io, StoreClient& store, const PlatformAdapter& adapter,
                     StoreViewOptions options, StoreEvents& events)
    : adapter_(adapter),
      options_(options),
      events_(events),
      removal_policy_(kEntryGraceTime),
      data_centre_policy_(kEntryGraceTime),
      history_(kRememberedServers, options.server_heartbeat),
      operators_(
          io, store, adapter, Topic::kOperator, {.wait = kOperatorReadWait},
          [this](const TopicRecord& record, RecordSource source) {
            OnOperatorRecord(record, source);
          },
          [this](TopicPosition before) { OnOperatorTopicRead(before); }),
      servers_(
          io, store, adapter, Topic::kServers,
          {.interval = FractionOf(options.leaving_bound, kReadIntervalFraction)},
          [this](const TopicRecord& record, RecordSource source) {
            OnServerRecord(record, source);
          },
          [this](TopicPosition before) { OnServerTopicRead(before); }) {
  servers_.SetReachabilityCallback([this](bool reachable) { events_.OnStoreReachable(reachable); });
  operators_.SetEndCallback([this](TimePoint sent) { events_.OnOperatorTopicEnd(sent); });
  operators_.SetEraCallback([this](StoreEra era) { events_.OnStoreEra(era); });
  servers_.SetEraCallback([this](StoreEra era) { events_.OnStoreEra(era); });
  ChooseSilenceTimeout();
}

void StoreView::Start() {
  started_at_ = MonotonicClock::now();
  // The newest records are read in any case.
  operators_.SetSuspended(true);
  servers_.SetSuspended(true);
  operators_.Start();
  servers_.Start();
}

void StoreView::SetLeavingBound(Duration bound) {
  options_.leaving_bound = bound;
  servers_.SetInterval(FractionOf(bound, kReadIntervalFraction));
  ChooseSilenceTimeout();
}

void StoreView::ChooseSilenceTimeout() {
  const double random = std::uniform_real_distribution<double>(0, 1)(random_);
  silence_timeout_ =
      FractionOf(options_.leaving_bound, kSilenceTimeoutFraction + random * kSilenceJitterFraction);
}

void StoreView::Tick(bool is_reader, bool store_unreachable, TimePoint now) {
  // After its first complete read, a host waits for updates of others.
  if (!initial_read_done_ && complete()) {
    initial_read_done_ = true;
    last_peer_update_ = now;
  }
  const bool settling = now - started_at_ < kSettleTime;
  const bool receives_updates = ReceivesUpdates(now);
  const bool reads = is_reader && !settling;
  const bool suspends_reading = !reads && (receives_updates || store_unreachable || settling);
  const bool relays = reads || (initial_read_done_ && !receives_updates);
  if (relays != relays_to_peers_) {
    LogEvent(LogLevel::kInfo, relays ? "reads_for_others" : "leaves_reading_to_others",
             {{"chosen", reads},
              {"silence_ms", initial_read_done_ ? ToMilliseconds(now - last_peer_update_) : 0},
              {"store_away", store_unreachable}});
  }
  relays_to_peers_ = relays;
  operators_.SetSuspended(suspends_reading);
  servers_.SetSuspended(suspends_reading);
  if (servers_.failing() && !receives_updates) removal_policy_.OnStoreUnreachable();
  for (const ServerName& id : removal_policy_.TakeRemovable(now)) {
    LogEvent(LogLevel::kInfo, "server_gone", {{"server", id.str()}, {"after", "store_return"}});
    RemoveServer(id);
  }
  for (const DataCentreName& name : data_centre_policy_.TakeRemovable(now)) {
    events_.OnOperatorUpdate(DataCentreOutUpdate{name, false});
  }
}

void StoreView::OnEra(StoreEra era, TimePoint now) {
  if (era <= era_) return;
  era_ = era;
  const Duration spread = relays_to_peers_ ? Duration::zero() : kRestoreSpread;
  if (operators_.complete()) data_centre_policy_.OnStoreRestored();
  if (servers_.complete()) {
    removal_policy_.OnStoreRestored();
    relay_all_until_ = now + kRelayAllTime;
  }
  operators_.OnEra(era, spread);
  servers_.OnEra(era, spread);
}

void StoreView::OnPeerUpdate(const PeerMessage& message, TimePoint now) {
  if (message.server_update && message.server_update->era >= era_) {
    const TopicUpdate& update = *message.server_update;
    last_peer_update_ = now;
    if (servers_.complete()) {
      removal_policy_.OnPeerGraceTime(update.grace_time_left, now);
      servers_.OnRelayed(update);
      server_changes_.clear();
    }
  }
  if (message.operator_update && operators_.complete()) {
    const TopicPosition before = operators_.position();
    operators_.OnRelayed(*message.operator_update);
    if (operators_.position() != before) KeepOperatorChanges(before);
    operator_changes_.clear();
  }
  events_.OnStoreUpdated();
}

bool StoreView::OnPeerState(const OperatorState& own, const OperatorState& theirs, TimePoint now) {
  if (!operators_.complete()) return false;
  const CatchUp next = catch_up_.OnPeerState(own, theirs, now);
  // The running read here may be stuck on an unresponsive connection.
  if (next.read_store) operators_.RequestRead();
  return next.ask_peer;
}

std::vector<TopicUpdate> StoreView::OperatorUpdatesFor(TopicPosition from) const {
  if (!operators_.complete() || from >= operators_.position()) return {};
  return operator_relay_.Updates(Duration::zero());
}

void StoreView::OnPeerConfig(const TopicRecord& record) {
  if (!operators_.complete()) return;
  OnOperatorRecord(record, RecordSource::kNewest);
  events_.OnStoreUpdated();
}

/// Keeps the records applied since position `before` for other hosts.
void StoreView::KeepOperatorChanges(TopicPosition before) {
  operator_relay_.OnRead(before, operators_.position().offset,
                         std::exchange(operator_changes_, {}));
}

void StoreView::OnOperatorRecord(const TopicRecord& record, RecordSource source) {
  if (source == RecordSource::kLog) operator_changes_.push_back(record);
  auto update = adapter_.ParseOperatorRecord(record);
  if (!update) {
    LogEvent(LogLevel::kWarning, "invalid_operator_record",
             {{"key", record.key}, {"error", update.error().message}});
    return;
  }
  if (const auto* data_centre = std::get_if<DataCentreOutUpdate>(&update.value())) {
    ApplyDataCentre(*data_centre, source);
    return;
  }
  const bool is_withdrawn = std::holds_alternative<RolloutWithdrawnUpdate>(update.value());
  if (is_withdrawn && source == RecordSource::kMissing &&
      MonotonicClock::now() < relay_all_until_) {
    // The copy is older than the order, which stands.
    LogEvent(LogLevel::kInfo, "rollout_order_missing", {{"key", record.key}});
    return;
  }
  const auto* config = std::get_if<ConfigUpdate>(&update.value());
  if (config != nullptr && config->config.version > newest_version_) {
    newest_version_ = config->config.version;
    newest_config_ = record;
  }
  events_.OnOperatorUpdate(std::move(update.value()));
}

/// A data centre that is out stays out for a while if a restored store lacks its record.
void StoreView::ApplyDataCentre(const DataCentreOutUpdate& update, RecordSource source) {
  if (source == RecordSource::kMissing &&
      !data_centre_policy_.OnEntryMissing(update.data_centre, MonotonicClock::now())) {
    LogEvent(LogLevel::kInfo, "data_centre_lapsed", {{"data_centre", update.data_centre.str()}});
    return;
  }
  data_centre_policy_.OnEntryPresent(update.data_centre);
  events_.OnOperatorUpdate(update);
}

void StoreView::RemoveServer(const ServerName& id) {
  history_.OnRemoved(id, era_, MonotonicClock::now());
  events_.OnServerRemoved(id);
}

void StoreView::OnServerRecord(const TopicRecord& record, RecordSource source) {
  const ServerName id(record.key);
  const bool relayed = source == RecordSource::kLog;
  if (!record.value) {
    if (relayed) server_changes_.push_back(record);
    const bool gone = removal_policy_.OnEntryMissing(id, MonotonicClock::now());
    LogEvent(LogLevel::kInfo, gone ? "server_gone" : "server_lapsed", {{"server", id.str()}});
    if (gone) RemoveServer(id);
    return;
  }
  const auto entry = adapter_.ParseServer(record);
  if (!entry) {
    LogEvent(LogLevel::kWarning, "invalid_server_entry",
             {{"key", record.key}, {"error", entry.error().message}});
    return;
  }
  if (history_.Knows(id) && !events_.MayBeService(entry.value().service)) {
    LogEvent(LogLevel::kWarning, "invalid_server_entry",
             {{"key", record.key}, {"error", "unknown service " + entry.value().service.str()}});
    return;
  }
  const TimePoint now = MonotonicClock::now();
  if (events_.HasAnnouncedLeaving(id)) history_.OnLeavingAnnounced(id);
  const auto held = history_.Accept(entry.value(), source, era_, now);
  if (!held) {
    LogEvent(LogLevel::kInfo, "server_entry_old",
             {{"server", id.str()},
              {"era", era_.value()},
              {"sequence", entry.value().sequence},
              {"started_at_ms", entry.value().started_at_ms},
              {"from_copy", source == RecordSource::kNewest}});
    if (relayed && history_.IsCandidate(entry.value())) server_changes_.push_back(record);
    return;
  }
  removal_policy_.OnEntryPresent(id);
  const bool changed = events_.OnServerEntry(*held);
  const bool others_may_differ = now < relay_all_until_ || history_.IsContested(id, now);
  if (relayed && (changed || others_may_differ)) {
    server_changes_.push_back(record);
  }
}

/// Relays what a read has changed, so that not every host has to read the store.
void StoreView::OnServerTopicRead(TopicPosition before) {
  const TimePoint now = MonotonicClock::now();
  removal_policy_.OnStoreReachable(now);
  events_.OnStoreUpdated();
  server_relay_.OnRead(before, servers_.position().offset, std::exchange(server_changes_, {}));
  if (!relays_to_peers_) return;
  for (TopicUpdate& update : server_relay_.Updates(removal_policy_.GraceTimeLeft(now))) {
    PeerMessage message;
    message.server_update = std::move(update);
    events_.OnUpdateForPeers(std::move(message));
  }
}

/// Relays changes of the operator topic. Each host reads records too large for a datagram itself.
void StoreView::OnOperatorTopicRead(TopicPosition before) {
  data_centre_policy_.OnStoreReachable(MonotonicClock::now());
  KeepOperatorChanges(before);
  const bool has_new_records = before != operators_.position();
  if (!has_new_records || !relays_to_peers_) return;
  for (TopicUpdate& update : operator_relay_.Updates(Duration::zero())) {
    PeerMessage message;
    message.operator_update = std::move(update);
    events_.OnUpdateForPeers(std::move(message));
  }
}

}  // namespace mulberry::gateway
