#include "mulberryd/caller_api.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

namespace mulberry {
namespace {

constexpr std::string_view kCallPrefix = "/v1/call/";
constexpr std::uint64_t kMaxTimeoutMs = 3600000;
constexpr int kStatusOk = 200;

Result<std::uint64_t> ParseNumberHeader(const ServerRequest& request, std::string_view header,
                                        std::uint64_t max_value) {
  const std::string text = HeaderOf(request, header);
  if (text.empty()) {
    return std::uint64_t{0};
  }
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || value > max_value) {
    return Fail(ErrorCode::kInvalidArgument, "bad_header_" + std::string(header));
  }
  return value;
}

const char* OutcomeHeaderValue(RunOutcome outcome) {
  switch (outcome) {
    case RunOutcome::kAnswered:
      return "answered";
    case RunOutcome::kNotRun:
      return "not-run";
    case RunOutcome::kMayHaveRun:
      return "may-have-run";
  }
  return "may-have-run";
}

std::string ReasonBody(const char* outcome, const std::string& reason) {
  return nlohmann::json{{"outcome", outcome}, {"reason", reason}}.dump() + "\n";
}

}  // namespace

bool IsCallPath(const std::string& path) { return path.starts_with(kCallPrefix); }

Result<CallerRequest> ParseCallRequest(ServerRequest request, RequestId id) {
  const std::string_view class_and_path = std::string_view(request.path).substr(kCallPrefix.size());
  const std::size_t slash = class_and_path.find('/');
  const std::string_view class_name = class_and_path.substr(0, slash);
  if (class_name.empty()) {
    return Fail(ErrorCode::kInvalidArgument, "class_missing");
  }
  CallerRequest call;
  call.id = id;
  call.class_name = ClassName(std::string(class_name));
  call.path = slash == std::string_view::npos ? "/" : std::string(class_and_path.substr(slash));
  if (!request.query.empty()) {
    call.path += "?" + request.query;
  }
  BOOST_OUTCOME_TRY(timeout_ms, ParseNumberHeader(request, "mulberry-timeout-ms", kMaxTimeoutMs));
  BOOST_OUTCOME_TRY(depth, ParseNumberHeader(request, "mulberry-depth", UINT32_MAX));
  call.timeout = std::chrono::milliseconds(timeout_ms);
  call.depth = static_cast<std::uint32_t>(depth);
  call.ticket = HeaderOf(request, "mulberry-ticket");
  call.no_retry = HeaderOf(request, "mulberry-no-retry") == "1";
  call.content_type = HeaderOf(request, "content-type");
  call.method = std::move(request.method);
  call.body = std::move(request.body);
  return call;
}

ServerAnswer MakeCallAnswer(CallerAnswer answer, const HostName& host) {
  ServerAnswer http;
  http.status = answer.status;
  const char* outcome = OutcomeHeaderValue(answer.outcome);
  http.headers = {{"Mulberry-Outcome", outcome}, {"Mulberry-Entry-Host", host.str()}};
  if (answer.no_retry) {
    http.headers.emplace_back("Mulberry-No-Retry", "1");
  }
  if (answer.outcome == RunOutcome::kAnswered) {
    http.headers.emplace_back("Mulberry-Server", answer.server);
    http.content_type = std::move(answer.content_type);
    http.body = std::move(answer.body);
    return http;
  }
  http.headers.emplace_back("Mulberry-Reason", answer.reason);
  http.body = ReasonBody(outcome, answer.reason);
  return http;
}

ServerAnswer MakeRefusalAnswer(int status, const std::string& reason, const HostName& host) {
  return MakeCallAnswer(UnansweredAnswer(RunOutcome::kNotRun, status, reason), host);
}

ServerAnswer MakeAddressesAnswer(const Result<AddressAnswer>& answer, const HostName& host) {
  if (!answer) {
    const bool unknown = answer.error().code == ErrorCode::kNotFound;
    return MakeRefusalAnswer(unknown ? 404 : kStatusUnavailable, answer.error().message, host);
  }
  nlohmann::json body = {{"addresses", answer.value().addresses},
                         {"ttl_ms", ToMilliseconds(answer.value().ttl)}};
  if (!answer.value().ticket.empty()) {
    body["ticket"] = answer.value().ticket;
    body["ticket_ttl_ms"] = ToMilliseconds(answer.value().ticket_ttl);
  }
  ServerAnswer http;
  http.status = kStatusOk;
  http.headers = {{"Mulberry-Entry-Host", host.str()}};
  http.body = body.dump() + "\n";
  return http;
}

}  // namespace mulberry
