#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <set>

#include "libgateway/fleet_view.h"
#include "libgateway/forwarder.h"
#include "libgateway/health_checker.h"
#include "libgateway/peer_channel.h"
#include "libgateway/server_pool.h"

namespace mulberry::gateway {

/// Keeps the load of this data centre's servers fresh and shares it with the hosts that place
/// requests too. Only for the thread that runs the io_context.
class LoadReportSync {
 public:
  struct Parts {
    asio::io_context& io;
    ServerPool& pool;
    const FleetView& fleet;
    Forwarder& forwarder;
    HealthChecker& watch;
    PeerChannel& peers;
    std::function<HostBeat()> own_beat;
  };

  explicit LoadReportSync(Parts parts);

  void Start() { Tick(); }
  /// Takes what another host shares; true when there was anything.
  bool OnPeer(const PeerMessage& message, TimePoint now);

 private:
  void Tick();
  PeerMessage LoadMessage(const std::set<ServerName>& servers, TimePoint now) const;

  Parts parts_;
  asio::steady_timer timer_;
  /// Servers whose load the other data centres have not been told yet.
  std::set<ServerName> remote_news_;
  TimePoint remote_told_;
};

}  // namespace mulberry::gateway
