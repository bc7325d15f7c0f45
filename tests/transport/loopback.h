#pragma once

#include <array>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "libtransport/transport.h"

namespace mulberry {

/// Runs the io_context until the condition holds. Returns false when the limit has passed.
inline bool RunUntil(asio::io_context& io, const std::function<bool()>& condition,
                     std::chrono::milliseconds limit = std::chrono::seconds(10)) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) return false;
    if (io.stopped()) io.restart();
    io.run_one_for(std::chrono::milliseconds(2));
  }
  return true;
}

inline void RunFor(asio::io_context& io, std::chrono::milliseconds time) {
  RunUntil(
      io, [] { return false; }, time);
}

inline asio::ip::tcp::endpoint Loopback(std::uint16_t port) {
  return {asio::ip::address_v4::loopback(), port};
}

/// A caller that sends raw bytes.
class RawCaller {
 public:
  RawCaller(asio::io_context& io, std::uint16_t port) : io_(io), socket_(io) {
    socket_.connect(Loopback(port));
    socket_.non_blocking(true);
  }

  void Write(const std::string& bytes) {
    asio::error_code ignored;
    socket_.write_some(asio::buffer(bytes), ignored);
  }

  void Close() { socket_.close(); }

  /// Waits until the text has been received, or the connection has been closed or reset. Returns
  /// true if the text was received.
  bool WaitForText(const std::string& text) {
    RunUntil(io_, [&] { return !ReadAvailable() || received_.find(text) != std::string::npos; });
    return received_.find(text) != std::string::npos;
  }

  bool WaitForClose() {
    return RunUntil(io_, [&] { return !ReadAvailable(); });
  }

  const std::string& received() const { return received_; }

 private:
  bool ReadAvailable() {
    std::array<char, 4096> buffer;
    asio::error_code error;
    const std::size_t length = socket_.read_some(asio::buffer(buffer), error);
    received_.append(buffer.data(), length);
    return !error || error == asio::error::would_block;
  }

  asio::io_context& io_;
  asio::ip::tcp::socket socket_;
  std::string received_;
};

/// A server that answers with raw bytes. An empty answer closes the connection after the request,
/// and so does each answer with `closes`.
class RawServer {
 public:
  using Answer = std::function<std::string(int connection, const std::string& request)>;

  RawServer(asio::io_context& io, Answer answer, bool closes = false)
      : acceptor_(io, Loopback(0)), answer_(std::move(answer)), closes_(closes) {
    Accept();
  }

  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  int requests() const { return requests_; }
  int connections() const { return connections_; }

 private:
  struct Connection {
    explicit Connection(asio::ip::tcp::socket accepted) : socket(std::move(accepted)) {}
    asio::ip::tcp::socket socket;
    std::array<char, 65536> buffer;
    int number = 0;
  };

  void Accept() {
    acceptor_.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
      if (error) return;
      auto connection = std::make_shared<Connection>(std::move(socket));
      connection->number = ++connections_;
      Read(connection);
      Accept();
    });
  }

  /// Treats each read as one request.
  void Read(const std::shared_ptr<Connection>& connection) {
    connection->socket.async_read_some(
        asio::buffer(connection->buffer),
        [this, connection](const asio::error_code& error, std::size_t length) {
          if (error) return;
          ++requests_;
          const std::string answer =
              answer_(connection->number, std::string(connection->buffer.data(), length));
          if (answer.empty()) return connection->socket.close();
          asio::error_code ignored;
          connection->socket.write_some(asio::buffer(answer), ignored);
          if (closes_ || answer.find("close") != std::string::npos) {
            return connection->socket.close();
          }
          Read(connection);
        });
  }

  asio::ip::tcp::acceptor acceptor_;
  Answer answer_;
  bool closes_;
  int requests_ = 0;
  int connections_ = 0;
};

/// Returns a port on which nothing listens.
inline std::uint16_t UnusedPort(asio::io_context& io) {
  return asio::ip::tcp::acceptor(io, Loopback(0)).local_endpoint().port();
}

/// Runs one exchange until it ends.
inline HttpAnswer Exchange(asio::io_context& io, HttpClient& client, HttpRequest request,
                           bool idempotent = true) {
  HttpAnswer result;
  bool ended = false;
  client.Start(std::move(request), idempotent, [&](HttpAnswer answer) {
    result = std::move(answer);
    ended = true;
  });
  if (ended) result.error = "ended inside Start";
  if (!RunUntil(io, [&] { return ended; })) result.error = "never ended";
  return result;
}

inline HttpRequest Get(const std::string& url) {
  HttpRequest request;
  request.url = url;
  return request;
}

inline HttpRequest Post(const std::string& url, std::string body) {
  HttpRequest request = Get(url);
  request.method = "POST";
  request.body = std::move(body);
  return request;
}

}  // namespace mulberry
