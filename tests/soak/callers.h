#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "libgateway/connection_pool.h"
#include "soak/fleet.h"

namespace mulberry::soak {

/// One request as its caller saw it.
struct Sent {
  bool unsafe = false;
  std::string host;
  TimePoint at;
  TimePoint ended;
  int status = 0;  ///< Zero without an answer.
  std::string body;
  std::string signature;
};

/// Callers that ask the directory where to connect, keep the answer, and use kept connections until
/// they close. Only for the io_context's thread.
class Callers {
 public:
  Callers(asio::io_context& io, Fleet& fleet, std::uint64_t seed);
  ~Callers();
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  void Start();
  void Stop() { stopped_ = true; }

  /// Sends a request, with an id that starts with `kind`, on a connection to the host at `address`.
  /// Calls `done` when the connection is free again or has failed.
  void SendOn(const std::shared_ptr<gateway::HttpClientConnection>& link,
              const std::string& address, const std::string& kind, std::function<void()> done);

  /// Sends many requests at once.
  void Burst(std::size_t requests);

  /// Requests by id.
  const std::map<std::string, Sent>& sent() const { return sent_; }
  std::size_t running() const { return running_.size(); }

 private:
  /// What the callers of one data centre know.
  struct Book {
    std::vector<std::string> addresses;
    TimePoint asked;
  };

  void Tick();
  void Ask(const std::string& data_centre);
  void Send(const std::string& data_centre);
  std::size_t Random(std::size_t below) { return random_() % below; }

  asio::io_context& io_;
  Fleet& fleet_;
  std::mt19937_64 random_;
  gateway::ConnectionPool links_;
  asio::steady_timer timer_;
  std::map<std::string, Book> books_;
  std::map<std::string, Sent> sent_;
  /// Links of requests that are not answered, by id.
  std::map<std::string, std::shared_ptr<gateway::HttpClientConnection>> running_;
  std::uint64_t next_ = 1;
  bool stopped_ = false;
};

}  // namespace mulberry::soak
