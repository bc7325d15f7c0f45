#pragma once

#include "librollout/rollout.h"

namespace mulberry::gateway {

namespace wire {
class RolloutReport;
class RolloutState;
}  // namespace wire

/// Convert rollout messages to and from their wire format. Values out of range are read as the
/// nearest valid ones. Thread safety: any thread.
void EncodeRolloutReport(const rollout::Report& report, wire::RolloutReport* out);
void EncodeRolloutState(const rollout::StateUpdate& state, wire::RolloutState* out);
rollout::Report DecodeRolloutReport(const wire::RolloutReport& in);
rollout::StateUpdate DecodeRolloutState(const wire::RolloutState& in);

}  // namespace mulberry::gateway
