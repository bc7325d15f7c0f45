#include "libgateway/response_classifier.h"

namespace mulberry::gateway {
namespace {

constexpr int kFirstFailure = 500;

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
  const HttpMessage& message = answer.response;
  if (adapter.IsMisdirected(message.status)) return AttemptOutcome::kMisdirected;
  if (FindHeader(message.headers, names.not_run) != nullptr) return AttemptOutcome::kShed;
  // HttpClientConnection has compared the id where the answer states one.
  if (!request_id.empty() && FindHeader(message.headers, names.request_id) == nullptr) {
    return AttemptOutcome::kBroken;
  }
  if (FindHeader(message.headers, names.server_signature) == nullptr)
    return AttemptOutcome::kBroken;
  if (FindHeader(message.headers, "content-encoding") != nullptr) return AttemptOutcome::kBroken;
  return message.status >= kFirstFailure ? AttemptOutcome::kServerFailure
                                         : AttemptOutcome::kAnswered;
}

}  // namespace mulberry::gateway
