#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "soak/kept_address_callers.h"

namespace mulberry::soak {

/// Planned stops of hosts that callers keep busy until the end: two in series in one data centre,
/// and one in the other data centre that overlaps with them. Only for the io_context's thread.
class BusyStops {
 public:
  BusyStops(asio::io_context& io, Fleet& fleet, Callers& callers, std::uint64_t seed);

  void Start();
  /// All stopped processes have ended.
  bool finished() const;

 private:
  /// One host's stop.
  struct Stop {
    Stop(asio::io_context& io, Host& stopped) : host(stopped), timer(io) {}
    Host& host;
    asio::steady_timer timer;
    std::unique_ptr<KeptAddressCallers> callers;
    Stop* next = nullptr;
  };

  void Use(Stop& stop);
  void AwaitEnd(Stop& stop);
  std::size_t Random(std::size_t below) { return random_() % below; }

  asio::io_context& io_;
  Fleet& fleet_;
  Callers& callers_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Stop>> stops_;
};

}  // namespace mulberry::soak
