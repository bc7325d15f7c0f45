#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "libgateway/retry_policy.h"
#include "libgateway/saturation_estimate.h"
#include "libgateway/types.h"
#include "libplacement/placement.h"
#include "libpolicy/server_health.h"

namespace mulberry::gateway {

/// Parameters of server selection.
struct PoolOptions {
  DataCentreName data_centre;
  /// Extra latency that is acceptable before a server of another data centre is chosen. It
  /// expresses the cost of the traffic between data centres as a time.
  Duration remote_penalty = std::chrono::milliseconds(15);
  /// Time constant with which a slowness report loses its weight; machine speeds change many times
  /// a second.
  Duration slowness_decay_time = std::chrono::milliseconds(150);
  /// A cold server may get cold_overage times the service's cold rate plus cold_slack requests in
  /// one second, over all hosts.
  double cold_overage = 1;
  double cold_slack = 0;
  /// A server that uses more than this fraction of its slots is nearly full, see
  /// SaturationEstimate.
  double near_full_fraction = 0.8;
  /// While filling servers reduces throughput, one selection in this many may still fill a server,
  /// to detect when that changes.
  std::uint32_t explore_interval = 32;
  /// Load, as a fraction of the slots, below which a server accepts a hedge or requests from
  /// another data centre: hosts there learn its load late, and many of them may choose it at once.
  double spare_load_fraction = 0.5;
  /// Decide by SpillPolicy, not by remote_penalty and spare_load_fraction, when requests go to
  /// other data centres.
  bool spill = false;
  placement::SpillSettings spill_costs = {};
  /// False: servers that hang when full are not told apart (comparison only).
  bool learn_hangs = true;
  std::uint64_t random_seed = 1;
};

/// Requirements on the server to select.
struct SelectionRequest {
  const ServiceName& service;
  /// Servers to exclude.
  const std::set<ServerName>& tried;
  /// A server on trial after an ejection gets an idempotent request if one comes in time.
  bool idempotent = false;
  /// A second attempt for a slow request; it goes only to a server with a low load.
  bool hedge = false;
  /// Which servers may be selected; null: all.
  const std::function<bool(const ServerEntry&)>* accepts = nullptr;
  /// Requests for the service that wait at this host; for SpillPolicy, as is the next one.
  std::size_t queued = 0;
  /// Expected bytes of the request and its answer.
  double bytes = 0;
};

/// The selected server.
struct Selection {
  ServerName id;
  std::string address;
  /// Expected latency there and the values it was derived from, for the log.
  Duration expected{};
  double load = 0;
  double slowness = 1;
  Duration report_age{};
  bool cold = false;
  /// Why SpillPolicy sends the request to another data centre; empty if it does not.
  const char* spill_reason = "";
};

/// State of an attempt that is kept from its start to its end.
struct AttemptContext {
  TimePoint sent;
  bool near_full = false;
  /// The known slowness of the server's machine when the attempt started.
  double slowness = 1;
  /// Requests at the server when the attempt started.
  double load = 0;
  /// The server was ejected, but no other one was left.
  bool last_resort = false;
  ServerVersion version;
  bool cold = false;
};

/// A health check to send.
struct HealthCheckTarget {
  ServerName id;
  std::string address;
  std::string health_path;
};

/// Share of the health checks that this host sends.
struct HealthCheckShare {
  std::uint32_t index = 0;
  std::uint32_t count = 0;  ///< Hosts that share the checks; 0: this host sends none.
  /// No check is needed for a server whose load report is at most this old.
  Duration max_age{};
};

/// The last load report of a server and its time.
struct TimedLoadReport {
  LoadReport report;
  TimePoint measured_at;
};

/// Why no server could be selected.
enum class NoServerReason {
  kNoServer,
  kAllBusy,
  kAllCold,
  kAllPaused,  ///< The servers that could be used have asked for no requests for a time.
};

/// Returns the snake_case name, for logs and metrics.
const char* NoServerReasonName(NoServerReason reason);

/// All known backend servers with their load, and the selection among them. The speed of the
/// servers' machines changes faster than one host can observe, so reports from other hosts are used
/// too. Does no I/O: time is passed in. Not thread safe.
class ServerPool {
 public:
  explicit ServerPool(PoolOptions options);

  /// Applies the services of a configuration.
  void SetServices(const std::map<ServiceName, Service>& services);
  /// Adds a server or updates its entry; returns true when that changes what may be sent to it.
  bool Put(const ServerEntry& entry, TimePoint now);
  void Remove(const ServerName& id);
  /// Takes a data centre out of service or puts it back; its servers count as cold when it returns.
  void SetDataCentreOut(const DataCentreName& data_centre, bool out, TimePoint now);
  /// Sets the fraction, 0 to 1, of a cold server's limit that this host may use for each cold
  /// server of its own data centre; cold servers of other data centres get nothing.
  void SetColdShare(double share) { cold_share_ = share; }
  /// Sets PoolOptions::cold_overage and cold_slack.
  void SetColdLimit(double overage, double slack) {
    options_.cold_overage = overage;
    options_.cold_slack = slack;
  }

  /// Sets which hosts send requests and this host's place among them.
  void SetSenders(const placement::SenderPosition& senders) { senders_ = senders; }

  /// Selects the server with the lowest expected latency. If all servers that could be used are
  /// ejected, selects one of those that still answer at times.
  std::variant<NoServerReason, Selection> Select(const SelectionRequest& request, TimePoint now);

  /// Records the start of an attempt; the returned context goes to OnEnd.
  AttemptContext OnSent(const ServerName& id, TimePoint now);
  void OnEnd(const ServerName& id, AttemptOutcome end, const AttemptContext& context,
             TimePoint now);
  /// Records how many requests another host of this data centre has in flight at a server.
  void OnPeerInFlight(const ServerName& id, const HostName& host, std::uint32_t in_flight,
                      TimePoint now);
  /// Returns this host's number of requests in flight for each server where it is not zero or has
  /// changed since the last call.
  std::vector<std::pair<ServerName, std::uint32_t>> TakeInFlightCounts(TimePoint now);
  /// Records a load report made at `measured_at`; ignored when older than the last one.
  void OnLoadReport(const ServerName& id, const LoadReport& report, TimePoint measured_at);
  /// Records the end of a health check by this host. Only a missing answer counts against the
  /// server: the health that it states can be wrong.
  void OnHealthCheckEnd(const ServerName& id, bool answered, TimePoint now);
  /// Records the server's own statement that it is leaving. It gets no more requests from this host
  /// until it has restarted, whatever its entries say.
  void OnLeavingAnnounced(const ServerName& id);
  bool HasAnnouncedLeaving(const ServerName& id) const;
  /// The server has asked for no requests for a time; a longer one that it asked for before holds.
  void OnPauseRequested(const ServerName& id, Duration pause, TimePoint now);
  /// When the first of the service's servers that asked for a pause may be used again; `now` when
  /// there is none.
  TimePoint FirstPauseEnd(const ServiceName& service, TimePoint now) const;
  /// Records the server's own statement of how much longer it stays cold.
  void OnColdTimeLeft(const ServerName& id, Duration left, TimePoint now);

  /// Returns the health checks that this host should send: to servers of its data centre whose
  /// service was requested recently and whose load report is older than the share's max_age.
  std::vector<HealthCheckTarget> DueHealthChecks(const HealthCheckShare& share,
                                                 TimePoint now) const;
  /// Returns a server's last load report, empty when there is none.
  std::optional<TimedLoadReport> LastLoadReport(const ServerName& id) const;

  /// Returns "warm", "cold", "leaving", "out", "ejected" or "unknown", for the log.
  std::string StateName(const ServerName& id, TimePoint now) const;

  /// True for servers of this host's data centre.
  bool IsLocal(const ServerName& id) const;
  bool Known(const ServerName& id) const { return servers_.count(id) != 0; }
  /// Smoothed answer time of the service; `fallback` before its first answer.
  Duration ServiceTime(const ServiceName& service, Duration fallback) const;
  std::size_t size() const { return servers_.size(); }
  std::size_t SlotsOf(const ServiceName& service) const;
  /// The entries of each service's servers. Valid until the next change of a server.
  std::map<ServiceName, std::vector<const ServerEntry*>> EntriesByService() const;
  /// Fraction, 0 to 1, of the servers of this host's data centre that accept requests; 1 when it
  /// has no servers.
  double LocalUsableShare(TimePoint now) const;
  /// Number of services whose servers hang when full, as learnt by this host.
  std::size_t HangingServices() const;
  /// Requests that a server did not answer because it was full, since the start.
  std::uint64_t silent_requests() const { return silent_requests_; }
  /// Requests that were sent to an ejected server because no other was left, since the start.
  std::uint64_t last_resorts() const { return last_resorts_; }

 private:
  /// Lost connections are rare, so two in a row suffice; errors are weaker evidence.
  static constexpr HealthLimits kHealthLimits{.consecutive_connection_failures = 2,
                                              .consecutive_failures = 4};

  struct Server {
    ServerEntry entry;
    ServerHealth health{kHealthLimits};
    std::uint32_t in_flight = 0;           ///< Sent by this host.
    std::uint32_t reported_in_flight = 0;  ///< Last value reported to other hosts.
    /// As reported by other hosts, with the time of the report.
    std::map<HostName, std::pair<std::uint32_t, TimePoint>> peer_in_flight;
    LoadReport report;
    std::int32_t sends_since_report = 0;  ///< Own attempts started minus ended since the report.
    TimePoint report_time;
    TimePoint cold_until;
    TimePoint unreachable_since = TimePoint::max();  ///< max(): reachable.
    std::uint32_t unanswered_health_checks = 0;
    std::deque<TimePoint> cold_sends;
    bool leaving_announced = false;
    TimePoint paused_until;
    double relative_latency = 1;  ///< Answer time as a multiple of the service's mean.
    placement::SilenceTracker silence;
    /// Ends of the times for which requests that this host gave up may still be in the queue.
    std::deque<TimePoint> abandoned;
    TimePoint last_answer;     ///< Of a request or a health check of this host.
    TimePoint avoided_until;   ///< Until then it gets requests only when no other one has room.
    bool unreachable = false;  ///< Ejected because this host cannot reach it.
  };
  struct ServiceState {
    Service service;
    double time_us = 0;
    double mean_slowness = 1;
    SaturationEstimate saturation;
    placement::CapacityEstimate capacity;
    std::map<DataCentreName, placement::SpillPolicy> spill;
    std::uint32_t choices = 0;
    TimePoint last_requested;  ///< Time of the last Select for the service.
  };

  /// A server that may be selected.
  struct Candidate {
    Server* server = nullptr;
    Duration expected{};
    double room = 0;  ///< Requests that it may still get.
  };

  /// The servers of another data centre that SpillPolicy may use.
  struct RemoteSide {
    std::vector<Candidate> candidates;
    Duration expected = Duration::max();  ///< Lowest of the candidates.
    double spare = 0;
    std::uint32_t in_flight = 0;
    TimePoint news;  ///< Time of the newest load report.
  };

  void AddToSide(RemoteSide& side, const Server& server, TimePoint now) const;
  /// Expected time until an answer of this data centre when `best` is its best server with room.
  Duration ExpectedHere(const SelectionRequest& request, const ServiceState& state,
                        Duration best_expected, TimePoint now) const;
  /// Returns the server of another data centre that the request should go to, or nullptr.
  const Candidate* SpillTarget(const SelectionRequest& request, Duration here,
                               const std::map<DataCentreName, RemoteSide>& sides, TimePoint now);
  const Candidate& SpreadAmong(const std::vector<Candidate>& candidates, Duration best_expected);
  bool IsUsable(const Server& server, TimePoint now) const;
  void Eject(Server& server, const char* why, TimePoint now);
  /// Ejects the server if the budget of its service allows, else avoids it for a time.
  void EjectWithinBudget(Server& server, const char* why, bool unreachable, TimePoint now);
  placement::EjectionBudget BudgetOf(const ServiceName& service, TimePoint now) const;
  void LearnFromSilence(Server& server, TimePoint now);
  /// Records an attempt that this host gave up; true when the server was full, which is no failure
  /// of it.
  bool RecordGivenUp(Server& server, TimePoint sent, TimePoint now);
  /// Requests of this host that the server did not accept because it was full, and that are still
  /// unanswered. Zero unless the servers of the service are known to hang.
  std::uint32_t SilentRequests(const Server& server, TimePoint now) const;
  /// False when one more request could be one too many for a server that hangs when full.
  bool HasRoomBeforeHang(const Server& server, const ServiceState& state, TimePoint now) const;
  /// True when an unanswered health check has a cause other than a failure of the server.
  bool IsKnownBusy(const Server& server, TimePoint now) const;
  Server* LastResort(const SelectionRequest& request, TimePoint now);
  static Duration UsualTime(const ServiceState& state);
  bool HasColdCapacity(const Server& server, const Service& service, TimePoint now) const;
  static double MaxSlots(const Server& server, double fraction);
  double ConcurrencyLimit(const Server& server, const ServiceState& state) const;
  double LoadOf(const Server& server, TimePoint now) const;
  double SlownessOf(const Server& server, const ServiceState& state, TimePoint now) const;
  Duration ExpectedLatency(const Server& server, const ServiceState& state, TimePoint now) const;
  void MarkCold(Server& server, TimePoint now);
  ServiceState& ServiceStateOf(const ServiceName& service) { return services_[service]; }

  PoolOptions options_;
  std::map<ServerName, Server> servers_;
  std::map<ServiceName, std::vector<ServerName>> by_service_;
  std::map<ServiceName, ServiceState> services_;
  std::set<DataCentreName> data_centres_out_;
  /// Start times of the servers that have announced their leaving. Outlives their entries, which
  /// may lapse and come back.
  std::map<ServerName, std::int64_t> announced_leaving_;
  double cold_share_ = 0;
  placement::SenderPosition senders_;
  std::uint64_t silent_requests_ = 0;
  std::uint64_t last_resorts_ = 0;
  TimePoint last_resort_logged_at_;
  std::minstd_rand random_;
};

}  // namespace mulberry::gateway
