#pragma once

#include <map>
#include <ostream>
#include <set>
#include <vector>

#include "libpolicy/policy.h"

namespace mulberry {

/// One step of a random run: a kind of event and two random parameters.
struct Step {
  int kind = 0;
  std::uint32_t param1 = 0;
  std::uint32_t param2 = 0;
};

std::ostream& operator<<(std::ostream& out, const Step& step);

/// Simulates servers, callers and a lease that behave at random, and checks every action of the
/// dispatcher against its own record of their state. A violation fails the RapidCheck property.
class RandomSimulation {
 public:
  RandomSimulation(std::uint32_t servers, std::uint32_t slots, DispatcherOptions options);

  void Execute(const Step& step);
  /// Ends all attempts and checks that each request has ended once.
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
    std::uint64_t start_sequence = 0;
    bool cancelled = false;
  };
  struct ServerRecord {
    ServerInfo info;
    bool listed = true;
    std::uint64_t start = 1;
    std::uint32_t in_flight = 0;
    std::set<std::uint64_t> known_starts;
    /// Time since which the server is known to be cold, and the number of answers since then.
    TimePoint cold_since = TimePoint::min();
    std::uint32_t answers_since_cold = 0;
    /// Sequence number at which the platform announced a cold start; zero when never.
    std::uint64_t announced_sequence = 0;
    /// Sequence number of the last sign of a restart that no answer has cleared since; zero when
    /// there is none.
    std::uint64_t unverified_since = 0;
  };

  void Submit(std::uint32_t param1, std::uint32_t param2);
  void End(std::uint32_t param1, std::uint32_t param2);
  void Report(std::uint64_t dispatch, DispatchResult result, bool no_retry);
  void RecordReport(const AttemptRecord& attempt, DispatchResult result);
  void Probe(ServerRecord& server, std::uint32_t param2);
  void Restart(std::uint32_t param1);
  void SetServers();
  void SetClasses(bool with_lookup);
  void AdvanceTime(Duration time);
  void CheckActions();
  void CheckStart(const StartDispatch& start);
  void CheckLimit(std::size_t server);
  void CheckRequestEnd(RequestId id, bool relayed, bool may_have_run);
  void CheckProbe();

  DispatcherOptions options_;
  GroupDispatcher dispatcher_;
  PolicyActions actions_;
  TimePoint start_time_{std::chrono::hours(1)};
  TimePoint now_ = start_time_;
  std::uint64_t sequence_ = 0;
  std::vector<ServerRecord> servers_;
  std::map<std::uint64_t, RequestRecord> requests_;
  std::map<std::uint64_t, AttemptRecord> attempts_;
  std::set<std::uint64_t> answered_;
  LimitShare limit_share_ = LimitShare::kNone;
  TimePoint limit_share_until_;
  bool draining_ = false;
  std::uint64_t probes_ = 0;
  std::map<bool, double> first_attempts_;
  std::map<bool, double> further_attempts_;
};

}  // namespace mulberry
