#include "libgateway/sync_http_server.h"

#include <utility>

#include "libgateway/connection_pool.h"

namespace mulberry::gateway {

SyncHttpServer::SyncHttpServer(asio::io_context& io, Handler handler)
    : handler_(std::move(handler)), server_(io, *this, nullptr) {}

Result<void> SyncHttpServer::Open(const std::string& address) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) return endpoint.error();
  return server_.Open(endpoint.value().address().to_string(), endpoint.value().port());
}

void SyncHttpServer::OnRequest(ExchangeId exchange, HttpMessage request, TimePoint) {
  const HttpResponse response = handler_(request);
  std::string head = "HTTP/1.1 " + std::to_string(response.status) + " -\r\n";
  if (!response.content_type.empty()) AppendHeader(head, "Content-Type", response.content_type);
  server_.Respond(exchange, std::move(head), response.body);
}

void SyncHttpServer::OnDisconnected(ExchangeId) {}

// Without a memory budget, only the size limit of a body counts.
void SyncHttpServer::OnMemoryFull(ExchangeId, const HttpMessage&) {}

}  // namespace mulberry::gateway
