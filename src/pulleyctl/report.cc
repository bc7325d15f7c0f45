#include "pulleyctl/report.h"

#include <fmt/chrono.h>

namespace mulberry {

Report FailureReport(ExitStatus status, const std::string& message) {
  const char* result = status == ExitStatus::kInvalid ? "invalid" : "unreachable";
  return {status, message + "\n", {{"result", result}, {"message", message}}};
}

std::string FormatTime(std::int64_t milliseconds_since_1970) {
  const auto seconds = static_cast<std::time_t>(milliseconds_since_1970 / 1000);
  return fmt::format("{:%Y-%m-%d %H:%M:%S}Z", fmt::gmtime(seconds));
}

}  // namespace mulberry
