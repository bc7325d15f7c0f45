#include "harness.h"

#include <algorithm>
#include <utility>

namespace mulberry {

Harness::Harness(int servers, std::uint32_t slots, DispatcherOptions options)
    : dispatcher(options) {
  for (int i = 0; i < servers; ++i) {
    infos.push_back({ServerName("s" + std::to_string(i)), slots, false, false});
    starts.push_back(static_cast<std::uint64_t>(100 + i));
  }
  dispatcher.SetClasses({{Lookup(), true, 100 * kMs, 0.99}, {Reserve(), false, 200 * kMs, 0.999}},
                        now, actions);
  SetServers();
  SetLimitShare(LimitShare::kFull);
}

DispatcherOptions Harness::WithShortHold() {
  DispatcherOptions options;
  options.cold_hold = options.cold_step;
  return options;
}

void Harness::WarmUp() {
  const auto warm = [this] {
    const auto states = dispatcher.Servers(now);
    return std::all_of(states.begin(), states.end(),
                       [](const ServerState& s) { return s.state == "warm" && s.reason.empty(); });
  };
  for (int round = 0; round < 500 && !warm(); ++round) {
    for (std::size_t i = 0; i < 2 * infos.size() * infos[0].slots; ++i) {
      Submit(i % 2 == 0 ? Lookup() : Reserve());
    }
    Advance(10 * kMs);
    while (!running.empty()) EndAll();
  }
  Clear();
}

const PolicyActions& Harness::Run(Duration time) {
  const TimePoint end = now + time;
  while (dispatcher.NextTick() <= end) {
    now = std::max(now, dispatcher.NextTick());
    const std::size_t first_new = actions.size();
    dispatcher.Tick(now, actions);
    TrackStarted(first_new);
  }
  now = end;
  return actions;
}

RequestId Harness::Submit(const ClassName& name, Duration deadline, bool no_retry,
                          bool idempotent) {
  const RequestId id(++last_request);
  const std::size_t first_new = actions.size();
  dispatcher.Submit({id, name, now, now + deadline, no_retry, idempotent}, now, actions);
  TrackStarted(first_new);
  return id;
}

void Harness::SetClasses(std::vector<ClassTarget> classes) {
  const std::size_t first_new = actions.size();
  dispatcher.SetClasses(std::move(classes), now, actions);
  TrackStarted(first_new);
}

void Harness::End(DispatchId dispatch, DispatchResult result, bool no_retry) {
  DispatchReport report{dispatch, result, StartId(), no_retry};
  if (result == DispatchResult::kAnswered || result == DispatchResult::kServerError ||
      result == DispatchResult::kShed) {
    report.server_start = StartId(running[dispatch.value()].start);
  }
  running.erase(dispatch.value());
  const std::size_t first_new = actions.size();
  dispatcher.OnDispatchEnd(report, now, actions);
  TrackStarted(first_new);
}

void Harness::EndAll(DispatchResult result) {
  const auto ended = running;
  for (const auto& [dispatch, attempt] : ended) End(DispatchId(dispatch), result);
}

void Harness::SetServers() {
  const std::size_t first_new = actions.size();
  dispatcher.SetServers(infos, now, actions);
  TrackStarted(first_new);
}

void Harness::SetLimitShare(LimitShare share, Duration length) {
  const std::size_t first_new = actions.size();
  dispatcher.SetLimitShare(share, now + length, now, actions);
  TrackStarted(first_new);
}

void Harness::Probe(int server, ProbeReport report) {
  report.server = infos[static_cast<std::size_t>(server)].name;
  const std::size_t first_new = actions.size();
  dispatcher.OnProbe(report, now, actions);
  TrackStarted(first_new);
}

ServerState Harness::State(int server) const {
  const ServerName& name = infos[static_cast<std::size_t>(server)].name;
  for (const ServerState& state : dispatcher.Servers(now)) {
    if (state.name == name) return state;
  }
  return {};
}

void Harness::TrackStarted(std::size_t first_new) {
  for (std::size_t i = first_new; i < actions.size(); ++i) {
    const auto* start = std::get_if<StartDispatch>(&actions[i]);
    if (start == nullptr) continue;
    const auto index = std::stoul(start->server.str().substr(1));
    running[start->dispatch.value()] = {start->server.str(), start->request, starts[index]};
  }
}

}  // namespace mulberry
