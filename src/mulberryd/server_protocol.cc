#include "mulberryd/server_protocol.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace mulberry {
namespace {

constexpr int kFirstServerErrorStatus = 500;

StartId ParseStartId(const HttpAnswer& answer) {
  const std::string text = HeaderOf(answer, "x-start-id");
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return StartId(value);
}

DispatchResult ResultFromStatus(const HttpAnswer& answer) {
  const bool may_be_shed = answer.status == 429 || answer.status == 503;
  if (may_be_shed && HeaderOf(answer, "x-not-run") == "1") {
    return DispatchResult::kShed;
  }
  return answer.status >= kFirstServerErrorStatus ? DispatchResult::kServerError
                                                  : DispatchResult::kAnswered;
}

DispatchResult DispatchResultFrom(const HttpAnswer& answer) {
  switch (answer.end) {
    case HttpEnd::kAnswered:
      return ResultFromStatus(answer);
    case HttpEnd::kConnectRefused:
      return DispatchResult::kConnectRefused;
    case HttpEnd::kNotSent:
      return DispatchResult::kNotSent;
    case HttpEnd::kBroken:
      return DispatchResult::kBroken;
    case HttpEnd::kTimedOut:
      return DispatchResult::kTimedOut;
    case HttpEnd::kCancelled:
      return DispatchResult::kCancelled;
  }
  return DispatchResult::kBroken;
}

}  // namespace

HttpRequest MakeServerRequest(SendToServer send) {
  HttpRequest request;
  request.method = std::move(send.method);
  request.url = "http://" + send.address + send.path;
  request.timeout = send.timeout;
  request.headers = {{"X-Request-Id", std::to_string(send.dispatch.value())},
                     {"X-Deadline", std::to_string(send.deadline.time_since_epoch().count())},
                     {"X-Class", send.class_name.str()},
                     {"X-Depth", std::to_string(send.depth)}};
  request.id_header = "x-request-id";
  if (!send.content_type.empty()) {
    request.headers.emplace_back("Content-Type", std::move(send.content_type));
  }
  if (!send.key.empty()) {
    request.headers.emplace_back("X-Idempotency-Key", send.key.str());
  }
  if (send.no_retry) {
    request.headers.emplace_back("X-No-Retry", "1");
  }
  request.body = std::move(send.body);
  return request;
}

ServerReply ParseServerAnswer(DispatchId dispatch, HttpAnswer answer) {
  ServerReply reply;
  reply.report.dispatch = dispatch;
  reply.report.result = DispatchResultFrom(answer);
  reply.report.server_start = ParseStartId(answer);
  reply.report.no_retry = HeaderOf(answer, "x-no-retry") == "1";
  reply.status = answer.status;
  reply.content_type = HeaderOf(answer, "content-type");
  reply.body = std::move(answer.body);
  return reply;
}

ProbeReport ParseProbeAnswer(const ServerName& server, const HttpAnswer& answer) {
  ProbeReport report;
  report.server = server;
  if (answer.end != HttpEnd::kAnswered || answer.status != 200) {
    return report;
  }
  const auto load = nlohmann::json::parse(answer.body, nullptr, false);
  if (!load.is_object()) {
    return report;
  }
  report.answered = true;
  const auto number_field = [&](const char* key) {
    const auto it = load.find(key);
    return it != load.end() && it->is_number_unsigned() ? it->get<std::uint64_t>() : 0;
  };
  report.server_start = StartId(number_field("start_id"));
  report.reported_in_flight = static_cast<std::uint32_t>(number_field("in_flight"));
  const auto state = load.find("state");
  if (state != load.end() && state->is_string()) {
    report.reported_cold = *state == "cold";
    report.reported_leaving = *state == "draining";
  }
  return report;
}

}  // namespace mulberry
