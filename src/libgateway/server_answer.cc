#include "libgateway/server_answer.h"

namespace mulberry::gateway {
namespace {

constexpr int kFirstFailure = 500;

}  // namespace

AttemptEnd ClassifyAnswer(const LinkAnswer& answer, const std::string& request_id,
                          const PlatformAdapter& adapter) {
  switch (answer.end) {
    case LinkEnd::kConnectFailed:
      return AttemptEnd::kConnectFailed;
    case LinkEnd::kNotSent:
      return AttemptEnd::kNotSent;
    case LinkEnd::kBroken:
      return AttemptEnd::kBroken;
    case LinkEnd::kAnswered:
      break;
  }
  const HeaderNames& names = adapter.headers();
  const HttpMessage& message = answer.message;
  if (adapter.IsMisdirected(message.status)) return AttemptEnd::kMisdirected;
  if (FindHeader(message.headers, names.not_run) != nullptr) return AttemptEnd::kShed;
  // HttpLink has compared the id where the answer states one.
  if (!request_id.empty() && FindHeader(message.headers, names.request_id) == nullptr) {
    return AttemptEnd::kBroken;
  }
  if (FindHeader(message.headers, names.server_signature) == nullptr) return AttemptEnd::kBroken;
  if (FindHeader(message.headers, "content-encoding") != nullptr) return AttemptEnd::kBroken;
  return message.status >= kFirstFailure ? AttemptEnd::kServerFailure : AttemptEnd::kAnswered;
}

}  // namespace mulberry::gateway
