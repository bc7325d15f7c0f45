#include "libplacement/capacity_estimate.h"

#include <algorithm>

namespace mulberry::placement {
namespace {

/// Silent requests, less refusals, that show that servers hang when full. A single one may have
/// been lost in the network.
constexpr double kHangEvidence = 2;
/// Bounds of the evidence, so that a service whose servers are replaced by ones of the other kind
/// is learnt anew after a few requests.
constexpr double kMaxEvidence = 4;
/// Places that are left for health checks: one host checks a server, one check at a time.
constexpr std::uint32_t kHealthCheckPlaces = 1;
/// Hosts of other data centres that may use a server, with one request each. With more, the hosts
/// of its own data centre could not use all of its slots.
constexpr std::uint32_t kRemoteSenders = 2;

/// True when this host is one of the `count` among `hosts` that may use the server.
bool IsAmong(std::uint32_t count, std::uint32_t index, std::uint32_t hosts,
             std::string_view server) {
  return (StableHash(server) + index) % std::max(1U, hosts) < count;
}

}  // namespace

void CapacityEstimate::OnReport(std::uint32_t running, std::uint32_t waiting, std::uint32_t slots) {
  const std::uint32_t held = running + waiting;
  if (held > slots) longest_queue_ = std::max(longest_queue_, held - slots);
}

void CapacityEstimate::OnRefusal(double held, std::uint32_t slots) {
  if (held >= slots) Weaken();
}

void CapacityEstimate::Weaken() {
  evidence_ = std::max(evidence_ - 1, -kMaxEvidence);
  if (evidence_ <= 0) hangs_ = false;
}

bool CapacityEstimate::OnSilence(double held, std::uint32_t slots) {
  if (held <= slots) return false;
  evidence_ = std::min(evidence_ + 1, kMaxEvidence);
  if (hangs_ || evidence_ < kHangEvidence) return false;
  hangs_ = true;
  return true;
}

std::uint32_t CapacityEstimate::Capacity(std::uint32_t slots) const {
  return slots + std::max(longest_queue_, slots);
}

std::uint32_t CapacityEstimate::HostLimit(std::uint32_t slots, bool local,
                                          const SenderPosition& position,
                                          std::string_view server) const {
  const std::uint32_t remote_hosts =
      position.all_hosts > position.local_hosts ? position.all_hosts - position.local_hosts : 0;
  const std::uint32_t capacity = Capacity(slots);
  // The slots are for the server's own data centre.
  const std::uint32_t remote_places =
      std::min(kRemoteSenders,
               std::max(slots + kHealthCheckPlaces, capacity) - (slots + kHealthCheckPlaces));
  if (!local) {
    return IsAmong(remote_places, position.all_index, position.all_hosts, server) ? 1 : 0;
  }
  const std::uint32_t reserved = kHealthCheckPlaces + std::min(remote_hosts, remote_places);
  const std::uint32_t places = capacity > reserved ? capacity - reserved : 1;
  const std::uint32_t hosts = std::max(1U, position.local_hosts);
  if (places >= hosts) return places / hosts;
  return IsAmong(places, position.local_index, hosts, server) ? 1 : 0;
}

}  // namespace mulberry::placement
