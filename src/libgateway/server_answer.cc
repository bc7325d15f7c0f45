#include "libgateway/server_answer.h"

namespace mulberry::gateway {
namespace {

constexpr int kFirstFailure = 500;

}  // namespace

AttemptEnd ClassifyAnswer(const ExchangeResult& answer, const std::string& request_id,
                          const PlatformAdapter& adapter) {
  switch (answer.outcome) {
    case ExchangeOutcome::kConnectFailed:
      return AttemptEnd::kConnectFailed;
    case ExchangeOutcome::kNotSent:
      return AttemptEnd::kNotSent;
    case ExchangeOutcome::kFailedAfterSend:
      return AttemptEnd::kBroken;
    case ExchangeOutcome::kResponseReceived:
      break;
  }
  const HeaderNames& names = adapter.headers();
  const HttpMessage& message = answer.response;
  if (adapter.IsMisdirected(message.status)) return AttemptEnd::kMisdirected;
  if (FindHeader(message.headers, names.not_run) != nullptr) return AttemptEnd::kShed;
  // HttpClientConnection has compared the id where the answer states one.
  if (!request_id.empty() && FindHeader(message.headers, names.request_id) == nullptr) {
    return AttemptEnd::kBroken;
  }
  if (FindHeader(message.headers, names.server_signature) == nullptr) return AttemptEnd::kBroken;
  if (FindHeader(message.headers, "content-encoding") != nullptr) return AttemptEnd::kBroken;
  return message.status >= kFirstFailure ? AttemptEnd::kServerFailure : AttemptEnd::kAnswered;
}

}  // namespace mulberry::gateway
