#include "libgateway/store_view.h"

#include <utility>

namespace mulberry::gateway {
namespace {

/// Longest time for which the store holds a read of the operator topic until there is a record. An
/// unresponsive connection is detected after it.
constexpr Duration kOperatorReadWait = std::chrono::milliseconds(2000);
/// Entries that expired during an outage of the store are written again within two seconds after
/// it.
constexpr Duration kEntryGraceTime = std::chrono::milliseconds(2300);
/// A host that has just started does not know the others, and so could take itself for a reader. By
/// this time each of them has sent it a heartbeat.
constexpr Duration kSettleTime = std::chrono::milliseconds(600);
/// Fractions of StoreViewOptions::leaving_bound: the pause between reads, the time without updates
/// after which a host begins to read, and the random span added to it, so that the update of the
/// first host spares the others a read.
constexpr double kReadIntervalFraction = 0.35;
constexpr double kSilenceTimeoutFraction = 0.5;
constexpr double kSilenceJitterFraction = 0.15;

Duration FractionOf(Duration whole, double fraction) {
  return Duration(static_cast<std::int64_t>(static_cast<double>(whole.count()) * fraction));
}

/// Erases records older than the offset. They come from a read of the newest records, which each
/// host does itself.
void EraseOlder(Offset from, std::vector<TopicRecord>* changes) {
  std::erase_if(*changes, [&](const TopicRecord& record) { return record.offset < from; });
}

}  // namespace

StoreView::StoreView(asio::io_context& io, StoreClient& store, const PlatformAdapter& adapter,
                     StoreViewOptions options, StoreEvents& events)
    : adapter_(adapter),
      options_(options),
      events_(events),
      removal_policy_(kEntryGraceTime),
      operators_(
          io, store, adapter, Topic::kOperator, {.wait = kOperatorReadWait},
          [this](const TopicRecord& record) { OnOperatorRecord(record); },
          [this](Offset before) { OnOperatorTopicRead(before); }),
      servers_(
          io, store, adapter, Topic::kServers,
          {.interval = FractionOf(options.leaving_bound, kReadIntervalFraction)},
          [this](const TopicRecord& record) { OnServerRecord(record); },
          [this](Offset before) { OnServerTopicRead(before); }) {
  servers_.SetReachabilityCallback([this](bool reachable) { events_.OnStoreReachable(reachable); });
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
    events_.OnServerRemoved(id);
  }
}

void StoreView::OnPeerUpdate(const PeerMessage& message, TimePoint now) {
  if (message.server_update) {
    const TopicUpdate& update = *message.server_update;
    last_peer_update_ = now;
    if (servers_.complete()) {
      removal_policy_.OnPeerGraceTime(update.grace_time_left, now);
      servers_.OnRelayed(update.from, update.to, update.records);
      server_changes_.clear();
    }
  }
  if (message.operator_update && operators_.complete()) {
    const TopicUpdate& update = *message.operator_update;
    const Offset before = operators_.next_offset();
    operators_.OnRelayed(update.from, update.to, update.records);
    KeepOperatorChanges(before);
  }
  events_.OnStoreUpdated();
}

bool StoreView::OnPeerOffset(Offset operator_offset, TimePoint now) {
  if (!operators_.complete()) return false;
  const CatchUp next = catch_up_.OnPeerOffset(operators_.next_offset(), operator_offset, now);
  // The running read here may be stuck on an unresponsive connection.
  if (next.read_store) operators_.RequestRead();
  return next.ask_peer;
}

std::vector<TopicUpdate> StoreView::OperatorUpdatesFor(Offset from) const {
  if (!operators_.complete() || from >= operators_.next_offset()) return {};
  return operator_relay_.Updates(Duration::zero());
}

/// Keeps the records applied since offset `before` for other hosts.
void StoreView::KeepOperatorChanges(Offset before) {
  EraseOlder(before, &operator_changes_);
  operator_relay_.OnRead(before, operators_.next_offset(), std::exchange(operator_changes_, {}));
}

void StoreView::OnOperatorRecord(const TopicRecord& record) {
  operator_changes_.push_back(record);
  auto operator_update = adapter_.ParseOperatorRecord(record);
  if (!operator_update) {
    LogEvent(LogLevel::kWarning, "invalid_operator_record",
             {{"key", record.key}, {"error", operator_update.error().message}});
    return;
  }
  events_.OnOperatorUpdate(std::move(operator_update.value()));
}

void StoreView::OnServerRecord(const TopicRecord& record) {
  const ServerName id(record.key);
  if (!record.value) {
    server_changes_.push_back(record);
    const bool gone = removal_policy_.OnEntryMissing(id, MonotonicClock::now());
    LogEvent(LogLevel::kInfo, gone ? "server_gone" : "server_lapsed", {{"server", id.str()}});
    if (gone) events_.OnServerRemoved(id);
    return;
  }
  const auto entry = adapter_.ParseServer(record);
  if (!entry) {
    LogEvent(LogLevel::kWarning, "invalid_server_entry",
             {{"key", record.key}, {"error", entry.error().message}});
    return;
  }
  removal_policy_.OnEntryPresent(id);
  if (events_.OnServerEntry(entry.value())) server_changes_.push_back(record);
}

/// Relays what a read has changed, so that not every host has to read the store.
void StoreView::OnServerTopicRead(Offset before) {
  const TimePoint now = MonotonicClock::now();
  removal_policy_.OnStoreReachable(now);
  events_.OnStoreUpdated();
  EraseOlder(before, &server_changes_);
  server_relay_.OnRead(before, servers_.next_offset(), std::exchange(server_changes_, {}));
  if (!relays_to_peers_) return;
  for (TopicUpdate& update : server_relay_.Updates(removal_policy_.GraceTimeLeft(now))) {
    PeerMessage message;
    message.server_update = std::move(update);
    events_.OnUpdateForPeers(std::move(message));
  }
}

/// Relays changes of the operator topic. Each host reads records too large for a datagram itself.
void StoreView::OnOperatorTopicRead(Offset before) {
  KeepOperatorChanges(before);
  const bool has_new_records = before != operators_.next_offset();
  if (!has_new_records || !relays_to_peers_) return;
  for (TopicUpdate& update : operator_relay_.Updates(Duration::zero())) {
    PeerMessage message;
    message.operator_update = std::move(update);
    events_.OnUpdateForPeers(std::move(message));
  }
}

}  // namespace mulberry::gateway
