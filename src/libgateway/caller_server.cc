#include "libgateway/caller_server.h"

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

namespace mulberry::gateway {
namespace {

constexpr std::size_t kReadBufferBytes = 32 * 1024;
/// Maximum of pending requests per connection; later ones stay unparsed until a response is sent.
constexpr std::size_t kMaxPipelinedRequests = 16;
/// Buffers of one write; asio passes no more to the system.
constexpr std::size_t kMaxWriteBuffers = 64;

std::array<char, kReadBufferBytes>& SharedReadBuffer() {
  static std::array<char, kReadBufferBytes> buffer;
  return buffer;
}

const char* ErrorResponseHead(ReadError fault) {
  switch (fault) {
    case ReadError::kHeadTooLarge:
      return "HTTP/1.1 431 Request Header Fields Too Large\r\n";
    case ReadError::kBodyTooLarge:
      return "HTTP/1.1 413 Content Too Large\r\n";
    case ReadError::kMalformed:
    case ReadError::kInvalidStatusLine:
    case ReadError::kSecondHead:
    case ReadError::kMemoryFull:
    case ReadError::kNone:
      break;
  }
  return "HTTP/1.1 400 Bad Request\r\n";
}

}  // namespace

/// One caller's connection.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
 public:
  CallerSession(CallerServer& server, asio::ip::tcp::socket socket)
      : server_(server),
        socket_(std::move(socket)),
        reader_(HttpReader::Kind::kRequest,
                {server.limits_.max_head_bytes, server.limits_.max_body_bytes, server.memory_}),
        last_active_(MonotonicClock::now()) {}

  void Start() {
    asio::error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    WaitRead();
  }

  void Respond(ExchangeId exchange, std::string head, std::string_view text, MessageBody body,
               bool close);
  void Sweep(TimePoint now);
  void RefuseIncomplete();
  /// Reads what has arrived until there is a request.
  void ReadArrived();
  bool lingering() const { return lingering_; }
  bool answering() const { return !pending_responses_.empty() || !outgoing_.empty(); }
  bool idle() const { return !lingering_ && !answering() && !reader_.started(); }
  void Close();

 private:
  /// A request in order of arrival, with its response once there is one.
  struct PendingResponse {
    ExchangeId id = 0;
    bool is_head = false;
    bool closes_connection = false;  ///< The connection is closed after this response.
    bool ready = false;              ///< The response can be written.
    std::string head;                ///< With the body if that is short.
    MessageBody body;
    MemoryReservation head_memory;
    std::size_t size() const { return head.size() + body.size(); }
  };

  void WaitRead();
  /// Returns false when nothing has arrived or the connection is closed.
  bool ReadSome();
  void ParseInput(std::string_view bytes);
  void DispatchRequest();
  void RefuseForMemory();
  void Reject(const char* head);
  void Flush();
  /// Writes what the socket takes of the outgoing responses, and the rest later.
  void Write();
  std::vector<asio::const_buffer> OutgoingBytes() const;
  void RemoveOutgoing(std::size_t bytes);
  void OnWritten();

  CallerServer& server_;
  asio::ip::tcp::socket socket_;
  HttpReader reader_;
  std::deque<PendingResponse> pending_responses_;
  std::string unparsed_;                  ///< Bytes read but not yet parsed.
  std::deque<PendingResponse> outgoing_;  ///< Being written.
  std::size_t written_ = 0;               ///< Bytes of the first of them.
  TimePoint last_active_;
  TimePoint request_started_;
  TimePoint linger_started_;
  bool waiting_for_input_ = false;
  bool closed_ = false;
  bool no_more_requests_ = false;
  bool close_when_written_ = false;
  bool lingering_ = false;
};

void CallerSession::WaitRead() {
  if (waiting_for_input_ || closed_) return;
  waiting_for_input_ = true;
  socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](const asio::error_code& error) {
                       self->waiting_for_input_ = false;
                       if (self->closed_) return;
                       if (error) {
                         self->Close();
                         return;
                       }
                       self->ReadSome();
                       // A connection with many pending requests is not read, which bounds the
                       // unparsed bytes.
                       if (self->unparsed_.size() < kReadBufferBytes) self->WaitRead();
                     });
}

void CallerSession::ReadArrived() {
  const auto self = shared_from_this();
  while (idle() && ReadSome()) {
  }
}

bool CallerSession::ReadSome() {
  auto& buffer = SharedReadBuffer();
  asio::error_code error;
  const std::size_t bytes = socket_.read_some(asio::buffer(buffer), error);
  if (error == asio::error::would_block) return false;
  if (error) {
    Close();
    return false;
  }
  last_active_ = MonotonicClock::now();
  if (!lingering_ && !no_more_requests_) {
    if (unparsed_.empty() && pending_responses_.size() < kMaxPipelinedRequests) {
      ParseInput({buffer.data(), bytes});
    } else {
      unparsed_.append(buffer.data(), bytes);
    }
  }
  return !closed_;
}

void CallerSession::ParseInput(std::string_view bytes) {
  while (!bytes.empty() && !closed_ && !no_more_requests_) {
    if (pending_responses_.size() >= kMaxPipelinedRequests) {
      unparsed_.append(bytes);
      return;
    }
    const bool had_started = reader_.started();
    bytes.remove_prefix(reader_.Read(bytes));
    if (!had_started && reader_.started()) request_started_ = last_active_;
    if (reader_.error() == ReadError::kMemoryFull) {
      RefuseForMemory();
      return;
    }
    if (reader_.error() != ReadError::kNone) {
      Reject(ErrorResponseHead(reader_.error()));
      return;
    }
    if (reader_.complete()) {
      DispatchRequest();
    } else if (reader_.head_complete() && reader_.expects_continue() &&
               pending_responses_.empty() && outgoing_.empty() && reader_.message().body.empty()) {
      outgoing_.emplace_back().head = "HTTP/1.1 100 Continue\r\n\r\n";
      Write();
    }
  }
}

void CallerSession::DispatchRequest() {
  HttpMessage request = std::move(reader_.message());
  reader_.Reset();
  PendingResponse response;
  response.id = server_.next_exchange_++;
  response.is_head = request.method == "HEAD";
  response.closes_connection = !request.keep_alive;
  no_more_requests_ = response.closes_connection;
  const ExchangeId id = response.id;
  pending_responses_.push_back(std::move(response));
  server_.exchanges_.emplace(id, shared_from_this());
  server_.events_.OnRequest(id, std::move(request), MonotonicClock::now());
}

/// Refuses the request whose head was read. The rest of its body is not read.
void CallerSession::RefuseForMemory() {
  no_more_requests_ = true;
  PendingResponse response;
  response.id = server_.next_exchange_++;
  response.closes_connection = true;
  const ExchangeId id = response.id;
  pending_responses_.push_back(std::move(response));
  server_.exchanges_.emplace(id, shared_from_this());
  HttpMessage head = std::move(reader_.message());
  head.body.Clear();
  reader_.Reset();
  server_.events_.OnMemoryFull(id, head);
}

void CallerSession::Reject(const char* head) {
  no_more_requests_ = true;
  PendingResponse response;
  response.closes_connection = true;
  response.ready = true;
  response.head = std::string(head) + "Content-Length: 0\r\nConnection: close\r\n\r\n";
  pending_responses_.push_back(std::move(response));
  Flush();
}

void CallerSession::Respond(ExchangeId exchange, std::string head, std::string_view text,
                            MessageBody body, bool close) {
  if (server_.draining_ && !pending_responses_.empty()) {
    // The requests behind this one may be running, so the close waits for their responses.
    no_more_requests_ = true;
    pending_responses_.back().closes_connection = true;
  }
  for (PendingResponse& response : pending_responses_) {
    if (response.id != exchange || response.ready) continue;
    response.ready = true;
    response.closes_connection = response.closes_connection || close;
    response.head = std::move(head);
    // The head of a response to HEAD already states the Content-Length that a GET would have.
    if (!response.is_head) {
      AppendHeader(response.head, "Content-Length", std::to_string(text.size() + body.size()));
    }
    if (response.closes_connection) AppendHeader(response.head, "Connection", "close");
    response.head += "\r\n";
    if (!response.is_head) {
      response.head += text;
      response.body = std::move(body);
    }
    if (server_.memory_ != nullptr) {
      response.head_memory = server_.memory_->Reserve(response.head.capacity());
    }
    break;
  }
  Flush();
}

/// Writes the responses that are next in order.
void CallerSession::Flush() {
  if (closed_ || close_when_written_) return;
  const bool not_writing = outgoing_.empty();
  while (!pending_responses_.empty() && pending_responses_.front().ready && !close_when_written_) {
    close_when_written_ = pending_responses_.front().closes_connection;
    outgoing_.push_back(std::move(pending_responses_.front()));
    pending_responses_.pop_front();
  }
  if (not_writing && !outgoing_.empty()) Write();
}

std::vector<asio::const_buffer> CallerSession::OutgoingBytes() const {
  std::vector<asio::const_buffer> buffers;
  std::size_t offset = written_;
  for (const PendingResponse& response : outgoing_) {
    const std::size_t head_offset = std::min(offset, response.head.size());
    if (head_offset < response.head.size()) {
      buffers.push_back(asio::buffer(response.head) + head_offset);
    }
    response.body.AppendBuffers(offset - head_offset, kMaxWriteBuffers, &buffers);
    if (buffers.size() >= kMaxWriteBuffers) break;
    offset = 0;
  }
  return buffers;
}

void CallerSession::RemoveOutgoing(std::size_t bytes) {
  written_ += bytes;
  while (!outgoing_.empty() && written_ >= outgoing_.front().size()) {
    written_ -= outgoing_.front().size();
    outgoing_.pop_front();
  }
}

void CallerSession::Write() {
  asio::error_code error;
  const std::size_t sent = socket_.write_some(OutgoingBytes(), error);
  if (error && error != asio::error::would_block) {
    asio::post(server_.io_, [self = shared_from_this()] { self->Close(); });
    return;
  }
  RemoveOutgoing(sent);
  if (outgoing_.empty()) {
    OnWritten();
    return;
  }
  socket_.async_wait(asio::ip::tcp::socket::wait_write,
                     [self = shared_from_this()](const asio::error_code& failure) {
                       if (self->closed_) return;
                       if (failure) {
                         self->Close();
                         return;
                       }
                       self->Write();
                     });
}

void CallerSession::OnWritten() {
  last_active_ = MonotonicClock::now();
  if (close_when_written_) {
    // Later requests on this connection are not processed; the close tells the caller so. The
    // connection is read until the caller closes it; otherwise a reset could truncate the response.
    for (const PendingResponse& response : std::exchange(pending_responses_, {})) {
      if (server_.exchanges_.erase(response.id) > 0) server_.events_.OnDisconnected(response.id);
    }
    lingering_ = true;
    linger_started_ = last_active_;
    unparsed_.clear();
    asio::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    WaitRead();
    return;
  }
  if (!unparsed_.empty() && pending_responses_.size() < kMaxPipelinedRequests) {
    const std::string bytes = std::exchange(unparsed_, {});
    ParseInput(bytes);
    WaitRead();
  }
}

void CallerSession::Sweep(TimePoint now) {
  /// Time for the caller to close its side of the connection, since its last bytes and in total.
  constexpr Duration kLingerTimeout = std::chrono::seconds(1);
  constexpr Duration kMaxLingerTime = std::chrono::seconds(5);
  if (closed_) return;
  if (lingering_) {
    const bool silent = now - last_active_ > kLingerTimeout;
    if (silent || now - linger_started_ > kMaxLingerTime) Close();
    return;
  }
  if (reader_.started() && !reader_.head_complete() &&
      now - request_started_ > server_.limits_.head_timeout) {
    Reject("HTTP/1.1 408 Request Timeout\r\n");
    return;
  }
  if (reader_.started() && now - last_active_ > server_.limits_.idle_timeout) {
    Reject("HTTP/1.1 408 Request Timeout\r\n");
    return;
  }
  const bool write_stalled =
      !outgoing_.empty() && now - last_active_ > server_.limits_.idle_timeout;
  if (write_stalled || (idle() && now - last_active_ > server_.limits_.idle_timeout)) Close();
}

void CallerSession::RefuseIncomplete() {
  if (closed_ || lingering_ || !reader_.started()) return;
  reader_.Reset();
  Reject("HTTP/1.1 503 Service Unavailable\r\n");
}

void CallerSession::Close() {
  if (closed_) return;
  closed_ = true;
  const auto self = shared_from_this();
  asio::error_code ignored;
  socket_.close(ignored);
  // A handler may keep the session alive for longer than the memory budget.
  reader_.Reset();
  outgoing_.clear();
  for (const PendingResponse& response : std::exchange(pending_responses_, {})) {
    if (server_.exchanges_.erase(response.id) > 0) server_.events_.OnDisconnected(response.id);
  }
  server_.sessions_.erase(this);
}

CallerServer::CallerServer(asio::io_context& io, CallerEvents& events, MemoryBudget* memory)
    : io_(io),
      events_(events),
      memory_(memory),
      acceptor_(io, [this](asio::ip::tcp::socket socket) {
        auto session = std::make_shared<CallerSession>(*this, std::move(socket));
        sessions_.emplace(session.get(), session);
        session->Start();
      }) {}

CallerServer::~CallerServer() {
  acceptor_.Stop();
  exchanges_.clear();
  while (!sessions_.empty()) {
    const auto session = sessions_.begin()->second;
    session->Close();
  }
}

Result<void> CallerServer::Open(const std::string& ip, std::uint16_t port) {
  return acceptor_.Open(ip, port);
}

void CallerServer::StopAccepting() { acceptor_.Stop(); }

void CallerServer::Respond(ExchangeId exchange, std::string head, MessageBody body, bool close) {
  auto found = exchanges_.extract(exchange);
  if (found.empty()) return;
  found.mapped()->Respond(exchange, std::move(head), {}, std::move(body), close);
}

void CallerServer::Respond(ExchangeId exchange, std::string head, std::string_view text,
                           bool close) {
  auto found = exchanges_.extract(exchange);
  if (found.empty()) return;
  found.mapped()->Respond(exchange, std::move(head), text, MessageBody(), close);
}

void CallerServer::CloseIdle() {
  std::vector<std::shared_ptr<CallerSession>> idle_sessions;
  for (const auto& [key, session] : sessions_) {
    if (session->idle()) idle_sessions.push_back(session);
  }
  for (const auto& session : idle_sessions) {
    session->ReadArrived();
    if (session->idle()) session->Close();
  }
}

ConnectionCounts CallerServer::CountConnections() const {
  ConnectionCounts counts;
  for (const auto& [key, session] : sessions_) {
    if (session->lingering()) {
      ++counts.lingering;
    } else if (session->answering()) {
      ++counts.answering;
    } else if (session->idle()) {
      ++counts.idle;
    } else {
      ++counts.receiving;
    }
  }
  return counts;
}

std::vector<std::shared_ptr<CallerSession>> CallerServer::Sessions() const {
  std::vector<std::shared_ptr<CallerSession>> sessions;
  sessions.reserve(sessions_.size());
  for (const auto& [key, session] : sessions_) sessions.push_back(session);
  return sessions;
}

void CallerServer::RefuseIncomplete() {
  for (const auto& session : Sessions()) session->RefuseIncomplete();
}

void CallerServer::Sweep(TimePoint now) {
  for (const auto& session : Sessions()) session->Sweep(now);
}

}  // namespace mulberry::gateway
