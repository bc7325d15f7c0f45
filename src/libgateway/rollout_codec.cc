#include "libgateway/rollout_codec.h"

#include <algorithm>

#include "gateway.pb.h"

namespace mulberry::gateway {
namespace {

/// Reasons are a line of text; a longer one would fill the datagram.
constexpr std::size_t kMaxReasonBytes = 200;

rollout::Phase ToPhase(std::uint32_t number) {
  return static_cast<rollout::Phase>(
      std::min(number, static_cast<std::uint32_t>(rollout::Phase::kRolledBack)));
}

Duration ToDuration(std::uint64_t microseconds) {
  constexpr std::uint64_t kMaxMicroseconds = 1ULL << 50;
  return Duration(static_cast<std::int64_t>(std::min(microseconds, kMaxMicroseconds)));
}

std::uint64_t ToMicroseconds(Duration duration) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, duration.count()));
}

void EncodeCounts(const std::string& route, std::size_t group,
                  const rollout::ResponseCounts& counts, wire::RolloutCounts* out) {
  out->set_route(route);
  out->set_group(static_cast<std::uint32_t>(group));
  out->set_responses(counts.responses);
  out->set_failures(counts.failures);
  const auto& buckets = counts.times.buckets();
  std::size_t used = buckets.size();
  while (used > 0 && buckets[used - 1] == 0) --used;
  for (std::size_t i = 0; i < used; ++i) out->add_buckets(buckets[i]);
}

}  // namespace

void EncodeRolloutReport(const rollout::Report& report, wire::RolloutReport* out) {
  out->set_service(report.order.service.str());
  out->set_target(report.order.target.str());
  out->set_duration_us(ToMicroseconds(report.order.duration));
  out->set_age_us(ToMicroseconds(report.age));
  out->set_host_time(report.host_time);
  out->set_requests(report.requests);
  out->set_sent(report.sent);
  out->set_exposed(report.exposed);
  out->set_phase(static_cast<std::uint32_t>(report.phase));
  out->set_recorded(report.recorded);
  out->set_reason(report.reason.substr(0, kMaxReasonBytes));
  out->set_others_in_flight(report.others_in_flight);
  for (const auto& [route, counts] : report.evidence) {
    for (std::size_t group = 0; group < rollout::kServerGroups; ++group) {
      if (counts.groups[group].responses == 0) continue;
      EncodeCounts(route, group, counts.groups[group], out->add_evidence());
    }
  }
}

rollout::Report DecodeRolloutReport(const wire::RolloutReport& in) {
  rollout::Report report;
  report.order = {ServiceName(in.service()), ServerVersion(in.target()),
                  std::max(ToDuration(in.duration_us()), Duration(1))};
  report.age = ToDuration(in.age_us());
  report.host_time = in.host_time();
  report.requests = in.requests();
  report.sent = in.sent();
  report.exposed = in.exposed();
  report.phase = ToPhase(in.phase());
  report.recorded = in.recorded() && rollout::IsFinal(report.phase);
  report.reason = in.reason();
  report.others_in_flight = in.others_in_flight();
  for (const wire::RolloutCounts& counts : in.evidence()) {
    if (counts.group() >= rollout::kServerGroups) continue;
    rollout::ResponseCounts& group = report.evidence[counts.route()].groups[counts.group()];
    group.responses = counts.responses();
    group.failures = counts.failures();
    for (int i = 0; i < counts.buckets_size(); ++i) {
      group.times.AddToBucket(static_cast<std::size_t>(i), counts.buckets(i));
    }
  }
  return report;
}

void EncodeRolloutState(const rollout::StateUpdate& state, wire::RolloutState* out) {
  out->set_service(state.service.str());
  out->set_target(state.target.str());
  out->set_phase(static_cast<std::uint32_t>(state.phase));
  out->set_recorded(state.recorded);
  out->set_reason(state.reason.substr(0, kMaxReasonBytes));
  out->set_age_us(ToMicroseconds(state.age));
  out->set_host_time(state.host_time);
  out->set_granted(state.granted);
  out->set_exposed(state.exposed);
}

rollout::StateUpdate DecodeRolloutState(const wire::RolloutState& in) {
  rollout::StateUpdate state;
  state.service = ServiceName(in.service());
  state.target = ServerVersion(in.target());
  state.phase = ToPhase(in.phase());
  state.recorded = in.recorded() && rollout::IsFinal(state.phase);
  state.reason = in.reason();
  state.age = ToDuration(in.age_us());
  state.host_time = in.host_time();
  state.granted = in.granted();
  state.exposed = in.exposed();
  return state;
}

}  // namespace mulberry::gateway
