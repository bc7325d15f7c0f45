#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "libentry/entry.h"

namespace mulberry {

/// Parameters of a FleetSimulation.
struct FleetSimulationOptions {
  /// Start of each host after the start of the simulation; one host per element.
  std::vector<Duration> starts = {Duration::zero(), Duration::zero(), Duration::zero()};
  /// When the callers begin to send requests.
  Duration load_start = std::chrono::seconds(3);
  /// Time between two requests of the callers; each host in turn gets one.
  Duration request_interval = std::chrono::milliseconds(10);
  /// Mean time for which a server works on a request; the times are exponentially distributed.
  Duration work = std::chrono::milliseconds(20);
  Duration deadline = std::chrono::milliseconds(500);
  std::uint32_t servers = 4;
  std::uint32_t slots = 4;
  DispatcherOptions dispatcher;
  std::uint64_t seed = 1;
};

/// Entry hosts of one data centre with a simulated platform, backend servers, callers and links
/// between the hosts. Uses no network and no real time; the same options give the same run.
class FleetSimulation : public EntryObserver {
 public:
  /// How one request of a caller ended.
  struct Ended {
    std::size_t host = 0;  ///< Index of the host that received it.
    TimePoint sent;
    TimePoint answered;
    CallerAnswer answer;
  };

  explicit FleetSimulation(FleetSimulationOptions options);

  /// Advances the simulation in steps of 1 ms.
  void RunFor(Duration time);

  /// Index of the host that owns the group of the service, the number of hosts if there is none.
  std::size_t Owner() const;

  /// Returns what a host reports of the group of the service.
  nlohmann::json GroupStatus(std::size_t index) const;

  /// Starts the planned stop of a host.
  void BeginLeaving(std::size_t host);

  /// While set, a host neither receives messages nor runs timers.
  void SetPaused(std::size_t host, bool paused) { nodes_[host].paused = paused; }

  /// Drops messages from one host to another while set.
  void SetCut(std::size_t from, std::size_t to, bool cut) { cuts_[{from, to}] = cut; }

  /// Changes the mean time for which the servers work on a request.
  void SetWork(Duration work) { options_.work = work; }

  EntryHost& host(std::size_t index) { return *nodes_[index].host; }
  const std::vector<Ended>& ended() const { return ended_; }
  TimePoint now() const { return now_.mono; }

  void OnAnswered(const ClassName&, Duration) override {}
  void OnRefused(const ClassName&, const std::string&) override {}
  void OnRetry(const ClassName&, const std::string&) override {}
  void OnForward(const ClassName&, const std::string&) override {}
  void OnProbe(const ServiceName&) override {}
  void OnClaim(const std::string&) override {}
  void OnLeaseChange(const GroupName&, const std::string&, const std::string&) override {}

 private:
  struct Node {
    std::unique_ptr<EntryHost> host;
    TimePoint starts;
    bool paused = false;
    bool reading = false;
    TimePoint leaving_since = TimePoint::max();
    TimePoint next_list;
    std::deque<PeerEnvelope> inbox;
  };
  struct Reply {
    std::size_t host = 0;
    ServerReply reply;
  };

  std::string NameOf(std::size_t host) const { return "h" + std::to_string(host); }
  void StartHost(std::size_t index);
  void Step(std::size_t index);
  void SendRequest(std::size_t index);
  void AnswerRead(std::size_t index);
  void Execute(std::size_t from, EntryActions& actions);
  HostList List() const;

  FleetSimulationOptions options_;
  Instant now_{TimePoint(std::chrono::seconds(100)), WallTime(std::chrono::seconds(1'000'000))};
  TimePoint start_;
  TimePoint next_request_;
  std::size_t next_host_ = 0;
  std::uint64_t next_id_ = 1;
  std::string class_record_;
  std::vector<Node> nodes_;
  std::map<std::pair<std::size_t, std::size_t>, bool> cuts_;
  std::multimap<TimePoint, Reply> replies_;
  std::map<std::uint64_t, Ended> open_;
  std::vector<Ended> ended_;
  std::mt19937_64 random_;
};

}  // namespace mulberry
