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

/// Keeps the load reports of this data centre's servers up to date and exchanges them with the
/// other hosts that are advertised to callers. Only for the thread that runs the io_context.
class LoadReportSync {
 public:
  struct Parts {
    asio::io_context& io;
    ServerPool& pool;
    const FleetView& fleet;
    Forwarder& forwarder;
    HealthChecker& checker;
    PeerChannel& peer_channel;
    std::function<HostHeartbeat()> own_heartbeat;
  };

  explicit LoadReportSync(Parts parts);

  void Start() { Tick(); }
  /// Applies the load reports of another host; returns true when there were any.
  bool OnPeerMessage(const PeerMessage& message, TimePoint now);

 private:
  void Tick();
  PeerMessage MakeLoadMessage(const std::set<ServerName>& servers, TimePoint now) const;

  Parts parts_;
  asio::steady_timer timer_;
  /// Servers whose latest load report has not been sent to the other data centres yet.
  std::set<ServerName> pending_remote_reports_;
  TimePoint remote_sent_at_;
};

}  // namespace mulberry::gateway
