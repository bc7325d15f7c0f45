#include "libbase/log.h"

#include <fcntl.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <memory>
#include <mutex>
#include <utility>

namespace mulberry {
namespace {

spdlog::level::level_enum ToSpdlog(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return spdlog::level::debug;
    case LogLevel::kInfo:
      return spdlog::level::info;
    case LogLevel::kWarning:
      return spdlog::level::warn;
    case LogLevel::kError:
      return spdlog::level::err;
  }
  return spdlog::level::err;
}

bool NeedsNoQuoting(unsigned char c) {
  return std::isgraph(c) && c != '"' && c != '=' && c != '\\';
}

std::string QuoteIfNeeded(std::string_view value) {
  if (!value.empty() && std::all_of(value.begin(), value.end(), NeedsNoQuoting)) {
    return std::string(value);
  }
  std::string out = "\"";
  for (const unsigned char c : value) {
    if (c == '"' || c == '\\') {
      out += '\\';
      out += static_cast<char>(c);
    } else if (c == '\n') {
      out += "\\n";
    } else if (c < 0x20 || c == 0x7f) {
      out += fmt::format("\\x{:02x}", c);
    } else {
      out += static_cast<char>(c);
    }
  }
  out += '"';
  return out;
}

/// Buffers lines until they are flushed, and never blocks on the reader of standard output.
class BufferedStdoutSink : public spdlog::sinks::base_sink<std::mutex> {
 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    if (buffer_.size() > kMaxBufferedBytes) {
      ++dropped_;
      return;
    }
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    buffer_.append(line.data(), line.size());
  }

  void flush_() override {
    std::size_t written = 0;
    while (written < buffer_.size()) {
      const auto count = ::write(STDOUT_FILENO, buffer_.data() + written, buffer_.size() - written);
      if (count <= 0) break;
      written += static_cast<std::size_t>(count);
    }
    buffer_.erase(0, written);
    if (dropped_ > 0 && buffer_.size() < kMaxBufferedBytes) {
      buffer_ += fmt::format("event=log_lines_dropped count={}\n", std::exchange(dropped_, 0));
    }
  }

 private:
  /// With a flush every 200 ms this allows 320 KB of log output per second.
  static constexpr std::size_t kMaxBufferedBytes = 64 * 1024;

  std::string buffer_;
  std::uint64_t dropped_ = 0;
};

std::shared_ptr<spdlog::logger> MakeLogger(const std::string& process, LogOutput output) {
  if (output == LogOutput::kStderr) {
    auto logger = spdlog::stderr_logger_mt(process);
    logger->flush_on(spdlog::level::info);
    return logger;
  }
  ::fcntl(STDOUT_FILENO, F_SETFL, ::fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
  return std::make_shared<spdlog::logger>(process, std::make_shared<BufferedStdoutSink>());
}

}  // namespace

void ConfigureLog(LogLevel min_level, std::string_view process, LogOutput output) {
  auto logger = MakeLogger(std::string(process), output);
  logger->set_level(ToSpdlog(min_level));
  logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l process=%n %v",
                      spdlog::pattern_time_type::utc);
  spdlog::set_default_logger(std::move(logger));
}

void SetLogLevel(LogLevel min_level) {
  spdlog::default_logger_raw()->set_level(ToSpdlog(min_level));
}

bool ParseLogLevel(std::string_view text, LogLevel* level) {
  if (text == "debug") {
    *level = LogLevel::kDebug;
  } else if (text == "info") {
    *level = LogLevel::kInfo;
  } else if (text == "warning") {
    *level = LogLevel::kWarning;
  } else if (text == "error") {
    *level = LogLevel::kError;
  } else {
    return false;
  }
  return true;
}

std::string FormatLogLine(std::string_view event, std::initializer_list<LogField> fields) {
  std::string line = "event=" + QuoteIfNeeded(event);
  for (const LogField& field : fields) {
    line += fmt::format(" {}={}", field.key, QuoteIfNeeded(field.value));
  }
  return line;
}

void LogEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) {
  const auto spdlog_level = ToSpdlog(level);
  if (!spdlog::default_logger_raw()->should_log(spdlog_level)) {
    return;
  }
  spdlog::default_logger_raw()->log(spdlog_level, "{}", FormatLogLine(event, fields));
}

void FlushLog() { spdlog::default_logger_raw()->flush(); }

}  // namespace mulberry
