#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <random>

#include "soak/callers.h"
#include "soak/fleet.h"

namespace mulberry::soak {

/// Changes the workspace that holds the callers' key while a burst of requests waits in the hosts'
/// queues: another name, another priority, none, also several versions in quick succession. Only
/// for the io_context's thread.
class WorkspaceChanges {
 public:
  WorkspaceChanges(asio::io_context& io, Fleet& fleet, Callers& callers, std::uint64_t seed)
      : fleet_(fleet), callers_(callers), random_(seed), timer_(io) {}

  void Start() { Wait(); }
  void Heal() { timer_.cancel(); }

 private:
  void Wait();
  void Change();
  void After(std::chrono::milliseconds time, void (WorkspaceChanges::*next)());
  std::size_t Random(std::size_t below) { return random_() % below; }

  Fleet& fleet_;
  Callers& callers_;
  std::mt19937_64 random_;
  asio::steady_timer timer_;
  std::size_t changes_left_ = 0;  ///< In the series that is under way.
};

}  // namespace mulberry::soak
