// Runs the gateway's processes under random faults, then checks the promises of docs/promises.md.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <filesystem>

#include "soak/busy_stops.h"
#include "soak/checks.h"
#include "soak/faults.h"
#include "soak/faulty_servers.h"
#include "soak/store_restores.h"
#include "soak/workspace_changes.h"

ABSL_FLAG(std::uint64_t, seed, 1, "Seed of the faults");
ABSL_FLAG(int, fault_seconds, 12, "How long faults are injected");
ABSL_FLAG(std::string, keep, "", "Folder for settings and logs; a temporary one when empty");

namespace mulberry::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// After this time without faults, hosts are in touch with the store and each other again.
constexpr seconds kSettle{5};
/// Part of the requests of a calm time that is served at least.
constexpr double kLeastServed = 0.97;

/// One run: faults, calm, planned changes in the calm, and the checks.
class Soak {
 public:
  Soak(const Fleet::Options& options, std::uint64_t seed, seconds fault_time)
      : fleet_(io_, options),
        callers_(io_, fleet_, seed),
        faults_(io_, fleet_, seed * 7919),
        restores_(io_, fleet_, seed * 104729),
        faulty_servers_(io_, fleet_, seed * 15485863),
        workspace_changes_(io_, fleet_, callers_, seed * 32452843),
        busy_stops_(io_, fleet_, callers_, seed) {
    Prepare();
    RunFaults(fault_time);
    CheckCalm();
    CheckDrain();
    CheckConfiguration();
    const TimePoint stops_since = MonotonicClock::now();
    CheckStop();
    RunBusyStops();
    callers_.Stop();
    RunFor(seconds(4));
    for (std::string& cut : CheckStopped(callers_, fleet_, stops_since)) {
      broken_.push_back(std::move(cut));
    }
    for (std::string& fault : CheckRequests(callers_, fleet_)) broken_.push_back(std::move(fault));
  }

  const std::vector<std::string>& broken() const { return broken_; }
  std::size_t requests() const { return callers_.sent().size(); }

 private:
  void RunFor(milliseconds time) {
    const TimePoint end = MonotonicClock::now() + time;
    while (MonotonicClock::now() < end) {
      io_.run_for(milliseconds(100));
      io_.restart();
      for (std::string& overdue : fleet_.KillOverdue()) broken_.push_back(std::move(overdue));
      for (std::string& ended : fleet_.RestartEnded()) broken_.push_back(std::move(ended));
    }
  }

  void Expect(bool holds, const std::string& what) {
    if (!holds) broken_.push_back(what);
  }

  void Prepare() {
    fleet_.Configure("alpha");
    for (const auto& backend : fleet_.backends()) fleet_.Register(*backend);
    for (const auto& host : fleet_.hosts()) fleet_.StartHost(*host);
    RunFor(seconds(2));
    callers_.Start();
    RunFor(seconds(2));
  }

  void RunFaults(seconds time) {
    faults_.Start();
    restores_.Start();
    faulty_servers_.Start();
    workspace_changes_.Start();
    RunFor(time);
    workspace_changes_.Heal();
    restores_.Heal();
    faulty_servers_.Heal();
    faults_.Heal();
    RunFor(kSettle);
  }

  void CheckCalm() {
    const TimePoint since = MonotonicClock::now();
    RunFor(seconds(3));
    const double part = ServedPart(callers_, since, MonotonicClock::now() - seconds(1));
    Expect(part >= kLeastServed, "served in the calm: " + std::to_string(part));
  }

  void CheckDrain() {
    Backend& backend = *fleet_.backends().front();
    fleet_.Register(backend, "draining");
    const TimePoint bound = MonotonicClock::now() + kLeavingBound;
    RunFor(kLeavingBound + seconds(1));
    Expect(backend.server->last_arrival() <= bound, "request at a server that has left");
    fleet_.Unregister(backend);
  }

  void CheckConfiguration() {
    const std::string before = fleet_.write_service();
    const std::string after = before == "alpha" ? "beta" : "alpha";
    fleet_.Configure(after);
    RunFor(seconds(2));
    const TimePoint since = MonotonicClock::now();
    RunFor(seconds(1));
    for (const auto& [id, sent] : callers_.sent()) {
      const bool old = sent.unsafe && sent.at >= since && sent.body.starts_with(before + ":");
      if (old) broken_.push_back("handled by an older configuration: " + id);
    }
  }

  /// A planned stop loses nothing that was sent, also on connections that stay open.
  void CheckStop() {
    const TimePoint since = MonotonicClock::now();
    fleet_.Signal(*fleet_.hosts().front(), SIGTERM);
    RunFor(kGrace + seconds(1));
    const double part = ServedPart(callers_, since, MonotonicClock::now() - seconds(1));
    Expect(part >= kLeastServed, "served around a planned stop: " + std::to_string(part));
  }

  void RunBusyStops() {
    busy_stops_.Start();
    while (!busy_stops_.finished()) RunFor(milliseconds(100));
  }

  asio::io_context io_;
  Fleet fleet_;
  Callers callers_;
  Faults faults_;
  StoreRestores restores_;
  FaultyServers faulty_servers_;
  WorkspaceChanges workspace_changes_;
  BusyStops busy_stops_;
  std::vector<std::string> broken_;
};

int Main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  std::string folder = absl::GetFlag(FLAGS_keep);
  const bool keeps = !folder.empty();
  if (!keeps) {
    folder =
        (std::filesystem::temp_directory_path() / ("soak-" + std::to_string(getpid()))).string();
  }
  std::filesystem::create_directories(folder);
  Fleet::Options options;
  options.program = std::filesystem::read_symlink("/proc/self/exe").parent_path() / "mulberryd";
  options.folder = folder;
  const std::uint64_t seed = absl::GetFlag(FLAGS_seed);
  const Soak soak(options, seed, seconds(absl::GetFlag(FLAGS_fault_seconds)));
  for (const std::string& fault : soak.broken()) std::printf("BROKEN %s\n", fault.c_str());
  std::printf("seed %llu: %zu requests, %zu promises broken\n",
              static_cast<unsigned long long>(seed), soak.requests(), soak.broken().size());
  if (!keeps && soak.broken().empty()) std::filesystem::remove_all(folder);
  if (!soak.broken().empty()) std::printf("logs in %s\n", folder.c_str());
  return soak.broken().empty() ? 0 : 1;
}

}  // namespace
}  // namespace mulberry::soak

int main(int argc, char** argv) { return mulberry::soak::Main(argc, argv); }
