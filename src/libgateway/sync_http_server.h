#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <string>

#include "libgateway/caller_server.h"

namespace mulberry::gateway {

/// Response to a request of the platform, a caller or an operator.
struct HttpResponse {
  int status = 200;
  std::string content_type;
  std::string body;
};

/// HTTP server on one port whose handler returns the response at once. Only for the thread that
/// runs the io_context.
class SyncHttpServer : public CallerEvents {
 public:
  using Handler = std::function<HttpResponse(const HttpMessage&)>;

  SyncHttpServer(asio::io_context& io, Handler handler);

  /// Opens "ip:port". Errors: kInvalidArgument, kUnavailable.
  Result<void> Open(const std::string& address);
  void Sweep(TimePoint now) { server_.Sweep(now); }

  void OnRequest(ExchangeId exchange, HttpMessage request, TimePoint arrived) override;
  void OnDisconnected(ExchangeId exchange) override;
  void OnMemoryFull(ExchangeId exchange, const HttpMessage& head) override;

 private:
  Handler handler_;
  CallerServer server_;
};

}  // namespace mulberry::gateway
