#pragma once

#include <asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "standins/server/record_file.h"
#include "standins/support/support.h"

namespace mulberry {

/// Constants of one stand-in of a backend server.
struct BackendServerOptions {
  std::string name;
  std::uint32_t slots = 4;
  std::uint32_t cold_slots = 1;
  std::chrono::milliseconds cold_time{1500};
  std::uint32_t cold_requests = 8;  ///< Requests that must end before it is warm.
  double service_ms = 20;           ///< Mean run time.
  double sigma = 0.5;               ///< Of the run time's logarithm.
  std::chrono::milliseconds probe_time{6};
  std::uint64_t seed = 1;
  bool start_warm = false;
  std::string record;
};

/// Faults and moods that /admin/mode sets.
struct BackendServerMode {
  double slow = 1;
  bool fail = false;
  bool shed = false;
  bool drain = false;
  bool lie = false;
  bool mid_body = false;
  std::int64_t hold_ms = 0;
  std::int64_t burst_period_ms = 0;
  std::int64_t burst_length_ms = 0;
  double burst_factor = 1;
};

/// Stand-in for a backend server: runs each request for a lognormal time within its slots, starts
/// cold, sheds, drains, and fails on demand. Its record file says what it truly ran.
/// Only for the io_context's thread.
class BackendServer {
 public:
  BackendServer(asio::io_context& io, BackendServerOptions options);

  /// Handles one HTTP request.
  void Handle(ServerRequest request, HttpServer::Respond respond);

  /// Takes the close of a connection: its idempotent requests stop.
  void OnClosed(std::uint64_t connection);

 private:
  using Clock = std::chrono::steady_clock;

  struct Running {
    std::uint64_t number;
    ServerRequest request;
    HttpServer::Respond respond;
    asio::steady_timer timer;
  };
  struct LoadSample {
    Clock::time_point at;
    std::uint32_t in_flight;
    const char* state;
  };

  void Work(ServerRequest request, HttpServer::Respond respond);
  void Run(ServerRequest request, HttpServer::Respond respond);
  void Arm(const std::shared_ptr<Running>& running);
  void End(std::uint64_t number);
  void Overload();
  ServerAnswer Result(const ServerRequest& request) const;
  ServerAnswer NotRun(const ServerRequest& request, int status, const char* event);
  void AddIds(const ServerRequest& request, ServerAnswer& answer) const;
  void Probe(const ServerRequest& request, const HttpServer::Respond& respond);
  nlohmann::json Load(Clock::time_point now) const;
  ServerAnswer SetMode(const ServerRequest& request);
  bool SetBurst(const std::string& text);
  Clock::duration RunTime(Clock::time_point now);
  double SlowFactor(Clock::time_point now) const;
  bool Cold(Clock::time_point now) const;
  void Sample(Clock::time_point now);
  void Record(const char* event, const ServerRequest& request);

  asio::io_context& io_;
  BackendServerOptions options_;
  BackendServerMode mode_;
  RecordFile record_;
  std::mt19937_64 random_;
  std::lognormal_distribution<double> run_time_ms_;
  std::uint64_t start_id_;
  Clock::time_point started_;
  Clock::time_point overloaded_until_{};
  std::uint32_t completed_ = 0;
  std::uint64_t next_number_ = 1;
  std::map<std::uint64_t, std::shared_ptr<Running>> running_;
  std::deque<LoadSample> samples_;
};

}  // namespace mulberry
