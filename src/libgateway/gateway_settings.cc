#include "libgateway/gateway_settings.h"

#include <fstream>
#include <sstream>
#include <vector>

#include "libconfig/config.h"

namespace mulberry::gateway {
namespace {

/// Turns rollouts on when a setting of them is present.
rollout::Limits& RolloutLimits(GatewaySettings* s) {
  if (!s->rollout) s->rollout.emplace();
  return *s->rollout;
}

std::vector<IniKey> KeysOf(GatewaySettings* s) {
  constexpr bool kRequired = true;
  return {
      {"host", "name", kRequired, ItemNameParser(&s->host)},
      {"host", "data_centre", kRequired, ItemNameParser(&s->data_centre)},
      {"host", "ip", kRequired, IpAddressParser(&s->ip)},
      {"host", "processor_share", false, DecimalParser(0.001, 1024, "cores", &s->processor_share)},
      {"host", "memory_mb", false, CountParser(32, 1'048'576, "MiB", &s->memory_mb)},
      {"host", "link_mbps", false, DecimalParser(0.01, 1e6, "megabits per second", &s->link_mbps)},
      {"listen", "callers", kRequired, AddressParser(&s->callers)},
      {"listen", "readiness", kRequired, AddressParser(&s->readiness)},
      {"listen", "directory", kRequired, AddressParser(&s->directory)},
      {"listen", "peer_port", kRequired, PortParser(&s->peer_port)},
      {"listen", "metrics_port", kRequired, PortParser(&s->metrics_port)},
      {"store", "address", kRequired, AddressParser(&s->store_address)},
      {"store", "first_start", false, BooleanParser(&s->first_start)},
      {"store", "server_heartbeat_ms", false,
       MillisecondsParser(50, 600'000, &s->server_heartbeat)},
      {"store", "leaving_bound_ms", false, MillisecondsParser(200, 600'000, &s->leaving_bound)},
      {"callers", "longest_ttl_s", false,
       IntegerParser(1, 3600, "seconds",
                     [s](std::uint64_t value) { s->longest_ttl = std::chrono::seconds(value); })},
      {"callers", "grace_s", false,
       IntegerParser(1, 3600, "seconds",
                     [s](std::uint64_t value) { s->grace = std::chrono::seconds(value); })},
      {"budget", "retry_ratio", false,
       DecimalParser(0, 10, "fraction of the requests of a service", &s->retries.ratio)},
      {"budget", "retry_window_s", false,
       IntegerParser(
           1, 3600, "seconds",
           [s](std::uint64_t value) { s->retries.window = std::chrono::seconds(value); })},
      {"budget", "retry_slack", false,
       DecimalParser(0, 1e9, "attempts per window over all hosts", &s->retries.slack)},
      {"budget", "cold_overage", false,
       DecimalParser(1, 100, "multiple of the cold rate", &s->cold_overage)},
      {"budget", "cold_slack", false, CountParser(0, 1'000'000, "requests", &s->cold_slack)},
      {"rollout", "canary_share", false,
       [s](const std::string& text) {
         return DecimalParser(0, 1, "fraction of the requests of a service",
                              &RolloutLimits(s).canary_share)(text);
       }},
      {"rollout", "canary_slack", false,
       [s](const std::string& text) {
         return CountParser(0, 1'000'000, "requests", &RolloutLimits(s).canary_slack)(text);
       }},
      {"rollout", "rollback_ms", false,
       [s](const std::string& text) {
         return MillisecondsParser(100, 600'000, &RolloutLimits(s).rollback_bound)(text);
       }},
      {"workspaces", "strict_revocation", false, BooleanParser(&s->revocation.strict)},
      {"workspaces", "revocation_bound_ms", false,
       MillisecondsParser(500, 600'000, &s->revocation.bound)},
      {"workspaces", "cap_window_s", false,
       IntegerParser(1, 3600, "seconds",
                     [s](std::uint64_t value) { s->caps.window = std::chrono::seconds(value); })},
      {"workspaces", "cap_overage", false,
       DecimalParser(0, 10, "fraction of a cap", &s->caps.overage)},
      {"workspaces", "cap_slack", false, CountParser(0, 1'000'000, "requests", &s->caps.slack)},
      {"placement", "spill", false, BooleanParser(&s->spill)},
      {"placement", "data_centre_delay_us", false,
       IntegerParser(0, 1'000'000, "microseconds",
                     [s](std::uint64_t value) {
                       s->spill_costs.one_way = std::chrono::microseconds(value);
                     })},
      {"placement", "price_ms_per_mib", false,
       DecimalParser(0, 1e6, "milliseconds per MiB", &s->spill_costs.price_ms_per_mib)},
      {"log", "level", false, LogLevelParser(&s->log_level)},
  };
}

}  // namespace

Result<GatewaySettings> ParseGatewaySettings(const std::string& text, const std::string& file) {
  GatewaySettings settings;
  IniParser parser(text, file, KeysOf(&settings));
  parser.Parse();
  const auto finished = parser.Finish();
  if (!finished) return finished.error();
  return settings;
}

Result<GatewaySettings> LoadGatewaySettings(const std::string& file) {
  std::ifstream stream(file);
  if (!stream) return Fail(ErrorCode::kNotFound, file + ": cannot be opened");
  std::ostringstream text;
  text << stream.rdbuf();
  return ParseGatewaySettings(text.str(), file);
}

}  // namespace mulberry::gateway
