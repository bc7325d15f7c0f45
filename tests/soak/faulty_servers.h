#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <random>

#include "soak/fleet.h"

namespace mulberry::soak {

/// Makes backend servers break the protocol towards the hosts or refuse for a time, and has another
/// writer replace their entries, one after another. Only for the io_context's thread.
class FaultyServers {
 public:
  FaultyServers(asio::io_context& io, Fleet& fleet, std::uint64_t seed)
      : fleet_(fleet), random_(seed), timer_(io) {}

  void Start() { Next(); }
  /// Ends all faults that still last.
  void Heal();

 private:
  void Next();
  void Inject();
  void EndFault();
  std::size_t Random(std::size_t below) { return random_() % below; }

  Fleet& fleet_;
  std::mt19937_64 random_;
  asio::steady_timer timer_;
  Backend* faulty_ = nullptr;  ///< Null while no fault lasts.
  bool healed_ = false;
};

}  // namespace mulberry::soak
