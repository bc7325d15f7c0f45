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
#include "libgateway/types.h"

namespace mulberry::gateway {

/// A server's load as another host has seen it.
struct PeerLoadReport {
  ServerName id;
  LoadReport report;
  Duration age{};
};

/// What another host has read of a topic.
struct TopicUpdate {
  Offset from{};
  Offset to{};
  /// How much longer entries that lapsed during an outage of the store may come back.
  Duration recovery_time_left{};
  /// Records between the offsets that change something.
  std::vector<TopicRecord> records;
};

/// What one datagram holds.
struct PeerMessage {
  HostBeat heartbeat;
  std::vector<PeerLoadReport> loads;
  /// Requests that the sender has at servers.
  std::vector<std::pair<ServerName, std::uint32_t>> in_flight;
  std::optional<TopicUpdate> server_update;
  std::optional<TopicUpdate> operator_update;
};

/// Datagrams between entry hosts. Losing one costs nothing, since each carries the whole present
/// state; ZeroMQ would queue old ones behind a silent connection. Only for the thread that runs
/// the io_context.
class PeerChannel {
 public:
  using Received = std::function<void(PeerMessage)>;

  PeerChannel(asio::io_context& io, Received received);

  /// Errors: kUnavailable with the address and the system's message.
  Result<void> Open(const std::string& ip, std::uint16_t port);
  void Close();
  /// Sends to each address; what can't be sent at once is dropped.
  /// Returns false when the message is too large for a datagram.
  bool Send(const PeerMessage& message, const std::vector<std::string>& addresses);

  std::uint64_t sent() const { return sent_; }
  std::uint64_t received() const { return received_count_; }
  std::uint64_t malformed() const { return malformed_; }

 private:
  static constexpr std::size_t kMostBytes = 32 * 1024;

  void Receive();
  void TakeAll();

  asio::ip::udp::socket socket_;
  Received received_;
  std::array<char, kMostBytes> buffer_{};
  std::uint64_t sent_ = 0;
  std::uint64_t received_count_ = 0;
  std::uint64_t malformed_ = 0;
};

/// Encodes and decodes a message. Errors: kCorrupt.
std::string EncodePeerMessage(const PeerMessage& message);
Result<PeerMessage> DecodePeerMessage(std::string_view bytes);

}  // namespace mulberry::gateway
