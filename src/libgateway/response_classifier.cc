#include "libgateway/response_classifier.h"

namespace mulberry::gateway {
namespace {

constexpr int kFirstFailure = 500;

}  // namespace

AttemptOutcome ClassifyResponse(const LinkAnswer& answer, const std::string& request_id,
                                const PlatformAdapter& adapter) {
  switch (answer.end) {
    case LinkEnd::kConnectFailed:
      return AttemptOutcome::kConnectFailed;
    case LinkEnd::kNotSent:
      return AttemptOutcome::kNotSent;
    case LinkEnd::kBroken:
      return AttemptOutcome::kBroken;
    case LinkEnd::kAnswered:
      break;
  }
  const HeaderNames& names = adapter.headers();
  const HttpMessage& message = answer.message;
  if (adapter.IsMisdirected(message.status)) return AttemptOutcome::kMisdirected;
  if (FindHeader(message.headers, names.not_run) != nullptr) return AttemptOutcome::kShed;
  // HttpLink has compared the id where the answer states one.
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
