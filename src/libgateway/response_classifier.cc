#include "libgateway/response_classifier.h"

#include <algorithm>

namespace mulberry::gateway {
namespace {

constexpr int kMinServerErrorStatus = 500;

/// True when a header that a server sends once occurs twice, or the response says both that the
/// server ran the request and that it did not.
bool ContradictsItself(const HttpMessage& reply, const PlatformAdapter& adapter) {
  const HeaderNames& names = adapter.headers();
  const auto count = [&reply](const std::string& name) {
    return std::count_if(reply.headers.begin(), reply.headers.end(), [&name](const auto& header) {
      return EqualsIgnoreCase(header.first, name);
    });
  };
  const auto signatures = count(names.server_signature);
  const auto not_run = count(names.not_run);
  if (count(names.request_id) > 1 || signatures > 1 || not_run > 1) return true;
  if (not_run > 0 && !adapter.IsRefusal(reply.status)) return true;
  return signatures > 0 && (not_run > 0 || adapter.IsMisdirected(reply.status));
}

}  // namespace

AttemptOutcome ClassifyResponse(const ExchangeResult& answer, const std::string& request_id,
                                const PlatformAdapter& adapter) {
  switch (answer.outcome) {
    case ExchangeOutcome::kConnectFailed:
      return AttemptOutcome::kConnectFailed;
    case ExchangeOutcome::kNotSent:
      return AttemptOutcome::kNotSent;
    case ExchangeOutcome::kFailedAfterSend:
      return AttemptOutcome::kBroken;
    case ExchangeOutcome::kResponseReceived:
      break;
  }
  const HeaderNames& names = adapter.headers();
  const HttpMessage& reply = answer.response;
  // HttpClientConnection has already compared the id if the response has one.
  const bool lacks_id =
      !request_id.empty() && FindHeader(reply.headers, names.request_id) == nullptr;
  // On a connection that was used before, it may be a second response to an earlier request.
  if (lacks_id && answer.reused) return AttemptOutcome::kBroken;
  if (ContradictsItself(reply, adapter)) return AttemptOutcome::kBroken;
  if (adapter.IsMisdirected(reply.status)) return AttemptOutcome::kMisdirected;
  if (FindHeader(reply.headers, names.not_run) != nullptr) return AttemptOutcome::kShed;
  if (lacks_id) return AttemptOutcome::kBroken;
  if (FindHeader(reply.headers, names.server_signature) == nullptr) return AttemptOutcome::kBroken;
  if (FindHeader(reply.headers, "content-encoding") != nullptr) return AttemptOutcome::kBroken;
  return reply.status >= kMinServerErrorStatus ? AttemptOutcome::kServerFailure
                                               : AttemptOutcome::kAnswered;
}

}  // namespace mulberry::gateway
