#include "libgateway/http_reader.h"

#include <algorithm>
#include <cctype>
#include <climits>

#include "libbase/base.h"

namespace mulberry::gateway {
namespace {

/// Bytes of a header line besides name and value.
constexpr std::size_t kHeaderLineOverhead = 4;
/// Memory for a header line besides its text. The list holds up to twice its entries, and three
/// times while it grows.
constexpr std::size_t kHeaderLineMemory = 3 * sizeof(HeaderList::value_type);
/// Memory for a byte of the head, since strings grow like the list.
constexpr std::size_t kHeadByteMemory = 2;
/// Memory for a head is reserved in steps of this size.
constexpr std::size_t kHeadMemoryStep = 1024;
/// The part of a status line that is kept: "HTTP/1.1 200 ".
constexpr std::size_t kKeptStartLine = 13;

bool IsDigit(char c) { return std::isdigit(static_cast<unsigned char>(c)) != 0; }

/// True when the text contains a status line up to its code, as in "HTTP/1.1 200".
bool ContainsStatusLine(std::string_view text) {
  constexpr std::string_view kProtocol = "HTTP/";
  constexpr std::string_view kPattern = "d.d ddd";  // d: a digit.
  for (std::size_t at = text.find(kProtocol); at != std::string_view::npos;
       at = text.find(kProtocol, at + 1)) {
    const std::string_view rest = text.substr(at + kProtocol.size(), kPattern.size());
    if (std::equal(
            rest.begin(), rest.end(), kPattern.begin(), kPattern.end(),
            [](char c, char expected) { return expected == 'd' ? IsDigit(c) : c == expected; })) {
      return true;
    }
  }
  return false;
}

ReadError ToReadError(http_errno error) {
  switch (error) {
    case HPE_HEADER_OVERFLOW:
      return ReadError::kHeadTooLarge;
    case HPE_INVALID_STATUS:
      return ReadError::kInvalidStatusLine;
    default:
      return ReadError::kMalformed;
  }
}

HttpReader* ReaderOf(http_parser* parser) { return static_cast<HttpReader*>(parser->data); }

}  // namespace

HttpReader::HttpReader(Kind kind, ReadLimits limits) : kind_(kind), limits_(limits) { Reset(); }

void HttpReader::Reset() {
  http_parser_init(&parser_, kind_ == Kind::kRequest ? HTTP_REQUEST : HTTP_RESPONSE);
  parser_.data = this;
  message_ = HttpMessage();
  message_.body.SetBudget(limits_.memory, Use());
  head_bytes_ = 0;
  last_was_value_ = false;
  scan_position_ = ScanPosition::kEmptyLines;
  at_line_start_ = true;
  after_cr_ = false;
  start_line_.clear();
  complete_ = false;
  head_complete_ = false;
  started_ = false;
  expects_continue_ = false;
  error_ = ReadError::kNone;
}

const http_parser_settings& HttpReader::Callbacks() {
  static const http_parser_settings callbacks = [] {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_message_begin = &OnBegin;
    settings.on_url = &OnUrl;
    settings.on_status = &OnStatus;
    settings.on_header_field = &OnField;
    settings.on_header_value = &OnValue;
    settings.on_headers_complete = &OnHead;
    settings.on_body = &OnBody;
    settings.on_message_complete = &OnComplete;
    return settings;
  }();
  return callbacks;
}

bool HttpReader::ScanHead(std::string_view bytes) {
  for (const char c : bytes) {
    if (scan_position_ == ScanPosition::kDone) return true;
    // In some states the parser takes any byte after a CR for the line feed.
    if (after_cr_ && c != '\n') return false;
    after_cr_ = c == '\r';
    if (after_cr_) continue;
    const bool ends_line = c == '\n';
    switch (scan_position_) {
      case ScanPosition::kEmptyLines:
        if (ends_line) continue;
        scan_position_ = ScanPosition::kStartLine;
        [[fallthrough]];
      case ScanPosition::kStartLine:
        if (ends_line) {
          scan_position_ = ScanPosition::kHeaderLines;
        } else if (start_line_.size() < kKeptStartLine) {
          start_line_ += c;
        }
        break;
      case ScanPosition::kHeaderLines:
        if (at_line_start_ && (c == ' ' || c == '\t')) return false;
        if (at_line_start_ && ends_line) scan_position_ = ScanPosition::kDone;
        break;
      case ScanPosition::kDone:
        break;
    }
    at_line_start_ = ends_line;
  }
  return true;
}

std::size_t HttpReader::Read(std::string_view bytes) {
  if (complete_ || error_ != ReadError::kNone || bytes.empty()) return 0;
  if (!ScanHead(bytes)) {
    error_ = ReadError::kMalformed;
    return bytes.size();
  }
  std::size_t used = http_parser_execute(&parser_, &Callbacks(), bytes.data(), bytes.size());
  const auto error = static_cast<http_errno>(parser_.http_errno);
  if (error == HPE_PAUSED && complete_) {
    http_parser_pause(&parser_, 0);
    return used;
  }
  if (error != HPE_OK || parser_.upgrade != 0) {
    if (error_ == ReadError::kNone) error_ = ToReadError(error);
  }
  return used;
}

void HttpReader::ReadEnd() {
  if (complete_ || error_ != ReadError::kNone) return;
  http_parser_execute(&parser_, &Callbacks(), nullptr, 0);
  if (complete_) {
    http_parser_pause(&parser_, 0);
    message_.ends_with_connection = true;
    return;
  }
  error_ = ReadError::kMalformed;
}

int HttpReader::AddHeadBytes(std::size_t bytes) {
  head_bytes_ += bytes;
  if (head_bytes_ > limits_.max_head_bytes) {
    error_ = ReadError::kHeadTooLarge;
    return 1;
  }
  return ReserveHead() ? 0 : 1;
}

bool HttpReader::ReserveHead() {
  if (limits_.memory == nullptr) return true;
  const std::size_t bytes =
      message_.headers.size() * kHeaderLineMemory + head_bytes_ * kHeadByteMemory;
  const std::size_t steps = (bytes + kHeadMemoryStep - 1) / kHeadMemoryStep;
  if (limits_.memory->TryGrow(message_.head_memory, steps * kHeadMemoryStep, Use())) return true;
  error_ = ReadError::kMemoryFull;
  return false;
}

int HttpReader::OnBegin(http_parser* parser) {
  ReaderOf(parser)->started_ = true;
  return 0;
}

int HttpReader::OnUrl(http_parser* parser, const char* at, std::size_t length) {
  HttpReader* self = ReaderOf(parser);
  self->message_.target.append(at, length);
  return self->AddHeadBytes(length);
}

int HttpReader::OnStatus(http_parser* parser, const char* at, std::size_t length) {
  HttpReader* self = ReaderOf(parser);
  self->message_.reason.append(at, length);
  return self->AddHeadBytes(length);
}

int HttpReader::OnTrailerPiece(std::size_t length, bool valid) {
  if (valid) return AddHeadBytes(length);
  error_ = ReadError::kMalformed;
  return 1;
}

int HttpReader::OnField(http_parser* parser, const char* at, std::size_t length) {
  HttpReader* self = ReaderOf(parser);
  HeaderList& headers = self->message_.headers;
  if (self->head_complete_) {
    // The parser passes a name in pieces, of which one may be empty.
    return self->OnTrailerPiece(length, length == 0 || IsFieldName({at, length}));
  }
  if (headers.empty() || self->last_was_value_) headers.emplace_back();
  self->last_was_value_ = false;
  headers.back().first.append(at, length);
  return self->AddHeadBytes(length + kHeaderLineOverhead);
}

int HttpReader::OnValue(http_parser* parser, const char* at, std::size_t length) {
  HttpReader* self = ReaderOf(parser);
  if (self->head_complete_) return self->OnTrailerPiece(length, IsFieldValue({at, length}));
  self->last_was_value_ = true;
  self->message_.headers.back().second.append(at, length);
  return self->AddHeadBytes(length);
}

ReadError HttpReader::CheckHead() const {
  if (kind_ == Kind::kRequest) {
    const bool target_valid =
        IsFieldValue(message_.target) && message_.target.find(' ') == std::string::npos;
    return target_valid && AreFieldsValid() ? ReadError::kNone : ReadError::kMalformed;
  }
  if (ContainsSecondHead()) return ReadError::kSecondHead;
  if (!ParseStatusLine(start_line_) || !IsFieldValue(message_.reason)) {
    return ReadError::kInvalidStatusLine;
  }
  return AreFieldsValid() && IsLengthValid() ? ReadError::kNone : ReadError::kMalformed;
}

bool HttpReader::AreFieldsValid() const {
  int hosts = 0;
  for (const auto& [name, value] : message_.headers) {
    if (!IsFieldName(name) || !IsFieldValue(value)) return false;
    if (EqualsIgnoreCase(name, "host")) ++hosts;
  }
  return hosts <= 1;
}

bool HttpReader::IsLengthValid() const {
  int codings = 0;
  for (const auto& [name, value] : message_.headers) {
    if (!EqualsIgnoreCase(name, "transfer-encoding")) continue;
    if (++codings > 1 || !EqualsIgnoreCase(Trim(value), "chunked")) return false;
  }
  if (!MustNotStateLength(static_cast<int>(parser_.status_code))) return true;
  return codings == 0 && (parser_.content_length == ULLONG_MAX || parser_.content_length == 0);
}

bool HttpReader::ContainsSecondHead() const {
  return ContainsStatusLine(message_.reason) ||
         std::any_of(message_.headers.begin(), message_.headers.end(),
                     [](const auto& header) { return ContainsStatusLine(header.second); });
}

int HttpReader::OnHead(http_parser* parser) {
  HttpReader* self = ReaderOf(parser);
  self->head_complete_ = true;
  self->error_ = self->CheckHead();
  if (self->error_ != ReadError::kNone) return -1;
  HttpMessage& message = self->message_;
  for (auto& [name, value] : message.headers) {
    value = std::string(Trim(value));
  }
  const bool has_length = parser->content_length != ULLONG_MAX;
  if (has_length && parser->content_length > self->limits_.max_body_bytes) {
    self->error_ = ReadError::kBodyTooLarge;
    return -1;
  }
  if (has_length && !self->expects_no_body_) {
    // Without a budget, nothing is allocated in advance: a stated length may be false.
    if (self->limits_.memory != nullptr && !message.body.TryReserve(parser->content_length)) {
      self->error_ = ReadError::kMemoryFull;
      return -1;
    }
  }
  if (self->kind_ == Kind::kRequest) {
    message.method = http_method_str(static_cast<http_method>(parser->method));
    const std::string* expect = FindHeader(message.headers, "expect");
    self->expects_continue_ = expect != nullptr && EqualsIgnoreCase(*expect, "100-continue");
  } else {
    message.status = parser->status_code;
  }
  message.keep_alive = http_should_keep_alive(parser) != 0;
  return self->expects_no_body_ ? 1 : 0;
}

int HttpReader::OnBody(http_parser* parser, const char* at, std::size_t length) {
  HttpReader* self = ReaderOf(parser);
  MessageBody& body = self->message_.body;
  if (body.size() + length > self->limits_.max_body_bytes) {
    self->error_ = ReadError::kBodyTooLarge;
    return 1;
  }
  if (body.Append({at, length})) return 0;
  self->error_ = ReadError::kMemoryFull;
  return 1;
}

int HttpReader::OnComplete(http_parser* parser) {
  HttpReader* self = ReaderOf(parser);
  self->complete_ = true;
  self->message_.keep_alive = self->message_.keep_alive && http_should_keep_alive(parser) != 0;
  http_parser_pause(parser, 1);
  return 0;
}

}  // namespace mulberry::gateway
