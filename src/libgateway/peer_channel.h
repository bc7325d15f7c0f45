#pragma once

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "libbase/base.h"
#include "libgateway/fleet_view.h"
#include "libgateway/platform_adapter.h"
#include "libgateway/topic_update.h"
#include "libgateway/types.h"
#include "libworkspace/workspace.h"

namespace mulberry::gateway {

/// A server's load as observed by another host.
struct PeerLoadReport {
  ServerName id;
  LoadReport report;
  Duration age{};
};

/// Answer to a question for a proof of freshness, see workspace::ProofAnswer; the version is that
/// of the heartbeat.
struct ProofAnswerMessage {
  std::uint64_t stamp = 0;
  /// Start of the host that asked.
  StartId start;
  Duration age{};
};

/// The content of one datagram.
struct PeerMessage {
  HostHeartbeat heartbeat;
  std::vector<PeerLoadReport> loads;
  /// Number of requests that the sender has in flight at each server.
  std::vector<std::pair<ServerName, std::uint32_t>> in_flight;
  std::optional<TopicUpdate> server_update;
  std::optional<TopicUpdate> operator_update;
  /// The sender lacks the operators' records from HostHeartbeat::operator_position on, or a newer
  /// configuration than HostHeartbeat::version.
  bool wants_operator_records = false;
  /// The record of the sender's configuration.
  std::optional<TopicRecord> config_record;
  /// Asks for a ProofAnswerMessage with this stamp.
  std::optional<std::uint64_t> proof_query;
  std::optional<ProofAnswerMessage> proof_answer;
  /// What the sender tells the coordinator of a rollout, and the coordinator's answer.
  std::optional<rollout::Report> rollout_report;
  std::optional<rollout::StateUpdate> rollout_state;
  /// Tokens of workspaces with a rate limit. A message with a query or a grant is no heartbeat.
  std::optional<workspace::TokenQuery> token_query;
  std::optional<workspace::TokenGrant> token_grant;
};

/// Sends and receives UDP datagrams between entry hosts. Each carries the whole current state, so a
/// lost one does no harm; ZeroMQ would queue outdated ones behind an unresponsive connection. Only
/// for the thread that runs the io_context.
class PeerChannel {
 public:
  using MessageHandler = std::function<void(PeerMessage)>;

  PeerChannel(asio::io_context& io, MessageHandler handler);

  /// Errors: kUnavailable with the address and the system's message.
  Result<void> Open(const std::string& ip, std::uint16_t port);
  void Close();
  /// Sends to each address without blocking; a datagram that can't be sent at once is dropped.
  /// Returns false when the message is too large for a datagram.
  bool Send(const PeerMessage& message, const std::vector<std::string>& addresses);

  std::uint64_t sent() const { return sent_; }
  std::uint64_t received() const { return received_count_; }
  std::uint64_t malformed() const { return malformed_; }

 private:
  static constexpr std::size_t kMaxDatagramBytes = 32 * 1024;

  void Receive();
  void ReceivePending();

  asio::ip::udp::socket socket_;
  MessageHandler handler_;
  std::array<char, kMaxDatagramBytes> buffer_{};
  std::uint64_t sent_ = 0;
  std::uint64_t received_count_ = 0;
  std::uint64_t malformed_ = 0;
};

/// Encodes and decodes a message. Errors: kCorrupt.
std::string EncodePeerMessage(const PeerMessage& message);
Result<PeerMessage> DecodePeerMessage(std::string_view bytes);

}  // namespace mulberry::gateway
