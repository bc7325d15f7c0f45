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

/// A dispatcher with a clock under the test's control and the orders of the last call.
class Harness {
 public:
  explicit Harness(int servers = 1, std::uint32_t slots = 4,
                   DispatcherOptions options = WithShortHold());

  /// The default options without the hold at the start of the cold ramp.
  static DispatcherOptions WithShortHold();

  /// Brings every server to its warm limit with answers of 10 ms.
  void WarmUp();
  void Advance(Duration time) { now += time; }
  /// Calls Tick whenever it is due until `time` has passed; returns the orders of all calls.
  const PolicyActions& Run(Duration time);

  RequestId Submit(const ClassName& name = Lookup(), Duration deadline = 1000 * kMs,
                   bool no_retry = false);
  void End(DispatchId dispatch, DispatchResult result = DispatchResult::kAnswered,
           bool no_retry = false);
  void EndAll(DispatchResult result = DispatchResult::kAnswered);
  void SetServers();
  void SetLimitShare(LimitShare share, Duration length = std::chrono::hours(1));
  void Probe(int server, ProbeReport report);
  void Clear() { actions.clear(); }

  /// Orders of one kind in `actions`.
  template <class T>
  std::vector<T> All() const {
    std::vector<T> found;
    for (const PolicyAction& action : actions) {
      if (const auto* order = std::get_if<T>(&action)) found.push_back(*order);
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

  struct Running {
    std::string server;
    RequestId request;
    std::uint64_t start = 0;
  };

  std::vector<ServerInfo> infos;
  std::vector<std::uint64_t> starts;
  TimePoint now{std::chrono::hours(1)};
  PolicyActions actions;
  GroupDispatcher dispatcher;
  /// Attempts that have not been reported, with the start id of their server.
  std::map<std::uint64_t, Running> running;
  std::uint64_t last_request = 0;

 private:
  void Note(std::size_t from);
};

}  // namespace mulberry
