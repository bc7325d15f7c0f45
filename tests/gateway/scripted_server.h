#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace mulberry::gateway {

/// A TCP server on loopback; the test writes the bytes that it sends.
class ScriptedServer {
 public:
  /// One accepted connection.
  class Connection : public std::enable_shared_from_this<Connection> {
   public:
    explicit Connection(asio::ip::tcp::socket socket)
        : socket_(std::move(socket)), buffer_(4096, 0) {}

    void Write(const std::string& bytes) {
      asio::error_code ignored;
      asio::write(socket_, asio::buffer(bytes), ignored);
    }
    void Close() {
      asio::error_code ignored;
      socket_.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
      socket_.close(ignored);
    }
    void Reset() {
      asio::error_code ignored;
      socket_.set_option(asio::socket_base::linger(true, 0), ignored);
      socket_.close(ignored);
    }

    std::string received;
    bool ended = false;

    void StartReading() {
      socket_.async_read_some(
          asio::buffer(buffer_),
          [self = shared_from_this()](const asio::error_code& error, std::size_t bytes) {
            if (error) {
              self->ended = true;
              return;
            }
            self->received.append(self->buffer_.data(), bytes);
            self->StartReading();
          });
    }

   private:
    asio::ip::tcp::socket socket_;
    std::string buffer_;
  };

  explicit ScriptedServer(asio::io_context& io)
      : acceptor_(io, {asio::ip::make_address_v4("127.0.0.1"), 0}) {
    Accept();
  }

  asio::ip::tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
  std::string address() const { return "127.0.0.1:" + std::to_string(endpoint().port()); }
  void Stop() {
    asio::error_code ignored;
    acceptor_.close(ignored);
  }

  std::vector<std::shared_ptr<Connection>> connections;

 private:
  void Accept() {
    acceptor_.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
      if (error) return;
      connections.push_back(std::make_shared<Connection>(std::move(socket)));
      connections.back()->StartReading();
      Accept();
    });
  }

  asio::ip::tcp::acceptor acceptor_;
};

/// Runs the io_context until `done` returns true; returns false if it does not within 5 s.
inline bool RunUntil(asio::io_context& io, const std::function<bool()>& done) {
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(5);
  while (!done()) {
    if (std::chrono::steady_clock::now() > deadline) return false;
    io.run_for(std::chrono::milliseconds(2));
    io.restart();
  }
  return true;
}

/// Runs the io_context for `time`.
inline void RunFor(asio::io_context& io, std::chrono::milliseconds time) {
  io.run_for(time);
  io.restart();
}

}  // namespace mulberry::gateway
