#pragma once

#include <http_parser.h>

#include <cstddef>
#include <string>
#include <string_view>

#include "libgateway/http_message.h"

namespace mulberry::gateway {

/// Why a message was rejected.
enum class ReadError {
  kNone,
  kMalformed,
  kInvalidStatusLine,  ///< Responses only.
  kSecondHead,  ///< A response's head was cut off and continued by the start of another response.
  kHeadTooLarge,
  kBodyTooLarge,
  kMemoryFull,  ///< The memory budget does not suffice for the body.
};

struct ReadLimits {
  std::size_t max_head_bytes = 16 * 1024;
  std::size_t max_body_bytes = 1024 * 1024;
  /// Budget for messages; must outlive the reader and its messages. Null: only the sizes count.
  MemoryBudget* memory = nullptr;
};

/// Parses the HTTP/1.1 messages of one connection, one at a time. A head is checked as a whole
/// before any field of it is used: messages that the standard rules out or that other parsers may
/// interpret differently are rejected. Such are an invalid status line, a field name that is no
/// token, folded lines, bare control characters, Content-Length together with chunks, a length
/// where no body can be, a transfer coding that was not asked for, and a status line within a
/// response's head. Not thread safe.
class HttpReader {
 public:
  enum class Kind { kRequest, kResponse };

  HttpReader(Kind kind, ReadLimits limits);
  HttpReader(const HttpReader&) = delete;
  HttpReader& operator=(const HttpReader&) = delete;

  /// Sets whether the next response has no body regardless of its headers (it answers HEAD).
  void ExpectNoBody(bool no_body) { expects_no_body_ = no_body; }
  void SetLimits(ReadLimits limits) { limits_ = limits; }

  /// Parses bytes up to the end of one message; returns how many were consumed. When complete(),
  /// take message() and call Reset() before the next message.
  std::size_t Read(std::string_view bytes);
  /// Reports that the peer closed the connection in order; this completes a response without a
  /// length.
  void ReadEnd();

  bool complete() const { return complete_; }
  bool head_complete() const { return head_complete_; }
  /// True once a byte of the message was parsed.
  bool started() const { return started_; }
  ReadError error() const { return error_; }
  /// True when the client waits for "100 Continue" before it sends the body.
  bool expects_continue() const { return expects_continue_; }
  HttpMessage& message() { return message_; }
  void Reset();

 private:
  /// Where in a head the scan is.
  enum class ScanPosition { kEmptyLines, kStartLine, kHeaderLines, kDone };

  static int OnBegin(http_parser* parser);
  static int OnUrl(http_parser* parser, const char* at, std::size_t length);
  static int OnStatus(http_parser* parser, const char* at, std::size_t length);
  static int OnField(http_parser* parser, const char* at, std::size_t length);
  static int OnValue(http_parser* parser, const char* at, std::size_t length);
  static int OnHead(http_parser* parser);
  static int OnBody(http_parser* parser, const char* at, std::size_t length);
  static int OnComplete(http_parser* parser);
  static const http_parser_settings& Callbacks();

  MemoryBudget::Use Use() const {
    return kind_ == Kind::kRequest ? MemoryBudget::Use::kRequest : MemoryBudget::Use::kResponse;
  }
  /// Scans the bytes of a head for what the parser does not report. Returns false when a line
  /// starts with white space and so would continue the previous one, or has a CR in it.
  bool ScanHead(std::string_view bytes);
  int AddHeadBytes(std::size_t bytes);
  /// Trailers are not relayed, so they are checked and dropped.
  int OnTrailerPiece(std::size_t length, bool valid);
  /// Reserves memory for the head as far as it was read. Returns false and sets the error if there
  /// is none.
  bool ReserveHead();
  ReadError CheckHead() const;
  bool AreFieldsValid() const;
  /// Checks what tells the length of a response. The parser itself rejects a Content-Length that is
  /// no number, is repeated or is accompanied by chunks.
  bool IsLengthValid() const;
  bool ContainsSecondHead() const;

  Kind kind_;
  ReadLimits limits_;
  http_parser parser_{};
  HttpMessage message_;
  std::size_t head_bytes_ = 0;
  bool last_was_value_ = false;
  ScanPosition scan_position_ = ScanPosition::kEmptyLines;
  bool at_line_start_ = true;
  bool after_cr_ = false;
  std::string start_line_;  ///< Its first bytes, up to the status of a response.
  bool expects_no_body_ = false;
  bool complete_ = false;
  bool head_complete_ = false;
  bool started_ = false;
  bool expects_continue_ = false;
  ReadError error_ = ReadError::kNone;
};

}  // namespace mulberry::gateway
