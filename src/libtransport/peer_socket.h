#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "libfleet/fleet.h"

namespace mulberry {

/// Maximum size of a message between entry hosts; the sender rejects and counts larger ones.
inline constexpr std::size_t kMaxPeerMessageBytes = 8 * 1024 * 1024;

/// Encodes a message as protobuf. Errors: kTooLarge.
Result<std::string> EncodePeerMessage(const PeerEnvelope& envelope);
Result<std::string> EncodePeerMessage(const Incarnation& from, const PeerMessage& message);

/// Decodes a message. Errors: kCorrupt, also for an unknown or missing body, a sender without a
/// name, and times that are negative or out of range.
Result<PeerEnvelope> DecodePeerMessage(std::string_view bytes);

struct PeerSocketCounters {
  std::uint64_t sent = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received = 0;
  std::uint64_t received_bytes = 0;
  std::uint64_t too_large = 0;
  std::uint64_t corrupt = 0;
  /// The send queue was full, or no connection was established within 250 ms.
  std::uint64_t not_sent = 0;
};

/// Sends and receives messages between entry hosts over ZeroMQ: one bound PULL socket, and one PUSH
/// socket per destination address. Delivery is at most once, without guarantee. Not thread safe:
/// use it on the io_context's thread; the io_context must outlive it.
///
/// A message waits at most 250 ms for a connection and is then dropped and counted, so that a peer
/// that reconnects receives no backlog of old messages. A connection whose peer does not react for
/// about 5 s, because the network is cut or the peer process is suspended, is closed and its queued
/// messages are dropped. A peer that resumes still reads the messages that had reached its machine.
class PeerSocket {
 public:
  using Handler = std::function<void(PeerEnvelope)>;

  PeerSocket(asio::io_context& io, Incarnation self, Handler handler);
  ~PeerSocket();
  PeerSocket(const PeerSocket&) = delete;
  PeerSocket& operator=(const PeerSocket&) = delete;

  /// Binds "ip:port"; port 0 selects a free port. Errors: kUnavailable.
  Result<void> Bind(const std::string& address);

  /// Returns the bound "ip:port", empty before Bind.
  std::string bound_address() const;

  /// Sends the message, or queues it for up to 250 ms until a connection is established. Success
  /// does not mean that it arrives. Errors: kTooLarge; kUnavailable when the queue is full or the
  /// address is malformed.
  Result<void> Send(const std::string& address, const PeerMessage& message);

  /// Closes the sockets to all addresses that are not in `addresses`.
  void KeepOnly(const std::vector<std::string>& addresses);

  const PeerSocketCounters& counters() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace mulberry
