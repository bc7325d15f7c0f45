#pragma once

#include <map>
#include <string>
#include <vector>

#include "libpolicy/policy.h"

namespace mulberry {

inline constexpr Duration kMs = std::chrono::milliseconds(1);
/// Class of idempotent requests.
inline ClassName Lookup() { return ClassName("lookup"); }
/// Class of non-idempotent requests.
inline ClassName Reserve() { return ClassName("reserve"); }

/// A dispatcher with a clock that the test controls and the actions collected since Clear().
class Harness {
 public:
  explicit Harness(int servers = 1, std::uint32_t slots = 4,
                   DispatcherOptions options = WithShortHold());

  /// Default options with cold_hold reduced to the length of one step of the cold ramp.
  static DispatcherOptions WithShortHold();

  /// Brings every server to its warm limit with answers that take 10 ms.
  void WarmUp();
  void Advance(Duration time) { now += time; }
  /// Advances the clock by `time` and calls Tick whenever it is due. Returns `actions`.
  const PolicyActions& Run(Duration time);

  RequestId Submit(const ClassName& name = Lookup(), Duration deadline = 1000 * kMs,
                   bool no_retry = false, bool idempotent = true);
  void End(DispatchId dispatch, DispatchResult result = DispatchResult::kAnswered,
           bool no_retry = false);
  void SetClasses(std::vector<ClassTarget> classes);
  void EndAll(DispatchResult result = DispatchResult::kAnswered);
  void SetServers();
  void SetLimitShare(LimitShare share, Duration length = std::chrono::hours(1));
  void Probe(int server, ProbeReport report);
  void Clear() { actions.clear(); }

  /// Returns the actions of one type in `actions`.
  template <class T>
  std::vector<T> All() const {
    std::vector<T> found;
    for (const PolicyAction& action : actions) {
      if (const auto* typed_action = std::get_if<T>(&action)) found.push_back(*typed_action);
    }
    return found;
  }
  template <class T>
  std::size_t Count() const {
    return All<T>().size();
  }
  ServerState State(int server) const;
  std::uint32_t Limit(int server = 0) const { return State(server).limit; }
  std::string StateName(int server = 0) const { return State(server).state; }

  struct RunningAttempt {
    std::string server;
    RequestId request;
    std::uint64_t start = 0;
  };

  std::vector<ServerInfo> infos;
  std::vector<std::uint64_t> starts;
  TimePoint now{std::chrono::hours(1)};
  PolicyActions actions;
  GroupDispatcher dispatcher;
  /// Running attempts by dispatch id, with the start id of their server.
  std::map<std::uint64_t, RunningAttempt> running;
  std::uint64_t last_request = 0;

 private:
  void TrackStarted(std::size_t first_new);
};

}  // namespace mulberry
