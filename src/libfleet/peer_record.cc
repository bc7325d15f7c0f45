#include "libfleet/peer_record.h"

namespace mulberry {

bool PeerRecord::IsStale(const Incarnation& from, TimePoint limit) const {
  return from.start.value() != 0 && from.start == former_start && incarnation_since > limit;
}

bool PeerRecord::SetIncarnation(const Incarnation& from, TimePoint now) {
  if (from.start == incarnation.start) return false;
  former_start = incarnation.start;
  incarnation = from;
  incarnation_since = now;
  announced_leaving = false;
  config = ConfigMark();
  last_acked.reset();
  known_log_read.reset();
  return true;
}

void PeerRecord::RecordMessage(const ConfigMark& mark, bool leaving, TimePoint now) {
  last_heard = now;
  suspected.reset();
  unanswered_since.reset();
  announced_leaving = announced_leaving || leaving;
  if (mark.offset > config.offset) config = mark;
}

void PeerRecord::ApplyAck(const HeartbeatAck& ack, TimePoint sent) {
  if (last_acked && *last_acked > sent) return;
  last_acked = sent;
  heard_data_centres = ack.heard;
  if (ack.log_age >= kUnknownAge) return;
  known_log_read = sent - ack.log_age;
  known_log_read_offset = ack.config.offset;
}

}  // namespace mulberry
