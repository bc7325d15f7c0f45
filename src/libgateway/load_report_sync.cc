#include "libgateway/load_report_sync.h"

#include <utility>

namespace mulberry::gateway {
namespace {

/// How often load is checked and shared; small beside the time for which a report holds.
constexpr Duration kInterval = std::chrono::milliseconds(25);
/// How often other data centres are told; their hosts send there only what they have no room for,
/// and bytes between data centres cost.
constexpr Duration kRemoteInterval = std::chrono::milliseconds(100);
/// Older load is refreshed by a health check.
constexpr Duration kLoadAge = std::chrono::milliseconds(60);

}  // namespace

LoadReportSync::LoadReportSync(Parts parts) : parts_(std::move(parts)), timer_(parts_.io) {}

PeerMessage LoadReportSync::LoadMessage(const std::set<ServerName>& servers, TimePoint now) const {
  PeerMessage message;
  message.heartbeat = parts_.own_beat();
  for (const ServerName& server : servers) {
    const auto load = parts_.pool.LoadReportOf(server);
    if (load) message.loads.push_back({server, load->report, now - load->made});
  }
  return message;
}

void LoadReportSync::Tick() {
  const TimePoint now = MonotonicClock::now();
  const DeciderPlace place = parts_.fleet.PlaceOfSelf(now);
  parts_.watch.Tick({place.index, place.count, kLoadAge}, now);
  std::set<ServerName> reported;
  for (ServerName& server : parts_.forwarder.TakeReported()) reported.insert(std::move(server));
  for (ServerName& server : parts_.watch.TakeReported()) reported.insert(std::move(server));
  for (const ServerName& server : reported) {
    if (parts_.pool.IsLocal(server)) remote_news_.insert(server);
  }
  const std::vector<std::string> others = parts_.fleet.OtherDeciders(now);
  auto in_flight = parts_.pool.TakeInFlight();
  if ((!reported.empty() || !in_flight.empty()) && !others.empty()) {
    PeerMessage message = LoadMessage(reported, now);
    message.in_flight = std::move(in_flight);
    parts_.peers.Send(message, others);
  }
  const bool tells_remote = place.index == 0 && place.count > 0;
  if (tells_remote && now - remote_told_ >= kRemoteInterval && !remote_news_.empty()) {
    remote_told_ = now;
    parts_.peers.Send(LoadMessage(std::exchange(remote_news_, {}), now),
                      parts_.fleet.RemoteDeciders(now));
  }
  timer_.expires_after(kInterval);
  timer_.async_wait([this](const asio::error_code& error) {
    if (!error) Tick();
  });
}

bool LoadReportSync::OnPeer(const PeerMessage& message, TimePoint now) {
  for (const PeerLoadReport& load : message.loads) {
    parts_.pool.OnReport(load.id, load.report, now - load.age);
    if (parts_.pool.IsLocal(load.id)) remote_news_.insert(load.id);
  }
  for (const auto& [server, count] : message.in_flight) {
    parts_.pool.OnOthersInFlight(server, message.heartbeat.record.host, count, now);
  }
  return !message.loads.empty() || !message.in_flight.empty();
}

}  // namespace mulberry::gateway
