#include "libtransport/http_client.h"

#include <curl/curl.h>

#include <algorithm>
#include <array>
#include <asio/post.hpp>
#include <cctype>
#include <optional>
#include <unordered_map>

#include "libtransport/curl_driver.h"

namespace mulberry {

namespace {

/// Limit for the status line and headers of an answer.
constexpr std::size_t kMaxHeadBytes = 64 * 1024;
/// Memory for a header line besides its text: its entry in the answer's list, which has room for up
/// to three times its entries while it grows, and libcurl's own record with two allocations.
constexpr std::size_t kHeaderLineMemory =
    3 * sizeof(decltype(HttpAnswer::headers)::value_type) + 128;
/// Copies of a header line's text: libcurl's and the answer's.
constexpr std::size_t kHeaderTextCopies = 2;

bool HasControlCharacter(std::string_view text) {
  return std::any_of(text.begin(), text.end(), [](char character) {
    return static_cast<unsigned char>(character) < 0x20 || character == 0x7f;
  });
}

long ToTimeoutMilliseconds(Duration timeout) {  // NOLINT(google-runtime-int): libcurl's type.
  return std::max<long>(1, static_cast<long>(ToMilliseconds(timeout)));  // NOLINT
}

/// An "http://host/target" URL split into the origin to connect to and the request target.
struct SplitUrl {
  std::string origin;
  std::string target;
};

SplitUrl Split(const std::string& url) {
  const std::size_t scheme = url.find("://");
  const std::size_t authority = scheme == std::string::npos ? 0 : scheme + 3;
  const std::size_t target = url.find_first_of("/?", authority);
  if (target == std::string::npos) return {url, "/"};
  std::string path = url.substr(target);
  if (path.front() == '?') path.insert(path.begin(), '/');
  return {url.substr(0, target), std::move(path)};
}

/// Removes the line end, LF or CRLF, of a complete line.
std::string_view WithoutLineEnd(std::string_view line) {
  if (line.ends_with('\n')) line.remove_suffix(1);
  if (line.ends_with('\r')) line.remove_suffix(1);
  return line;
}

/// A header line; the name in lower case.
struct HeaderField {
  std::string name;
  std::string value;
};

/// Returns nothing for a line that the standard rules out. Precondition: without its line end.
std::optional<HeaderField> ParseHeaderField(std::string_view line) {
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos) return std::nullopt;
  const std::string_view name = line.substr(0, colon);
  const std::string_view value = line.substr(colon + 1);
  if (!IsFieldName(name) || !IsFieldValue(value)) return std::nullopt;
  return HeaderField{LowerCase(name), std::string(Trim(value))};
}

/// One HTTP exchange on its own libcurl easy handle. Handles are not reused: libcurl 7.88.1 keeps a
/// pointer to the last header line of the exchange before, which it has freed, and follows it if
/// the next head starts with white space.
class Exchange {
 public:
  Exchange() : easy_(curl_easy_init()) { SetConstantOptions(); }
  ~Exchange() {
    curl_easy_cleanup(easy_);
    curl_slist_free_all(headers_);
  }
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  /// Returns an empty string, or an error message for an invalid request.
  std::string Prepare(HttpRequest request, bool idempotent, HttpClient::Callback done);
  /// Returns the result of an ended transfer.
  HttpAnswer Finish(CURLcode code);

  CURL* easy() const { return easy_; }
  HttpClient::Handle id = 0;
  HttpClient::Callback done;

 private:
  /// What the next line from libcurl is a part of.
  enum class Section { kStatusLine, kHeaderFields, kTrailer };

  void SetConstantOptions();
  std::string SetHeaders();
  bool AppendHeader(const std::string& line);
  void SetBody();
  bool ReserveMemory(std::size_t body_bytes);
  /// The following check a line before any of it is used, and return false if the answer is not to
  /// be received.
  bool OnLine(std::string_view line);
  bool OnStatusLine(std::string_view line);
  bool OnHeaderField(std::string_view line);
  bool OnHeadEnd();
  bool OnTrailerField(std::string_view line);
  bool Reject(const char* why);
  void DiscardHead();
  /// Value of the header `id_header` of the request.
  std::string_view RequestIdValue() const;
  HttpEnd ToHttpEnd(CURLcode code) const;
  bool IsBodyEndKnown() const;
  bool HasBody() const;

  static std::size_t OnBody(char* data, std::size_t size, std::size_t count, void* self);
  static std::size_t OnHeader(char* data, std::size_t size, std::size_t count, void* self);
  static int OnPrerequest(void* self, char* remote_ip, char* local_ip, int remote_port,
                          int local_port);

  CURL* easy_;
  curl_slist* headers_ = nullptr;
  HttpRequest request_;
  std::string target_;
  HttpAnswer answer_;
  MemoryReservation memory_;
  std::size_t head_bytes_ = 0;
  std::size_t head_memory_ = 0;
  Section section_ = Section::kStatusLine;
  std::optional<std::uint64_t> stated_length_;
  bool is_chunked_ = false;
  /// Why a line of the answer was rejected; null if none was.
  const char* invalid_line_ = nullptr;
  std::uint32_t send_count_ = 0;
  bool idempotent_ = true;
  /// libcurl reports no error for a connection that closes within the head if no body is expected.
  bool head_complete_ = false;
  bool too_large_ = false;
  bool no_memory_ = false;
  bool for_other_request_ = false;
  std::array<char, CURL_ERROR_SIZE> error_{};
};

void Exchange::SetConstantOptions() {
  curl_easy_setopt(easy_, CURLOPT_PRIVATE, this);
  curl_easy_setopt(easy_, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy_, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(easy_, CURLOPT_PROXY, "");
  curl_easy_setopt(easy_, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(easy_, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(easy_, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt(easy_, CURLOPT_IPRESOLVE, CURL_IPRESOLVE_V4);
  curl_easy_setopt(easy_, CURLOPT_ERRORBUFFER, error_.data());
  curl_easy_setopt(easy_, CURLOPT_WRITEFUNCTION, &Exchange::OnBody);
  curl_easy_setopt(easy_, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(easy_, CURLOPT_HEADERFUNCTION, &Exchange::OnHeader);
  curl_easy_setopt(easy_, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(easy_, CURLOPT_PREREQFUNCTION, &Exchange::OnPrerequest);
  curl_easy_setopt(easy_, CURLOPT_PREREQDATA, this);
}

std::string Exchange::Prepare(HttpRequest request, bool idempotent, HttpClient::Callback callback) {
  request_ = std::move(request);
  done = std::move(callback);
  idempotent_ = idempotent;
  SplitUrl url = Split(request_.url);
  target_ = std::move(url.target);
  if (HasControlCharacter(request_.url) || target_.find(' ') != std::string::npos) {
    return "malformed URL";
  }
  if (request_.method.empty() || HasControlCharacter(request_.method)) return "malformed method";
  std::string error_message = SetHeaders();
  if (!error_message.empty()) return error_message;
  curl_easy_setopt(easy_, CURLOPT_URL, url.origin.c_str());
  curl_easy_setopt(easy_, CURLOPT_REQUEST_TARGET, target_.c_str());
  curl_easy_setopt(easy_, CURLOPT_TIMEOUT_MS, ToTimeoutMilliseconds(request_.timeout));
  curl_easy_setopt(easy_, CURLOPT_CONNECTTIMEOUT_MS,
                   ToTimeoutMilliseconds(std::min(request_.connect_timeout, request_.timeout)));
  // libcurl resends a request when a reused connection turns out to be closed.
  curl_easy_setopt(easy_, CURLOPT_FRESH_CONNECT, idempotent ? 0L : 1L);
  curl_easy_setopt(easy_, CURLOPT_FORBID_REUSE, idempotent ? 0L : 1L);
  SetBody();
  return {};
}

std::string Exchange::SetHeaders() {
  bool has_content_type = false;
  for (const auto& [name, value] : request_.headers) {
    if (name.empty() || HasControlCharacter(name) || HasControlCharacter(value)) {
      return "malformed header";
    }
    if (LowerCase(name) == "content-type") has_content_type = true;
    // An empty value is written with a semicolon; "name:" would remove the header.
    std::string line = name;
    line += value.empty() ? ";" : ": ";
    line += value;
    if (!AppendHeader(line)) return "out of memory";
  }
  if (!AppendHeader("Expect:")) return "out of memory";
  if (!has_content_type && !AppendHeader("Content-Type:")) return "out of memory";
  curl_easy_setopt(easy_, CURLOPT_HTTPHEADER, headers_);
  return {};
}

bool Exchange::AppendHeader(const std::string& line) {
  curl_slist* extended = curl_slist_append(headers_, line.c_str());
  if (extended == nullptr) return false;
  headers_ = extended;
  return true;
}

void Exchange::SetBody() {
  const bool head = request_.method == "HEAD";
  const bool with_body = !request_.body.empty() || (request_.method != "GET" && !head);
  if (with_body) {
    curl_easy_setopt(easy_, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request_.body.size()));
    curl_easy_setopt(easy_, CURLOPT_POSTFIELDS, request_.body.data());
    curl_easy_setopt(easy_, CURLOPT_POST, 1L);
  } else if (head) {
    curl_easy_setopt(easy_, CURLOPT_NOBODY, 1L);
  } else {
    curl_easy_setopt(easy_, CURLOPT_HTTPGET, 1L);
  }
  curl_easy_setopt(easy_, CURLOPT_CUSTOMREQUEST, request_.method.c_str());
}

HttpAnswer Exchange::Finish(CURLcode code) {
  // Nothing is believed of a head that libcurl or this class rejects, or that is cut off.
  if (!head_complete_) answer_ = HttpAnswer();
  HttpAnswer answer = std::move(answer_);
  answer.end = ToHttpEnd(code);
  if (answer.end == HttpEnd::kAnswered) return answer;
  if (invalid_line_ != nullptr) {
    answer.error = invalid_line_;
  } else if (too_large_) {
    answer.error = "answer too large";
  } else if (no_memory_) {
    answer.error = "no memory for the answer";
  } else if (for_other_request_) {
    answer.error = "answer to another request";
  } else if (code == CURLE_OK && !head_complete_) {
    answer.error = "answer cut off within its head";
  } else if (head_complete_ && !IsBodyEndKnown()) {
    answer.error = "answer with neither Content-Length nor chunked encoding";
  } else {
    answer.error = error_[0] != 0 ? error_.data() : curl_easy_strerror(code);
  }
  return answer;
}

HttpEnd Exchange::ToHttpEnd(CURLcode code) const {
  if (code == CURLE_OK) {
    return head_complete_ && IsBodyEndKnown() ? HttpEnd::kAnswered : HttpEnd::kBroken;
  }
  if (send_count_ == 0) {
    return code == CURLE_COULDNT_CONNECT ? HttpEnd::kConnectRefused : HttpEnd::kNotSent;
  }
  return code == CURLE_OPERATION_TIMEDOUT ? HttpEnd::kTimedOut : HttpEnd::kBroken;
}

/// A body that ends with the connection can't be distinguished from a truncated one.
bool Exchange::IsBodyEndKnown() const {
  return stated_length_.has_value() || is_chunked_ || !HasBody();
}

bool Exchange::HasBody() const {
  return answer_.status != 204 && answer_.status != 304 && request_.method != "HEAD";
}

bool Exchange::OnLine(std::string_view line) {
  line = WithoutLineEnd(line);
  switch (section_) {
    case Section::kStatusLine:
      return OnStatusLine(line);
    case Section::kHeaderFields:
      return line.empty() ? OnHeadEnd() : OnHeaderField(line);
    case Section::kTrailer:
      return line.empty() || OnTrailerField(line);
  }
  return false;
}

bool Exchange::OnStatusLine(std::string_view line) {
  const auto status = ParseStatusLine(line);
  if (!status) return Reject("invalid status line in the answer");
  answer_.status = *status;
  section_ = Section::kHeaderFields;
  return true;
}

bool Exchange::OnHeaderField(std::string_view line) {
  auto field = ParseHeaderField(line);
  if (!field) return Reject("invalid header line in the answer");
  if (field->name == "content-length") {
    std::uint64_t length = 0;
    if (stated_length_ || !ParseNumber(field->value, &length)) {
      return Reject("invalid Content-Length in the answer");
    }
    stated_length_ = length;
  }
  if (field->name == "transfer-encoding") {
    // The client asks for no other coding.
    if (is_chunked_ || !EqualsIgnoreCase(field->value, "chunked")) {
      return Reject("invalid Transfer-Encoding in the answer");
    }
    is_chunked_ = true;
  }
  if (!request_.id_header.empty() && field->name == request_.id_header &&
      field->value != RequestIdValue()) {
    for_other_request_ = true;
    return false;
  }
  answer_.headers.emplace_back(std::move(field->name), std::move(field->value));
  return true;
}

/// Decides by the complete head whether the body is received.
bool Exchange::OnHeadEnd() {
  if (is_chunked_ && stated_length_) return Reject("answer with Content-Length and chunks");
  const bool states_length = is_chunked_ || stated_length_.value_or(0) > 0;
  if (states_length && MustNotStateLength(answer_.status)) {
    return Reject("length in an answer without a body");
  }
  if (IsInterimStatus(answer_.status)) {
    DiscardHead();
    return true;
  }
  section_ = Section::kTrailer;
  head_complete_ = true;
  if (!IsBodyEndKnown()) return false;
  if (!HasBody()) return true;
  const std::uint64_t length = stated_length_.value_or(0);
  if (length > request_.max_answer_bytes) {
    too_large_ = true;
    return false;
  }
  if (!ReserveMemory(length)) return false;
  answer_.body.reserve(length);
  return true;
}

bool Exchange::OnTrailerField(std::string_view line) {
  return ParseHeaderField(line).has_value() || Reject("invalid trailer line in the answer");
}

bool Exchange::Reject(const char* why) {
  invalid_line_ = why;
  return false;
}

/// Prepares for the head that follows an interim one.
void Exchange::DiscardHead() {
  answer_ = HttpAnswer();
  section_ = Section::kStatusLine;
  stated_length_.reset();
  is_chunked_ = false;
}

std::string_view Exchange::RequestIdValue() const {
  for (const auto& [name, value] : request_.headers) {
    if (LowerCase(name) == request_.id_header) return value;
  }
  return {};
}

/// Reserves the memory of the head and of `body_bytes`. Returns false when there is none.
bool Exchange::ReserveMemory(std::size_t body_bytes) {
  if (request_.answer_memory == nullptr) return true;
  no_memory_ = !request_.answer_memory->TryGrow(memory_, head_memory_ + body_bytes,
                                                MemoryBudget::Use::kResponse);
  return !no_memory_;
}

std::size_t Exchange::OnBody(char* data, std::size_t size, std::size_t count, void* self) {
  auto* exchange = static_cast<Exchange*>(self);
  const std::size_t bytes = size * count;
  if (exchange->answer_.body.size() + bytes > exchange->request_.max_answer_bytes) {
    exchange->too_large_ = true;
    return 0;
  }
  std::string& body = exchange->answer_.body;
  if (body.size() + bytes > body.capacity()) {
    // While the buffer grows, its old and its new memory are held.
    const std::size_t doubled = std::min(2 * body.capacity(), exchange->request_.max_answer_bytes);
    const std::size_t grown = std::max(body.size() + bytes, doubled);
    if (!exchange->ReserveMemory(body.capacity() + grown)) return 0;
    body.reserve(grown);
  }
  body.append(data, bytes);
  return bytes;
}

std::size_t Exchange::OnHeader(char* data, std::size_t size, std::size_t count, void* self) {
  auto* exchange = static_cast<Exchange*>(self);
  const std::size_t bytes = size * count;
  exchange->head_bytes_ += bytes;
  exchange->head_memory_ += kHeaderTextCopies * bytes + kHeaderLineMemory;
  if (exchange->head_bytes_ > kMaxHeadBytes) {
    exchange->too_large_ = true;
    return 0;
  }
  // Anything but `bytes` ends the transfer, and libcurl then closes the connection.
  if (!exchange->ReserveMemory(exchange->answer_.body.capacity())) return 0;
  return exchange->OnLine(std::string_view(data, bytes)) ? bytes : 0;
}

/// Called by libcurl immediately before each send of the request. Aborts a resend of a
/// non-idempotent request.
int Exchange::OnPrerequest(void* self, char*, char*, int, int) {
  auto* exchange = static_cast<Exchange*>(self);
  if (exchange->send_count_ > 0 && !exchange->idempotent_) return CURL_PREREQFUNC_ABORT;
  ++exchange->send_count_;
  return CURL_PREREQFUNC_OK;
}

}  // namespace

class HttpClient::Impl {
 public:
  explicit Impl(asio::io_context& io)
      : io_(io), driver_(io, [this](CURL* easy, CURLcode code) { OnDone(easy, code); }) {}

  ~Impl() {
    for (auto& [id, exchange] : exchanges_) driver_.Remove(exchange->easy());
  }

  Handle Start(HttpRequest request, bool idempotent, Callback done) {
    auto exchange = std::make_unique<Exchange>();
    const Handle id = ++last_id_;
    exchange->id = id;
    std::string error_message = exchange->Prepare(std::move(request), idempotent, std::move(done));
    if (error_message.empty() && !driver_.Add(exchange->easy())) {
      error_message = "libcurl rejected the transfer";
    }
    if (!error_message.empty()) PostFailure(id, std::move(error_message));
    exchanges_.emplace(id, std::move(exchange));
    return id;
  }

  void Cancel(Handle handle) {
    const auto found = exchanges_.find(handle);
    if (found == exchanges_.end()) return;
    std::unique_ptr<Exchange> exchange = std::move(found->second);
    exchanges_.erase(found);
    driver_.Remove(exchange->easy());
  }

 private:
  void PostFailure(Handle id, std::string error_message) {
    asio::post(io_, [this, weak = std::weak_ptr<int>(lifetime_token_), id,
                     error_message = std::move(error_message)] {
      if (weak.expired()) return;
      HttpAnswer answer;
      answer.end = HttpEnd::kNotSent;
      answer.error = error_message;
      Deliver(id, std::move(answer));
    });
  }

  void OnDone(CURL* easy, CURLcode code) {
    char* raw = nullptr;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &raw);
    auto* exchange = reinterpret_cast<Exchange*>(raw);
    driver_.Remove(easy);
    Deliver(exchange->id, exchange->Finish(code));
  }

  void Deliver(Handle id, HttpAnswer answer) {
    const auto found = exchanges_.find(id);
    if (found == exchanges_.end()) return;
    std::unique_ptr<Exchange> exchange = std::move(found->second);
    exchanges_.erase(found);
    const Callback done = std::move(exchange->done);
    exchange.reset();
    if (done) done(std::move(answer));
  }

  asio::io_context& io_;
  std::unordered_map<Handle, std::unique_ptr<Exchange>> exchanges_;
  CurlDriver driver_;
  Handle last_id_ = 0;
  std::shared_ptr<int> lifetime_token_ = std::make_shared<int>(0);
};

HttpClient::HttpClient(asio::io_context& io) : impl_(std::make_unique<Impl>(io)) {}

HttpClient::~HttpClient() = default;

HttpClient::Handle HttpClient::Start(HttpRequest request, bool idempotent, Callback done) {
  return impl_->Start(std::move(request), idempotent, std::move(done));
}

void HttpClient::Cancel(Handle handle) { impl_->Cancel(handle); }

}  // namespace mulberry
