#include "libgateway/load_report_sync.h"

#include <utility>

namespace mulberry::gateway {
namespace {

/// Interval of checking and sending load; short compared to the time for which a report is valid.
constexpr Duration kSyncInterval = std::chrono::milliseconds(25);
/// Interval of reports to other data centres. It is longer because their hosts send requests here
/// only when they have no capacity, and traffic between data centres costs.
constexpr Duration kRemoteSyncInterval = std::chrono::milliseconds(100);
/// Older load reports are refreshed by a health check.
constexpr Duration kMaxReportAge = std::chrono::milliseconds(60);

}  // namespace

LoadReportSync::LoadReportSync(Parts parts) : parts_(std::move(parts)), timer_(parts_.io) {}

PeerMessage LoadReportSync::MakeLoadMessage(const std::set<ServerName>& servers,
                                            TimePoint now) const {
  PeerMessage message;
  message.heartbeat = parts_.own_heartbeat();
  for (const ServerName& server : servers) {
    const auto load = parts_.pool.LastLoadReport(server);
    if (load) message.loads.push_back({server, load->report, now - load->measured_at});
  }
  return message;
}

void LoadReportSync::Tick() {
  const TimePoint now = MonotonicClock::now();
  const AdvertisedPosition own_position = parts_.fleet.OwnAdvertisedPosition(now);
  parts_.checker.Tick({own_position.index, own_position.count, kMaxReportAge}, now);
  std::set<ServerName> reported;
  for (ServerName& server : parts_.forwarder.TakeReported()) reported.insert(std::move(server));
  for (ServerName& server : parts_.checker.TakeReported()) reported.insert(std::move(server));
  for (const ServerName& server : reported) {
    if (parts_.pool.IsLocal(server)) pending_remote_reports_.insert(server);
  }
  const std::vector<std::string> other_hosts = parts_.fleet.OtherAdvertisedPeers(now);
  auto in_flight = parts_.pool.TakeInFlightCounts(now);
  if ((!reported.empty() || !in_flight.empty()) && !other_hosts.empty()) {
    PeerMessage message = MakeLoadMessage(reported, now);
    message.in_flight = std::move(in_flight);
    parts_.peer_channel.Send(message, other_hosts);
  }
  const bool sends_to_remote = own_position.index == 0 && own_position.count > 0;
  if (sends_to_remote && now - remote_sent_at_ >= kRemoteSyncInterval &&
      !pending_remote_reports_.empty()) {
    remote_sent_at_ = now;
    parts_.peer_channel.Send(MakeLoadMessage(std::exchange(pending_remote_reports_, {}), now),
                             parts_.fleet.RemoteAdvertisedPeers(now));
  }
  timer_.expires_after(kSyncInterval);
  timer_.async_wait([this](const asio::error_code& error) {
    if (!error) Tick();
  });
}

bool LoadReportSync::OnPeerMessage(const PeerMessage& message, TimePoint now) {
  for (const PeerLoadReport& load : message.loads) {
    parts_.pool.OnLoadReport(load.id, load.report, now - load.age);
    if (parts_.pool.IsLocal(load.id)) pending_remote_reports_.insert(load.id);
  }
  for (const auto& [server, count] : message.in_flight) {
    parts_.pool.OnPeerInFlight(server, message.heartbeat.record.host, count, now);
  }
  return !message.loads.empty() || !message.in_flight.empty();
}

}  // namespace mulberry::gateway
