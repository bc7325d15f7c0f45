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
  // HttpClientConnection has already compared the id if the response has one.
  const bool lacks_id =
      !request_id.empty() && FindHeader(reply.headers, names.request_id) == nullptr;
  // On a connection that was used before, it may be a second response to an earlier request.
  if (lacks_id && answer.reused) return AttemptOutcome::kBroken;
  if (adapter.IsMisdirected(reply.status)) return AttemptOutcome::kMisdirected;
  if (FindHeader(reply.headers, names.not_run) != nullptr) return AttemptOutcome::kShed;
  if (lacks_id) return AttemptOutcome::kBroken;
  if (FindHeader(reply.headers, names.server_signature) == nullptr) return AttemptOutcome::kBroken;
  if (FindHeader(reply.headers, "content-encoding") != nullptr) return AttemptOutcome::kBroken;
  return reply.status >= kMinServerErrorStatus ? AttemptOutcome::kServerFailure
                                               : AttemptOutcome::kAnswered;
}

}  // namespace mulberry::gateway
