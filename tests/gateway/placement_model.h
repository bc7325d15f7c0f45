#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "libadmission/admission.h"
#include "libgateway/server_pool.h"

namespace mulberry::gateway {

struct PlacementOptions {
  PoolOptions pool;
  /// Requests per second of the callers of each data centre.
  std::vector<double> rates;
  int hosts = 2;    ///< Per data centre.
  int servers = 4;  ///< Per data centre.
  std::uint32_t slots = 3;
  std::uint32_t queue = 6;
  /// True: a server with a full queue never answers a request; false: it refuses.
  bool hang = true;
  Duration news_delay = std::chrono::milliseconds(1);
  bool cut_off = false;  ///< No messages between data centres arrive.
  double news_loss = 0;  ///< Probability that a message between hosts is lost.
  std::uint64_t seed = 1;
};

struct PlacementResult {
  int requested = 0;
  int in_target = 0;
  int refused = 0;            ///< By the host, not run.
  int lost = 0;               ///< Sent and never answered.
  int lost_late = 0;          ///< The same, of the requests that arrived after the first 4 s.
  int remote = 0;             ///< Sent to another data centre.
  std::size_t most_held = 0;  ///< Most requests at one server at a time.
  /// Requests to the busiest server of a data centre as a multiple of the mean.
  double busiest = 0;
  /// Requests sent out of each data centre, by 500 ms.
  std::vector<std::vector<int>> remote_by_time;

  double InTarget() const { return static_cast<double>(in_target) / requested; }
};

/// Simulates hosts of several data centres with their callers and servers, using the real
/// ServerPool and CallQueue, health checks and messages between hosts. A quarter of the servers'
/// machines is three times slower, chosen anew every 150 ms.
class PlacementModel {
 public:
  explicit PlacementModel(PlacementOptions options);
  PlacementResult Run(Duration length);

 private:
  struct Host {
    std::size_t data_centre = 0;
    HostName name;
    std::unique_ptr<ServerPool> pool;
    admission::CallQueue queue;
    std::map<admission::CallId, TimePoint> waiting;  ///< Arrival times of the queued calls.
    std::map<ServerName, TimePoint> reported;
    std::map<ServerName, TimePoint> checks;
  };
  struct Work {
    double left = 0;  ///< Seconds at the usual speed.
    std::function<void()> done;
  };
  struct Server {
    std::size_t data_centre = 0;
    std::vector<Work> running;
    std::deque<Work> waiting;
    double slowness = 1;
    int requests = 0;
    std::size_t held() const { return running.size() + waiting.size(); }
  };

  void At(TimePoint when, std::function<void()> run) { events_.emplace(when, std::move(run)); }
  Duration DelayTo(const Host& host, const Server& server) const;
  void RunServers();
  void Arrive(Host& host);
  bool Dispatch(Host& host, TimePoint arrived);
  void DispatchQueued(Host& host);
  void Check(std::size_t index);
  void SendNews(std::size_t index, bool remote);
  LoadReport ReportOf(const Server& server) const;

  PlacementOptions options_;
  std::vector<Host> hosts_;
  std::map<ServerName, Server> servers_;
  std::multimap<TimePoint, std::function<void()>> events_;
  TimePoint now_ = TimePoint(std::chrono::seconds(10));
  TimePoint start_ = now_;
  PlacementResult result_;
  std::mt19937 random_;
  std::uniform_real_distribution<double> unit_{0, 1};
  std::uint64_t next_id_ = 1;
};

}  // namespace mulberry::gateway
