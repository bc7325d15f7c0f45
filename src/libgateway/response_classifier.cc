#include "libgateway/response_classifier.h"

namespace mulberry::gateway {
namespace {

constexpr int kMinServerErrorStatus = 500;

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
  const HttpMessage& reply = answer.message;
  if (adapter.IsMisdirected(reply.status)) return AttemptOutcome::kMisdirected;
  if (FindHeader(reply.headers, names.not_run) != nullptr) return AttemptOutcome::kShed;
  // HttpLink has already compared the id if the response has one.
  if (!request_id.empty() && FindHeader(reply.headers, names.request_id) == nullptr) {
    return AttemptOutcome::kBroken;
  }
  if (FindHeader(reply.headers, names.server_signature) == nullptr) return AttemptOutcome::kBroken;
  if (FindHeader(reply.headers, "content-encoding") != nullptr) return AttemptOutcome::kBroken;
  return reply.status >= kMinServerErrorStatus ? AttemptOutcome::kServerFailure
                                               : AttemptOutcome::kAnswered;
}

}  // namespace mulberry::gateway
