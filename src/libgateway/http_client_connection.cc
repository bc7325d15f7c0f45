#include "libgateway/http_client_connection.h"

#include <sys/socket.h>

#include <array>
#include <asio/write.hpp>
#include <utility>

namespace mulberry::gateway {
namespace {

/// Bytes read at once; the buffer is shared, since one thread runs all links.
constexpr std::size_t kReadBytes = 32 * 1024;
/// Interim answers (1xx) and answers to earlier requests that are passed over in one exchange.
constexpr int kMostPassedOver = 4;

std::array<char, kReadBytes>& SharedBuffer() {
  static std::array<char, kReadBytes> buffer;
  return buffer;
}

/// Reads "timeout=SECONDS" of a Keep-Alive header; zero when absent.
Duration KeepAliveTimeout(const std::string* header) {
  if (header == nullptr) return Duration::zero();
  const std::size_t at = header->find("timeout=");
  if (at == std::string::npos) return Duration::zero();
  const std::string digits = header->substr(at + 8, header->find(',', at) - at - 8);
  std::int64_t seconds = 0;
  if (!ParseNumber(digits, &seconds) || seconds <= 0) return Duration::zero();
  return std::chrono::seconds(seconds);
}

}  // namespace

HttpClientConnection::HttpClientConnection(asio::io_context& io,
                                           const asio::ip::tcp::endpoint& peer, ReadLimits limits,
                                           IdleClosed idle_closed)
    : io_(io),
      peer_(peer),
      socket_(io),
      connect_timer_(io),
      reader_(HttpReader::Kind::kAnswer, limits),
      idle_closed_(std::move(idle_closed)) {}

void HttpClientConnection::Exchange(ExchangeRequest request, Done done) {
  request_ = std::move(request);
  done_ = std::move(done);
  written_any_ = false;
  written_all_ = false;
  reader_.Reset();
  reader_.ExpectNoBody(request_.is_head);
  if (connected_) {
    Write();
  } else {
    Connect();
  }
}

void HttpClientConnection::Connect() {
  asio::error_code ignored;
  socket_.open(peer_.protocol(), ignored);
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  connect_timer_.expires_after(request_.connect_timeout);
  connect_timer_.async_wait([self = shared_from_this()](const asio::error_code& error) {
    if (error || self->connected_ || self->closed_) return;
    self->Finish(ExchangeOutcome::kConnectFailed, "connect timed out");
  });
  socket_.async_connect(peer_, [self = shared_from_this()](const asio::error_code& error) {
    if (self->closed_) return;
    self->connect_timer_.cancel();
    if (error) {
      self->Finish(ExchangeOutcome::kConnectFailed, error.message());
      return;
    }
    self->connected_ = true;
    asio::error_code failure;
    self->socket_.non_blocking(true, failure);
    self->WaitRead();
    self->Write();
  });
}

void HttpClientConnection::Write() {
  // Most requests fit into the socket at once.
  asio::error_code error;
  const std::size_t sent = socket_.write_some(asio::buffer(request_.bytes), error);
  if (error && error != asio::error::would_block) {
    // Finishing later keeps the caller's stack out of the callback.
    asio::post(io_, [self = shared_from_this(), error] {
      if (!self->closed_ && self->busy()) self->Finish(ExchangeOutcome::kNotSent, error.message());
    });
    return;
  }
  written_any_ = sent > 0;
  if (sent == request_.bytes.size()) {
    OnWritten({}, sent);
    return;
  }
  asio::async_write(
      socket_, asio::buffer(request_.bytes.data() + sent, request_.bytes.size() - sent),
      [self = shared_from_this()](const asio::error_code& failure, std::size_t bytes) {
        if (!self->closed_) self->OnWritten(failure, bytes);
      });
}

void HttpClientConnection::OnWritten(const asio::error_code& error, std::size_t bytes) {
  written_any_ = written_any_ || bytes > 0;
  if (!busy()) {
    // The answer came before the whole request was written: the rest would be read as a request.
    Close();
    return;
  }
  if (error) {
    Finish(written_any_ ? ExchangeOutcome::kFailedAfterSend : ExchangeOutcome::kNotSent,
           error.message());
    return;
  }
  written_all_ = true;
}

void HttpClientConnection::WaitRead() {
  if (waiting_ || closed_) return;
  waiting_ = true;
  socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](const asio::error_code& error) {
                       self->waiting_ = false;
                       if (!self->closed_) self->OnReadable(error);
                     });
}

void HttpClientConnection::OnReadable(const asio::error_code& wait_error) {
  if (wait_error) {
    OnPeerEnd(wait_error);
    return;
  }
  auto& buffer = SharedBuffer();
  const auto self = shared_from_this();
  asio::error_code error;
  const std::size_t bytes = socket_.read_some(asio::buffer(buffer), error);
  if (error == asio::error::would_block) {
    WaitRead();
    return;
  }
  if (error) {
    OnPeerEnd(error);
    return;
  }
  if (!busy()) {
    // Bytes that nobody asked for belong to no request.
    Close();
    if (idle_closed_) idle_closed_(this);
    return;
  }
  if (TakeBytes({buffer.data(), bytes})) WaitRead();
}

/// Returns false when the exchange has ended with the link closed.
bool HttpClientConnection::TakeBytes(std::string_view bytes) {
  while (!bytes.empty()) {
    bytes.remove_prefix(reader_.Read(bytes));
    if (reader_.fault() != ReadFault::kNone) {
      Finish(ExchangeOutcome::kFailedAfterSend, "bytes are no answer");
      return false;
    }
    if (!reader_.complete()) return true;
    // What follows a whole answer belongs to no request.
    if (!bytes.empty()) reusable_ = false;
    if (!TakeMessage()) return !closed_;
  }
  return true;
}

/// Returns true when the message was passed over and another one is awaited.
bool HttpClientConnection::TakeMessage() {
  HttpMessage& message = reader_.message();
  const bool interim = message.status >= 100 && message.status < 200;
  const std::string* id =
      request_.id_header.empty() ? nullptr : FindHeader(message.headers, request_.id_header);
  const bool foreign = id != nullptr && *id != request_.id;
  if (interim || foreign) {
    if (foreign) reusable_ = true;
    reader_.Reset();
    reader_.ExpectNoBody(request_.is_head);
    if (++passed_over_ > kMostPassedOver) {
      Finish(ExchangeOutcome::kFailedAfterSend, "too many answers to other requests");
      return false;
    }
    return true;
  }
  if (!message.keep_alive || message.ends_with_connection || !written_all_) reusable_ = false;
  keep_alive_timeout_ = KeepAliveTimeout(FindHeader(message.headers, "keep-alive"));
  Finish(ExchangeOutcome::kResponseReceived, "");
  return false;
}

void HttpClientConnection::OnPeerEnd(const asio::error_code& error) {
  if (!busy()) {
    Close();
    if (idle_closed_) idle_closed_(this);
    return;
  }
  if (error == asio::error::eof) {
    reader_.ReadEnd();
    if (reader_.complete()) {
      reusable_ = false;
      TakeMessage();
      if (!closed_ && busy()) Finish(ExchangeOutcome::kFailedAfterSend, "closed before the answer");
      return;
    }
  }
  Finish(written_any_ ? ExchangeOutcome::kFailedAfterSend : ExchangeOutcome::kNotSent,
         error.message());
}

void HttpClientConnection::Finish(ExchangeOutcome end, std::string error) {
  const auto self = shared_from_this();
  ExchangeResult answer;
  answer.outcome = end;
  answer.error = std::move(error);
  answer.reused = exchanges_ > 0;
  if (end == ExchangeOutcome::kResponseReceived) answer.response = std::move(reader_.message());
  ++exchanges_;
  passed_over_ = 0;
  idle_since_ = MonotonicClock::now();
  const Done done = std::exchange(done_, nullptr);
  if (end != ExchangeOutcome::kResponseReceived || !reusable_) Close();
  reader_.Reset();
  // A write that still runs reads these bytes.
  if (written_all_ || closed_) request_ = ExchangeRequest();
  if (done) done(std::move(answer));
}

void HttpClientConnection::Close() {
  if (closed_) return;
  closed_ = true;
  connect_timer_.cancel();
  asio::error_code ignored;
  socket_.close(ignored);
  done_ = nullptr;
}

bool HttpClientConnection::SocketIsIdle() {
  if (closed_ || !connected_) return false;
  char byte = 0;
  const auto got = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace mulberry::gateway
