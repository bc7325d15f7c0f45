#include "libtransport/peer_socket.h"

#include <algorithm>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <deque>
#include <map>
#include <utility>
#include <zmq.hpp>

namespace mulberry {

namespace {

constexpr int kMaxQueuedMessages = 256;
constexpr int kReconnectIntervalMs = 100;
constexpr int kMaxReconnectIntervalMs = 1000;
/// ZeroMQ heartbeats: a connection is closed when the peer does not answer within the timeout.
constexpr int kConnectionCheckIntervalMs = 2000;
constexpr int kConnectionTimeoutMs = 3000;
/// TCP keepalive on incoming connections, to detect peers that disappeared without closing.
constexpr int kKeepaliveIdleSeconds = 10;
constexpr int kKeepaliveIntervalSeconds = 5;
constexpr int kKeepaliveProbes = 3;
/// Limit for unwritten bytes to one peer.
constexpr std::size_t kMaxQueuedBytes = 4 * kMaxPeerMessageBytes;
/// How long a message waits for a connection before it is dropped.
constexpr auto kMaxConnectionWait = std::chrono::milliseconds(250);
/// Messages received per handler run before other io_context handlers may run.
constexpr int kMaxMessagesPerPoll = 64;

/// Bytes passed to ZeroMQ and not yet written. Atomic, since ZeroMQ's I/O thread decrements it.
using QueuedByteCount = std::shared_ptr<std::atomic<std::size_t>>;

struct OutgoingMessage {
  std::string data;
  QueuedByteCount queued;
};

void FreeOutgoingMessage(void*, void* hint) {
  const std::unique_ptr<OutgoingMessage> outgoing(static_cast<OutgoingMessage*>(hint));
  outgoing->queued->fetch_sub(outgoing->data.size());
}

/// Wraps a message without copying it.
zmq::message_t ToZmqMessage(std::string data, const QueuedByteCount& queued) {
  queued->fetch_add(data.size());
  auto outgoing = std::make_unique<OutgoingMessage>(OutgoingMessage{std::move(data), queued});
  OutgoingMessage* raw = outgoing.release();
  return zmq::message_t(raw->data.data(), raw->data.size(), &FreeOutgoingMessage, raw);
}

/// Calls a callback when the readiness of a ZeroMQ socket may have changed. The file descriptor is
/// owned by the ZeroMQ socket and is not closed here.
class ReadinessWatcher : public std::enable_shared_from_this<ReadinessWatcher> {
 public:
  ReadinessWatcher(asio::io_context& io, zmq::socket_t& socket)
      : descriptor_(io, socket.get(zmq::sockopt::fd)) {}

  void Wait(std::function<void()> ready) {
    ready_ = std::move(ready);
    if (waiting_) return;
    waiting_ = true;
    descriptor_.async_wait(asio::posix::stream_descriptor::wait_read,
                           [self = shared_from_this()](const asio::error_code& error) {
                             self->waiting_ = false;
                             if (!error && self->ready_) std::exchange(self->ready_, {})();
                           });
  }

  /// Must be called before the socket is closed.
  void Stop() {
    ready_ = nullptr;
    if (descriptor_.is_open()) descriptor_.release();
  }

 private:
  asio::posix::stream_descriptor descriptor_;
  std::function<void()> ready_;
  bool waiting_ = false;
};

/// PUSH socket and send queue for one peer address.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
 public:
  /// Throws zmq::error_t for a malformed address and when there are too many sockets.
  PeerConnection(asio::io_context& io, zmq::context_t& context, const std::string& address,
                 PeerSocketCounters* counters)
      : socket_(context, zmq::socket_type::push), timer_(io), counters_(counters) {
    socket_.set(zmq::sockopt::linger, 0);
    socket_.set(zmq::sockopt::immediate, true);
    socket_.set(zmq::sockopt::sndhwm, kMaxQueuedMessages);
    socket_.set(zmq::sockopt::reconnect_ivl, kReconnectIntervalMs);
    socket_.set(zmq::sockopt::reconnect_ivl_max, kMaxReconnectIntervalMs);
    socket_.set(zmq::sockopt::connect_timeout, kMaxReconnectIntervalMs);
    socket_.set(zmq::sockopt::handshake_ivl, kConnectionTimeoutMs);
    socket_.set(zmq::sockopt::heartbeat_ivl, kConnectionCheckIntervalMs);
    socket_.set(zmq::sockopt::heartbeat_timeout, kConnectionTimeoutMs);
    socket_.set(zmq::sockopt::tcp_maxrt, kConnectionTimeoutMs);
    socket_.connect("tcp://" + address);
    watcher_ = std::make_shared<ReadinessWatcher>(io, socket_);
  }

  ~PeerConnection() {
    counters_->not_sent += pending_.size();
    watcher_->Stop();
  }
  PeerConnection(const PeerConnection&) = delete;
  PeerConnection& operator=(const PeerConnection&) = delete;

  /// Sends or queues a message. Returns false if the queue is full.
  bool Send(std::string data) {
    if (queued_->load() + data.size() > kMaxQueuedBytes) return false;
    if (pending_.size() >= kMaxQueuedMessages) return false;
    zmq::message_t message = ToZmqMessage(std::move(data), queued_);
    if (pending_.empty() && Write(message)) return true;
    pending_.push_back({std::move(message), MonotonicClock::now() + kMaxConnectionWait});
    if (pending_.size() == 1) {
      WaitUntilWritable();
      StartExpiryTimer();
    }
    return true;
  }

 private:
  struct PendingMessage {
    zmq::message_t message;
    TimePoint expires_at;
  };

  bool Write(zmq::message_t& message) {
    const std::size_t bytes = message.size();
    try {
      if (!socket_.send(message, zmq::send_flags::dontwait)) return false;
    } catch (const zmq::error_t&) {
      return false;
    }
    ++counters_->sent;
    counters_->sent_bytes += bytes;
    return true;
  }

  void StartExpiryTimer() {
    timer_.expires_after(pending_.front().expires_at - MonotonicClock::now());
    timer_.async_wait([weak = weak_from_this()](const asio::error_code& error) {
      const auto self = weak.lock();
      if (self && !error) self->DropExpired();
    });
  }

  void WaitUntilWritable() {
    watcher_->Wait([this] { Flush(); });
  }

  void Flush() {
    while (!pending_.empty() && Write(pending_.front().message)) pending_.pop_front();
    if (pending_.empty()) {
      timer_.cancel();
      return;
    }
    WaitUntilWritable();
  }

  void DropExpired() {
    const TimePoint now = MonotonicClock::now();
    while (!pending_.empty() && pending_.front().expires_at <= now) {
      pending_.pop_front();
      ++counters_->not_sent;
    }
    if (!pending_.empty()) StartExpiryTimer();
  }

  zmq::socket_t socket_;
  asio::steady_timer timer_;
  PeerSocketCounters* counters_;
  std::shared_ptr<ReadinessWatcher> watcher_;
  QueuedByteCount queued_ = std::make_shared<std::atomic<std::size_t>>(0);
  std::deque<PendingMessage> pending_;
};

}  // namespace

class PeerSocket::Impl : public std::enable_shared_from_this<PeerSocket::Impl> {
 public:
  Impl(asio::io_context& io, Incarnation self, Handler handler)
      : io_(io),
        self_(std::move(self)),
        handler_(std::move(handler)),
        context_(1),
        receiver_(context_, zmq::socket_type::pull) {
    receiver_.set(zmq::sockopt::linger, 0);
    receiver_.set(zmq::sockopt::handshake_ivl, kConnectionTimeoutMs);
    receiver_.set(zmq::sockopt::rcvhwm, kMaxQueuedMessages);
    receiver_.set(zmq::sockopt::maxmsgsize, static_cast<std::int64_t>(kMaxPeerMessageBytes));
    receiver_.set(zmq::sockopt::tcp_keepalive, 1);
    receiver_.set(zmq::sockopt::tcp_keepalive_idle, kKeepaliveIdleSeconds);
    receiver_.set(zmq::sockopt::tcp_keepalive_intvl, kKeepaliveIntervalSeconds);
    receiver_.set(zmq::sockopt::tcp_keepalive_cnt, kKeepaliveProbes);
    watcher_ = std::make_shared<ReadinessWatcher>(io_, receiver_);
  }

  /// Closes all sockets. No callback is called afterwards.
  void Close() {
    open_ = false;
    watcher_->Stop();
    connections_.clear();
    receiver_.close();
    context_.close();
  }

  Result<void> Bind(const std::string& address) {
    try {
      receiver_.bind("tcp://" + address);
    } catch (const zmq::error_t& error) {
      return Fail(ErrorCode::kUnavailable, "cannot bind " + address + ": " + error.what());
    }
    PostReceive();
    return boost::outcome_v2::success();
  }

  std::string bound_address() const {
    const std::string endpoint = receiver_.get(zmq::sockopt::last_endpoint);
    constexpr std::string_view kScheme = "tcp://";
    return endpoint.substr(0, kScheme.size()) == kScheme ? endpoint.substr(kScheme.size()) : "";
  }

  Result<void> Send(const std::string& address, const PeerMessage& message) {
    Result<std::string> encoded = EncodePeerMessage(self_, message);
    if (!encoded) {
      ++counters_.too_large;
      return encoded.error();
    }
    PeerConnection* connection = ConnectionTo(address);
    if (connection == nullptr || !connection->Send(std::move(encoded).value())) {
      ++counters_.not_sent;
      return Fail(ErrorCode::kUnavailable, connection == nullptr
                                               ? "cannot connect to peer " + address
                                               : "queue to " + address + " is full");
    }
    return boost::outcome_v2::success();
  }

  void KeepOnly(const std::vector<std::string>& addresses) {
    std::erase_if(connections_, [&addresses](const auto& connection) {
      return std::find(addresses.begin(), addresses.end(), connection.first) == addresses.end();
    });
  }

  const PeerSocketCounters& counters() const { return counters_; }

 private:
  PeerConnection* ConnectionTo(const std::string& address) {
    const auto found = connections_.find(address);
    if (found != connections_.end()) return found->second.get();
    try {
      auto connection = std::make_shared<PeerConnection>(io_, context_, address, &counters_);
      return connections_.emplace(address, std::move(connection)).first->second.get();
    } catch (const zmq::error_t&) {
      return nullptr;
    }
  }

  void PostReceive() {
    asio::post(io_, [self = shared_from_this()] { self->Receive(); });
  }

  void Receive() {
    if (!open_) return;
    try {
      ReceiveAll();
    } catch (const zmq::error_t&) {
      // Interrupted by a signal.
      PostReceive();
    }
  }

  /// ZeroMQ's file descriptor is edge-triggered, so all messages are received before the next wait.
  void ReceiveAll() {
    for (int received_count = 0; open_; ++received_count) {
      if (received_count == kMaxMessagesPerPoll) return PostReceive();
      zmq::message_t message;
      if (!receiver_.recv(message, zmq::recv_flags::dontwait)) break;
      Handle(message);
    }
    if (!open_) return;
    if ((receiver_.get(zmq::sockopt::events) & ZMQ_POLLIN) != 0) return PostReceive();
    watcher_->Wait([weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->Receive();
    });
  }

  void Handle(const zmq::message_t& message) {
    Result<PeerEnvelope> envelope = DecodePeerMessage(message.to_string_view());
    if (!envelope || message.more()) {
      ++counters_.corrupt;
      return;
    }
    ++counters_.received;
    counters_.received_bytes += message.size();
    handler_(std::move(envelope).value());
  }

  asio::io_context& io_;
  Incarnation self_;
  Handler handler_;
  PeerSocketCounters counters_;
  zmq::context_t context_;
  zmq::socket_t receiver_;
  std::shared_ptr<ReadinessWatcher> watcher_;
  std::map<std::string, std::shared_ptr<PeerConnection>> connections_;
  bool open_ = true;
};

PeerSocket::PeerSocket(asio::io_context& io, Incarnation self, Handler handler)
    : impl_(std::make_shared<Impl>(io, std::move(self), std::move(handler))) {}

PeerSocket::~PeerSocket() { impl_->Close(); }

Result<void> PeerSocket::Bind(const std::string& address) { return impl_->Bind(address); }

std::string PeerSocket::bound_address() const { return impl_->bound_address(); }

Result<void> PeerSocket::Send(const std::string& address, const PeerMessage& message) {
  return impl_->Send(address, message);
}

void PeerSocket::KeepOnly(const std::vector<std::string>& addresses) { impl_->KeepOnly(addresses); }

const PeerSocketCounters& PeerSocket::counters() const { return impl_->counters(); }

}  // namespace mulberry
