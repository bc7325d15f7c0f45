#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "libbase/base.h"
#include "libgateway/caller_server.h"

namespace mulberry::platform {

/// How a fake backend server handles requests.
enum class BackendMode {
  kServing,
  kDropsResponses,  ///< Runs them and never responds.
  kFailing,         ///< Runs them and responds with status 500.
  kDisconnects,     ///< Runs them and closes the connection without their response.
  kRefusing,        ///< Refuses them without running them.
  kRepeatsRefusal   ///< Runs them and writes a part of an earlier refusal before each response.
};

/// A backend server on loopback that counts the requests it has run. Only for the thread that runs
/// the io_context.
class FakeBackendServer : public gateway::CallerEvents {
 public:
  FakeBackendServer(asio::io_context& io, std::string id, std::string service)
      : io_(io), id_(std::move(id)), service_(std::move(service)), server_(io, *this, nullptr) {
    gateway::CallerLimits limits;
    limits.idle_timeout = std::chrono::hours(1);
    server_.SetLimits(limits);
  }

  Result<void> Open(const std::string& ip, std::uint16_t port) { return server_.Open(ip, port); }

  const std::string& id() const { return id_; }
  const std::string& service() const { return service_; }
  void SetMode(BackendMode mode) { mode_ = mode; }
  BackendMode mode() const { return mode_; }
  void SetServiceTime(std::chrono::milliseconds service_time) { service_time_ = service_time; }
  /// Header lines that all responses have from now on.
  void SetExtraHeaders(std::string lines) { extra_headers_ = std::move(lines); }
  /// How often each request id was run.
  const std::map<std::string, int>& runs() const { return run_counts_; }
  /// When the last request arrived, not counting health checks.
  TimePoint last_arrival() const { return last_arrival_; }

  void OnRequest(gateway::ExchangeId exchange, gateway::HttpMessage request,
                 TimePoint arrived) override {
    const std::string load = std::to_string(running_) + ",0,8,100";
    if (request.target == "/health") {
      server_.Respond(exchange,
                      "HTTP/1.1 200 OK\r\nX-Instance-Id: " + id_ + "\r\nX-Backend-Load: " + load +
                          "\r\n" + extra_headers_,
                      "");
      return;
    }
    const std::string* target = gateway::FindHeader(request.headers, "X-Target-Instance");
    const std::string* id = gateway::FindHeader(request.headers, "X-Request-Id");
    if (target != nullptr && *target != id_) {
      server_.Respond(exchange, "HTTP/1.1 421 -\r\nX-Not-Executed: 1\r\n", "");
      return;
    }
    last_arrival_ = arrived;
    if (mode_ == BackendMode::kRefusing) {
      server_.Respond(exchange,
                      "HTTP/1.1 503 -\r\nX-Not-Executed: 1\r\nX-Request-Id: " +
                          (id == nullptr ? "" : *id) + "\r\n" + extra_headers_,
                      "");
      return;
    }
    const std::string request_id = id == nullptr ? "" : *id;
    ++run_counts_[request_id];
    ++running_;
    auto timer = std::make_shared<asio::steady_timer>(io_, service_time_);
    timer->async_wait([this, timer, exchange, request_id](const asio::error_code&) {
      --running_;
      Respond(exchange, request_id);
    });
  }
  void OnDisconnected(gateway::ExchangeId) override {}
  void OnMemoryFull(gateway::ExchangeId, const gateway::HttpMessage&) override {}

 private:
  std::string RepeatedBytes(const std::string& request_id) const {
    if (mode_ != BackendMode::kRepeatsRefusal) return "";
    const std::string refusal =
        "HTTP/1.1 503 -\r\nX-Not-Executed: 1\r\nX-Backend-Load: 8,3,8,100\r\n"
        "X-Request-Id: earlier\r\nContent-Length: 0\r\n\r\n";
    return refusal.substr(0, std::hash<std::string>()(request_id) % refusal.size());
  }
  void Respond(gateway::ExchangeId exchange, const std::string& request_id) {
    if (mode_ == BackendMode::kDropsResponses) return;
    if (mode_ == BackendMode::kDisconnects) {
      // A response to another request, after which the connection closes.
      server_.Respond(exchange, "HTTP/1.1 200 -\r\nX-Request-Id: other\r\n", "", true);
      return;
    }
    const int status = mode_ == BackendMode::kFailing ? 500 : 200;
    server_.Respond(exchange,
                    RepeatedBytes(request_id) + "HTTP/1.1 " + std::to_string(status) +
                        " -\r\nX-Request-Id: " + request_id + "\r\nX-Response-Signature: " + id_ +
                        "." + request_id + "\r\nX-Backend-Load: " + std::to_string(running_) +
                        ",0,8,100\r\n" + extra_headers_,
                    service_ + ":" + request_id);
  }

  asio::io_context& io_;
  std::string id_;
  std::string service_;
  std::string extra_headers_;
  BackendMode mode_ = BackendMode::kServing;
  std::chrono::milliseconds service_time_{5};
  std::uint32_t running_ = 0;
  std::map<std::string, int> run_counts_;
  TimePoint last_arrival_;
  gateway::CallerServer server_;
};

}  // namespace mulberry::platform
