#include "libgateway/response_classifier.h"

namespace mulberry::gateway {
namespace {

constexpr int kMinServerErrorStatus = 500;

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
  if (adapter.IsMisdirected(reply.status)) return AttemptOutcome::kMisdirected;
  if (FindHeader(reply.headers, names.not_run) != nullptr) return AttemptOutcome::kShed;
  // HttpClientConnection has already compared the id if the response has one.
  if (!request_id.empty() && FindHeader(reply.headers, names.request_id) == nullptr) {
    return AttemptOutcome::kBroken;
  }
  if (FindHeader(reply.headers, names.server_signature) == nullptr) return AttemptOutcome::kBroken;
  if (FindHeader(reply.headers, "content-encoding") != nullptr) return AttemptOutcome::kBroken;
  return reply.status >= kMinServerErrorStatus ? AttemptOutcome::kServerFailure
                                               : AttemptOutcome::kAnswered;
}

}  // namespace mulberry::gateway
