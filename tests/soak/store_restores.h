#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <random>
#include <vector>

#include "soak/fleet.h"

namespace mulberry::soak {

/// Lets the store come back from older copies, one after another: after each return the operator
/// and the backend servers write again what was lost. Only for the io_context's thread.
class StoreRestores {
 public:
  StoreRestores(asio::io_context& io, Fleet& fleet, std::uint64_t seed)
      : fleet_(fleet), random_(seed), timer_(io) {}

  void Start() { Copy(); }
  /// Ends the restore that is under way; what was lost is written again at once.
  void Heal();

 private:
  using Milliseconds = std::chrono::milliseconds;

  void Copy();
  void Change();
  void GoAway();
  void Return();
  void WriteNext();
  void After(Milliseconds time, void (StoreRestores::*next)());
  std::size_t Random(std::size_t below) { return random_() % below; }

  Fleet& fleet_;
  std::mt19937_64 random_;
  asio::steady_timer timer_;
  Milliseconds half_time_{};  ///< Half of the time from a copy until the store goes away.
  Milliseconds away_{};
  std::size_t most_pause_ms_ = 0;  ///< Before each write.
  bool restore_is_due_ = false;
  bool healed_ = false;
  /// Writes of what was lost.
  std::vector<std::function<void()>> writes_;
};

}  // namespace mulberry::soak
