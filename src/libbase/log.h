#pragma once

#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

namespace mulberry {

/// Severity of a log line.
enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// One key=value pair of a log line; numbers and booleans are written as text.
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

/// Where lines go.
enum class LogOutput {
  kStderr,          ///< Each line at once; a reader that stalls stalls the process.
  kBufferedStdout,  ///< At FlushLog, without ever waiting for the reader; see FlushLog.
};

/// Sets the least severity that is written and the name of the process for each line.
/// Precondition: called once, before other threads log.
void ConfigureLog(LogLevel least, std::string_view process, LogOutput output = LogOutput::kStderr);

/// Changes the least severity that is written. Thread safety: any thread.
void SetLogLevel(LogLevel least);

/// Writes what is buffered as far as the reader takes it. Lines beyond the buffer's size are
/// dropped, and a later line says how many. Thread safety: any thread.
void FlushLog();

/// Parses "debug", "info", "warning" or "error"; returns false for any other text.
bool ParseLogLevel(std::string_view text, LogLevel* level);

/// Formats one line "event=NAME key=value ..."; values with spaces, quotes or control
/// characters are quoted and escaped. Thread safety: any thread.
std::string FormatLogLine(std::string_view event, std::initializer_list<LogField> fields);

/// Writes one line to standard error. Thread safety: any thread.
void LogEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

}  // namespace mulberry
