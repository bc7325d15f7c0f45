#pragma once

#include <map>
#include <ostream>
#include <set>
#include <vector>

#include "libpolicy/policy.h"

namespace mulberry {

/// One step of a random run: a kind of event with two free numbers.
struct Step {
  int kind = 0;
  std::uint32_t a = 0;
  std::uint32_t b = 0;
};

std::ostream& operator<<(std::ostream& out, const Step& step);

/// Servers, callers and a lease that behave at random, and a check of every order that the
/// dispatcher gives against a record of its own. A broken promise fails the RapidCheck property.
class RandomSimulation {
 public:
  RandomSimulation(std::uint32_t servers, std::uint32_t slots, DispatcherOptions options);

  void Do(const Step& step);
  /// Ends everything and checks that each request has ended once.
  void Finish();

  static constexpr int kKinds = 24;

 private:
  struct RequestRecord {
    bool idempotent = true;
    bool no_retry = false;
    TimePoint deadline;
    int attempts = 0;
    int running = 0;
    bool may_have_run = false;
    bool ended = false;
  };
  struct AttemptRecord {
    RequestId request;
    std::size_t server = 0;
    std::uint64_t start = 0;
    std::uint64_t began = 0;
    bool cancelled = false;
  };
  struct ServerRecord {
    ServerInfo info;
    bool listed = true;
    std::uint64_t start = 1;
    std::uint32_t in_flight = 0;
    std::set<std::uint64_t> known_starts;
    /// Since when the server is known to be cold, and the answers since then.
    TimePoint cold_at = TimePoint::min();
    std::uint32_t answers = 0;
    /// When the platform announced that it starts cold, as a sequence number; zero when never.
    std::uint64_t announced = 0;
    /// Sequence number of the last sign of a restart that no answer has cleared; zero when there is
    /// none.
    std::uint64_t doubt = 0;
  };

  void Submit(std::uint32_t a, std::uint32_t b);
  void End(std::uint32_t a, std::uint32_t b);
  void Report(std::uint64_t dispatch, DispatchResult result, bool no_retry);
  void NoteReport(const AttemptRecord& attempt, DispatchResult result);
  void Probe(ServerRecord& server, std::uint32_t b);
  void Restart(std::uint32_t a);
  void SetServers();
  void SetClasses(bool with_lookup);
  void Pass(Duration time);
  void Check();
  void CheckStart(const StartDispatch& start);
  void CheckLimit(std::size_t server);
  void CheckEnd(RequestId id, bool relayed, bool may_have_run);
  void CheckProbe();

  DispatcherOptions options_;
  GroupDispatcher dispatcher_;
  PolicyActions actions_;
  TimePoint begin_{std::chrono::hours(1)};
  TimePoint now_ = begin_;
  std::uint64_t sequence_ = 0;
  std::vector<ServerRecord> servers_;
  std::map<std::uint64_t, RequestRecord> requests_;
  std::map<std::uint64_t, AttemptRecord> attempts_;
  std::set<std::uint64_t> answered_;
  LimitShare share_ = LimitShare::kNone;
  TimePoint until_;
  bool out_ = false;
  std::uint64_t probes_ = 0;
  std::map<bool, double> first_;
  std::map<bool, double> further_;
};

}  // namespace mulberry
