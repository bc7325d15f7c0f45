#include <doctest/doctest.h>

#include <optional>
#include <vector>

#include "fake_adapter.h"
#include "libgateway/connection_pool.h"
#include "libgateway/response_classifier.h"
#include "scripted_server.h"

namespace mulberry::gateway {
namespace {

constexpr ReadLimits kLimits{.max_head_bytes = 4096, .max_body_bytes = 1 << 20};
constexpr std::string_view kRequestId = "request-2";

std::string Response(std::string_view status_line, std::string_view id,
                     std::string_view header_lines, std::string_view body) {
  return std::string(status_line) + "\r\n" + std::string(header_lines) +
         "Load: 3,0,6\r\nId: " + std::string(id) +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

struct Kind {
  std::string_view name;
  std::string_view status_line;
  std::string_view header_lines;
  std::string_view body;
  AttemptOutcome outcome;
};

const std::vector<Kind>& Kinds() {
  static const std::vector<Kind> kinds = {
      {"answer", "HTTP/1.1 200 OK", "Server: s\r\nSignature: 17.4\r\n", "whole",
       AttemptOutcome::kAnswered},
      {"failure", "HTTP/1.1 500 Internal Server Error", "Server: s\r\nSignature: 18.2\r\n", "error",
       AttemptOutcome::kServerFailure},
      {"refusal", "HTTP/1.1 503 Service Unavailable", "Not-Run: 1\r\nServer: s\r\n", "",
       AttemptOutcome::kShed},
      {"misdirected", "HTTP/1.1 421 Misdirected Request", "Server: s\r\n", "",
       AttemptOutcome::kMisdirected},
  };
  return kinds;
}

/// The header lines that `Response` was given.
std::string WriteHeaders(const HttpMessage& message) {
  std::string lines;
  for (const auto& [name, value] : message.headers) {
    if (name == "Load" || name == "Id" || name == "Content-Length") continue;
    AppendHeader(lines, name, value);
  }
  return lines;
}

/// Exchanges on one connection to a scripted server.
class Fixture {
 public:
  Fixture() : server_(io_), pool_(io_, kLimits) {}

  /// Sends request 2 on a connection that has served request 1, and answers it with `bytes`;
  /// returns how the exchange ends, at the latest when the server closes the connection.
  ExchangeResult ExchangeOnUsedConnection(const std::string& bytes) {
    Send("request-1");
    server_.connections.back()->Write(
        Response("HTTP/1.1 200 OK", "request-1", "Signature: 16.1\r\n", "first"));
    RunUntilDone(std::chrono::seconds(5));
    REQUIRE(result_.has_value());
    const std::size_t connections = server_.connections.size();
    Send(std::string(kRequestId));
    REQUIRE(server_.connections.size() == connections);
    server_.connections.back()->Write(bytes);
    RunUntilDone(std::chrono::milliseconds(3));
    server_.connections.back()->Close();
    RunUntilDone(std::chrono::seconds(5));
    REQUIRE(result_.has_value());
    return std::move(*result_);
  }

 private:
  void Send(const std::string& id) {
    const auto connection = pool_.Acquire(server_.address(), std::chrono::seconds(5)).value();
    ExchangeRequest request;
    request.head = "POST /" + id + " HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n\r\n";
    request.id_header = "Id";
    request.id = id;
    result_.reset();
    if (!server_.connections.empty()) server_.connections.back()->received.clear();
    connection->Exchange(std::move(request), [this, connection](ExchangeResult received) {
      result_ = std::move(received);
      pool_.Release(server_.address(), connection);
    });
    while (server_.connections.empty() ||
           server_.connections.back()->received.find("/" + id + " ") == std::string::npos) {
      io_.run_one_for(std::chrono::seconds(5));
    }
  }

  void RunUntilDone(Duration limit) {
    const TimePoint until = MonotonicClock::now() + limit;
    while (!result_ && MonotonicClock::now() < until) {
      io_.run_one_for(std::chrono::milliseconds(1));
    }
  }

  asio::io_context io_;
  ScriptedServer server_;
  ConnectionPool pool_;
  std::optional<ExchangeResult> result_;
};

TEST_CASE("a response that starts within another one's head is not believed") {
  const FakeAdapter adapter;
  Fixture fixture;
  for (const Kind& earlier : Kinds()) {
    for (const Kind& own : Kinds()) {
      const std::string copy =
          Response(earlier.status_line, "request-1", earlier.header_lines, earlier.body);
      const std::string answer = Response(own.status_line, kRequestId, own.header_lines, own.body);
      for (std::size_t cut = 1; cut <= copy.size(); ++cut) {
        const std::string bytes = copy.substr(0, cut) + answer;
        CAPTURE(earlier.name);
        CAPTURE(own.name);
        CAPTURE(bytes);
        const ExchangeResult result = fixture.ExchangeOnUsedConnection(bytes);
        const AttemptOutcome outcome = ClassifyResponse(result, std::string(kRequestId), adapter);
        if (cut == copy.size()) CHECK(outcome == own.outcome);
        if (outcome == AttemptOutcome::kBroken) continue;
        CHECK(outcome == own.outcome);
        CHECK("HTTP/1.1 " + std::to_string(result.response.status) + " " + result.response.reason ==
              own.status_line);
        CHECK(WriteHeaders(result.response) == own.header_lines);
        CHECK(result.response.body == own.body);
      }
    }
  }
}

TEST_CASE("a refusal whose body is continued by the response that is due refuses nothing") {
  const FakeAdapter adapter;
  Fixture fixture;
  const std::string own =
      Response("HTTP/1.1 200 OK", kRequestId, "Server: s\r\nSignature: 17.4\r\n", "whole");
  for (const std::string_view status_line :
       {"HTTP/1.1 503 Service Unavailable", "HTTP/1.1 421 Misdirected Request"}) {
    for (const std::size_t kept : {0U, 1U, 9U}) {
      // The stated length is that of the part and the response behind it, or a part of that.
      for (const std::size_t hidden : {own.size(), own.size() - 1, own.size() / 2}) {
        const std::string body(kept + hidden, 'r');
        const std::string copy = Response(status_line, "request-1", "Not-Run: 1\r\n", body);
        const std::string bytes = copy.substr(0, copy.size() - hidden) + own;
        CAPTURE(bytes);
        const ExchangeResult result = fixture.ExchangeOnUsedConnection(bytes);
        CHECK(ClassifyResponse(result, std::string(kRequestId), adapter) ==
              AttemptOutcome::kBroken);
      }
    }
  }
}

TEST_CASE("a response that contradicts itself proves nothing") {
  const FakeAdapter adapter;
  const auto classify = [&](std::string_view status_line, std::string_view header_lines) {
    HttpReader reader(HttpReader::Kind::kResponse, kLimits);
    const std::string bytes = Response(status_line, kRequestId, header_lines, "");
    reader.Read(bytes);
    REQUIRE(reader.complete());
    ExchangeResult result;
    result.outcome = ExchangeOutcome::kResponseReceived;
    result.reused = true;
    result.response = std::move(reader.message());
    return ClassifyResponse(result, std::string(kRequestId), adapter);
  };
  constexpr std::string_view kOk = "HTTP/1.1 200 OK";
  constexpr std::string_view kBusy = "HTTP/1.1 503 Service Unavailable";
  constexpr std::string_view kOther = "HTTP/1.1 421 Misdirected Request";
  CHECK(classify(kBusy, "Not-Run: 1\r\n") == AttemptOutcome::kShed);
  CHECK(classify("HTTP/1.1 400 Bad Request", "Not-Run: 1\r\n") == AttemptOutcome::kShed);
  CHECK(classify(kOther, "Not-Run: 1\r\n") == AttemptOutcome::kMisdirected);
  CHECK(classify(kOk, "Signature: 1\r\n") == AttemptOutcome::kAnswered);
  for (const std::string_view status_line : {kOk, kBusy, kOther}) {
    CAPTURE(status_line);
    CHECK(classify(status_line, "Not-Run: 1\r\nSignature: 1\r\n") == AttemptOutcome::kBroken);
    CHECK(classify(status_line, "Signature: 1\r\nSignature: 2\r\n") == AttemptOutcome::kBroken);
    CHECK(classify(status_line, "Id: request-1\r\nNot-Run: 1\r\n") == AttemptOutcome::kBroken);
  }
  CHECK(classify(kOther, "Signature: 1\r\n") == AttemptOutcome::kBroken);
  CHECK(classify(kOk, "Not-Run: 1\r\n") == AttemptOutcome::kBroken);
  CHECK(classify("HTTP/1.1 500 Error", "Not-Run: 1\r\n") == AttemptOutcome::kBroken);
}

}  // namespace
}  // namespace mulberry::gateway
