#pragma once

#include <asio/io_context.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "platform/fake_backend_server.h"
#include "platform/fake_store.h"
#include "scenarios/runner/child_process.h"
#include "scenarios/runner/port_block.h"
#include "scenarios/runner/relay.h"

namespace mulberry::soak {

/// Bounds of the promises that the soak checks, as in the settings of its hosts.
constexpr std::chrono::milliseconds kLeavingBound{2000};
constexpr std::chrono::seconds kGrace{6};

/// The key of all callers.
constexpr char kCallerKey[] = "soak-caller-key";

/// The workspace that holds kCallerKey.
struct Workspace {
  std::string name;
  std::size_t priority = 0;
};

/// One entry host: a real process, which reaches the store through a relay of its own.
struct Host {
  std::string name;
  std::string data_centre;
  std::string ip;
  std::string settings_file;
  std::uint16_t callers = 0;
  std::uint16_t readiness = 0;
  std::uint16_t directory = 0;
  std::unique_ptr<scenario::Relay> store_link;
  scenario::ChildProcess process;
  /// The process is meant to run: its end is a failure unless a fault ended it.
  bool expected = false;
  bool first_start = true;
  bool paused = false;
  bool stopping = false;
  /// When the platform kills the process of a planned stop; none for one that was also paused.
  std::optional<TimePoint> stop_bound;

  std::string address() const { return ip + ":" + std::to_string(callers); }
};

/// The begin of a host's planned stop.
struct PlannedStop {
  std::string address;
  TimePoint began;
};

/// One backend server in this process, reached through a relay.
struct Backend {
  std::unique_ptr<platform::FakeBackendServer> server;
  std::unique_ptr<scenario::Relay> link;
  std::string data_centre;
  bool registered = false;
  std::optional<TimePoint> left;
  std::int64_t born = 0;
  std::optional<std::string> entry;  ///< In the store; none when removed.
};

/// The system under test with its stand-ins: hosts of two data centres, backend servers of two
/// services, the store. Only for the io_context's thread.
class Fleet {
 public:
  struct Options {
    std::string program;
    std::string folder;  ///< For settings and logs.
    int hosts_per_data_centre = 3;
    int backends_per_service = 4;
  };

  Fleet(asio::io_context& io, Options options);

  void StartHost(Host& host);
  /// Sends a signal; a kill is not followed by a start.
  void Signal(Host& host, int signal);
  /// Starts the hosts that have ended; returns the names of those whose end nobody caused.
  std::vector<std::string> RestartEnded();
  /// Kills the hosts whose grace time is over, as the platform does; returns their names.
  std::vector<std::string> KillOverdue();

  void Register(Backend& backend, const std::string& state = "ready");
  void Unregister(Backend& backend);
  /// Writes a new configuration in which writes go to this service.
  void Configure(const std::string& write_service);
  /// Writes a new configuration with this workspace, or with none; later ones keep it.
  void ConfigureWorkspace(std::optional<Workspace> workspace);
  void SetOut(const std::string& data_centre, bool out);

  /// Keeps a copy of the store's topics for FakeStore::Restore.
  void SaveCopy();
  /// The operator writes the newest of what it has written since the copy again.
  void WriteOperatorAgain();
  /// The server writes its entry, or its removal, again.
  void WriteAgain(const Backend& backend);

  std::vector<std::unique_ptr<Host>>& hosts() { return hosts_; }
  std::vector<std::unique_ptr<Backend>>& backends() { return backends_; }
  platform::FakeStore& store() { return store_; }
  const std::vector<PlannedStop>& stops() const { return stops_; }
  const std::string& write_service() const { return write_service_; }

 private:
  void WriteSettings(const Host& host) const;
  void PutEntry(Backend& backend, std::optional<std::string> entry);
  void PutOperator(const std::string& key, const std::optional<std::string>& value);

  asio::io_context& io_;
  Options options_;
  scenario::PortBlock ports_;
  platform::FakeStore store_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::vector<std::unique_ptr<Backend>> backends_;
  std::vector<PlannedStop> stops_;
  /// What the operator has written since the copy, by key.
  std::map<std::string, std::optional<std::string>> operator_writes_;
  std::string write_service_;
  std::optional<Workspace> workspace_;
  std::uint16_t store_port_ = 0;
  std::uint16_t peer_port_ = 0;
  std::uint16_t metrics_port_ = 0;
  int version_ = 0;
};

}  // namespace mulberry::soak
