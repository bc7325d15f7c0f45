#include "libtransport/platform_client.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace mulberry {

namespace {

using Json = nlohmann::json;

/// Size of a full page of records of maximum size, JSON-escaped.
constexpr std::size_t kMaxLogPageBytes = std::size_t{80} * 1024 * 1024;
constexpr std::size_t kMaxHostListBytes = std::size_t{32} * 1024 * 1024;

/// Percent-encodes all characters except letters, digits and "-._~".
std::string PercentEncode(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string encoded;
  for (const char character : text) {
    const auto byte = static_cast<unsigned char>(character);
    const bool unreserved = (character >= '0' && character <= '9') ||
                            (character >= 'a' && character <= 'z') ||
                            (character >= 'A' && character <= 'Z') ||
                            std::string_view("-._~").find(character) != std::string_view::npos;
    if (unreserved) {
      encoded.push_back(character);
      continue;
    }
    encoded.push_back('%');
    encoded.push_back(kDigits[byte >> 4]);
    encoded.push_back(kDigits[byte & 15]);
  }
  return encoded;
}

/// Converts an unsuccessful answer to an error. Precondition: !IsOk(answer).
Error ToError(const HttpAnswer& answer) {
  if (answer.end == HttpEnd::kTimedOut) return {ErrorCode::kTimeout, "platform: " + answer.error};
  if (answer.end != HttpEnd::kAnswered) {
    return {ErrorCode::kUnavailable, "platform: " + answer.error};
  }
  const std::string message = "platform: status " + std::to_string(answer.status);
  return {answer.status == 413 ? ErrorCode::kTooLarge : ErrorCode::kUnavailable, message};
}

Error CorruptError(const std::string& what) {
  return {ErrorCode::kCorrupt, "platform: malformed " + what};
}

bool IsOk(const HttpAnswer& answer) {
  return answer.end == HttpEnd::kAnswered && answer.status == 200;
}

/// Reads fields of a JSON object. ok() is false after a required field was missing or a field had
/// the wrong type.
class FieldReader {
 public:
  explicit FieldReader(const Json& object) : object_(object), ok_(object.is_object()) {}

  std::string GetString(const char* name) {
    const Json* field = FindField(name);
    return Require(field != nullptr && field->is_string()) ? field->get<std::string>() : "";
  }

  std::uint64_t GetUnsigned(const char* name) {
    const Json* field = FindField(name);
    return Require(field != nullptr && field->is_number_unsigned()) ? field->get<std::uint64_t>()
                                                                    : 0;
  }

  /// An absent field is false.
  bool GetBool(const char* name) {
    const Json* field = FindField(name);
    if (field == nullptr) return false;
    return Require(field->is_boolean()) && field->get<bool>();
  }

  const Json& GetArray(const char* name) {
    static const Json empty = Json::array();
    const Json* field = FindField(name);
    return Require(field != nullptr && field->is_array()) ? *field : empty;
  }

  bool ok() const { return ok_; }

 private:
  const Json* FindField(const char* name) const {
    if (!object_.is_object()) return nullptr;
    const auto found = object_.find(name);
    return found == object_.end() ? nullptr : &*found;
  }

  bool Require(bool condition) {
    ok_ = ok_ && condition;
    return condition;
  }

  const Json& object_;
  bool ok_;
};

Result<LogPage> ParseLogPage(const std::string& body) {
  const Json json = Json::parse(body, nullptr, false);
  FieldReader fields(json);
  LogPage page;
  page.first = Offset(fields.GetUnsigned("first"));
  page.next = Offset(fields.GetUnsigned("next"));
  Offset last;
  for (const Json& item : fields.GetArray("records")) {
    FieldReader record(item);
    const Offset offset(record.GetUnsigned("offset"));
    page.records.push_back({offset, record.GetString("data")});
    const bool in_order = offset > last && offset >= page.first && offset < page.next;
    if (!record.ok() || !in_order) return CorruptError("record");
    last = offset;
  }
  if (!fields.ok() || page.first > page.next) return CorruptError("page");
  return page;
}

bool ParseEntryHost(const Json& item, EntryHostEntry* host) {
  FieldReader fields(item);
  host->name = HostName(fields.GetString("name"));
  host->data_centre = DataCentreName(fields.GetString("dc"));
  host->http_address = fields.GetString("http");
  host->peer_address = fields.GetString("peer");
  host->leaving = fields.GetBool("leaving");
  return fields.ok() && !host->name.empty();
}

bool ParseBackendServer(const Json& item, BackendServerEntry* server) {
  FieldReader fields(item);
  server->name = ServerName(fields.GetString("name"));
  server->service = ServiceName(fields.GetString("service"));
  server->data_centre = DataCentreName(fields.GetString("dc"));
  server->address = fields.GetString("address");
  const std::uint64_t slots = fields.GetUnsigned("slots");
  const std::uint64_t connections = fields.GetUnsigned("connections");
  server->slots = static_cast<std::uint32_t>(slots);
  server->connections = static_cast<std::uint32_t>(connections);
  server->leaving = fields.GetBool("leaving");
  server->cold = fields.GetBool("cold");
  return fields.ok() && !server->name.empty() && slots <= UINT32_MAX && connections <= UINT32_MAX;
}

Result<HostList> ParseHostList(const std::string& body) {
  const Json json = Json::parse(body, nullptr, false);
  FieldReader fields(json);
  HostList list;
  for (const Json& item : fields.GetArray("entry_hosts")) {
    if (!ParseEntryHost(item, &list.entry_hosts.emplace_back())) return CorruptError("entry host");
  }
  for (const Json& item : fields.GetArray("backend_servers")) {
    if (!ParseBackendServer(item, &list.backend_servers.emplace_back())) {
      return CorruptError("backend server");
    }
  }
  if (!fields.ok()) return CorruptError("host list");
  return list;
}

Result<Offset> ParseAppendedOffset(const std::string& body) {
  const Json json = Json::parse(body, nullptr, false);
  FieldReader fields(json);
  const Offset offset(fields.GetUnsigned("offset"));
  if (!fields.ok() || offset == Offset()) return CorruptError("offset");
  return offset;
}

}  // namespace

PlatformClient::PlatformClient(HttpClient& http, std::string address, Duration timeout)
    : http_(http),
      address_(std::move(address)),
      timeout_(timeout),
      last_host_list_(std::make_shared<LastHostList>()) {}

void PlatformClient::Read(const std::string& stream, Offset from, Duration wait,
                          std::function<void(Result<LogPage>)> done) {
  HttpRequest request;
  request.url = "http://" + address_ + "/log/" + PercentEncode(stream) +
                "?from=" + std::to_string(from.value()) +
                "&wait_ms=" + std::to_string(ToMilliseconds(wait));
  request.timeout = timeout_ + wait;
  request.max_answer_bytes = kMaxLogPageBytes;
  http_.Start(std::move(request), true, [done = std::move(done)](const HttpAnswer& answer) {
    if (!IsOk(answer)) return done(ToError(answer));
    done(ParseLogPage(answer.body));
  });
}

void PlatformClient::Append(const std::string& stream, std::string data,
                            std::function<void(Result<Offset>)> done) {
  HttpRequest request;
  request.method = "POST";
  request.url = "http://" + address_ + "/log/" + PercentEncode(stream);
  request.headers = {{"Content-Type", "application/octet-stream"}};
  request.body = std::move(data);
  request.timeout = timeout_;
  http_.Start(std::move(request), false, [done = std::move(done)](const HttpAnswer& answer) {
    if (!IsOk(answer)) return done(ToError(answer));
    done(ParseAppendedOffset(answer.body));
  });
}

void PlatformClient::Hosts(const HostName& viewer, const DataCentreName& data_centre,
                           std::function<void(Result<std::optional<HostList>>)> done) {
  HttpRequest request;
  request.url = "http://" + address_ + "/hosts?viewer=" + PercentEncode(viewer.str());
  if (!data_centre.empty()) request.url += "&dc=" + PercentEncode(data_centre.str());
  const std::string url = request.url;
  if (url == last_host_list_->url && !last_host_list_->etag.empty()) {
    request.headers = {{"If-None-Match", last_host_list_->etag}};
  }
  request.timeout = timeout_;
  request.max_answer_bytes = kMaxHostListBytes;
  http_.Start(std::move(request), true,
              [last_list = last_host_list_, url, done = std::move(done)](const HttpAnswer& answer) {
                if (answer.end == HttpEnd::kAnswered && answer.status == 304) {
                  return done(std::optional<HostList>());
                }
                if (!IsOk(answer)) return done(ToError(answer));
                Result<HostList> list = ParseHostList(answer.body);
                if (!list) return done(list.error());
                *last_list = {url, HeaderOf(answer, "etag")};
                done(std::optional<HostList>(std::move(list).value()));
              });
}

}  // namespace mulberry
