#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace mulberry {

/// Exit status of the program.
enum class ExitStatus {
  kDone = 0,
  kInvalid = 1,
  kRejected = 2,
  kUnknown = 3,
  kUnreachable = 4,
};

/// Output of a command: `text` for people, `json` for programs.
struct Report {
  ExitStatus status = ExitStatus::kDone;
  std::string text;
  nlohmann::json json;
};

/// Returns a report of a failure.
Report FailureReport(ExitStatus status, const std::string& message);

/// Returns a wall-clock time such as "2026-05-01 06:30:00Z".
std::string FormatTime(std::int64_t milliseconds_since_1970);

}  // namespace mulberry
