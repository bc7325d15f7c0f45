#include "libgateway/caller_server.h"

#include <array>
#include <asio/write.hpp>
#include <utility>
#include <vector>

namespace mulberry::gateway {
namespace {

constexpr std::size_t kReadBytes = 32 * 1024;
/// Requests of one connection that are handled at once; later ones wait unread.
constexpr std::size_t kMostPipelined = 16;

std::array<char, kReadBytes>& SharedBuffer() {
  static std::array<char, kReadBytes> buffer;
  return buffer;
}

const char* FaultHead(ReadFault fault) {
  switch (fault) {
    case ReadFault::kHeadTooLarge:
      return "HTTP/1.1 431 Request Header Fields Too Large\r\n";
    case ReadFault::kBodyTooLarge:
      return "HTTP/1.1 413 Content Too Large\r\n";
    case ReadFault::kMalformed:
    case ReadFault::kNone:
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
                {server.limits_.max_head_bytes, server.limits_.max_body_bytes}),
        last_active_(MonotonicClock::now()) {}

  void Start() {
    asio::error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    WaitRead();
  }

  void Respond(ExchangeId exchange, std::string head, const std::string& body, bool close);
  void Sweep(TimePoint now);
  bool idle() const { return due_.empty() && out_.empty() && !reader_.started(); }
  void Close();

 private:
  /// One request in the order of arrival, with its answer once there is one.
  struct Due {
    ExchangeId exchange = 0;
    bool is_head = false;
    bool last = false;  ///< The caller wants the connection closed after it.
    bool answered = false;
    std::string bytes;
  };

  void WaitRead();
  void OnReadable();
  void TakeBytes(std::string_view bytes);
  void TakeRequest();
  void Refuse(const char* head);
  void Flush();
  void WriteOut();
  void OnWritten();

  CallerServer& server_;
  asio::ip::tcp::socket socket_;
  HttpReader reader_;
  std::deque<Due> due_;
  std::string pending_;  ///< Bytes read but not yet taken.
  std::string out_;      ///< Bytes being written.
  std::string queued_;   ///< Bytes to write next.
  TimePoint last_active_;
  TimePoint request_started_;
  bool waiting_ = false;
  bool closed_ = false;
  bool no_more_requests_ = false;
  bool close_when_written_ = false;
  bool lingering_ = false;
};

void CallerSession::WaitRead() {
  if (waiting_ || closed_) return;
  waiting_ = true;
  socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](const asio::error_code& error) {
                       self->waiting_ = false;
                       if (self->closed_) return;
                       if (error) {
                         self->Close();
                         return;
                       }
                       self->OnReadable();
                     });
}

void CallerSession::OnReadable() {
  auto& buffer = SharedBuffer();
  asio::error_code error;
  const std::size_t bytes = socket_.read_some(asio::buffer(buffer), error);
  if (error == asio::error::would_block) {
    WaitRead();
    return;
  }
  if (error) {
    Close();
    return;
  }
  if (!lingering_ && !no_more_requests_) {
    last_active_ = MonotonicClock::now();
    if (pending_.empty() && due_.size() < kMostPipelined) {
      TakeBytes({buffer.data(), bytes});
    } else {
      pending_.append(buffer.data(), bytes);
    }
  }
  // A connection with many requests waiting is not read on; the pending bytes are bounded so.
  if (pending_.size() < kReadBytes) WaitRead();
}

void CallerSession::TakeBytes(std::string_view bytes) {
  while (!bytes.empty() && !closed_ && !no_more_requests_) {
    if (due_.size() >= kMostPipelined) {
      pending_.append(bytes);
      return;
    }
    const bool was_started = reader_.started();
    bytes.remove_prefix(reader_.Read(bytes));
    if (!was_started && reader_.started()) request_started_ = last_active_;
    if (reader_.fault() != ReadFault::kNone) {
      Refuse(FaultHead(reader_.fault()));
      return;
    }
    if (reader_.complete()) {
      TakeRequest();
    } else if (reader_.head_complete() && reader_.expects_continue() && due_.empty() &&
               out_.empty() && reader_.message().body.empty()) {
      out_ = "HTTP/1.1 100 Continue\r\n\r\n";
      WriteOut();
    }
  }
}

void CallerSession::TakeRequest() {
  HttpMessage request = std::move(reader_.message());
  reader_.Reset();
  Due due;
  due.exchange = server_.next_exchange_++;
  due.is_head = request.method == "HEAD";
  due.last = !request.keep_alive;
  no_more_requests_ = due.last;
  due_.push_back(due);
  server_.exchanges_.emplace(due.exchange, shared_from_this());
  server_.events_.OnRequest(due.exchange, std::move(request), MonotonicClock::now());
}

void CallerSession::Refuse(const char* head) {
  no_more_requests_ = true;
  Due due;
  due.last = true;
  due.answered = true;
  due.bytes = std::string(head) + "Content-Length: 0\r\nConnection: close\r\n\r\n";
  due_.push_back(std::move(due));
  Flush();
}

void CallerSession::Respond(ExchangeId exchange, std::string head, const std::string& body,
                            bool close) {
  for (Due& due : due_) {
    if (due.exchange != exchange || due.answered) continue;
    due.answered = true;
    due.last = due.last || close || server_.closing_;
    due.bytes = std::move(head);
    if (due.is_head) {
      // The length of the body that a GET would have is the sender's to state.
    } else {
      AppendHeader(due.bytes, "Content-Length", std::to_string(body.size()));
    }
    if (due.last) AppendHeader(due.bytes, "Connection", "close");
    due.bytes += "\r\n";
    if (!due.is_head) due.bytes += body;
    break;
  }
  Flush();
}

/// Writes the answers that are next in order.
void CallerSession::Flush() {
  if (closed_ || close_when_written_) return;
  const bool idle = out_.empty();
  while (!due_.empty() && due_.front().answered && !close_when_written_) {
    Due due = std::move(due_.front());
    due_.pop_front();
    if (idle) out_ += due.bytes;
    if (!idle) queued_ += due.bytes;
    if (due.last) close_when_written_ = true;
  }
  if (idle && !out_.empty()) WriteOut();
}

void CallerSession::WriteOut() {
  asio::error_code error;
  const std::size_t sent = socket_.write_some(asio::buffer(out_), error);
  if (error && error != asio::error::would_block) {
    asio::post(server_.io_, [self = shared_from_this()] { self->Close(); });
    return;
  }
  if (sent == out_.size()) {
    OnWritten();
    return;
  }
  out_.erase(0, sent);
  asio::async_write(socket_, asio::buffer(out_),
                    [self = shared_from_this()](const asio::error_code& failure, std::size_t) {
                      if (self->closed_) return;
                      if (failure) {
                        self->Close();
                        return;
                      }
                      self->OnWritten();
                    });
}

void CallerSession::OnWritten() {
  out_ = std::exchange(queued_, {});
  last_active_ = MonotonicClock::now();
  if (!out_.empty()) {
    WriteOut();
    return;
  }
  out_.shrink_to_fit();
  if (close_when_written_) {
    // Requests behind this answer are not run; the caller learns of it by the close. Reading on
    // until the caller closes keeps the answer from being cut off by a reset.
    for (const Due& due : std::exchange(due_, {})) {
      if (server_.exchanges_.erase(due.exchange) > 0) server_.events_.OnDisconnected(due.exchange);
    }
    lingering_ = true;
    asio::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    WaitRead();
    return;
  }
  if (!pending_.empty() && due_.size() < kMostPipelined) {
    const std::string bytes = std::exchange(pending_, {});
    TakeBytes(bytes);
    WaitRead();
  }
}

void CallerSession::Sweep(TimePoint now) {
  /// Time for a caller to close after it was told to.
  constexpr Duration kLingerTime = std::chrono::seconds(1);
  if (closed_) return;
  if (lingering_) {
    if (now - last_active_ > kLingerTime) Close();
    return;
  }
  if (reader_.started() && !reader_.head_complete() &&
      now - request_started_ > server_.limits_.head_timeout) {
    Refuse("HTTP/1.1 408 Request Timeout\r\n");
    return;
  }
  if (reader_.started() && now - last_active_ > server_.limits_.idle_timeout) {
    Refuse("HTTP/1.1 408 Request Timeout\r\n");
    return;
  }
  const bool stuck = !out_.empty() && now - last_active_ > server_.limits_.idle_timeout;
  if (stuck || (idle() && now - last_active_ > server_.limits_.idle_timeout)) Close();
}

void CallerSession::Close() {
  if (closed_) return;
  closed_ = true;
  const auto self = shared_from_this();
  asio::error_code ignored;
  socket_.close(ignored);
  for (const Due& due : std::exchange(due_, {})) {
    if (server_.exchanges_.erase(due.exchange) > 0) server_.events_.OnDisconnected(due.exchange);
  }
  server_.sessions_.erase(this);
}

CallerServer::CallerServer(asio::io_context& io, CallerEvents& events)
    : io_(io), events_(events), acceptor_(io, [this](asio::ip::tcp::socket socket) {
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

void CallerServer::Respond(ExchangeId exchange, std::string head, const std::string& body,
                           bool close) {
  auto found = exchanges_.extract(exchange);
  if (!found.empty()) found.mapped()->Respond(exchange, std::move(head), body, close);
}

void CallerServer::CloseIdle() {
  std::vector<std::shared_ptr<CallerSession>> idle;
  for (const auto& [key, session] : sessions_) {
    if (session->idle()) idle.push_back(session);
  }
  for (const auto& session : idle) session->Close();
}

void CallerServer::Sweep(TimePoint now) {
  std::vector<std::shared_ptr<CallerSession>> all;
  all.reserve(sessions_.size());
  for (const auto& [key, session] : sessions_) all.push_back(session);
  for (const auto& session : all) session->Sweep(now);
}

}  // namespace mulberry::gateway
