#pragma once

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace mulberry {

/// A server whose answers do not end. It treats each read as one request.
class EndlessServer {
 public:
  struct Answer {
    std::string first;
    /// Sent after `first` again and again until the client closes; empty if `first` is all.
    std::string piece;
    /// Time between `first` and the first piece.
    std::chrono::milliseconds pause{0};
  };
  using Script = std::function<Answer(const std::string& request)>;

  EndlessServer(asio::io_context& io, Script script)
      : io_(io),
        acceptor_(io, {asio::ip::make_address_v4("127.0.0.1"), 0}),
        script_(std::move(script)) {
    Accept();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  /// Number of answers without an end that were begun.
  int begun() const { return begun_; }

 private:
  struct Connection {
    explicit Connection(asio::ip::tcp::socket accepted) : socket(std::move(accepted)) {}
    asio::ip::tcp::socket socket;
    std::array<char, 4096> buffer{};
    Answer answer;
  };
  using Pointer = std::shared_ptr<Connection>;

  void Accept() {
    acceptor_.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
      if (error) return;
      ReadRequest(std::make_shared<Connection>(std::move(socket)));
      Accept();
    });
  }
  void ReadRequest(const Pointer& connection) {
    connection->socket.async_read_some(
        asio::buffer(connection->buffer),
        [this, connection](const asio::error_code& error, std::size_t bytes) {
          if (error) return;
          connection->answer = script_(std::string(connection->buffer.data(), bytes));
          asio::error_code ignored;
          asio::write(connection->socket, asio::buffer(connection->answer.first), ignored);
          if (connection->answer.piece.empty()) return ReadRequest(connection);
          ++begun_;
          auto timer = std::make_shared<asio::steady_timer>(io_, connection->answer.pause);
          timer->async_wait(
              [this, connection, timer](const asio::error_code&) { WritePieces(connection); });
        });
  }
  void WritePieces(const Pointer& connection) {
    asio::async_write(connection->socket, asio::buffer(connection->answer.piece),
                      [this, connection](const asio::error_code& error, std::size_t) {
                        if (!error) WritePieces(connection);
                      });
  }

  asio::io_context& io_;
  asio::ip::tcp::acceptor acceptor_;
  Script script_;
  int begun_ = 0;
};

}  // namespace mulberry
