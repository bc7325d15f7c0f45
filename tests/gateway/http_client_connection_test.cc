#include "libgateway/http_client_connection.h"

#include <doctest/doctest.h>

#include <optional>

#include "libgateway/connection_pool.h"
#include "scripted_server.h"

namespace mulberry::gateway {
namespace {

using std::chrono::milliseconds;

constexpr ReadLimits kLimits{.max_head_bytes = 4096, .max_body_bytes = 1 << 20};

struct Fixture {
  Fixture() : server(io), pool(io, kLimits) {}

  /// Sends a request with an id and waits until the server has received it.
  void Send(const std::string& id, Duration max_idle = std::chrono::seconds(5)) {
    connection = pool.Acquire(server.address(), max_idle).value();
    ExchangeRequest request;
    request.head = "GET /" + id + " HTTP/1.1\r\nHost: h\r\nX-Id: " + id + "\r\n\r\n";
    request.id_header = "X-Id";
    request.id = id;
    result.reset();
    connection->Exchange(std::move(request), [this](ExchangeResult received) {
      result = std::move(received);
      pool.Release(server.address(), connection);
    });
    REQUIRE(RunUntil(io, [&] {
      return !server.connections.empty() &&
             server.connections.back()->received.find("/" + id + " ") != std::string::npos;
    }));
  }

  void WaitForResult() {
    REQUIRE(RunUntil(io, [&] { return result.has_value(); }));
  }

  static std::string OkResponse(const std::string& id, const std::string& body) {
    return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  }

  asio::io_context io;
  ScriptedServer server;
  ConnectionPool pool;
  std::shared_ptr<HttpClientConnection> connection;
  std::optional<ExchangeResult> result;
};

TEST_CASE_FIXTURE(Fixture, "an idle connection serves the next request") {
  for (const std::string id : {"1", "2", "3"}) {
    Send(id);
    server.connections.back()->Write(OkResponse(id, "body" + id));
    WaitForResult();
    CHECK(result->outcome == ExchangeOutcome::kResponseReceived);
    CHECK(result->response.body == "body" + id);
  }
  CHECK(server.connections.size() == 1);
  CHECK(pool.connections_opened() == 1);
}

TEST_CASE_FIXTURE(Fixture,
                  "a late duplicate response is never taken for the response to the next request") {
  Send("1");
  server.connections.back()->Write(OkResponse("1", "one"));
  WaitForResult();
  SUBCASE("while the connection is idle") {
    server.connections.back()->Write(OkResponse("1", "again"));
    RunFor(io, milliseconds(20));
    Send("2");
    CHECK(server.connections.size() == 2);
    server.connections.back()->Write(OkResponse("2", "two"));
  }
  SUBCASE("while the next response is expected") {
    Send("2");
    CHECK(server.connections.size() == 1);
    server.connections.back()->Write(OkResponse("1", "again"));
    RunFor(io, milliseconds(20));
    CHECK_FALSE(result.has_value());
    server.connections.back()->Write(OkResponse("2", "two"));
  }
  WaitForResult();
  CHECK(result->outcome == ExchangeOutcome::kResponseReceived);
  CHECK(result->response.body == "two");
}

TEST_CASE_FIXTURE(Fixture, "a connection with bytes after a response is not reused") {
  Send("1");
  server.connections.back()->Write(OkResponse("1", "one") + "HTTP/1.1 200 OK\r\nContent-Le");
  WaitForResult();
  CHECK(result->response.body == "one");
  Send("2");
  CHECK(server.connections.size() == 2);
}

TEST_CASE_FIXTURE(Fixture,
                  "a truncated, reset, malformed or missing response is a failure after sending") {
  Send("1");
  SUBCASE("truncated") {
    server.connections.back()->Write("HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\nabc");
    RunFor(io, milliseconds(10));
    server.connections.back()->Close();
  }
  SUBCASE("reset without a length") {
    server.connections.back()->Write("HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nabc");
    RunFor(io, milliseconds(10));
    server.connections.back()->Reset();
  }
  SUBCASE("malformed") { server.connections.back()->Write("garbage\r\n\r\n"); }
  SUBCASE("missing") { server.connections.back()->Close(); }
  WaitForResult();
  CHECK(result->outcome == ExchangeOutcome::kFailedAfterSend);
}

TEST_CASE_FIXTURE(Fixture, "a response whose connection closes within it is a failure") {
  std::string whole;
  SUBCASE("with a length") {
    whole = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 4\r\nX-B: 2\r\n\r\nbody";
  }
  SUBCASE("with an empty body") {
    whole = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 0\r\nX-B: 2\r\n\r\n";
  }
  SUBCASE("in chunks") {
    whole =
        "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
  }
  SUBCASE("without a body") { whole = "HTTP/1.1 204 No Content\r\nX-Id: 1\r\nX-B: 2\r\n\r\n"; }
  SUBCASE("the head of one without a length") {
    whole = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nConnection: close\r\n\r\n";
  }
  SUBCASE("after an interim response") {
    whole = "HTTP/1.1 103 Early Hints\r\nX-Id: 1\r\n\r\n" + OkResponse("1", "body");
  }
  for (std::size_t sent = 0; sent < whole.size(); ++sent) {
    CAPTURE(whole.substr(0, sent));
    if (!server.connections.empty()) server.connections.back()->received.clear();
    Send("1");
    server.connections.back()->Write(whole.substr(0, sent));
    server.connections.back()->Close();
    WaitForResult();
    CHECK(result->outcome == ExchangeOutcome::kFailedAfterSend);
  }
}

TEST_CASE_FIXTURE(Fixture,
                  "a response without a length is complete when its connection closes normally") {
  Send("1");
  server.connections.back()->Write("HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nabc");
  RunFor(io, milliseconds(10));
  server.connections.back()->Close();
  WaitForResult();
  CHECK(result->outcome == ExchangeOutcome::kResponseReceived);
  CHECK(result->response.body == "abc");
}

TEST_CASE_FIXTURE(Fixture, "a connection that the server has closed is not reused") {
  Send("1");
  server.connections.back()->Write(OkResponse("1", "one"));
  WaitForResult();
  server.connections.back()->Close();
  // The io_context has not run, so only a check of the socket detects the close.
  Send("2");
  CHECK(server.connections.size() == 2);
}

TEST_CASE_FIXTURE(Fixture, "a connection that was idle for too long is not reused") {
  Send("1");
  server.connections.back()->Write(OkResponse("1", "one"));
  WaitForResult();
  RunFor(io, milliseconds(30));
  Send("2", milliseconds(10));
  CHECK(server.connections.size() == 2);
}

TEST_CASE_FIXTURE(Fixture, "a refused connection is reported as a failure to connect") {
  const std::string address = server.address();
  server.Stop();
  connection = pool.Acquire(address, milliseconds(1)).value();
  ExchangeRequest request;
  request.head = "GET / HTTP/1.1\r\n\r\n";
  connection->Exchange(std::move(request),
                       [this](ExchangeResult received) { result = std::move(received); });
  WaitForResult();
  CHECK(result->outcome == ExchangeOutcome::kConnectFailed);
}

TEST_CASE_FIXTURE(
    Fixture, "a connection with a response before the whole request was written is not reused") {
  connection = pool.Acquire(server.address(), milliseconds(1)).value();
  ExchangeRequest request;
  request.head = "POST /big HTTP/1.1\r\nHost: h\r\nContent-Length: 30000000\r\n\r\n";
  std::string body;
  body.resize(30'000'000, 'x');
  request.body = std::make_shared<const MessageBody>(body);
  connection->Exchange(std::move(request), [this](ExchangeResult received) {
    result = std::move(received);
    pool.Release(server.address(), connection);
  });
  REQUIRE(RunUntil(io, [&] { return !server.connections.empty(); }));
  server.connections.back()->Write("HTTP/1.1 413 Content Too Large\r\nContent-Length: 0\r\n\r\n");
  WaitForResult();
  CHECK(result->response.status == 413);
  CHECK_FALSE(connection->open());
}

}  // namespace
}  // namespace mulberry::gateway
