#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "librollout/rollout.h"

namespace mulberry::rollout {

/// In what the target version is bad.
enum class Fault {
  kNone,
  kFails,        ///< A quarter of the responses are failures.
  kFailsLater,   ///< The same from 30 % of the order's duration on.
  kSlow,         ///< Four times slower.
  kSlowPart,     ///< Two fifths of the responses are five times slower.
  kFailsLoaded,  ///< Two fifths fail on a server with three requests or more in flight.
  kFailsOnRoute  ///< Two fifths fail on the last route, which has 8 % of the requests.
};

struct ModelOptions {
  Fault fault = Fault::kNone;
  std::uint32_t seed = 1;
  std::size_t hosts = 8;
  /// Hosts that get nearly all requests.
  std::size_t busy_hosts = 6;
  double requests_per_second = 900;
  Duration duration = std::chrono::seconds(12);
  Limits limits{0.1, 50, std::chrono::milliseconds(5000)};
  /// Requests of one server of the target that fail, as a machine's fault does.
  double one_server_fails = 0;
};

/// What a run counts, over all hosts together.
struct ModelResult {
  Phase phase = Phase::kCanary;
  std::string reason;
  Duration decided_after{};
  std::uint64_t requests = 0;         ///< Until the order's end.
  std::uint64_t target_requests = 0;  ///< Sent to the target until the order's end.
  std::uint64_t bad_responses = 0;
  Duration fiftieth_bad_at{};
  Duration last_target_send{};
  std::uint64_t others_in_flight = 0;  ///< When the order was completed.
};

/// Hosts, servers of two versions, callers and the datagrams between hosts, in steps of a
/// millisecond. Test actions cut off, freeze, restart or kill hosts while it runs.
class RolloutModel {
 public:
  explicit RolloutModel(const ModelOptions& options);

  /// Runs until this time after the order.
  void RunUntil(Duration time);
  ModelResult Run();

  /// The host that decides; a second one may decide at the same time.
  void SetCoordinator(std::size_t host) { coordinator_hosts_ = {host}; }
  void AddCoordinator(std::size_t host) { coordinator_hosts_.push_back(host); }
  /// Datagrams from and to the host are lost.
  void SetCutOff(std::size_t host, bool cut_off) { hosts_[host].cut_off = cut_off; }
  /// The host does nothing and what it knows ages.
  void SetFrozen(std::size_t host, bool frozen) { hosts_[host].frozen = frozen; }
  void Restart(std::size_t host);
  Duration now() const { return now_; }
  std::uint64_t target_sends(std::size_t host) const { return hosts_[host].target_sends; }
  Phase phase_of(std::size_t host) const { return hosts_[host].rollout->phase(); }
  const ModelResult& result() const { return result_; }

 private:
  struct Host {
    std::optional<HostRollout> rollout;
    std::optional<Coordinator> coordinator;
    StartId start{1};
    bool cut_off = false;
    bool frozen = false;
    Duration next_report{};
    std::uint32_t others_in_flight = 0;
    std::uint64_t target_sends = 0;
  };
  struct Server {
    bool of_target = false;
    ServerGroup group = ServerGroup::kOther;
    std::uint32_t in_flight = 0;
    bool canary = false;
    Duration next_cold_send{};  ///< A cold server takes one request in kColdSendInterval.
  };
  struct Response {
    std::size_t host = 0;
    std::size_t server = 0;
    std::size_t route = 0;
    StartId start;
    Duration sent{};
    bool failed = false;
  };
  struct Datagram {
    std::size_t from = 0;
    std::size_t to = 0;
    StartId start;
    std::optional<Report> report;
    std::optional<StateUpdate> state;
  };

  TimePoint Clock(std::size_t host) const;
  void Step();
  void Arrive();
  void SendRequest(std::size_t host, std::size_t route);
  std::optional<std::size_t> PickServer(bool of_target, bool canary_only);
  void Respond(const Response& response);
  void SendReport(std::size_t host);
  void Deliver(const Datagram& datagram);
  void Send(Datagram datagram);
  double Random() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  ModelOptions options_;
  std::mt19937 random_;
  Order order_;
  std::vector<Host> hosts_;
  std::vector<Server> servers_;
  std::vector<std::size_t> coordinator_hosts_{0};
  std::multimap<Duration, Response> responses_;
  std::multimap<Duration, Datagram> datagrams_;
  Duration now_{};
  ModelResult result_;
};

}  // namespace mulberry::rollout
