#include "soak/busy_stops.h"

#include <algorithm>
#include <csignal>

namespace mulberry::soak {
namespace {

using std::chrono::milliseconds;

/// Use of a host before its stop, in which connections to it are opened that are kept.
constexpr milliseconds kUse{1500};

}  // namespace

BusyStops::BusyStops(asio::io_context& io, Fleet& fleet, Callers& callers, std::uint64_t seed)
    : io_(io), fleet_(fleet), callers_(callers), random_(seed) {
  std::vector<Host*> hosts;
  for (const auto& host : fleet_.hosts()) hosts.push_back(host.get());
  std::shuffle(hosts.begin(), hosts.end(), random_);
  const std::string series = hosts.front()->data_centre;
  std::stable_partition(hosts.begin(), hosts.end(),
                        [&](const Host* host) { return host->data_centre == series; });
  for (Host* host : {hosts[0], hosts[1], hosts.back()}) {
    stops_.push_back(std::make_unique<Stop>(io_, *host));
  }
  stops_[0]->next = stops_[1].get();
}

void BusyStops::Start() {
  const milliseconds service_time(80 + Random(100));
  for (const auto& backend : fleet_.backends()) backend->server->SetServiceTime(service_time);
  Use(*stops_.front());
  Stop& other = *stops_.back();
  other.timer.expires_after(milliseconds(Random(3000)));
  other.timer.async_wait([this, &other](const asio::error_code& error) {
    if (!error) Use(other);
  });
}

void BusyStops::Use(Stop& stop) {
  stop.callers = std::make_unique<KeptAddressCallers>(io_, callers_, stop.host, random_());
  stop.callers->Start();
  stop.timer.expires_after(kUse);
  stop.timer.async_wait([this, &stop](const asio::error_code& error) {
    if (error) return;
    LogEvent(LogLevel::kInfo, "busy_stop", {{"host", stop.host.name}});
    fleet_.Signal(stop.host, SIGTERM);
    AwaitEnd(stop);
  });
}

void BusyStops::AwaitEnd(Stop& stop) {
  if (stop.callers->ended()) {
    if (stop.next != nullptr) Use(*stop.next);
    return;
  }
  stop.timer.expires_after(milliseconds(50));
  stop.timer.async_wait([this, &stop](const asio::error_code& error) {
    if (!error) AwaitEnd(stop);
  });
}

bool BusyStops::finished() const {
  return std::all_of(stops_.begin(), stops_.end(),
                     [](const auto& stop) { return stop->callers && stop->callers->ended(); });
}

}  // namespace mulberry::soak
