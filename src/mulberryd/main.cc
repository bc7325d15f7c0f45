#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <malloc.h>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <random>

#include "libgateway/gateway.h"
#include "mulberryd/entry_node.h"
#include "platform/platform.h"

ABSL_FLAG(std::string, config, "", "Settings file (INI), see examples/");
ABSL_FLAG(std::string, gateway, "",
          "Settings file (INI) of a gateway on a platform with a metadata store");
ABSL_FLAG(bool, check, false, "Check the settings and exit");

namespace mulberry {
namespace {

constexpr int kUsageErrorStatus = 1;
constexpr int kStartErrorStatus = 2;

StartId GenerateStartId() {
  std::random_device random;
  const std::uint64_t high_bits = random();
  return StartId((high_bits << 32U | random()) >> 1U | 1U);
}

template <class Node>
void StopOnSignal(asio::signal_set& signals, Node& node) {
  signals.async_wait([&](const std::error_code& error, int) {
    if (error) {
      return;
    }
    node.Stop();
    StopOnSignal(signals, node);
  });
}

int RunEntryHost(const Settings& settings) {
  LogLevel level = LogLevel::kInfo;
  ParseLogLevel(settings.log_level, &level);
  ConfigureLog(level, "mulberryd");
  asio::io_context io(1);
  const StartId start = GenerateStartId();
  EntryNode node(io, settings, start);
  asio::signal_set signals(io, SIGTERM, SIGINT);
  StopOnSignal(signals, node);
  LogEvent(LogLevel::kInfo, "started",
           {{"host", settings.host.str()},
            {"data_centre", settings.data_centre.str()},
            {"start_id", start.value()}});
  node.Start();
  io.run();
  LogEvent(LogLevel::kInfo, "stopped", {{"host", settings.host.str()}});
  return 0;
}

/// Reloads the settings at each SIGHUP; on invalid settings the current ones stay in use.
void ReloadOnSignal(asio::signal_set& signals, const std::string& file,
                    gateway::GatewayNode& node) {
  signals.async_wait([&](const std::error_code& error, int) {
    if (error) {
      return;
    }
    const auto settings = gateway::LoadGatewaySettings(file);
    if (settings) {
      node.Reload(settings.value());
    } else {
      LogEvent(LogLevel::kError, "reload_failed", {{"error", settings.error().message}});
    }
    ReloadOnSignal(signals, file, node);
  });
}

int RunGateway(asio::io_context& io, asio::signal_set& reload_signals,
               const gateway::GatewaySettings& settings, const std::string& file) {
  LogLevel level = LogLevel::kInfo;
  ParseLogLevel(settings.log_level, &level);
  ConfigureLog(level, "mulberryd", LogOutput::kBufferedStdout);
  const StartId start = GenerateStartId();
  const auto adapter = platform::MakeAdapter();
  gateway::GatewayNode node(io, settings, *adapter, start);
  asio::signal_set signals(io, SIGTERM, SIGINT);
  StopOnSignal(signals, node);
  ReloadOnSignal(reload_signals, file, node);
  LogEvent(LogLevel::kInfo, "started",
           {{"host", settings.host.str()},
            {"data_centre", settings.data_centre.str()},
            {"start_id", start.value()}});
  const auto started = node.Start();
  if (!started) {
    LogEvent(LogLevel::kError, "start_failed", {{"error", started.error().message}});
    FlushLog();
    return kStartErrorStatus;
  }
  io.run();
  FlushLog();
  return 0;
}

/// Makes free() return large blocks to the system at once. By default, glibc keeps blocks of up to
/// 32 MB after the first one was freed, in a heap that grows with each size a body passes through.
void ReturnFreedBodies() {
  constexpr int kLargeBlockBytes = 128 * 1024;
  mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
  mallopt(M_TRIM_THRESHOLD, 2 * kLargeBlockBytes);
}

int GatewayMain(const std::string& file) {
  ReturnFreedBodies();
  asio::io_context io(1);
  // Registered before the settings are read: a SIGHUP during startup is then neither lost nor
  // terminates the process.
  asio::signal_set reload_signals(io, SIGHUP);
  const auto settings = gateway::LoadGatewaySettings(file);
  if (!settings) {
    std::fprintf(stderr, "mulberryd: %s\n", settings.error().message.c_str());
    return kUsageErrorStatus;
  }
  if (absl::GetFlag(FLAGS_check)) {
    std::printf("%s: ok\n", file.c_str());
    return 0;
  }
  return RunGateway(io, reload_signals, settings.value(), file);
}

int Main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "mulberryd --config=FILE [--check]\n"
      "mulberryd --gateway=FILE [--check]\n"
      "Runs one entry host.\n"
      "  --config=FILE   settings of an entry host with peers and a log service (INI)\n"
      "  --gateway=FILE  settings of a gateway on a platform with a metadata store (INI)\n"
      "  --check         check the settings and exit");
  absl::ParseCommandLine(argc, argv);
  if (const std::string gateway_file = absl::GetFlag(FLAGS_gateway); !gateway_file.empty()) {
    return GatewayMain(gateway_file);
  }
  const std::string file = absl::GetFlag(FLAGS_config);
  if (file.empty()) {
    std::fprintf(stderr, "mulberryd: --config=FILE or --gateway=FILE is required\n");
    return kUsageErrorStatus;
  }
  const auto settings = LoadSettings(file);
  if (!settings) {
    std::fprintf(stderr, "mulberryd: %s\n", settings.error().message.c_str());
    return kUsageErrorStatus;
  }
  if (absl::GetFlag(FLAGS_check)) {
    std::printf("%s: ok\n", file.c_str());
    return 0;
  }
  return RunEntryHost(settings.value());
}

}  // namespace
}  // namespace mulberry

int main(int argc, char** argv) { return mulberry::Main(argc, argv); }
