#include "libtransport/server_connections.h"

#include <asio/post.hpp>
#include <vector>

#include "libtransport/lingering_close.h"

namespace mulberry {

namespace {

constexpr std::string_view kBadRequestAnswer =
    "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
constexpr std::string_view kRequestTimeoutAnswer =
    "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
constexpr std::string_view kBodyTooLargeAnswer =
    "HTTP/1.1 413 Payload Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
constexpr std::string_view kHeadTooLargeAnswer =
    "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\n"
    "Content-Length: 0\r\n\r\n";

}  // namespace

ServerConnections::ServerConnections(asio::io_context& io, HttpServerOptions options,
                                     HttpServer::ClosedCallback closed)
    : io_(io), options_(std::move(options)), closed_(std::move(closed)) {}

void ServerConnections::Add(std::shared_ptr<ServerConnection> connection) {
  ++counters_.connections;
  const std::uint64_t id = connection->id;
  connection->active_at = MonotonicClock::now();
  connections_[id] = std::move(connection);
}

ServerConnection* ServerConnections::Find(std::uint64_t id) {
  const auto found = connections_.find(id);
  return found == connections_.end() ? nullptr : found->second.get();
}

bool ServerConnections::HasUnreadBytes(const ServerConnection& connection) {
  if (connection.reading) return true;
  if (connection.socket == nullptr) return false;
  asio::error_code error;
  const std::size_t available = connection.socket->available(error);
  return !error && available > 0;
}

std::optional<std::uint64_t> ServerConnections::OnRequest(std::uint64_t id) {
  ServerConnection* connection = Find(id);
  if (connection == nullptr || connection->closing) return std::nullopt;
  connection->reading = false;
  ++connection->unanswered_requests;
  return ++connection->requests;
}

bool ServerConnections::OnAnswered(std::uint64_t id, std::uint64_t request, bool close) {
  ServerConnection* connection = Find(id);
  if (connection == nullptr) return close;
  --connection->unanswered_requests;
  ++connection->unwritten_answers;
  // Answers are written in request order: an answer that closes drops those to newer requests.
  const bool is_last = request == connection->requests && connection->unanswered_requests == 0;
  const bool may_close = close_after_answers_ && is_last && !HasUnreadBytes(*connection);
  connection->closing = connection->closing || close || may_close;
  return close || may_close;
}

void ServerConnections::OnWritten(std::uint64_t id) {
  ServerConnection* connection = Find(id);
  if (connection == nullptr || connection->unwritten_answers == 0) return;
  --connection->unwritten_answers;
  connection->active_at = MonotonicClock::now();
}

void ServerConnections::OnClosed(std::uint64_t id) {
  if (connections_.erase(id) == 0) return;
  --counters_.connections;
  if (!closed_) return;
  asio::post(io_, [self = shared_from_this(), id] {
    if (self->closed_) self->closed_(id);
  });
}

void ServerConnections::BeforeClose(ServerConnection& connection) {
  switch (std::exchange(close_cause_, CloseCause::kOther)) {
    case CloseCause::kOther:
      return;
    case CloseCause::kMalformed:
      ++counters_.malformed;
      return Answer(connection, kBadRequestAnswer);
    case CloseCause::kHeadTooLarge:
      ++counters_.too_large;
      return Answer(connection, kHeadTooLargeAnswer);
    case CloseCause::kBodyTooLarge:
      ++counters_.too_large;
      return Answer(connection, kBodyTooLargeAnswer);
    case CloseCause::kTimeout:
      if (connection.reading || connection.unwritten_answers > 0) ++counters_.slow;
      if (connection.reading) Answer(connection, kRequestTimeoutAnswer);
      return;
  }
}

void ServerConnections::Answer(ServerConnection& connection, std::string_view answer) {
  // The caller would match this answer to an earlier request.
  if (connection.unanswered_requests > 0 || connection.unwritten_answers > 0) return;
  asio::error_code error;
  const auto protocol = connection.socket->local_endpoint(error).protocol();
  if (error) return;
  const auto descriptor = connection.socket->release(error);
  if (error) return;
  CloseWithAnswer(asio::ip::tcp::socket(io_, protocol, descriptor), answer);
}

void ServerConnections::CloseTimedOutReads(TimePoint now) {
  std::vector<std::shared_ptr<ServerConnection>> slow;
  for (const auto& [id, connection] : connections_) {
    const bool late = now - connection->reading_since > options_.read_timeout;
    if (connection->reading && late && connection->socket != nullptr) slow.push_back(connection);
  }
  for (const auto& connection : slow) Close(*connection, CloseCause::kTimeout);
}

void ServerConnections::CloseIdle(TimePoint active_before) {
  std::vector<std::shared_ptr<ServerConnection>> idle;
  for (const auto& [id, connection] : connections_) {
    const bool busy = connection->unanswered_requests > 0 || connection->unwritten_answers > 0 ||
                      HasUnreadBytes(*connection);
    if (!busy && connection->active_at < active_before && connection->socket != nullptr) {
      idle.push_back(connection);
    }
  }
  for (const auto& connection : idle) Close(*connection, CloseCause::kOther);
}

void ServerConnections::Close(ServerConnection& connection, CloseCause cause) {
  close_cause_ = cause;
  asio::error_code ignored;
  connection.socket->shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
  connection.socket->close(ignored);
  OnClosed(connection.id);
}

void ServerConnections::CloseAll() {
  open_ = false;
  closed_ = nullptr;
  const auto connections = std::move(connections_);
  connections_.clear();
  counters_.connections = 0;
  for (const auto& [id, connection] : connections) {
    asio::error_code ignored;
    if (connection->socket != nullptr) connection->socket->close(ignored);
  }
}

CallerSocket::CallerSocket(asio::ip::tcp::socket socket,
                           std::shared_ptr<ServerConnections> connections,
                           std::shared_ptr<ServerConnection> connection)
    : asio::ip::tcp::socket(std::move(socket)),
      connections_(std::move(connections)),
      connection_(std::move(connection)) {
  connection_->socket = this;
}

CallerSocket::CallerSocket(CallerSocket&& other) noexcept
    : asio::ip::tcp::socket(std::move(other)),
      connections_(std::move(other.connections_)),
      connection_(std::move(other.connection_)) {
  if (connection_) connection_->socket = this;
}

CallerSocket::~CallerSocket() {
  if (connection_) connection_->socket = nullptr;
}

void CallerSocket::shutdown(shutdown_type what, asio::error_code& error) {
  if (is_open()) connections_->BeforeClose(*connection_);
  asio::ip::tcp::socket::shutdown(what, error);
}

}  // namespace mulberry
