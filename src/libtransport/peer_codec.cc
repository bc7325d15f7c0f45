#include <peer.pb.h>

#include <utility>

#include "libtransport/peer_socket.h"

namespace mulberry {

namespace {

/// Maximum duration in a message (400 days); larger values could overflow in later sums.
constexpr std::int64_t kMaxDurationUs = std::int64_t{400} * 24 * 3600 * 1000 * 1000;
/// Valid wall-clock times are between 1970 and 2286.
constexpr std::int64_t kMaxWallTimeMs = std::int64_t{10'000'000'000} * 1000;

// Encoding: Write and ToWire for nested values, BodyWriter for whole messages.

void Write(const Incarnation& from, wire::Incarnation* to) {
  to->set_host(from.host.str());
  to->set_start(from.start.value());
}

void Write(const ConfigMark& from, wire::ConfigMark* to) {
  to->set_offset(from.offset.value());
  to->set_digest(from.digest);
}

wire::RunOutcome ToWire(RunOutcome outcome) {
  switch (outcome) {
    case RunOutcome::kAnswered:
      return wire::RUN_OUTCOME_ANSWERED;
    case RunOutcome::kNotRun:
      return wire::RUN_OUTCOME_NOT_RUN;
    case RunOutcome::kMayHaveRun:
      return wire::RUN_OUTCOME_MAY_HAVE_RUN;
  }
  return wire::RUN_OUTCOME_UNSPECIFIED;
}

wire::ClaimVerdict ToWire(ClaimVerdict verdict) {
  switch (verdict) {
    case ClaimVerdict::kGranted:
      return wire::CLAIM_VERDICT_GRANTED;
    case ClaimVerdict::kHeldByOther:
      return wire::CLAIM_VERDICT_HELD_BY_OTHER;
    case ClaimVerdict::kWrongIncarnation:
      return wire::CLAIM_VERDICT_WRONG_INCARNATION;
    case ClaimVerdict::kKeyReused:
      return wire::CLAIM_VERDICT_KEY_REUSED;
    case ClaimVerdict::kExpired:
      return wire::CLAIM_VERDICT_EXPIRED;
    case ClaimVerdict::kFull:
      return wire::CLAIM_VERDICT_FULL;
  }
  return wire::CLAIM_VERDICT_UNSPECIFIED;
}

/// Visitor that encodes a PeerMessage into the envelope's body.
class BodyWriter {
 public:
  explicit BodyWriter(wire::Envelope* envelope) : envelope_(envelope) {}

  void operator()(const Heartbeat& from) const {
    auto* to = envelope_->mutable_heartbeat();
    to->set_sequence(from.sequence);
    to->set_data_centre(from.data_centre.str());
    to->set_leaving(from.leaving);
    Write(from.config, to->mutable_config());
    to->set_log_age_us(from.log_age.count());
    for (const auto& data_centre : from.heard) to->add_heard(data_centre.str());
    for (const auto& group : from.wanted) to->add_wanted(group.value());
  }

  void operator()(const HeartbeatAck& from) const {
    auto* to = envelope_->mutable_heartbeat_ack();
    to->set_sequence(from.sequence);
    Write(from.config, to->mutable_config());
    to->set_leaving(from.leaving);
    to->set_log_age_us(from.log_age.count());
    for (const auto& data_centre : from.heard) to->add_heard(data_centre.str());
    for (const LeaseGrant& grant : from.grants) {
      auto* added = to->add_grants();
      added->set_group(grant.group.value());
      added->set_granted(grant.granted);
      added->set_former_remaining_us(grant.former_remaining.count());
      added->set_fresh(grant.fresh);
    }
  }

  void operator()(const LeaseRelease& from) const {
    auto* to = envelope_->mutable_lease_release();
    for (const auto& group : from.groups) to->add_groups(group.value());
  }

  void operator()(const ForwardRequest& from) const {
    auto* to = envelope_->mutable_forward_request();
    to->set_id(from.id.value());
    to->set_class_name(from.class_name.str());
    to->set_data_centre(from.data_centre.str());
    to->set_method(from.method);
    to->set_path(from.path);
    to->set_content_type(from.content_type);
    to->set_body(from.body);
    to->set_time_left_us(from.time_left.count());
    to->set_depth(from.depth);
    to->set_no_retry(from.no_retry);
    to->set_deadline_ms(from.deadline.time_since_epoch().count());
    to->set_claimed(from.claimed);
    to->set_last_resort(from.last_resort);
    to->set_key(from.key.str());
    to->set_ticket(from.ticket);
  }

  void operator()(const ForwardAnswer& from) const {
    auto* to = envelope_->mutable_forward_answer();
    to->set_id(from.id.value());
    to->set_outcome(ToWire(from.outcome));
    to->set_status(from.status);
    to->set_reason(from.reason);
    to->set_saturated(from.saturated);
    to->set_not_owner(from.not_owner);
    to->set_no_retry(from.no_retry);
    to->set_content_type(from.content_type);
    to->set_body(from.body);
    to->set_server(from.server);
  }

  void operator()(const ForwardCancel& from) const {
    envelope_->mutable_forward_cancel()->set_id(from.id.value());
  }

  void operator()(const ClaimRequest& from) const {
    auto* to = envelope_->mutable_claim_request();
    to->set_key(from.key.str());
    to->set_round(from.round);
    to->set_request_digest(from.request_digest);
    to->set_holder_start(from.holder_start.value());
    to->set_expires_ms(from.expires.time_since_epoch().count());
  }

  void operator()(const ClaimAnswer& from) const {
    auto* to = envelope_->mutable_claim_answer();
    to->set_key(from.key.str());
    to->set_round(from.round);
    to->set_verdict(ToWire(from.verdict));
    Write(from.claimant, to->mutable_claimant());
  }

  void operator()(const ClaimRelease& from) const {
    auto* to = envelope_->mutable_claim_release();
    to->set_key(from.key.str());
    to->set_round(from.round);
  }

  void operator()(const OutcomeQuery& from) const {
    auto* to = envelope_->mutable_outcome_query();
    to->set_key(from.key.str());
    to->set_claimant_start(from.claimant_start.value());
    to->set_id(from.id.value());
    to->set_time_left_us(from.time_left.count());
  }

  void operator()(const OutcomeAnswer& from) const {
    auto* to = envelope_->mutable_outcome_answer();
    to->set_key(from.key.str());
    to->set_id(from.id.value());
    to->set_outcome(ToWire(from.outcome));
    to->set_status(from.status);
    to->set_content_type(from.content_type);
    to->set_body(from.body);
  }

  void operator()(const ConfigFetch& from) const {
    envelope_->mutable_config_fetch()->set_after(from.after.value());
  }

  void operator()(const GroupKnowledge& from) const {
    auto* to = envelope_->mutable_group_knowledge();
    to->set_group(from.group.value());
    for (const KnownServer& server : from.servers) {
      auto* added = to->add_servers();
      added->set_name(server.name.str());
      added->set_start(server.start.value());
      added->set_warm(server.warm);
      added->set_limit(server.limit);
      added->set_cold_left_us(server.cold_left.count());
    }
  }

  void operator()(const ConfigContent& from) const {
    auto* to = envelope_->mutable_config_content();
    for (const LogRecord& record : from.records) {
      auto* added = to->add_records();
      added->set_offset(record.offset.value());
      added->set_data(record.data);
    }
    to->set_snapshot(from.snapshot);
  }

 private:
  wire::Envelope* envelope_;
};

// Decoding: one Read overload per message; returns false if a value is out of range.

bool ReadDuration(std::int64_t microseconds, Duration* to) {
  if (microseconds < 0 || microseconds > kMaxDurationUs) return false;
  *to = Duration(microseconds);
  return true;
}

/// Like ReadDuration, but the maximum value means "never".
bool ReadAge(std::int64_t microseconds, Duration* to) {
  if (microseconds != Duration::max().count()) return ReadDuration(microseconds, to);
  *to = Duration::max();
  return true;
}

bool ReadWallTime(std::int64_t milliseconds, WallTime* to) {
  if (milliseconds < 0 || milliseconds > kMaxWallTimeMs) return false;
  *to = WallTime(std::chrono::milliseconds(milliseconds));
  return true;
}

Incarnation FromWire(wire::Incarnation& from) {
  return {HostName(std::move(*from.mutable_host())), StartId(from.start())};
}

ConfigMark FromWire(const wire::ConfigMark& from) { return {Offset(from.offset()), from.digest()}; }

bool Read(wire::RunOutcome from, RunOutcome* to) {
  switch (from) {
    case wire::RUN_OUTCOME_ANSWERED:
      *to = RunOutcome::kAnswered;
      return true;
    case wire::RUN_OUTCOME_NOT_RUN:
      *to = RunOutcome::kNotRun;
      return true;
    case wire::RUN_OUTCOME_MAY_HAVE_RUN:
      *to = RunOutcome::kMayHaveRun;
      return true;
    default:
      return false;
  }
}

bool Read(wire::ClaimVerdict from, ClaimVerdict* to) {
  switch (from) {
    case wire::CLAIM_VERDICT_GRANTED:
      *to = ClaimVerdict::kGranted;
      return true;
    case wire::CLAIM_VERDICT_HELD_BY_OTHER:
      *to = ClaimVerdict::kHeldByOther;
      return true;
    case wire::CLAIM_VERDICT_WRONG_INCARNATION:
      *to = ClaimVerdict::kWrongIncarnation;
      return true;
    case wire::CLAIM_VERDICT_KEY_REUSED:
      *to = ClaimVerdict::kKeyReused;
      return true;
    case wire::CLAIM_VERDICT_EXPIRED:
      *to = ClaimVerdict::kExpired;
      return true;
    case wire::CLAIM_VERDICT_FULL:
      *to = ClaimVerdict::kFull;
      return true;
    default:
      return false;
  }
}

bool Read(wire::Heartbeat& from, Heartbeat* to) {
  to->sequence = from.sequence();
  to->data_centre = DataCentreName(std::move(*from.mutable_data_centre()));
  to->leaving = from.leaving();
  to->config = FromWire(from.config());
  for (auto& name : *from.mutable_heard()) to->heard.emplace_back(std::move(name));
  for (const std::uint64_t group : from.wanted()) to->wanted.emplace_back(group);
  return ReadAge(from.log_age_us(), &to->log_age);
}

bool Read(wire::HeartbeatAck& from, HeartbeatAck* to) {
  to->sequence = from.sequence();
  to->config = FromWire(from.config());
  to->leaving = from.leaving();
  for (auto& name : *from.mutable_heard()) to->heard.emplace_back(std::move(name));
  for (const auto& wire_grant : from.grants()) {
    LeaseGrant grant;
    grant.group = GroupKey(wire_grant.group());
    grant.granted = wire_grant.granted();
    grant.fresh = wire_grant.fresh();
    if (!ReadDuration(wire_grant.former_remaining_us(), &grant.former_remaining)) return false;
    to->grants.push_back(grant);
  }
  return ReadAge(from.log_age_us(), &to->log_age);
}

bool Read(wire::LeaseRelease& from, LeaseRelease* to) {
  for (const std::uint64_t group : from.groups()) to->groups.emplace_back(group);
  return true;
}

bool Read(wire::ForwardRequest& from, ForwardRequest* to) {
  to->id = RequestId(from.id());
  to->class_name = ClassName(std::move(*from.mutable_class_name()));
  to->data_centre = DataCentreName(std::move(*from.mutable_data_centre()));
  to->method = std::move(*from.mutable_method());
  to->path = std::move(*from.mutable_path());
  to->content_type = std::move(*from.mutable_content_type());
  to->body = std::move(*from.mutable_body());
  to->depth = from.depth();
  to->no_retry = from.no_retry();
  to->claimed = from.claimed();
  to->last_resort = from.last_resort();
  to->key = IdempotencyKey(std::move(*from.mutable_key()));
  to->ticket = std::move(*from.mutable_ticket());
  return ReadWallTime(from.deadline_ms(), &to->deadline) &&
         ReadDuration(from.time_left_us(), &to->time_left);
}

bool Read(wire::ForwardAnswer& from, ForwardAnswer* to) {
  to->id = RequestId(from.id());
  to->status = from.status();
  to->reason = std::move(*from.mutable_reason());
  to->saturated = from.saturated();
  to->not_owner = from.not_owner();
  to->no_retry = from.no_retry();
  to->content_type = std::move(*from.mutable_content_type());
  to->body = std::move(*from.mutable_body());
  to->server = std::move(*from.mutable_server());
  return Read(from.outcome(), &to->outcome);
}

bool Read(wire::ForwardCancel& from, ForwardCancel* to) {
  to->id = RequestId(from.id());
  return true;
}

bool Read(wire::ClaimRequest& from, ClaimRequest* to) {
  to->key = IdempotencyKey(std::move(*from.mutable_key()));
  to->round = from.round();
  to->request_digest = from.request_digest();
  to->holder_start = StartId(from.holder_start());
  return ReadWallTime(from.expires_ms(), &to->expires);
}

bool Read(wire::ClaimAnswer& from, ClaimAnswer* to) {
  to->key = IdempotencyKey(std::move(*from.mutable_key()));
  to->round = from.round();
  to->claimant = FromWire(*from.mutable_claimant());
  return Read(from.verdict(), &to->verdict);
}

bool Read(wire::ClaimRelease& from, ClaimRelease* to) {
  to->key = IdempotencyKey(std::move(*from.mutable_key()));
  to->round = from.round();
  return true;
}

bool Read(wire::OutcomeQuery& from, OutcomeQuery* to) {
  to->key = IdempotencyKey(std::move(*from.mutable_key()));
  to->claimant_start = StartId(from.claimant_start());
  to->id = RequestId(from.id());
  return ReadDuration(from.time_left_us(), &to->time_left);
}

bool Read(wire::OutcomeAnswer& from, OutcomeAnswer* to) {
  to->key = IdempotencyKey(std::move(*from.mutable_key()));
  to->id = RequestId(from.id());
  to->status = from.status();
  to->content_type = std::move(*from.mutable_content_type());
  to->body = std::move(*from.mutable_body());
  return Read(from.outcome(), &to->outcome);
}

bool Read(wire::ConfigFetch& from, ConfigFetch* to) {
  to->after = Offset(from.after());
  return true;
}

bool Read(wire::GroupKnowledge& from, GroupKnowledge* to) {
  to->group = GroupKey(from.group());
  for (auto& server : *from.mutable_servers()) {
    KnownServer known{ServerName(std::move(*server.mutable_name())), StartId(server.start()),
                      server.warm(), server.limit(), Duration()};
    if (!ReadDuration(server.cold_left_us(), &known.cold_left)) return false;
    to->servers.push_back(std::move(known));
  }
  return true;
}

bool Read(wire::ConfigContent& from, ConfigContent* to) {
  for (auto& record : *from.mutable_records()) {
    to->records.push_back({Offset(record.offset()), std::move(*record.mutable_data())});
  }
  to->snapshot = std::move(*from.mutable_snapshot());
  return true;
}

template <class Message, class Wire>
bool ReadAs(Wire* from, PeerMessage* to) {
  return Read(*from, &to->emplace<Message>());
}

bool ReadBody(wire::Envelope& from, PeerMessage* to) {
  switch (from.body_case()) {
    case wire::Envelope::kHeartbeat:
      return ReadAs<Heartbeat>(from.mutable_heartbeat(), to);
    case wire::Envelope::kHeartbeatAck:
      return ReadAs<HeartbeatAck>(from.mutable_heartbeat_ack(), to);
    case wire::Envelope::kLeaseRelease:
      return ReadAs<LeaseRelease>(from.mutable_lease_release(), to);
    case wire::Envelope::kForwardRequest:
      return ReadAs<ForwardRequest>(from.mutable_forward_request(), to);
    case wire::Envelope::kForwardAnswer:
      return ReadAs<ForwardAnswer>(from.mutable_forward_answer(), to);
    case wire::Envelope::kForwardCancel:
      return ReadAs<ForwardCancel>(from.mutable_forward_cancel(), to);
    case wire::Envelope::kClaimRequest:
      return ReadAs<ClaimRequest>(from.mutable_claim_request(), to);
    case wire::Envelope::kClaimAnswer:
      return ReadAs<ClaimAnswer>(from.mutable_claim_answer(), to);
    case wire::Envelope::kClaimRelease:
      return ReadAs<ClaimRelease>(from.mutable_claim_release(), to);
    case wire::Envelope::kOutcomeQuery:
      return ReadAs<OutcomeQuery>(from.mutable_outcome_query(), to);
    case wire::Envelope::kOutcomeAnswer:
      return ReadAs<OutcomeAnswer>(from.mutable_outcome_answer(), to);
    case wire::Envelope::kConfigFetch:
      return ReadAs<ConfigFetch>(from.mutable_config_fetch(), to);
    case wire::Envelope::kConfigContent:
      return ReadAs<ConfigContent>(from.mutable_config_content(), to);
    case wire::Envelope::kGroupKnowledge:
      return ReadAs<GroupKnowledge>(from.mutable_group_knowledge(), to);
    case wire::Envelope::BODY_NOT_SET:
      return false;
  }
  return false;
}

}  // namespace

Result<std::string> EncodePeerMessage(const Incarnation& from, const PeerMessage& message) {
  wire::Envelope envelope;
  Write(from, envelope.mutable_from());
  std::visit(BodyWriter(&envelope), message);
  const std::size_t bytes = envelope.ByteSizeLong();
  if (bytes > kMaxPeerMessageBytes) {
    return Fail(ErrorCode::kTooLarge, "peer message of " + std::to_string(bytes) +
                                          " bytes, limit " + std::to_string(kMaxPeerMessageBytes));
  }
  std::string encoded;
  envelope.SerializeToString(&encoded);
  return encoded;
}

Result<std::string> EncodePeerMessage(const PeerEnvelope& envelope) {
  return EncodePeerMessage(envelope.from, envelope.message);
}

Result<PeerEnvelope> DecodePeerMessage(std::string_view bytes) {
  if (bytes.size() > kMaxPeerMessageBytes) {
    return Fail(ErrorCode::kCorrupt, "peer message over the size limit");
  }
  wire::Envelope envelope;
  if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return Fail(ErrorCode::kCorrupt, "peer message is not protobuf");
  }
  PeerEnvelope decoded;
  decoded.from = FromWire(*envelope.mutable_from());
  if (decoded.from.host.empty()) return Fail(ErrorCode::kCorrupt, "peer message without sender");
  if (!ReadBody(envelope, &decoded.message)) {
    return Fail(ErrorCode::kCorrupt, "peer message with an unknown body or a value out of range");
  }
  return decoded;
}

}  // namespace mulberry
