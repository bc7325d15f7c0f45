#include "libtransport/http_server.h"

#include <algorithm>
#include <cctype>
#include <restinio/all.hpp>
#include <utility>

#include "libtransport/server_connections.h"
#include "libtransport/tcp_acceptor.h"

// The only file that includes RESTinio. TcpAcceptor accepts the connections and passes them to
// RESTinio's connection objects: RESTinio's own acceptor stops permanently at its first failed
// accept, and closes the port without accepting the connections in the listen backlog.

namespace mulberry {

namespace {

constexpr std::size_t kReadBufferBytes = 8 * 1024;
constexpr std::size_t kMaxPipelinedRequests = 4;
constexpr std::size_t kMaxHeaderFields = 128;
constexpr Duration kMaxSweepInterval = std::chrono::seconds(1);
constexpr Duration kMinSweepInterval = std::chrono::milliseconds(20);

/// RESTinio logger that derives the cause of a close from the error text and passes it to
/// ServerConnections. Logs nothing.
class CloseCauseLogger {
 public:
  explicit CloseCauseLogger(std::shared_ptr<ServerConnections> connections)
      : connections_(std::move(connections)) {}

  template <class Builder>
  void trace(Builder&&) const noexcept {}
  template <class Builder>
  void info(Builder&&) const noexcept {}
  template <class Builder>
  void warn(Builder&&) const noexcept {}
  template <class Builder>
  void error(Builder&& builder) const {
    connections_->set_close_cause(CauseOf(builder()));
  }

 private:
  static CloseCause CauseOf(const std::string& message) {
    const auto has = [&message](const char* text) {
      return message.find(text) != std::string::npos;
    };
    if (!has("parser error")) return CloseCause::kOther;
    if (has("HPE_CB_headers_complete") || has("HPE_CB_body")) return CloseCause::kBodyTooLarge;
    if (has("HPE_CB_") || has("HPE_HEADER_OVERFLOW")) return CloseCause::kHeadTooLarge;
    return CloseCause::kMalformed;
  }

  std::shared_ptr<ServerConnections> connections_;
};

/// Checks the timeouts of all connections with one timer.
class SweepTimerManager : public std::enable_shared_from_this<SweepTimerManager> {
 public:
  SweepTimerManager(asio::io_context& io, std::shared_ptr<ServerConnections> connections)
      : timer_(io), connections_(std::move(connections)) {}

  class timer_guard_t {  // NOLINT(readability-identifier-naming): name required by RESTinio.
   public:
    explicit timer_guard_t(std::shared_ptr<SweepTimerManager> manager)
        : manager_(std::move(manager)) {}
    void schedule(restinio::tcp_connection_ctx_weak_handle_t connection) {
      manager_->Schedule(std::move(connection));
    }
    void cancel() const noexcept {}

   private:
    std::shared_ptr<SweepTimerManager> manager_;
  };

  timer_guard_t create_timer_guard() { return timer_guard_t(shared_from_this()); }
  void start() const noexcept {}
  void stop() const noexcept {}

  struct factory_t {  // NOLINT(readability-identifier-naming)
    std::shared_ptr<SweepTimerManager> create(asio::io_context&) const { return nullptr; }
  };

 private:
  void Schedule(restinio::tcp_connection_ctx_weak_handle_t connection) {
    scheduled_.push_back(std::move(connection));
    if (running_) return;
    running_ = true;
    WaitNext();
  }

  void WaitNext() {
    const Duration fifth = connections_->options().read_timeout / 5;
    timer_.expires_after(std::clamp(fifth, kMinSweepInterval, kMaxSweepInterval));
    timer_.async_wait([weak = weak_from_this()](const asio::error_code& error) {
      const auto self = weak.lock();
      if (self && !error) self->Sweep();
    });
  }

  void Sweep() {
    connections_->CloseTimedOutReads(MonotonicClock::now());
    for (auto& weak : std::exchange(scheduled_, {})) {
      auto connection = weak.lock();
      if (!connection) continue;
      connections_->set_close_cause(CloseCause::kTimeout);
      connection->check_timeout(connection);
      connections_->set_close_cause(CloseCause::kOther);
    }
    running_ = connections_->is_open() && !(scheduled_.empty() && connections_->empty());
    if (running_) WaitNext();
  }

  asio::steady_timer timer_;
  std::shared_ptr<ServerConnections> connections_;
  std::vector<restinio::tcp_connection_ctx_weak_handle_t> scheduled_;
  bool running_ = false;
};

/// Notifies ServerConnections of closed connections.
class ConnectionClosedListener {
 public:
  explicit ConnectionClosedListener(std::shared_ptr<ServerConnections> connections)
      : connections_(std::move(connections)) {}

  void state_changed(const restinio::connection_state::notice_t& notice) const noexcept {
    if (!std::holds_alternative<restinio::connection_state::closed_t>(notice.cause())) return;
    connections_->OnClosed(notice.connection_id());
  }

 private:
  std::shared_ptr<ServerConnections> connections_;
};

struct ServerTraits : restinio::single_thread_traits_t<SweepTimerManager, CloseCauseLogger> {
  using stream_socket_t = CallerSocket;
  using connection_state_listener_t = ConnectionClosedListener;
};

using ConnectionSettings = restinio::impl::connection_settings_t<ServerTraits>;
using ConnectionFactory = restinio::impl::connection_factory_t<ServerTraits>;
using LifetimeMonitor = restinio::connection_count_limit_types<ServerTraits>::lifetime_monitor_t;

ServerRequest ToServerRequest(const restinio::request_t& request, std::size_t* head_bytes) {
  ServerRequest result;
  const auto& header = request.header();
  result.method = header.method().c_str();
  result.path = std::string(header.path());
  result.query = std::string(header.query());
  result.headers.reserve(header.fields_count());
  *head_bytes = header.request_target().size();
  header.for_each_field([&result, head_bytes](const auto& field) {
    *head_bytes += field.name().size() + field.value().size();
    result.headers.emplace_back(LowerCase(field.name()), field.value());
  });
  result.body = request.body();
  result.connection = request.connection_id();
  return result;
}

/// The parser accepts spaces in names, and the next hop may read "Content-Length : 3" as a length.
bool HasValidHeaderNames(const ServerRequest& request) {
  return std::all_of(request.headers.begin(), request.headers.end(),
                     [](const auto& header) { return IsFieldName(header.first); });
}

const char* ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 204:
      return "No Content";
    case 304:
      return "Not Modified";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 413:
      return "Payload Too Large";
    case 422:
      return "Unprocessable Entity";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 501:
      return "Not Implemented";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

/// Returns false for text that would break a header line (CR, LF or NUL).
bool IsValidHeaderText(const std::string& text) {
  return text.find_first_of(std::string_view("\r\n\0", 3)) == std::string::npos;
}

/// Sends the answer to one request. A closed connection is not an error.
class Responder {
 public:
  /// `number`: of the request on its connection.
  Responder(restinio::request_handle_t request, std::uint64_t number,
            std::shared_ptr<ServerConnections> connections)
      : request_(std::move(request)), number_(number), connections_(std::move(connections)) {}

  void Send(ServerAnswer answer) {
    const auto request = std::exchange(request_, nullptr);
    if (!request || !connections_->is_open()) return;
    const std::uint64_t id = request->connection_id();
    answer.close = connections_->OnAnswered(id, number_, answer.close);
    try {
      Write(*request, std::move(answer));
    } catch (const std::exception&) {
      connections_->OnWritten(id);
    }
  }

 private:
  void Write(restinio::request_t& request, ServerAnswer answer) {
    const auto code = restinio::http_status_code_t(static_cast<std::uint16_t>(answer.status));
    auto response =
        request.create_response(restinio::http_status_line_t(code, ReasonPhrase(answer.status)));
    if (answer.close) response.connection_close();
    if (!answer.content_type.empty() && IsValidHeaderText(answer.content_type)) {
      response.append_header(restinio::http_field::content_type, std::move(answer.content_type));
    }
    for (auto& [name, value] : answer.headers) {
      if (!IsValidHeaderText(name) || !IsValidHeaderText(value)) continue;
      response.append_header(std::move(name), std::move(value));
    }
    if (HasBody(request, answer.status)) response.set_body(std::move(answer.body));
    response.done([connections = connections_, id = request.connection_id()](const auto&) {
      connections->OnWritten(id);
    });
  }

  static bool HasBody(const restinio::request_t& request, int status) {
    return status != 204 && status != 304 &&
           request.header().method() != restinio::http_method_head();
  }

  restinio::request_handle_t request_;
  std::uint64_t number_;
  std::shared_ptr<ServerConnections> connections_;
};

}  // namespace

class HttpServer::Impl {
 public:
  Impl(asio::io_context& io, HttpServerOptions options, Handler handler, ClosedCallback closed)
      : io_(io),
        connections_(
            std::make_shared<ServerConnections>(io, std::move(options), std::move(closed))),
        handler_(std::make_shared<Handler>(std::move(handler))),
        acceptor_(io, [this](asio::ip::tcp::socket socket) { OnAccept(std::move(socket)); }) {
    SetParserHeadLimit();
    CreateConnectionFactory();
  }

  ~Impl() { Close(); }

  Result<void> Open() {
    return acceptor_.Open(connections_->options().ip, connections_->options().port);
  }

  void StopAccepting() { acceptor_.Stop(); }
  void CloseAfterAnswers() { connections_->CloseAfterAnswers(); }

  void CloseIdle(Duration idle_time) {
    acceptor_.Stop();
    connections_->CloseIdle(MonotonicClock::now() - idle_time);
  }

  void Close() {
    acceptor_.Stop();
    connections_->CloseAll();
  }

  std::uint16_t port() const { return acceptor_.port(); }
  const HttpServerCounters& counters() const { return connections_->counters(); }

 private:
  /// The parser has one process-wide limit, so it is set to the largest limit of all servers.
  void SetParserHeadLimit() const {
    static std::size_t largest = 0;
    largest = std::max(largest, connections_->options().max_head_bytes);
    http_parser_set_max_header_size(static_cast<std::uint32_t>(largest));
  }

  void CreateConnectionFactory() {
    const HttpServerOptions& options = connections_->options();
    restinio::server_settings_t<ServerTraits> settings;
    settings.buffer_size(kReadBufferBytes)
        .max_pipelined_requests(kMaxPipelinedRequests)
        .read_next_http_message_timelimit(options.idle_timeout)
        .handle_request_timeout(options.handle_timeout)
        .write_http_response_timelimit(options.write_timeout)
        .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t()
                                      .max_url_size(options.max_head_bytes)
                                      .max_field_name_size(options.max_head_bytes)
                                      .max_field_value_size(options.max_head_bytes)
                                      .max_field_count(kMaxHeaderFields)
                                      .max_body_size(options.max_body_bytes))
        .socket_options_setter(
            [](auto& socket) { socket.set_option(asio::ip::tcp::no_delay(true)); })
        .connection_state_listener(std::make_shared<ConnectionClosedListener>(connections_))
        .logger(connections_)
        .request_handler(
            [connections = connections_, handler = handler_](restinio::request_handle_t request) {
              return OnRequest(connections, *handler, std::move(request));
            });
    auto socket_options = settings.socket_options_setter();
    auto connection_settings = std::make_shared<ConnectionSettings>(
        std::move(settings),
        restinio::impl::create_parser_settings<ServerTraits::http_methods_mapper_t>(),
        std::make_shared<SweepTimerManager>(io_, connections_));
    factory_ = std::make_unique<ConnectionFactory>(std::move(connection_settings),
                                                   std::move(socket_options));
  }

  void OnAccept(asio::ip::tcp::socket socket) {
    if (!connections_->is_open()) return;
    if (connections_->full()) {
      ++connections_->counters().refused_connections;
      return;
    }
    asio::error_code error;
    const auto remote = socket.remote_endpoint(error);
    if (error) return;
    try {
      auto connection_record = std::make_shared<ServerConnection>();
      auto connection = factory_->create_new_connection(
          CallerSocket(std::move(socket), connections_, connection_record), remote,
          LifetimeMonitor(nullptr));
      connection_record->id = connection->connection_id();
      connections_->Add(std::move(connection_record));
      connection->init();
    } catch (const std::exception& failure) {
      LogEvent(LogLevel::kWarning, "connection_failed", {{"error", failure.what()}});
    }
  }

  static restinio::request_handling_status_t OnRequest(
      const std::shared_ptr<ServerConnections>& connections, const Handler& handler,
      restinio::request_handle_t request) {
    if (!connections->is_open()) return restinio::request_rejected();
    const auto number = connections->OnRequest(request->connection_id());
    if (!number) return restinio::request_rejected();
    std::size_t head_bytes = 0;
    ServerRequest server_request = ToServerRequest(*request, &head_bytes);
    const bool upgrade =
        request->header().connection() == restinio::http_connection_header_t::upgrade;
    auto responder = std::make_shared<Responder>(std::move(request), *number, connections);
    if (!HasValidHeaderNames(server_request)) {
      ++connections->counters().malformed;
      responder->Send(
          {.status = 400, .content_type = "", .headers = {}, .body = "", .close = true});
      return restinio::request_accepted();
    }
    if (upgrade) {
      ++connections->counters().malformed;
      responder->Send(
          {.status = 501, .content_type = "", .headers = {}, .body = "", .close = true});
      return restinio::request_accepted();
    }
    if (head_bytes > connections->options().max_head_bytes) {
      ++connections->counters().too_large;
      responder->Send(
          {.status = 431, .content_type = "", .headers = {}, .body = "", .close = true});
      return restinio::request_accepted();
    }
    handler(std::move(server_request),
            [responder](ServerAnswer answer) { responder->Send(std::move(answer)); });
    return restinio::request_accepted();
  }

  asio::io_context& io_;
  std::shared_ptr<ServerConnections> connections_;
  std::shared_ptr<Handler> handler_;
  std::unique_ptr<ConnectionFactory> factory_;
  TcpAcceptor acceptor_;
};

HttpServer::HttpServer(asio::io_context& io, HttpServerOptions options, Handler handler,
                       ClosedCallback closed)
    : impl_(std::make_unique<Impl>(io, std::move(options), std::move(handler), std::move(closed))) {
}

HttpServer::~HttpServer() = default;

Result<void> HttpServer::Open() { return impl_->Open(); }

void HttpServer::StopAccepting() { impl_->StopAccepting(); }

void HttpServer::CloseAfterAnswers() { impl_->CloseAfterAnswers(); }

void HttpServer::CloseIdle(Duration idle_time) { impl_->CloseIdle(idle_time); }

void HttpServer::Close() { impl_->Close(); }

std::uint16_t HttpServer::port() const { return impl_->port(); }

const HttpServerCounters& HttpServer::counters() const { return impl_->counters(); }

}  // namespace mulberry
