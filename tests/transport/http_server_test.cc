#include <doctest/doctest.h>

#include <deque>

#include "loopback.h"

namespace mulberry {

namespace {

using std::chrono::milliseconds;

/// A server that echoes requests; requests for "/held" wait until the test answers them.
struct EchoServer {
  explicit EchoServer(HttpServerOptions options = {})
      : server(
            io, std::move(options),
            [this](ServerRequest request, HttpServer::Respond respond) {
              requests.push_back(request);
              if (request.path == "/held") return held.push_back(std::move(respond));
              ServerAnswer answer;
              answer.headers = {{"X-Method", request.method}, {"X-Bad", "a\r\nSet: b"}};
              answer.content_type = HeaderOf(request, "content-type");
              answer.body = std::move(request.body);
              respond(std::move(answer));
            },
            [this](std::uint64_t connection) { closed.push_back(connection); }) {
    REQUIRE(server.Open());
    url = "http://127.0.0.1:" + std::to_string(server.port());
  }

  asio::io_context io;
  std::vector<ServerRequest> requests;
  std::deque<HttpServer::Respond> held;
  std::vector<std::uint64_t> closed;
  HttpServer server;
  HttpClient client{io};
  std::string url;
};

ServerAnswer TextAnswer(const std::string& body) {
  ServerAnswer answer;
  answer.body = body;
  return answer;
}

}  // namespace

TEST_CASE("requests and answers are transferred unchanged") {
  EchoServer echo;
  const std::string body(900 * 1024, '\xff');
  HttpRequest request = Post(echo.url + "/a/../b%20c?x=1%2f+y&z", body);
  request.headers = {{"Content-Type", "text/x"}, {"X-Empty", ""}};
  const HttpAnswer answer = Exchange(echo.io, echo.client, request, false);
  CHECK(answer.end == HttpEnd::kAnswered);
  CHECK(answer.status == 200);
  CHECK(answer.body == body);
  CHECK(HeaderOf(answer, "x-method") == "POST");
  CHECK(HeaderOf(answer, "content-type") == "text/x");
  CHECK(HeaderOf(answer, "set").empty());
  REQUIRE(echo.requests.size() == 1);
  const ServerRequest& seen = echo.requests[0];
  CHECK(seen.path == "/a/../b%20c");
  CHECK(QueryOf(seen, "x") == "1/ y");
  CHECK(QueryOf(seen, "z").empty());
  CHECK(HeaderOf(seen, "expect").empty());
  for (const char* method : {"PUT", "DELETE", "PATCH", "OPTIONS", "HEAD"}) {
    HttpRequest other = Get(echo.url + "/");
    other.method = method;
    CHECK(Exchange(echo.io, echo.client, other).end == HttpEnd::kAnswered);
    CHECK(echo.requests.back().method == method);
  }
}

TEST_CASE("answers may come late and out of order") {
  EchoServer echo;
  std::vector<std::string> answers;
  for (const char* name : {"first", "second"}) {
    echo.client.Start(Get(echo.url + "/held"), true, [&answers, name](const HttpAnswer& answer) {
      answers.push_back(name + (":" + answer.body));
    });
    REQUIRE(RunUntil(
        echo.io, [&] { return !echo.held.empty() && echo.requests.size() == echo.held.size(); }));
    RunUntil(echo.io, [&] { return echo.held.size() == (std::string(name) == "first" ? 1U : 2U); });
  }
  REQUIRE(echo.held.size() == 2);
  echo.held[1](TextAnswer("2"));
  REQUIRE(RunUntil(echo.io, [&] { return answers.size() == 1; }));
  echo.held[0](TextAnswer("1"));
  echo.held[0](TextAnswer("again"));
  REQUIRE(RunUntil(echo.io, [&] { return answers.size() == 2; }));
  CHECK(answers == std::vector<std::string>{"second:2", "first:1"});
}

TEST_CASE("pipelined requests are answered in request order") {
  EchoServer echo;
  RawCaller caller(echo.io, echo.server.port());
  caller.Write("GET /held HTTP/1.1\r\n\r\nGET /held HTTP/1.1\r\n\r\n");
  REQUIRE(RunUntil(echo.io, [&] { return echo.held.size() == 2; }));
  echo.held[1](TextAnswer("second-body"));
  RunFor(echo.io, milliseconds(20));
  CHECK(caller.received().empty());
  echo.held[0](TextAnswer("first-body"));
  CHECK(caller.WaitForText("second-body"));
  CHECK(caller.received().find("first-body") < caller.received().find("second-body"));
}

TEST_CASE("a caller disconnect is reported and its late answer is dropped") {
  EchoServer echo;
  const auto handle = echo.client.Start(Get(echo.url + "/held"), true,
                                        [](const HttpAnswer&) { FAIL("called after Cancel"); });
  REQUIRE(RunUntil(echo.io, [&] { return echo.held.size() == 1; }));
  CHECK(echo.server.counters().connections == 1);
  echo.client.Cancel(handle);
  echo.client.Cancel(handle);
  REQUIRE(RunUntil(echo.io, [&] { return !echo.closed.empty(); }));
  CHECK(echo.closed == std::vector<std::uint64_t>{echo.requests[0].connection});
  echo.held[0](TextAnswer("late"));
  RunFor(echo.io, milliseconds(10));
  CHECK(echo.server.counters().connections == 0);
  CHECK(Exchange(echo.io, echo.client, Post(echo.url, "x")).body == "x");
}

TEST_CASE("rejected input is answered and counted") {
  HttpServerOptions options;
  options.max_body_bytes = 1000;
  options.max_head_bytes = 2000;
  options.read_timeout = milliseconds(100);
  EchoServer echo(options);
  const auto& counters = echo.server.counters();
  SUBCASE("body over the limit, with Content-Length") {
    const std::string body(2 * 1024 * 1024, 'x');
    CHECK(Exchange(echo.io, echo.client, Post(echo.url, body)).status == 413);
    CHECK(counters.too_large == 1);
  }
  SUBCASE("body over the limit, in chunks") {
    RawCaller caller(echo.io, echo.server.port());
    caller.Write("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" +
                 std::string(2000, 'x'));
    CHECK(caller.WaitForText("HTTP/1.1 413"));
    CHECK(caller.WaitForClose());
  }
  SUBCASE("head over the limit") {
    for (int fields : {1, 5}) {
      HttpRequest request = Get(echo.url);
      for (int i = 0; i < fields; ++i) {
        request.headers.emplace_back("X-" + std::to_string(i), std::string(2100 / fields, 'x'));
      }
      CHECK(Exchange(echo.io, echo.client, request).status == 431);
    }
    CHECK(counters.too_large == 2);
  }
  SUBCASE("malformed head") {
    RawCaller caller(echo.io, echo.server.port());
    caller.Write("GARBAGE\r\n\r\n");
    CHECK(caller.WaitForText("HTTP/1.1 400"));
    CHECK(caller.WaitForClose());
    CHECK(counters.malformed == 1);
  }
  SUBCASE("space before a header's colon") {
    RawCaller caller(echo.io, echo.server.port());
    caller.Write("GET / HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\nabc");
    CHECK(caller.WaitForText("HTTP/1.1 400"));
    CHECK(caller.WaitForClose());
    CHECK(counters.malformed == 1);
  }
  SUBCASE(
      "malformed input after a request in progress gets no answer that could match that request") {
    RawCaller caller(echo.io, echo.server.port());
    caller.Write("GET /held HTTP/1.1\r\n\r\nGARBAGE\r\n\r\n");
    CHECK(caller.WaitForClose());
    CHECK(caller.received().empty());
    CHECK(counters.malformed == 1);
  }
  SUBCASE("upgrade") {
    RawCaller caller(echo.io, echo.server.port());
    caller.Write("GET / HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n");
    CHECK(caller.WaitForText("HTTP/1.1 501"));
    CHECK(caller.WaitForClose());
  }
  SUBCASE("slow request") {
    RawCaller caller(echo.io, echo.server.port());
    caller.Write("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
    CHECK(caller.WaitForText("HTTP/1.1 408"));
    CHECK(caller.WaitForClose());
    CHECK(counters.slow == 1);
  }
  REQUIRE(RunUntil(echo.io, [&] { return !echo.closed.empty(); }));
  CHECK(counters.connections == 0);
}

TEST_CASE(
    "an idle persistent connection outlives the read timeout and is closed without an answer") {
  HttpServerOptions options;
  options.read_timeout = milliseconds(50);
  options.idle_timeout = milliseconds(300);
  EchoServer echo(options);
  RawCaller caller(echo.io, echo.server.port());
  for (int i = 0; i < 2; ++i) {
    caller.Write("GET / HTTP/1.1\r\n\r\n");
    RunFor(echo.io, milliseconds(150));
    CHECK(echo.requests.size() == i + 1U);
  }
  CHECK(caller.WaitForClose());
  CHECK(caller.received().find("408") == std::string::npos);
  CHECK(echo.server.counters().slow == 0);
}

TEST_CASE("a caller that does not read its answer is disconnected and counted") {
  HttpServerOptions options;
  options.read_timeout = milliseconds(50);
  options.write_timeout = milliseconds(100);
  EchoServer echo(options);
  RawCaller caller(echo.io, echo.server.port());
  caller.Write("GET /held HTTP/1.1\r\n\r\n");
  REQUIRE(RunUntil(echo.io, [&] { return echo.held.size() == 1; }));
  echo.held[0](TextAnswer(std::string(64 * 1024 * 1024, 'x')));
  REQUIRE(RunUntil(echo.io, [&] { return !echo.closed.empty(); }));
  CHECK(echo.server.counters().slow == 1);
}

TEST_CASE("connections over the limit are refused and counted") {
  HttpServerOptions options;
  options.max_connections = 1;
  EchoServer echo(options);
  RawCaller first(echo.io, echo.server.port());
  RunFor(echo.io, milliseconds(5));
  RawCaller second(echo.io, echo.server.port());
  CHECK(second.WaitForClose());
  CHECK(echo.server.counters().refused_connections == 1);
  first.Write("GET /ok HTTP/1.1\r\n\r\n");
  CHECK(first.WaitForText("HTTP/1.1 200"));
}

TEST_CASE("a server that stops accepting still serves open connections and the listen backlog") {
  EchoServer echo;
  const std::uint16_t port = echo.server.port();
  RawCaller open(echo.io, port);
  RunFor(echo.io, milliseconds(5));
  RawCaller queued(echo.io, port);
  echo.server.StopAccepting();
  for (RawCaller* caller : {&open, &queued}) {
    caller->Write("GET / HTTP/1.1\r\n\r\n");
    CHECK(caller->WaitForText("HTTP/1.1 200"));
  }
  CHECK(Exchange(echo.io, echo.client, Get(echo.url)).end == HttpEnd::kConnectRefused);
  echo.server.Close();
  CHECK(open.WaitForClose());
}

TEST_CASE("a connection that closes after its answers is closed after the last one only") {
  EchoServer echo;
  RawCaller in_order(echo.io, echo.server.port());
  RawCaller out_of_order(echo.io, echo.server.port());
  for (RawCaller* caller : {&in_order, &out_of_order}) {
    const std::size_t before = echo.held.size();
    caller->Write("GET /held HTTP/1.1\r\n\r\nGET /held HTTP/1.1\r\n\r\n");
    REQUIRE(RunUntil(echo.io, [&] { return echo.held.size() == before + 2; }));
  }
  echo.server.CloseAfterAnswers();
  for (const std::size_t request : {0, 1, 3, 2}) {
    echo.held[request](TextAnswer("answer " + std::to_string(request)));
    RunFor(echo.io, milliseconds(20));
  }
  CHECK(in_order.WaitForClose());
  CHECK(in_order.received().find("answer 0") < in_order.received().find("answer 1"));
  CHECK(in_order.WaitForText("answer 1"));
  CHECK(out_of_order.WaitForText("answer 3"));
  CHECK(out_of_order.received().find("answer 2") < out_of_order.received().find("answer 3"));
  out_of_order.Write("GET / HTTP/1.1\r\n\r\n");
  CHECK(out_of_order.WaitForClose());
  CHECK(out_of_order.received().rfind("HTTP/1.1 200") > out_of_order.received().find("answer 3"));
}

TEST_CASE("a port in use is an error with the address") {
  EchoServer echo;
  HttpServerOptions options;
  options.port = echo.server.port();
  HttpServer other(echo.io, options, {});
  const Result<void> opened = other.Open();
  REQUIRE(!opened);
  CHECK(opened.error().code == ErrorCode::kUnavailable);
  CHECK(opened.error().message.find(std::to_string(options.port)) != std::string::npos);
}

}  // namespace mulberry
