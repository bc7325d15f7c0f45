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

  /// Sends a request with an id and waits until the server has it.
  void Send(const std::string& id, Duration max_idle = std::chrono::seconds(5)) {
    link = pool.Acquire(server.address(), max_idle).value();
    ExchangeRequest request;
    request.bytes = "GET /" + id + " HTTP/1.1\r\nHost: h\r\nX-Id: " + id + "\r\n\r\n";
    request.id_header = "X-Id";
    request.id = id;
    answer.reset();
    link->Exchange(std::move(request), [this](ExchangeResult got) {
      answer = std::move(got);
      pool.Release(server.address(), link);
    });
    REQUIRE(RunUntil(io, [&] {
      return !server.connections.empty() &&
             server.connections.back()->received.find("/" + id + " ") != std::string::npos;
    }));
  }

  void WaitAnswer() {
    REQUIRE(RunUntil(io, [&] { return answer.has_value(); }));
  }

  static std::string Ok(const std::string& id, const std::string& body) {
    return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  }

  asio::io_context io;
  ScriptedServer server;
  ConnectionPool pool;
  std::shared_ptr<HttpClientConnection> link;
  std::optional<ExchangeResult> answer;
};

TEST_CASE_FIXTURE(Fixture, "a kept connection serves the next request") {
  for (const std::string id : {"1", "2", "3"}) {
    Send(id);
    server.connections.back()->Write(Ok(id, "body" + id));
    WaitAnswer();
    CHECK(answer->outcome == ExchangeOutcome::kResponseReceived);
    CHECK(answer->response.body == "body" + id);
  }
  CHECK(server.connections.size() == 1);
  CHECK(pool.connections_opened() == 1);
}

TEST_CASE_FIXTURE(Fixture, "a late extra answer is never taken for the next request's") {
  Send("1");
  server.connections.back()->Write(Ok("1", "one"));
  WaitAnswer();
  SUBCASE("it comes while the connection is idle") {
    server.connections.back()->Write(Ok("1", "again"));
    RunFor(io, milliseconds(20));
    Send("2");
    CHECK(server.connections.size() == 2);
    server.connections.back()->Write(Ok("2", "two"));
  }
  SUBCASE("it comes where the next answer is expected") {
    Send("2");
    CHECK(server.connections.size() == 1);
    server.connections.back()->Write(Ok("1", "again"));
    RunFor(io, milliseconds(20));
    CHECK_FALSE(answer.has_value());
    server.connections.back()->Write(Ok("2", "two"));
  }
  WaitAnswer();
  CHECK(answer->outcome == ExchangeOutcome::kResponseReceived);
  CHECK(answer->response.body == "two");
}

TEST_CASE_FIXTURE(Fixture, "bytes behind an answer end the connection's use") {
  Send("1");
  server.connections.back()->Write(Ok("1", "one") + "HTTP/1.1 200 OK\r\nContent-Le");
  WaitAnswer();
  CHECK(answer->response.body == "one");
  Send("2");
  CHECK(server.connections.size() == 2);
}

TEST_CASE_FIXTURE(Fixture, "an answer that is cut off, reset or no answer is broken") {
  Send("1");
  SUBCASE("cut off") {
    server.connections.back()->Write("HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\nabc");
    RunFor(io, milliseconds(10));
    server.connections.back()->Close();
  }
  SUBCASE("reset without a length") {
    server.connections.back()->Write("HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nabc");
    RunFor(io, milliseconds(10));
    server.connections.back()->Reset();
  }
  SUBCASE("no answer") { server.connections.back()->Write("garbage\r\n\r\n"); }
  SUBCASE("nothing") { server.connections.back()->Close(); }
  WaitAnswer();
  CHECK(answer->outcome == ExchangeOutcome::kFailedAfterSend);
}

TEST_CASE_FIXTURE(Fixture,
                  "an answer without a length is whole when its connection ends in order") {
  Send("1");
  server.connections.back()->Write("HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nabc");
  RunFor(io, milliseconds(10));
  server.connections.back()->Close();
  WaitAnswer();
  CHECK(answer->outcome == ExchangeOutcome::kResponseReceived);
  CHECK(answer->response.body == "abc");
}

TEST_CASE_FIXTURE(Fixture, "a connection that the server has closed is not used again") {
  Send("1");
  server.connections.back()->Write(Ok("1", "one"));
  WaitAnswer();
  server.connections.back()->Close();
  // Without running the io_context, only a look at the socket shows it.
  Send("2");
  CHECK(server.connections.size() == 2);
}

TEST_CASE_FIXTURE(Fixture, "a connection that was idle for too long is not used") {
  Send("1");
  server.connections.back()->Write(Ok("1", "one"));
  WaitAnswer();
  RunFor(io, milliseconds(30));
  Send("2", milliseconds(10));
  CHECK(server.connections.size() == 2);
}

TEST_CASE_FIXTURE(Fixture, "a refused connection proves that nothing was sent") {
  const std::string address = server.address();
  server.Stop();
  link = pool.Acquire(address, milliseconds(1)).value();
  ExchangeRequest request;
  request.bytes = "GET / HTTP/1.1\r\n\r\n";
  link->Exchange(std::move(request), [this](ExchangeResult got) { answer = std::move(got); });
  WaitAnswer();
  CHECK(answer->outcome == ExchangeOutcome::kConnectFailed);
}

TEST_CASE_FIXTURE(Fixture,
                  "an answer before the whole request was written ends the connection's use") {
  link = pool.Acquire(server.address(), milliseconds(1)).value();
  ExchangeRequest request;
  request.bytes = "POST /big HTTP/1.1\r\nHost: h\r\nContent-Length: 30000000\r\n\r\n";
  request.bytes.resize(request.bytes.size() + 30'000'000, 'x');
  link->Exchange(std::move(request), [this](ExchangeResult got) {
    answer = std::move(got);
    pool.Release(server.address(), link);
  });
  REQUIRE(RunUntil(io, [&] { return !server.connections.empty(); }));
  server.connections.back()->Write("HTTP/1.1 413 Content Too Large\r\nContent-Length: 0\r\n\r\n");
  WaitAnswer();
  CHECK(answer->response.status == 413);
  CHECK_FALSE(link->open());
}

}  // namespace
}  // namespace mulberry::gateway
