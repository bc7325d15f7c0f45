#pragma once

#include <optional>
#include <vector>

#include "libfleet/host_list.h"
#include "libfleet/peer_message.h"

namespace mulberry {

/// Log ages at or above this value mean that no read is known. Safe to subtract from any time.
inline constexpr Duration kUnknownAge = std::chrono::hours(24 * 365);

/// State that a host keeps for a peer, from the platform's list and the peer's messages. Part of
/// Membership; not thread safe.
struct PeerRecord {
  /// True for a message of the former incarnation if the current one was first heard after `limit`.
  /// Delayed messages of a dead incarnation stop soon; a live incarnation keeps sending.
  bool IsStale(const Incarnation& from, TimePoint limit) const;

  /// Sets the sender's incarnation. If it differs, clears the state announced by the former one and
  /// returns true.
  bool SetIncarnation(const Incarnation& from, TimePoint now);

  /// Records a message of the current incarnation. Once announced, leaving is not reset.
  void RecordMessage(const ConfigMark& mark, bool leaving, TimePoint now);

  /// Applies an acknowledgement of the heartbeat that was sent at `sent`. Log ages count from that
  /// time, so a delayed acknowledgement cannot make an old log read look recent.
  void ApplyAck(const HeartbeatAck& ack, TimePoint sent);

  bool IsLeaving() const { return announced_leaving || (listed && entry.leaving); }
  bool HeardWithin(Duration limit, TimePoint now) const {
    return last_heard && now - *last_heard <= limit;
  }
  bool AckedWithin(Duration limit, TimePoint now) const {
    return last_acked && now - *last_acked <= limit;
  }

  EntryHostEntry entry;
  bool listed = false;
  Incarnation incarnation;
  StartId former_start;
  TimePoint incarnation_since;
  bool announced_leaving = false;
  ConfigMark config;
  /// Time of the last message; moved forward after a pause of this process.
  std::optional<TimePoint> last_heard;
  std::optional<TimePoint> suspected;
  std::optional<TimePoint> unanswered_since;
  std::optional<TimePoint> last_acked;      ///< When the newest acknowledged heartbeat was sent.
  std::optional<TimePoint> known_log_read;  ///< Newest log read that the peer reported.
  /// Offset that the configuration must reach for `known_log_read` to count.
  Offset known_log_read_offset;
  std::vector<DataCentreName> heard_data_centres;
};

}  // namespace mulberry
