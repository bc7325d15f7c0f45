#pragma once

#include <http_parser.h>

#include <cstddef>
#include <string>
#include <string_view>

#include "libgateway/http_message.h"

namespace mulberry::gateway {

/// Why a message was not taken.
enum class ReadError { kNone, kMalformed, kHeadTooLarge, kBodyTooLarge };

struct ReadLimits {
  std::size_t max_head_bytes = 16 * 1024;
  std::size_t max_body_bytes = 1024 * 1024;
};

/// Reads HTTP/1.1 messages of one connection, one at a time. Refuses what another reader could
/// understand in another way: a space before a header's colon, folded lines, a length beside
/// chunks, bare control characters. Not thread safe.
class HttpReader {
 public:
  enum class Kind { kRequest, kResponse };

  HttpReader(Kind kind, ReadLimits limits);
  HttpReader(const HttpReader&) = delete;
  HttpReader& operator=(const HttpReader&) = delete;

  /// The next answer has no body whatever its head says (it answers HEAD).
  void ExpectNoBody(bool no_body) { no_body_ = no_body; }
  void SetLimits(ReadLimits limits) { limits_ = limits; }

  /// Reads bytes up to the end of one message; returns how many were used. Call message() when
  /// complete(), then Reset() before the next one.
  std::size_t Read(std::string_view bytes);
  /// The connection has ended in order; an answer without a length is complete then.
  void ReadEnd();

  bool complete() const { return complete_; }
  bool head_complete() const { return head_complete_; }
  /// True once a byte of the message was read.
  bool started() const { return started_; }
  ReadError error() const { return error_; }
  /// True when a request waits for an interim answer before its body is sent.
  bool expects_continue() const { return expects_continue_; }
  HttpMessage& message() { return message_; }
  void Reset();

 private:
  static int OnBegin(http_parser* parser);
  static int OnUrl(http_parser* parser, const char* at, std::size_t length);
  static int OnStatus(http_parser* parser, const char* at, std::size_t length);
  static int OnField(http_parser* parser, const char* at, std::size_t length);
  static int OnValue(http_parser* parser, const char* at, std::size_t length);
  static int OnHead(http_parser* parser);
  static int OnBody(http_parser* parser, const char* at, std::size_t length);
  static int OnComplete(http_parser* parser);
  static const http_parser_settings& Callbacks();

  /// Notes a line of the head that begins with a space: it would continue the line before.
  bool HasFoldedLine(std::string_view bytes);
  int CountHead(std::size_t bytes);
  bool HeadIsClean() const;

  Kind kind_;
  ReadLimits limits_;
  http_parser parser_{};
  HttpMessage message_;
  std::size_t head_bytes_ = 0;
  bool in_value_ = false;
  /// Where the scan for folded lines is: at the start of a line, and past the first line.
  bool at_line_start_ = true;
  bool past_first_line_ = false;
  bool scanned_head_ = false;
  bool no_body_ = false;
  bool complete_ = false;
  bool head_complete_ = false;
  bool started_ = false;
  bool expects_continue_ = false;
  ReadError error_ = ReadError::kNone;
};

}  // namespace mulberry::gateway
