#pragma once

#include <optional>
#include <string>
#include <vector>

#include "libbase/base.h"

namespace mulberry {

/// Values of the command line flags. An empty optional means that the flag was not given.
struct Options {
  std::string platform;  ///< "ip:port".
  /// "ip:port" of entry hosts; empty: all that the platform lists.
  std::vector<std::string> entry_addresses;
  std::string author;
  bool json = false;
  bool force = false;
  Duration timeout = std::chrono::seconds(10);
  std::optional<std::uint64_t> base;
  std::optional<std::string> service;
  std::optional<bool> idempotent;
  std::optional<double> latency_ms;
  std::optional<double> reliability;
  std::optional<double> probes_per_second;
};

/// Parses the flags and returns the positional arguments. Ends the process with status 1 on an
/// unknown or malformed flag. Precondition: called once, from main.
std::vector<std::string> ParseFlags(int argc, char** argv, Options* options);

}  // namespace mulberry
