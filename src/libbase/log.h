#pragma once

#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

namespace mulberry {

/// Severity of a log line.
enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// One key=value pair of a log line; numbers and booleans are converted to text.
struct LogField {
  LogField(std::string_view field_key, std::string_view field_value)
      : key(field_key), value(field_value) {}
  LogField(std::string_view field_key, const char* field_value)
      : key(field_key), value(field_value) {}
  LogField(std::string_view field_key, const std::string& field_value)
      : key(field_key), value(field_value) {}
  template <class T>
  requires std::integral<T> || std::floating_point<T> LogField(std::string_view field_key,
                                                               T field_value)
      : key(field_key), value(std::to_string(field_value)) {}

  std::string_view key;
  std::string value;
};

/// Destination of log lines.
enum class LogOutput {
  kStderr,          ///< Writes each line immediately; a stalled reader blocks the process.
  kBufferedStdout,  ///< Writes lines in FlushLog; never blocks on the reader.
};

/// Sets the minimum severity that is logged, the process name that each line carries, and the
/// destination. Precondition: called once, before other threads log.
void ConfigureLog(LogLevel min_level, std::string_view process,
                  LogOutput output = LogOutput::kStderr);

/// Changes the minimum severity that is logged. Thread safety: any thread.
void SetLogLevel(LogLevel min_level);

/// Writes the buffered lines, stopping when the reader accepts no more data without blocking. Lines
/// that do not fit into the buffer are dropped; a later line reports how many. Thread safety: any
/// thread.
void FlushLog();

/// Parses "debug", "info", "warning" or "error"; returns false for any other text.
bool ParseLogLevel(std::string_view text, LogLevel* level);

/// Formats one line "event=NAME key=value ...". Values that are empty or contain spaces, quotes,
/// backslashes, '=' or control characters are quoted and escaped. Thread safety: any thread.
std::string FormatLogLine(std::string_view event, std::initializer_list<LogField> fields);

/// Writes one line to the configured destination. Thread safety: any thread.
void LogEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

}  // namespace mulberry
