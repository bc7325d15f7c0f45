#include "libtransport/curl_driver.h"

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <mutex>
#include <unordered_map>
#include <utility>

#include "libbase/base.h"

namespace mulberry {

namespace {

constexpr long kMaxCachedConnections = 4096;  // NOLINT(google-runtime-int): libcurl's type.

void InitializeCurlOnce() {
  static std::once_flag once;
  std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

/// A libcurl socket and the events that libcurl wants. Each wait is one-shot and is restarted while
/// libcurl is interested, since libcurl expects level-triggered readiness.
struct WatchedSocket {
  explicit WatchedSocket(asio::io_context& io) : socket(io) {}
  asio::ip::tcp::socket socket;
  int interest = CURL_POLL_NONE;
  bool waiting_to_read = false;
  bool waiting_to_write = false;
};

}  // namespace

class CurlDriver::Impl : public std::enable_shared_from_this<CurlDriver::Impl> {
 public:
  Impl(asio::io_context& io, DoneCallback done) : io_(io), timer_(io), done_(std::move(done)) {
    InitializeCurlOnce();
    multi_ = curl_multi_init();
    curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &Impl::OnSocketInterest);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &Impl::OnTimerRequest);
    curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, kMaxCachedConnections);
    curl_multi_setopt(multi_, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
  }

  /// Closes all connections. No callback is called afterwards.
  void Close() {
    done_ = nullptr;
    timer_.cancel();
    curl_multi_cleanup(multi_);
    multi_ = nullptr;
    sockets_.clear();
  }

  bool Add(CURL* easy) {
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &Impl::OnOpenSocket);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, this);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &Impl::OnCloseSocket);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
    return curl_multi_add_handle(multi_, easy) == CURLM_OK;
  }

  void Remove(CURL* easy) { curl_multi_remove_handle(multi_, easy); }

 private:
  static curl_socket_t OnOpenSocket(void* self, curlsocktype, curl_sockaddr* address) {
    return static_cast<Impl*>(self)->OpenSocket(*address);
  }

  static int OnCloseSocket(void* self, curl_socket_t descriptor) {
    static_cast<Impl*>(self)->CloseSocket(descriptor);
    return 0;
  }

  static int OnSocketInterest(CURL*, curl_socket_t descriptor, int events, void* self, void*) {
    static_cast<Impl*>(self)->SetInterest(descriptor, events);
    return 0;
  }

  static int OnTimerRequest(CURLM*, long milliseconds, void* self) {  // NOLINT(google-runtime-int)
    static_cast<Impl*>(self)->SetTimer(milliseconds);
    return 0;
  }

  curl_socket_t OpenSocket(const curl_sockaddr& address) {
    auto watched = std::make_shared<WatchedSocket>(io_);
    asio::error_code error;
    const bool v6 = address.family == AF_INET6;
    watched->socket.open(v6 ? asio::ip::tcp::v6() : asio::ip::tcp::v4(), error);
    if (error) return CURL_SOCKET_BAD;
    const curl_socket_t descriptor = watched->socket.native_handle();
    sockets_[descriptor] = std::move(watched);
    return descriptor;
  }

  void CloseSocket(curl_socket_t descriptor) {
    const auto found = sockets_.find(descriptor);
    if (found == sockets_.end()) return;
    asio::error_code ignored;
    found->second->socket.close(ignored);
    sockets_.erase(found);
  }

  void SetInterest(curl_socket_t descriptor, int events) {
    const auto found = sockets_.find(descriptor);
    if (found == sockets_.end()) return;
    found->second->interest = events == CURL_POLL_REMOVE ? CURL_POLL_NONE : events;
    StartWaits(found->second, descriptor);
  }

  void StartWaits(const std::shared_ptr<WatchedSocket>& watched, curl_socket_t descriptor) {
    if ((watched->interest & CURL_POLL_IN) != 0 && !watched->waiting_to_read) {
      watched->waiting_to_read = true;
      watched->socket.async_wait(
          asio::ip::tcp::socket::wait_read,
          [self = shared_from_this(), watched, descriptor](const auto& error) {
            watched->waiting_to_read = false;
            self->OnReady(watched, descriptor, CURL_POLL_IN, error);
          });
    }
    if ((watched->interest & CURL_POLL_OUT) != 0 && !watched->waiting_to_write) {
      watched->waiting_to_write = true;
      watched->socket.async_wait(
          asio::ip::tcp::socket::wait_write,
          [self = shared_from_this(), watched, descriptor](const auto& error) {
            watched->waiting_to_write = false;
            self->OnReady(watched, descriptor, CURL_POLL_OUT, error);
          });
    }
  }

  void OnReady(const std::shared_ptr<WatchedSocket>& watched, curl_socket_t descriptor,
               int readiness, const asio::error_code& error) {
    if (multi_ == nullptr || !watched->socket.is_open()) return;
    if ((watched->interest & readiness) == 0) return;
    int flags = readiness == CURL_POLL_IN ? CURL_CSELECT_IN : CURL_CSELECT_OUT;
    if (error) flags = CURL_CSELECT_ERR;
    RunSocketAction(descriptor, flags);
    if (multi_ != nullptr && !error && watched->socket.is_open()) StartWaits(watched, descriptor);
  }

  /// libcurl changes its deadline several times per exchange, mostly to a later time. In that case
  /// the running timer is kept and restarted when it fires.
  void SetTimer(long milliseconds) {  // NOLINT(google-runtime-int)
    curl_deadline_ = TimePoint::max();
    if (milliseconds < 0) return;
    if (milliseconds == 0) return PostTimeoutAction();
    curl_deadline_ = MonotonicClock::now() + std::chrono::milliseconds(milliseconds);
    if (curl_deadline_ < timer_deadline_) ArmTimer();
  }

  void PostTimeoutAction() {
    if (std::exchange(timeout_action_posted_, true)) return;
    asio::post(io_, [self = shared_from_this()] {
      self->timeout_action_posted_ = false;
      if (self->multi_ != nullptr) self->RunSocketAction(CURL_SOCKET_TIMEOUT, 0);
    });
  }

  void ArmTimer() {
    timer_deadline_ = curl_deadline_;
    timer_.expires_after(curl_deadline_ - MonotonicClock::now());
    timer_.async_wait([self = shared_from_this()](const asio::error_code& error) {
      if (!error && self->multi_ != nullptr) self->OnTimerFired();
    });
  }

  void OnTimerFired() {
    timer_deadline_ = TimePoint::max();
    if (curl_deadline_ == TimePoint::max()) return;
    if (curl_deadline_ > MonotonicClock::now()) return ArmTimer();
    curl_deadline_ = TimePoint::max();
    RunSocketAction(CURL_SOCKET_TIMEOUT, 0);
  }

  void RunSocketAction(curl_socket_t descriptor, int flags) {
    int running = 0;
    curl_multi_socket_action(multi_, descriptor, flags, &running);
    DeliverCompleted();
  }

  void DeliverCompleted() {
    int messages_left = 0;
    while (multi_ != nullptr) {
      const CURLMsg* message = curl_multi_info_read(multi_, &messages_left);
      if (message == nullptr) return;
      if (message->msg == CURLMSG_DONE) done_(message->easy_handle, message->data.result);
    }
  }

  asio::io_context& io_;
  asio::steady_timer timer_;
  DoneCallback done_;
  CURLM* multi_ = nullptr;
  std::unordered_map<curl_socket_t, std::shared_ptr<WatchedSocket>> sockets_;
  TimePoint curl_deadline_ = TimePoint::max();   ///< When libcurl must be called.
  TimePoint timer_deadline_ = TimePoint::max();  ///< Expiry of the running timer.
  bool timeout_action_posted_ = false;
};

CurlDriver::CurlDriver(asio::io_context& io, DoneCallback done)
    : impl_(std::make_shared<Impl>(io, std::move(done))) {}

CurlDriver::~CurlDriver() { impl_->Close(); }

bool CurlDriver::Add(CURL* easy) { return impl_->Add(easy); }

void CurlDriver::Remove(CURL* easy) { impl_->Remove(easy); }

}  // namespace mulberry
