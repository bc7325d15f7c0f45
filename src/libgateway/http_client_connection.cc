#include "libgateway/http_client_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <asio/write.hpp>
#include <limits>
#include <utility>

namespace mulberry::gateway {
namespace {

/// Size of a read; one buffer is enough, because one thread runs all connections.
constexpr std::size_t kReadBufferBytes = 32 * 1024;
/// Interim responses (1xx) and responses to earlier requests that are skipped in one exchange.
constexpr int kMaxSkippedResponses = 4;

std::array<char, kReadBufferBytes>& SharedReadBuffer() {
  static std::array<char, kReadBufferBytes> buffer;
  return buffer;
}

const char* ReadErrorText(ReadError error) {
  switch (error) {
    case ReadError::kHeadTooLarge:
      return "response head too large";
    case ReadError::kBodyTooLarge:
      return "response body too large";
    case ReadError::kMemoryFull:
      return "no memory for the response body";
    case ReadError::kSecondHead:
      return "status line within a response head";
    case ReadError::kInvalidStatusLine:
      return "invalid status line in the response";
    case ReadError::kMalformed:
    case ReadError::kNone:
      break;
  }
  return "malformed response";
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
                                           IdleClosedCallback idle_closed)
    : io_(io),
      peer_(peer),
      socket_(io),
      connect_timer_(io),
      reader_(HttpReader::Kind::kResponse, limits),
      idle_closed_(std::move(idle_closed)) {}

void HttpClientConnection::Exchange(ExchangeRequest request, Callback callback) {
  request_ = std::move(request);
  callback_ = std::move(callback);
  write_started_ = false;
  write_finished_ = false;
  reader_.Reset();
  reader_.ExpectNoBody(request_.is_head);
  if (connected_) {
    Write();
  } else {
    Connect();
  }
}

std::vector<asio::const_buffer> HttpClientConnection::RequestBytes(std::size_t offset) const {
  const std::size_t head_offset = std::min(offset, request_.head.size());
  std::vector<asio::const_buffer> buffers;
  if (head_offset < request_.head.size()) {
    buffers.push_back(asio::buffer(request_.head) + head_offset);
  }
  if (request_.body) {
    request_.body->AppendBuffers(offset - head_offset, std::numeric_limits<std::size_t>::max(),
                                 &buffers);
  }
  return buffers;
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
  // Most requests fit into the socket's buffer.
  asio::error_code error;
  const std::size_t sent = socket_.write_some(RequestBytes(0), error);
  if (error && error != asio::error::would_block) {
    // Posted, so that the callback does not run inside Exchange.
    asio::post(io_, [self = shared_from_this(), error] {
      if (!self->closed_ && self->busy()) self->Finish(ExchangeOutcome::kNotSent, error.message());
    });
    return;
  }
  write_started_ = sent > 0;
  const auto rest = RequestBytes(sent);
  if (asio::buffer_size(rest) == 0) {
    OnWritten({});
    return;
  }
  // How much of the rest is sent shows only when the write completes.
  write_started_ = true;
  asio::async_write(socket_, rest,
                    [self = shared_from_this()](const asio::error_code& failure, std::size_t) {
                      if (!self->closed_) self->OnWritten(failure);
                    });
}

void HttpClientConnection::OnWritten(const asio::error_code& error) {
  if (!busy()) {
    // The response came before the whole request was written; the server would read the rest as a
    // new request.
    Close();
    return;
  }
  if (error) {
    Finish(ExchangeOutcome::kFailedAfterSend, error.message());
    return;
  }
  write_finished_ = true;
}

void HttpClientConnection::WaitRead() {
  if (waiting_for_input_ || closed_) return;
  waiting_for_input_ = true;
  socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](const asio::error_code& error) {
                       self->waiting_for_input_ = false;
                       if (!self->closed_) self->OnReadable(error);
                     });
}

void HttpClientConnection::OnReadable(const asio::error_code& wait_error) {
  if (wait_error) {
    OnConnectionEnd(wait_error);
    return;
  }
  auto& buffer = SharedReadBuffer();
  const auto self = shared_from_this();
  asio::error_code error;
  const std::size_t bytes = socket_.read_some(asio::buffer(buffer), error);
  if (error == asio::error::would_block) {
    WaitRead();
    return;
  }
  if (error) {
    OnConnectionEnd(error);
    return;
  }
  if (!busy()) {
    // Bytes without a running exchange belong to no request.
    Close();
    if (idle_closed_) idle_closed_(this);
    return;
  }
  if (ParseInput({buffer.data(), bytes})) WaitRead();
}

/// Returns false when the exchange has ended and the connection is closed.
bool HttpClientConnection::ParseInput(std::string_view bytes) {
  while (!bytes.empty()) {
    bytes.remove_prefix(reader_.Read(bytes));
    if (reader_.error() != ReadError::kNone) {
      Finish(ExchangeOutcome::kFailedAfterSend, ReadErrorText(reader_.error()));
      return false;
    }
    if (!reader_.complete()) return true;
    // Bytes after a complete response belong to no request.
    if (!bytes.empty()) reusable_ = false;
    if (!ProcessMessage()) return !closed_;
  }
  return true;
}

/// Returns true when the message was skipped and another one is expected.
bool HttpClientConnection::ProcessMessage() {
  HttpMessage& message = reader_.message();
  const bool interim = IsInterimStatus(message.status);
  const std::string* id =
      request_.id_header.empty() ? nullptr : FindHeader(message.headers, request_.id_header);
  // A request without an id is not the one that a response with an id answers, unless the server
  // chooses ids itself, which only a connection's first response can show.
  const bool may_be_servers_choice = request_.id.empty() && finished_exchanges_ == 0;
  const bool for_other_request = id != nullptr && *id != request_.id && !may_be_servers_choice;
  if (interim || for_other_request) {
    if (for_other_request) {
      reusable_ = true;
      ++responses_to_others_;
      LogEvent(LogLevel::kInfo, "response_skipped",
               {{"request", request_.id},
                {"other_request", *id},
                {"status", message.status},
                {"peer", peer_.address().to_string() + ":" + std::to_string(peer_.port())}});
    }
    reader_.Reset();
    reader_.ExpectNoBody(request_.is_head);
    if (++skipped_responses_ > kMaxSkippedResponses) {
      Finish(ExchangeOutcome::kFailedAfterSend, "too many responses to other requests");
      return false;
    }
    return true;
  }
  if (!message.keep_alive || message.ends_with_connection || !write_finished_) reusable_ = false;
  keep_alive_timeout_ = KeepAliveTimeout(FindHeader(message.headers, "keep-alive"));
  Finish(ExchangeOutcome::kResponseReceived, "");
  return false;
}

void HttpClientConnection::OnConnectionEnd(const asio::error_code& error) {
  if (!busy()) {
    Close();
    if (idle_closed_) idle_closed_(this);
    return;
  }
  if (error == asio::error::eof) {
    reader_.ReadEnd();
    if (reader_.complete()) {
      reusable_ = false;
      ProcessMessage();
      if (!closed_ && busy()) Finish(ExchangeOutcome::kFailedAfterSend, "closed before response");
      return;
    }
  }
  Finish(write_started_ ? ExchangeOutcome::kFailedAfterSend : ExchangeOutcome::kNotSent,
         error.message());
}

void HttpClientConnection::Finish(ExchangeOutcome outcome, std::string error) {
  const auto self = shared_from_this();
  ExchangeResult result;
  result.outcome = outcome;
  result.error = std::move(error);
  result.reused = finished_exchanges_ > 0;
  result.write_pending = connected_ && !write_finished_;
  result.skipped_responses = responses_to_others_;
  if (outcome == ExchangeOutcome::kResponseReceived) result.response = std::move(reader_.message());
  ++finished_exchanges_;
  skipped_responses_ = 0;
  responses_to_others_ = 0;
  idle_since_ = MonotonicClock::now();
  const Callback callback = std::exchange(callback_, nullptr);
  if (outcome != ExchangeOutcome::kResponseReceived || !reusable_) Close();
  reader_.Reset();
  // An unfinished write still reads the bytes of the request.
  if (write_finished_) request_ = ExchangeRequest();
  if (callback) callback(std::move(result));
}

void HttpClientConnection::Close() {
  if (closed_) return;
  closed_ = true;
  connect_timer_.cancel();
  asio::error_code ignored;
  socket_.close(ignored);
  callback_ = nullptr;
  // A handler may keep the connection alive for longer than the memory budget.
  reader_.Reset();
  request_ = ExchangeRequest();
}

bool HttpClientConnection::SocketIsIdle() {
  if (closed_ || !connected_) return false;
  char byte = 0;
  const auto received = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace mulberry::gateway
