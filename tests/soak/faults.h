#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "soak/fleet.h"

namespace mulberry::soak {

/// Injects faults at random, several at a time. Only for the io_context's thread.
class Faults {
 public:
  Faults(asio::io_context& io, Fleet& fleet, std::uint64_t seed)
      : io_(io), fleet_(fleet), random_(seed), timer_(io) {}

  void Start() { Next(); }
  /// Ends all faults that still last.
  void Heal();

 private:
  void Next();
  void Inject();
  void HostFault();
  void StoreFault();
  void LinkFault(scenario::Relay& link, const std::string& name);
  void BackendFault();
  void OperatorChange();
  /// Runs `end` after some time, at Heal at the latest.
  void Later(std::chrono::milliseconds most, std::function<void()> end);
  std::size_t Random(std::size_t below) { return random_() % below; }
  Host& AnyHost() { return *fleet_.hosts()[Random(fleet_.hosts().size())]; }
  Backend& AnyBackend() { return *fleet_.backends()[Random(fleet_.backends().size())]; }

  asio::io_context& io_;
  Fleet& fleet_;
  std::mt19937_64 random_;
  asio::steady_timer timer_;
  /// Ends of faults that still last; empty functions are over.
  std::vector<std::shared_ptr<std::function<void()>>> ends_;
  bool healed_ = false;
};

}  // namespace mulberry::soak
