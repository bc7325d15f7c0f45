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
/// The lease must outlast this many heartbeats.
constexpr int kHeartbeatsPerLease = 3;

Taker Secret(std::string* target) {
  return [target](const std::string& text) -> std::string {
    if (text.size() < kMinSecretBytes || text.size() > kMaxSecretBytes) {
      return fmt::format("{} to {} bytes", kMinSecretBytes, kMaxSecretBytes);
    }
    *target = text;
    return "";
  };
}

std::vector<Key> KeysOf(Settings* s) {
  constexpr bool kRequired = true;
  return {
      {"host", "name", kRequired, ItemName(&s->host)},
      {"host", "data_centre", kRequired, ItemName(&s->data_centre)},
      {"host", "ip", kRequired, IpNumber(&s->listen_ip)},
      {"host", "caller_port", kRequired, Port(&s->caller_port)},
      {"host", "peer_port", kRequired, Port(&s->peer_port)},
      {"host", "metrics_port", kRequired, Port(&s->metrics_port)},
      {"platform", "address", kRequired, Address(&s->platform_address)},
      {"platform", "host_list_interval_ms", false,
       Milliseconds(50, 60'000, &s->host_list_interval)},
      {"platform", "timeout_ms", false, Milliseconds(100, 60'000, &s->platform_timeout)},
      {"fleet", "ticket_secret", kRequired, Secret(&s->ticket_secret)},
      {"fleet", "heartbeat_interval_ms", false, Milliseconds(10, 10'000, &s->heartbeat_interval)},
      {"fleet", "lease_time_ms", false, Milliseconds(100, 30'000, &s->lease_time)},
      {"fleet", "address_ttl_ms", false, Milliseconds(100, 60'000, &s->address_ttl)},
      {"fleet", "ticket_ttl_ms", false, Milliseconds(1000, 600'000, &s->ticket_ttl)},
      {"fleet", "gateways", false, Count(1, 16, "hosts", &s->gateways)},
      {"limits", "max_connections", false, Count(1, 100'000, "connections", &s->max_connections)},
      {"limits", "max_requests", false, Count(1, 1'000'000, "requests", &s->max_requests)},
      {"limits", "max_body_bytes", false, Count(0, 64 << 20, "bytes", &s->max_body_bytes)},
      {"limits", "max_head_bytes", false, Count(1024, 1 << 20, "bytes", &s->max_head_bytes)},
      {"limits", "head_timeout_ms", false, Milliseconds(100, 60'000, &s->head_timeout)},
      {"limits", "default_deadline_ms", false, Milliseconds(1, 600'000, &s->default_deadline)},
      {"limits", "max_deadline_ms", false, Milliseconds(1, 600'000, &s->max_deadline)},
      {"limits", "max_depth", false, Count(1, 32, "calls", &s->max_depth)},
      {"policy", "queue_per_slot", false, Count(0, 1000, "requests", &s->queue_per_slot)},
      {"policy", "max_attempts", false, Count(1, 10, "attempts", &s->max_attempts)},
      {"policy", "retry_budget", false,
       Fraction(0, 1, "share of first attempts", &s->retry_budget)},
      {"policy", "cold_slots", false, Count(1, 1000, "slots", &s->cold_slots)},
      {"policy", "cold_hold_ms", false, Milliseconds(100, 600'000, &s->cold_hold)},
      {"policy", "idle_recheck_ms", false, Milliseconds(100, 3'600'000, &s->idle_recheck)},
      {"routing", "naive", false, Boolean(&s->naive)},
      {"log", "level", false, LevelName(&s->log_level)},
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
      parser->FaultAt("host", ports[i].first, fmt::format("must differ from {}", ports[j].first));
    }
  }
}

void CheckTimes(const Settings& settings, IniParser* parser) {
  if (settings.lease_time < kHeartbeatsPerLease * settings.heartbeat_interval) {
    parser->FaultAt(
        "fleet", "lease_time_ms",
        fmt::format("must be at least {} times heartbeat_interval_ms = {} (milliseconds)",
                    kHeartbeatsPerLease, ToMilliseconds(settings.heartbeat_interval)),
        ToMilliseconds(settings.lease_time));
  }
  if (settings.default_deadline > settings.max_deadline) {
    parser->FaultAt("limits", "default_deadline_ms",
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
