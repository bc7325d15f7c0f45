#include "libgateway/peer_channel.h"

#include <cmath>
#include <utility>

#include "gateway.pb.h"
#include "libgateway/connection_pool.h"
#include "libgateway/rollout_codec.h"

namespace mulberry::gateway {
namespace {

constexpr double kPercent = 100;

void EncodeRecord(const TopicRecord& record, wire::TopicNews::Record* out) {
  out->set_key(record.key);
  out->set_removed(!record.value);
  if (record.value) out->set_value(*record.value);
}

void EncodeUpdate(const TopicUpdate& update, wire::TopicNews* out) {
  out->set_from(update.from.value());
  out->set_to(update.to.value());
  out->set_unsettled_ms(static_cast<std::uint32_t>(ToMilliseconds(update.grace_time_left)));
  out->set_era(update.era.value());
  for (const TopicRecord& record : update.records) {
    wire::TopicNews::Record* added = out->add_records();
    EncodeRecord(record, added);
    added->set_place(static_cast<std::uint32_t>(record.offset.value() - update.from.value()));
  }
}

TopicRecord DecodeRecord(const wire::TopicNews::Record& in) {
  std::optional<std::string> value;
  if (!in.removed()) value = in.value();
  return {in.key(), std::move(value)};
}

TopicUpdate DecodeUpdate(const wire::TopicNews& in) {
  TopicUpdate update{Offset(in.from()),
                     Offset(in.to()),
                     std::chrono::milliseconds(in.unsettled_ms()),
                     {},
                     StoreEra(in.era())};
  for (const wire::TopicNews::Record& record : in.records()) {
    update.records.push_back(DecodeRecord(record));
    update.records.back().offset = Offset(in.from() + record.place());
  }
  return update;
}

void EncodeTokens(const PeerMessage& message, wire::Datagram* out) {
  if (message.token_query) {
    wire::CapQuery* query = out->mutable_cap_query();
    query->set_sequence(message.token_query->sequence);
    for (const workspace::TokenQuery::Part& part : message.token_query->parts) {
      wire::CapQuery::Part* added = query->add_parts();
      added->set_workspace(part.workspace.str());
      added->set_tokens(part.tokens);
    }
  }
  if (!message.token_grant) return;
  wire::CapGrant* grant = out->mutable_cap_grant();
  grant->set_receiver_start(message.token_grant->receiver_start.value());
  grant->set_sequence(message.token_grant->sequence);
  for (const workspace::TokenGrant::Part& part : message.token_grant->parts) {
    wire::CapGrant::Part* added = grant->add_parts();
    added->set_workspace(part.workspace.str());
    added->set_tokens(part.tokens);
    added->set_left(part.left);
    added->set_unknown(!part.known);
  }
}

void DecodeTokens(const wire::Datagram& in, PeerMessage* message) {
  if (in.has_cap_query()) {
    workspace::TokenQuery& query = message->token_query.emplace();
    query.sequence = in.cap_query().sequence();
    for (const wire::CapQuery::Part& part : in.cap_query().parts()) {
      query.parts.push_back({WorkspaceName(part.workspace()), part.tokens()});
    }
  }
  if (!in.has_cap_grant()) return;
  workspace::TokenGrant& grant = message->token_grant.emplace();
  grant.receiver_start = StartId(in.cap_grant().receiver_start());
  grant.sequence = in.cap_grant().sequence();
  for (const wire::CapGrant::Part& part : in.cap_grant().parts()) {
    grant.parts.push_back(
        {WorkspaceName(part.workspace()), part.tokens(), part.left(), !part.unknown()});
  }
}

}  // namespace

std::string EncodePeerMessage(const PeerMessage& message) {
  wire::Datagram out;
  const HostHeartbeat& heartbeat = message.heartbeat;
  out.set_host(heartbeat.record.host.str());
  out.set_start(heartbeat.start.value());
  out.set_data_centre(heartbeat.record.data_centre.str());
  out.set_peer_address(heartbeat.record.peer_address);
  out.set_caller_address(heartbeat.caller_address);
  out.set_leaving(heartbeat.leaving);
  out.set_ready(heartbeat.ready);
  out.set_config_version(heartbeat.version.value());
  out.set_operator_offset(heartbeat.operator_position.offset.value());
  out.set_operator_era(heartbeat.operator_position.era.value());
  out.set_store_answers(heartbeat.store_reachable);
  out.set_capacity(static_cast<float>(heartbeat.record.capacity));
  out.set_request_rate(static_cast<float>(heartbeat.request_rate));
  out.set_local_part_percent(
      static_cast<std::uint32_t>(std::lround(heartbeat.local_usable_share * kPercent)));
  out.set_operator_records_wanted(message.wants_operator_records);
  if (message.server_update) EncodeUpdate(*message.server_update, out.mutable_server_news());
  if (message.operator_update) EncodeUpdate(*message.operator_update, out.mutable_operator_news());
  if (message.config_record) EncodeRecord(*message.config_record, out.mutable_config_record());
  if (message.proof_query) out.set_proof_query(*message.proof_query);
  if (message.proof_answer) {
    wire::ProofAnswer* answer = out.mutable_proof_answer();
    answer->set_stamp(message.proof_answer->stamp);
    answer->set_start(message.proof_answer->start.value());
    answer->set_age_us(static_cast<std::uint64_t>(message.proof_answer->age.count()));
  }
  if (message.rollout_report) {
    EncodeRolloutReport(*message.rollout_report, out.mutable_rollout_report());
  }
  if (message.rollout_state) {
    EncodeRolloutState(*message.rollout_state, out.mutable_rollout_state());
  }
  for (const auto& [server, count] : message.in_flight) {
    wire::InFlight* added = out.add_in_flight();
    added->set_id(server.str());
    added->set_count(count);
  }
  for (const PeerLoadReport& load : message.loads) {
    wire::ServerLoad* added = out.add_loads();
    added->set_id(load.id.str());
    added->set_running(load.report.running);
    added->set_waiting(load.report.waiting);
    added->set_slots(load.report.slots);
    added->set_slowness_percent(
        static_cast<std::uint32_t>(std::lround(load.report.slowness * kPercent)));
    added->set_age_ms(static_cast<std::uint32_t>(ToMilliseconds(load.age)));
  }
  EncodeTokens(message, &out);
  return out.SerializeAsString();
}

Result<PeerMessage> DecodePeerMessage(std::string_view bytes) {
  wire::Datagram in;
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return Fail(ErrorCode::kCorrupt, "malformed gateway datagram");
  }
  PeerMessage message;
  HostHeartbeat& heartbeat = message.heartbeat;
  heartbeat.record = {HostName(in.host()), DataCentreName(in.data_centre()), in.peer_address()};
  heartbeat.start = StartId(in.start());
  heartbeat.caller_address = in.caller_address();
  heartbeat.leaving = in.leaving();
  heartbeat.ready = in.ready();
  heartbeat.version = ConfigVersion(in.config_version());
  heartbeat.operator_position = {StoreEra(in.operator_era()), Offset(in.operator_offset())};
  heartbeat.store_reachable = in.store_answers();
  heartbeat.record.capacity = in.capacity();
  heartbeat.request_rate = in.request_rate();
  heartbeat.local_usable_share = in.local_part_percent() / kPercent;
  message.wants_operator_records = in.operator_records_wanted();
  if (in.has_server_news()) message.server_update = DecodeUpdate(in.server_news());
  if (in.has_operator_news()) message.operator_update = DecodeUpdate(in.operator_news());
  if (in.has_config_record()) message.config_record = DecodeRecord(in.config_record());
  if (in.has_proof_query()) message.proof_query = in.proof_query();
  if (in.has_proof_answer()) {
    const wire::ProofAnswer& answer = in.proof_answer();
    message.proof_answer = {answer.stamp(), StartId(answer.start()),
                            Duration(static_cast<std::int64_t>(answer.age_us()))};
  }
  if (in.has_rollout_report()) message.rollout_report = DecodeRolloutReport(in.rollout_report());
  if (in.has_rollout_state()) message.rollout_state = DecodeRolloutState(in.rollout_state());
  if (heartbeat.record.host.empty() || !ParseEndpoint(heartbeat.record.peer_address) ||
      !ParseEndpoint(heartbeat.caller_address)) {
    return Fail(ErrorCode::kCorrupt, "datagram without a host name or a valid address");
  }
  for (const wire::InFlight& in_flight : in.in_flight()) {
    message.in_flight.emplace_back(ServerName(in_flight.id()), in_flight.count());
  }
  for (const wire::ServerLoad& load : in.loads()) {
    PeerLoadReport shared;
    shared.id = ServerName(load.id());
    shared.report = {load.running(), load.waiting(), load.slots(),
                     load.slowness_percent() / kPercent};
    shared.age = std::chrono::milliseconds(load.age_ms());
    message.loads.push_back(std::move(shared));
  }
  DecodeTokens(in, &message);
  return message;
}

PeerChannel::PeerChannel(asio::io_context& io, MessageHandler handler)
    : socket_(io), handler_(std::move(handler)) {}

Result<void> PeerChannel::Open(const std::string& ip, std::uint16_t port) {
  asio::error_code error;
  const auto address = asio::ip::make_address_v4(ip, error);
  if (!error) socket_.open(asio::ip::udp::v4(), error);
  if (!error) socket_.bind({address, port}, error);
  if (!error) socket_.non_blocking(true, error);
  if (error) {
    return Fail(ErrorCode::kUnavailable, "cannot receive datagrams on " + ip + ":" +
                                             std::to_string(port) + ": " + error.message());
  }
  Receive();
  return boost::outcome_v2::success();
}

void PeerChannel::Close() {
  asio::error_code ignored;
  socket_.close(ignored);
}

bool PeerChannel::Send(const PeerMessage& message, const std::vector<std::string>& addresses) {
  const std::string bytes = EncodePeerMessage(message);
  if (bytes.size() > kMaxDatagramBytes) {
    LogEvent(LogLevel::kError, "datagram_too_large", {{"bytes", bytes.size()}});
    return false;
  }
  for (const std::string& address : addresses) {
    const auto endpoint = ParseEndpoint(address);
    if (!endpoint) continue;
    asio::error_code error;
    socket_.send_to(asio::buffer(bytes), {endpoint.value().address(), endpoint.value().port()}, 0,
                    error);
    if (!error) ++sent_;
  }
  return true;
}

void PeerChannel::Receive() {
  socket_.async_wait(asio::ip::udp::socket::wait_read, [this](const asio::error_code& error) {
    if (error) return;
    ReceivePending();
    if (socket_.is_open()) Receive();
  });
}

void PeerChannel::ReceivePending() {
  while (true) {
    asio::ip::udp::endpoint sender;
    asio::error_code error;
    const std::size_t bytes = socket_.receive_from(asio::buffer(buffer_), sender, 0, error);
    if (error) return;
    auto message = DecodePeerMessage({buffer_.data(), bytes});
    if (!message) {
      ++malformed_;
      continue;
    }
    ++received_count_;
    handler_(std::move(message.value()));
  }
}

}  // namespace mulberry::gateway
