#include "libgateway/gateway_settings.h"

#include <fstream>
#include <sstream>
#include <vector>

#include "libconfig/config.h"

namespace mulberry::gateway {
namespace {

std::vector<Key> KeysOf(GatewaySettings* s) {
  constexpr bool kRequired = true;
  return {
      {"host", "name", kRequired, ItemName(&s->host)},
      {"host", "data_centre", kRequired, ItemName(&s->data_centre)},
      {"host", "ip", kRequired, IpNumber(&s->ip)},
      {"host", "processor_share", false, Fraction(0.001, 1024, "cores", &s->processor_share)},
      {"host", "link_mbps", false, Fraction(0.01, 1e6, "megabits per second", &s->link_mbps)},
      {"listen", "callers", kRequired, Address(&s->callers)},
      {"listen", "readiness", kRequired, Address(&s->readiness)},
      {"listen", "directory", kRequired, Address(&s->directory)},
      {"listen", "peer_port", kRequired, Port(&s->peer_port)},
      {"listen", "metrics_port", kRequired, Port(&s->metrics_port)},
      {"store", "address", kRequired, Address(&s->store_address)},
      {"store", "first_start", false, Boolean(&s->first_start)},
      {"store", "server_heartbeat_ms", false, Milliseconds(50, 600'000, &s->server_heartbeat)},
      {"store", "leaving_bound_ms", false, Milliseconds(200, 600'000, &s->leaving_bound)},
      {"callers", "longest_ttl_s", false,
       WholeNumber(1, 3600, "seconds",
                   [s](std::uint64_t value) { s->longest_ttl = std::chrono::seconds(value); })},
      {"callers", "grace_s", false,
       WholeNumber(1, 3600, "seconds",
                   [s](std::uint64_t value) { s->grace = std::chrono::seconds(value); })},
      {"budget", "retry_ratio", false,
       Fraction(0, 10, "fraction of the requests of a service", &s->retries.ratio)},
      {"budget", "retry_window_s", false,
       WholeNumber(1, 3600, "seconds",
                   [s](std::uint64_t value) { s->retries.window = std::chrono::seconds(value); })},
      {"budget", "retry_slack", false,
       Fraction(0, 1e9, "attempts per window over all hosts", &s->retries.slack)},
      {"budget", "cold_overage", false,
       Fraction(1, 100, "multiple of the cold rate", &s->cold_overage)},
      {"budget", "cold_slack", false, Count(0, 1'000'000, "requests", &s->cold_slack)},
      {"log", "level", false, LevelName(&s->log_level)},
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
