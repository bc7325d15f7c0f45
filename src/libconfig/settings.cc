#include "libconfig/settings.h"

#include <fmt/format.h>

#include <array>
#include <fstream>
#include <sstream>
#include <utility>

#include "libconfig/ini_parser.h"

namespace mulberry {

namespace {

constexpr std::size_t kMinSecretBytes = 16;
constexpr std::size_t kMaxSecretBytes = 128;
/// Minimum ratio of the lease time to the heartbeat interval.
constexpr int kMinHeartbeatsPerLease = 3;
/// Room for an answer of the largest size while its buffer grows.
constexpr std::uint64_t kMinAnswerMemory = std::uint64_t{16} << 20;
constexpr std::uint64_t kMaxAnswerMemory = std::uint64_t{4} << 30;

ValueParser SecretParser(std::string* target) {
  return [target](const std::string& text) -> std::string {
    if (text.size() < kMinSecretBytes || text.size() > kMaxSecretBytes) {
      return fmt::format("{} to {} bytes", kMinSecretBytes, kMaxSecretBytes);
    }
    *target = text;
    return "";
  };
}

std::vector<IniKey> KeysOf(Settings* settings) {
  constexpr bool kRequired = true;
  return {
      {"host", "name", kRequired, ItemNameParser(&settings->host)},
      {"host", "data_centre", kRequired, ItemNameParser(&settings->data_centre)},
      {"host", "ip", kRequired, IpAddressParser(&settings->listen_ip)},
      {"host", "caller_port", kRequired, PortParser(&settings->caller_port)},
      {"host", "peer_port", kRequired, PortParser(&settings->peer_port)},
      {"host", "metrics_port", kRequired, PortParser(&settings->metrics_port)},
      {"platform", "address", kRequired, AddressParser(&settings->platform_address)},
      {"platform", "host_list_interval_ms", false,
       MillisecondsParser(50, 60'000, &settings->host_list_interval)},
      {"platform", "timeout_ms", false,
       MillisecondsParser(100, 60'000, &settings->platform_timeout)},
      {"fleet", "ticket_secret", kRequired, SecretParser(&settings->ticket_secret)},
      {"fleet", "heartbeat_interval_ms", false,
       MillisecondsParser(10, 10'000, &settings->heartbeat_interval)},
      {"fleet", "lease_time_ms", false, MillisecondsParser(100, 30'000, &settings->lease_time)},
      {"fleet", "address_ttl_ms", false, MillisecondsParser(100, 60'000, &settings->address_ttl)},
      {"fleet", "ticket_ttl_ms", false, MillisecondsParser(1000, 600'000, &settings->ticket_ttl)},
      {"fleet", "gateways", false, CountParser(1, 16, "hosts", &settings->gateways)},
      {"limits", "max_connections", false,
       CountParser(1, 100'000, "connections", &settings->max_connections)},
      {"limits", "max_requests", false,
       CountParser(1, 1'000'000, "requests", &settings->max_requests)},
      {"limits", "max_body_bytes", false,
       CountParser(0, 64 << 20, "bytes", &settings->max_body_bytes)},
      {"limits", "max_head_bytes", false,
       CountParser(1024, 1 << 20, "bytes", &settings->max_head_bytes)},
      {"limits", "answer_memory_bytes", false,
       CountParser(kMinAnswerMemory, kMaxAnswerMemory, "bytes", &settings->answer_memory_bytes)},
      {"limits", "head_timeout_ms", false,
       MillisecondsParser(100, 60'000, &settings->head_timeout)},
      {"limits", "default_deadline_ms", false,
       MillisecondsParser(1, 600'000, &settings->default_deadline)},
      {"limits", "max_deadline_ms", false, MillisecondsParser(1, 600'000, &settings->max_deadline)},
      {"limits", "max_depth", false, CountParser(1, 32, "calls", &settings->max_depth)},
      {"policy", "queue_per_slot", false,
       CountParser(0, 1000, "requests", &settings->queue_per_slot)},
      {"policy", "max_attempts", false, CountParser(1, 10, "attempts", &settings->max_attempts)},
      {"policy", "retry_budget", false,
       DecimalParser(0, 1, "share of first attempts", &settings->retry_budget)},
      {"policy", "cold_slots", false, CountParser(1, 1000, "slots", &settings->cold_slots)},
      {"policy", "cold_hold_ms", false, MillisecondsParser(100, 600'000, &settings->cold_hold)},
      {"policy", "idle_recheck_ms", false,
       MillisecondsParser(100, 3'600'000, &settings->idle_recheck)},
      {"routing", "naive", false, BooleanParser(&settings->naive)},
      {"log", "level", false, LogLevelParser(&settings->log_level)},
  };
}

void CheckPorts(const Settings& settings, IniParser* parser) {
  const std::array<std::pair<const char*, std::uint16_t>, 3> ports = {
      {{"caller_port", settings.caller_port},
       {"peer_port", settings.peer_port},
       {"metrics_port", settings.metrics_port}}};
  for (std::size_t i = 0; i < ports.size(); ++i) {
    for (std::size_t j = 0; j < i; ++j) {
      if (ports[i].second == 0 || ports[i].second != ports[j].second) continue;
      parser->AddErrorAt("host", ports[i].first,
                         fmt::format("must differ from {}", ports[j].first));
    }
  }
}

void CheckTimes(const Settings& settings, IniParser* parser) {
  if (settings.lease_time < kMinHeartbeatsPerLease * settings.heartbeat_interval) {
    parser->AddErrorAt(
        "fleet", "lease_time_ms",
        fmt::format("must be at least {} times heartbeat_interval_ms = {} (milliseconds)",
                    kMinHeartbeatsPerLease, ToMilliseconds(settings.heartbeat_interval)),
        ToMilliseconds(settings.lease_time));
  }
  if (settings.default_deadline > settings.max_deadline) {
    parser->AddErrorAt("limits", "default_deadline_ms",
                       fmt::format("must be at most max_deadline_ms = {} (milliseconds)",
                                   ToMilliseconds(settings.max_deadline)),
                       ToMilliseconds(settings.default_deadline));
  }
}

}  // namespace

Result<Settings> ParseSettings(const std::string& text, const std::string& file) {
  Settings settings;
  IniParser parser(text, file, KeysOf(&settings));
  parser.Parse();
  CheckPorts(settings, &parser);
  CheckTimes(settings, &parser);
  const auto finished = parser.Finish();
  if (!finished) return finished.error();
  return settings;
}

Result<Settings> LoadSettings(const std::string& file) {
  std::ifstream stream(file);
  if (!stream) return Fail(ErrorCode::kNotFound, file + ": cannot be opened");
  std::ostringstream text;
  text << stream.rdbuf();
  return ParseSettings(text.str(), file);
}

}  // namespace mulberry
