#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "libgateway/retry_policy.h"
#include "libgateway/saturation_estimate.h"
#include "libgateway/types.h"
#include "libpolicy/server_health.h"

namespace mulberry::gateway {

/// Figures that placing uses.
struct PoolOptions {
  DataCentreName data_centre;
  /// How much longer a server of another data centre may be avoided: the price of the bytes
  /// between data centres, as waiting time.
  Duration remote_penalty = std::chrono::milliseconds(15);
  /// How long a report of slowness says something; machines shift many times a second.
  Duration slowness_decay_time = std::chrono::milliseconds(150);
  /// Multiple of a service's cold rate that a cold server bears in one second, and requests on top.
  double cold_overage = 1;
  double cold_slack = 0;
  /// A server with more of its slots in use than this part is nearly full, see SaturationEstimate.
  double near_full_fraction = 0.8;
  /// When nearly full servers do less in all, one choice in this many uses one all the same, to
  /// notice when that changes.
  std::uint32_t explore_interval = 32;
  /// Part of the slots up to which a server takes a second send of a slow request, or requests of
  /// another data centre: hosts there hear of its load late, and many of them at once.
  double spare_load_fraction = 0.5;
  std::uint64_t random_seed = 1;
};

/// What a server is chosen for.
struct SelectionRequest {
  const ServiceName& service;
  /// Servers that are left out.
  const std::set<ServerName>& tried;
  /// Only such a request tries a server that failed lately.
  bool idempotent = false;
  /// A second send of a slow request; it takes only a server with room to spare.
  bool hedge = false;
};

/// One server that was chosen.
struct Selection {
  ServerName id;
  std::string address;
  /// Work time that is expected there, and what decided it, for the log.
  Duration expected{};
  double load = 0;
  double slowness = 1;
  Duration report_age{};
  bool cold = false;
};

/// What is remembered of a send until its end.
struct AttemptContext {
  TimePoint sent;
  bool near_full = false;
  /// How slow the server's machine was, as far as it was known.
  double slowness = 1;
};

/// A health check that is due.
struct HealthCheckTarget {
  ServerName id;
  std::string address;
  std::string health_path;
};

/// Which part of the health checks this host sends.
struct HealthCheckShare {
  std::uint32_t index = 0;
  std::uint32_t count = 0;  ///< Hosts that share them; zero sends none.
  /// Load that was learnt within this time needs no check.
  Duration max_age{};
};

/// A server's load as this host knows it.
struct TimedLoadReport {
  LoadReport report;
  TimePoint measured_at;
};

/// Why no server could be chosen.
enum class NoServerReason { kNoServer, kAllBusy, kAllCold };

/// Returns the snake_case name, for logs and metrics.
const char* NoServerReasonName(NoServerReason reason);

/// All backend servers, their load as far as it is known here, and the choice among them. Answers
/// the load of machines that shift faster than any single host hears of them. Pure: time is
/// passed in. Not thread safe.
class ServerPool {
 public:
  explicit ServerPool(PoolOptions options);

  /// Takes the services of a configuration.
  void SetServices(const std::map<ServiceName, Service>& services);
  /// Adds a server or takes its newer entry; true when that changes what it may be sent.
  bool Put(const ServerEntry& entry, TimePoint now);
  void Remove(const ServerName& id);
  /// Takes a data centre out or back; its servers count as cold when they come back.
  void SetDataCentreOut(const DataCentreName& data_centre, bool out, TimePoint now);
  /// Sets the part, 0 to 1, of what a cold server bears that this host may send to each cold
  /// server of its own data centre; servers of others get none while cold.
  void SetColdShare(double share) { cold_share_ = share; }
  /// Sets PoolOptions::cold_overage and cold_slack anew.
  void SetColdLimit(double overage, double slack) {
    options_.cold_overage = overage;
    options_.cold_slack = slack;
  }

  /// Chooses the server with the least expected answer time.
  std::variant<NoServerReason, Selection> Select(const SelectionRequest& question, TimePoint now);

  /// Notes a send; the result goes to OnEnd.
  AttemptContext OnSent(const ServerName& id, TimePoint now);
  void OnEnd(const ServerName& id, AttemptOutcome end, const AttemptContext& context,
             TimePoint now);
  /// Takes how many requests another host of this data centre has at a server.
  void OnPeerInFlight(const ServerName& id, const HostName& host, std::uint32_t in_flight,
                      TimePoint now);
  /// Returns how many requests this host has at each server where that has changed since the
  /// last call.
  std::vector<std::pair<ServerName, std::uint32_t>> TakeInFlightCounts();
  /// Takes a report that was made at `measured_at`; older ones than the last are ignored.
  void OnLoadReport(const ServerName& id, const LoadReport& report, TimePoint measured_at);
  /// Takes the end of a health check of this host. Only silence tells something: what a server says
  /// of its health can be false.
  void OnHealthCheckEnd(const ServerName& id, bool answered, TimePoint now);
  /// Takes a server's own word on how long it stays cold.
  void OnColdTimeLeft(const ServerName& id, Duration left, TimePoint now);

  /// Returns this host's checks: servers of its data centre whose service was asked for lately, and
  /// whose load is older than the share's max_age.
  std::vector<HealthCheckTarget> DueHealthChecks(const HealthCheckShare& share,
                                                 TimePoint now) const;
  /// Returns a server's last report, empty when there is none.
  std::optional<TimedLoadReport> LastLoadReport(const ServerName& id) const;

  /// Returns "warm", "cold", "leaving", "out", "ejected" or "unknown", for the log.
  std::string StateName(const ServerName& id, TimePoint now) const;

  /// True for servers of this host's data centre.
  bool IsLocal(const ServerName& id) const;
  bool Known(const ServerName& id) const { return servers_.count(id) != 0; }
  /// Smoothed time of an answer of the service; `fallback` before the first.
  Duration ServiceTime(const ServiceName& service, Duration fallback) const;
  std::size_t size() const { return servers_.size(); }
  std::size_t SlotsOf(const ServiceName& service) const;
  /// Part of the servers of this host's data centre that take requests, 0 to 1; 1 when there are
  /// none at all.
  double LocalUsableShare(TimePoint now) const;

 private:
  /// A lost connection is rare, so that two in a row tell; errors are less certain.
  static constexpr HealthLimits kHealthLimits{.consecutive_connection_failures = 2,
                                              .consecutive_failures = 4};

  struct Server {
    ServerEntry entry;
    ServerHealth health{kHealthLimits};
    std::uint32_t in_flight = 0;       ///< Sent by this host.
    std::uint32_t told_in_flight = 0;  ///< What other hosts were told of it.
    std::map<HostName, std::pair<std::uint32_t, TimePoint>> others;  ///< Sent by other hosts.
    LoadReport report;
    std::int32_t since_report = 0;  ///< Own sends less own ends since the report.
    TimePoint reported;
    TimePoint cold_until;
    TimePoint lost_since = TimePoint::max();  ///< Unreachable since.
    std::uint32_t silent_probes = 0;
    std::deque<TimePoint> cold_sends;
    double speed = 1;  ///< Answer time as a multiple of the service's.
  };
  struct ServiceState {
    Service service;
    double time_us = 0;
    double mean_slowness = 1;
    SaturationEstimate knee;
    std::uint32_t choices = 0;
    TimePoint asked;  ///< When a server was last chosen.
  };

  bool Usable(const Server& server, TimePoint now) const;
  void Eject(Server& server, const char* why, TimePoint now);
  /// True when so many servers of the service are ejected that the failures are not theirs alone.
  bool TooManyEjected(const ServiceName& service, TimePoint now) const;
  bool HasColdRoom(const Server& server, const Service& service, TimePoint now) const;
  static double LimitOf(const Server& server, double part);
  double UsualLimit(const Server& server, const ServiceState& service) const;
  double LoadOf(const Server& server, TimePoint now) const;
  double SlownessOf(const Server& server, const ServiceState& service, TimePoint now) const;
  Duration ExpectedAt(const Server& server, const ServiceState& service, TimePoint now) const;
  void MarkCold(Server& server, TimePoint now);
  ServiceState& StateOf(const ServiceName& service) { return services_[service]; }

  PoolOptions options_;
  std::map<ServerName, Server> servers_;
  std::map<ServiceName, std::vector<ServerName>> by_service_;
  std::map<ServiceName, ServiceState> services_;
  std::set<DataCentreName> out_;
  double cold_share_ = 0;
  std::minstd_rand random_;
};

}  // namespace mulberry::gateway
