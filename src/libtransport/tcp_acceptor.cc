#include "libtransport/tcp_acceptor.h"

#include <utility>

namespace mulberry {

namespace {

/// Delay after a failed accept, for example when the process is out of file descriptors.
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(50);

}  // namespace

class TcpAcceptor::Impl : public std::enable_shared_from_this<TcpAcceptor::Impl> {
 public:
  Impl(asio::io_context& io, AcceptHandler on_accept)
      : acceptor_(io), retry_timer_(io), on_accept_(std::move(on_accept)) {}

  Result<void> Open(const std::string& ip, std::uint16_t port) {
    asio::error_code error;
    const auto address = asio::ip::make_address(ip, error);
    if (!error) Listen(asio::ip::tcp::endpoint(address, port), error);
    if (error) {
      asio::error_code ignored;
      acceptor_.close(ignored);
      return Fail(ErrorCode::kUnavailable,
                  "cannot listen on " + ip + ":" + std::to_string(port) + ": " + error.message());
    }
    AcceptNext();
    return boost::outcome_v2::success();
  }

  void Stop() {
    if (!acceptor_.is_open()) return;
    retry_timer_.cancel();
    AcceptPending();
    asio::error_code ignored;
    acceptor_.close(ignored);
  }

  void Close() {
    on_accept_ = nullptr;
    retry_timer_.cancel();
    asio::error_code ignored;
    acceptor_.close(ignored);
  }

  std::uint16_t port() const {
    asio::error_code error;
    const auto endpoint = acceptor_.local_endpoint(error);
    return error ? 0 : endpoint.port();
  }

 private:
  void Listen(const asio::ip::tcp::endpoint& endpoint, asio::error_code& error) {
    acceptor_.open(endpoint.protocol(), error);
    if (error) return;
    acceptor_.set_option(asio::socket_base::reuse_address(true), error);
    if (error) return;
    acceptor_.bind(endpoint, error);
    if (error) return;
    acceptor_.listen(asio::socket_base::max_listen_connections, error);
    if (error) return;
    acceptor_.non_blocking(true, error);
  }

  void AcceptNext() {
    acceptor_.async_accept(
        [self = shared_from_this()](const asio::error_code& error, asio::ip::tcp::socket socket) {
          self->OnAccept(error, std::move(socket));
        });
  }

  void OnAccept(const asio::error_code& error, asio::ip::tcp::socket socket) {
    if (!error && on_accept_) on_accept_(std::move(socket));
    if (!acceptor_.is_open()) return;
    if (!error) return AcceptNext();
    retry_timer_.expires_after(kAcceptRetryDelay);
    retry_timer_.async_wait([self = shared_from_this()](const asio::error_code& wait_error) {
      if (!wait_error && self->acceptor_.is_open()) self->AcceptNext();
    });
  }

  /// Accepts the connections whose handshake is complete; closing the port would reset them.
  void AcceptPending() {
    while (on_accept_) {
      asio::error_code error;
      asio::ip::tcp::socket socket(acceptor_.get_executor());
      acceptor_.accept(socket, error);
      if (error) return;
      on_accept_(std::move(socket));
    }
  }

  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer retry_timer_;
  AcceptHandler on_accept_;
};

TcpAcceptor::TcpAcceptor(asio::io_context& io, AcceptHandler on_accept)
    : impl_(std::make_shared<Impl>(io, std::move(on_accept))) {}

TcpAcceptor::~TcpAcceptor() { impl_->Close(); }

Result<void> TcpAcceptor::Open(const std::string& ip, std::uint16_t port) {
  return impl_->Open(ip, port);
}

void TcpAcceptor::Stop() { impl_->Stop(); }

std::uint16_t TcpAcceptor::port() const { return impl_->port(); }

}  // namespace mulberry
