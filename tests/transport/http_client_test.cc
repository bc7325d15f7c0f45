#include <doctest/doctest.h>

#include <algorithm>

#include "endless_server.h"
#include "loopback.h"

namespace mulberry {

namespace {

using std::chrono::milliseconds;

constexpr const char* kOk = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

}  // namespace

TEST_CASE("the client reports how an exchange failed") {
  asio::io_context io;
  HttpClient client(io);
  std::string answer;
  RawServer server(io, [&](int, const std::string&) { return answer; });
  HttpRequest request = Get(server.url());
  request.timeout = milliseconds(200);
  const auto end = [&] { return Exchange(io, client, request).end; };

  SUBCASE("refused") {
    request.url = "http://127.0.0.1:" + std::to_string(UnusedPort(io));
    CHECK(end() == HttpEnd::kConnectRefused);
  }
  SUBCASE("malformed requests are not sent") {
    request.url = server.url() + "/a b";
    CHECK(end() == HttpEnd::kNotSent);
    request.url = "ftp://127.0.0.1/";
    CHECK(end() == HttpEnd::kNotSent);
    request = Get(server.url());
    request.headers = {{"X", "a\r\nY: b"}};
    CHECK(end() == HttpEnd::kNotSent);
    CHECK(server.requests() == 0);
  }
  SUBCASE("closed after the request was read") { CHECK(end() == HttpEnd::kBroken); }
  SUBCASE("no answer in time") {
    answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhalf";
    CHECK(end() == HttpEnd::kTimedOut);
  }
  SUBCASE("cut off in the body") {
    answer = "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nclose";
    CHECK(end() == HttpEnd::kBroken);
  }
  SUBCASE("cut off in chunks") {
    answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nclose\r\n";
    CHECK(end() == HttpEnd::kBroken);
  }
  SUBCASE("whole chunks") {
    answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nclose\r\n0\r\n\r\n";
    CHECK(end() == HttpEnd::kAnswered);
  }
  SUBCASE("an end that can't be distinguished from a broken connection") {
    answer = "HTTP/1.1 200 OK\r\n\r\nclose";
    CHECK(end() == HttpEnd::kBroken);
  }
  SUBCASE("not HTTP") {
    answer = "close\r\n";
    CHECK(end() == HttpEnd::kBroken);
  }
  SUBCASE("over the size limit") {
    answer = kOk;
    request.max_answer_bytes = 1;
    const HttpAnswer broken = Exchange(io, client, request);
    CHECK(broken.end == HttpEnd::kBroken);
    CHECK(broken.error == "answer too large");
  }
  SUBCASE("an interim answer is not the answer") {
    answer = "HTTP/1.1 103 Early Hints\r\nX-A: 1\r\n\r\n" + std::string(kOk);
    const HttpAnswer whole = Exchange(io, client, request);
    CHECK(whole.status == 200);
    CHECK(HeaderOf(whole, "x-a").empty());
  }
}

// Guards against answers that are limited one by one and together take all memory.
TEST_CASE("answers that are being received take no more than their budget together") {
  asio::io_context io;
  MemoryBudget memory(std::size_t{16} << 20);
  HttpClient client(io);
  std::string answer;
  std::string error = "no memory for the answer";
  SUBCASE("a stated length") { answer = "HTTP/1.1 200 OK\r\nContent-Length: 4194304\r\n\r\npart"; }
  SUBCASE("header lines") {
    answer = "HTTP/1.1 200 OK\r\n";
    for (int i = 0; i < 15'000; ++i) answer += "a:\r\n";
  }
  SUBCASE("chunks") {
    answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n200000\r\n" +
             std::string(std::size_t{2} << 20, 'z');
  }
  EndlessServer server(io, [&](const std::string& request) -> EndlessServer::Answer {
    if (request.starts_with("GET /sound ")) return {kOk, "", {}};
    return {answer, "", {}};
  });
  HttpRequest request = Get("http://" + server.address() + "/faulty");
  request.answer_memory = &memory;
  request.timeout = std::chrono::seconds(3);
  int ended = 0;
  int without_memory = 0;
  constexpr int kExchanges = 40;
  for (int i = 0; i < kExchanges; ++i) {
    client.Start(request, true, [&](const HttpAnswer& failed) {
      ++ended;
      CHECK(failed.end != HttpEnd::kAnswered);
      if (failed.error == error) ++without_memory;
    });
  }
  std::size_t most_used = 0;
  const auto watch = [&] {
    most_used = std::max(most_used, memory.used());
    return without_memory > 0;
  };
  CHECK(RunUntil(io, watch));
  // The last part of the budget is for small answers.
  HttpRequest sound = Get("http://" + server.address() + "/sound");
  sound.answer_memory = &memory;
  CHECK(Exchange(io, client, sound).end == HttpEnd::kAnswered);
  CHECK(RunUntil(io, [&] {
    watch();
    return ended == kExchanges;
  }));
  CHECK(most_used > std::size_t{8} << 20);
  CHECK(most_used <= std::size_t{16} << 20);
  CHECK(memory.used() == 0);
}

// Guards against an answer that is kept although its head shows that it cannot be used.
TEST_CASE("an answer without an end is given up at its head") {
  asio::io_context io;
  HttpClient client(io);
  EndlessServer::Answer answer{"", std::string(1024, 'z'), {}};
  SUBCASE("no length") { answer.first = "HTTP/1.1 200 OK\r\n\r\n"; }
  SUBCASE("a length beyond the limit") {
    answer.first = "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n";
  }
  EndlessServer server(io, [&](const std::string&) { return answer; });
  HttpRequest request = Get("http://" + server.address() + "/");
  request.timeout = std::chrono::seconds(30);
  const HttpAnswer broken = Exchange(io, client, request);
  CHECK(broken.end == HttpEnd::kBroken);
  CHECK(broken.body.empty());
}

TEST_CASE("an answer that is cut off at any byte is not whole") {
  asio::io_context io;
  HttpClient client(io);
  std::string whole;
  SUBCASE("with a length") {
    whole = "HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: 4\r\nX-B: 2\r\n\r\nbody";
  }
  SUBCASE("in chunks") {
    whole = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-B: 2\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
  }
  SUBCASE("without a body") {
    whole = "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\nX-B: 2\r\n\r\n";
  }
  SUBCASE("with an empty body") {
    whole = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-B: 2\r\n\r\n";
  }
  SUBCASE("after an interim answer") {
    whole = "HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n" + std::string(kOk);
  }
  std::size_t sent = 0;
  RawServer server(
      io, [&](int, const std::string&) { return whole.substr(0, sent); }, true);
  // A body in chunks is whole once the chunk of size zero has arrived.
  const std::size_t needed = std::min(whole.find("\r\n0\r\n"), whole.size() - 5) + 5;
  for (sent = 1; sent < needed; ++sent) {
    CAPTURE(whole.substr(0, sent));
    for (const bool idempotent : {true, false}) {
      const HttpAnswer answer = Exchange(io, client, Post(server.url(), "x"), idempotent);
      CHECK(answer.end == HttpEnd::kBroken);
    }
  }
  sent = whole.size();
  CHECK(Exchange(io, client, Post(server.url(), "x")).end == HttpEnd::kAnswered);
}

TEST_CASE("a request without an established connection is not sent") {
  asio::io_context io;
  // A port with a full listen backlog: further handshakes are not completed.
  asio::ip::tcp::acceptor full(io, Loopback(0));
  full.listen(0);
  constexpr int kPendingConnections = 4;
  std::vector<asio::ip::tcp::socket> callers;
  callers.reserve(kPendingConnections);
  for (int i = 0; i < kPendingConnections; ++i) callers.emplace_back(io);
  for (auto& caller : callers) caller.async_connect(full.local_endpoint(), [](const auto&) {});
  RunFor(io, milliseconds(10));
  HttpClient client(io);
  HttpRequest request = Get("http://127.0.0.1:" + std::to_string(full.local_endpoint().port()));
  request.connect_timeout = milliseconds(100);
  CHECK(Exchange(io, client, request).end == HttpEnd::kNotSent);
}

TEST_CASE("a non-idempotent request arrives at most once") {
  asio::io_context io;
  HttpClient client(io);
  // Answers requests for "/warm"; closes the connection after reading any other request.
  RawServer server(io, [](int, const std::string& request) {
    return request.find(" /warm") != std::string::npos ? std::string(kOk) : std::string();
  });
  REQUIRE(Exchange(io, client, Get(server.url() + "/warm")).end == HttpEnd::kAnswered);
  REQUIRE(server.requests() == 1);
  SUBCASE("libcurl resends an idempotent request") {
    CHECK(Exchange(io, client, Post(server.url() + "/run", "x")).end == HttpEnd::kBroken);
    CHECK(server.requests() == 3);
  }
  SUBCASE("a non-idempotent request is sent once, on a new connection") {
    CHECK(Exchange(io, client, Post(server.url() + "/run", "x"), false).end == HttpEnd::kBroken);
    RunFor(io, milliseconds(50));
    CHECK(server.requests() == 2);
    CHECK(server.connections() == 2);
  }
}

TEST_CASE("consecutive idempotent requests reuse a connection") {
  asio::io_context io;
  HttpClient client(io);
  RawServer server(io, [](int, const std::string&) { return std::string(kOk); });
  for (int i = 0; i < 5; ++i) {
    CHECK(Exchange(io, client, Get(server.url())).end == HttpEnd::kAnswered);
  }
  CHECK(server.connections() == 1);
}

TEST_CASE("a second copy of an answer is not taken for the next one") {
  asio::io_context io;
  HttpClient client(io);
  const std::string first = "HTTP/1.1 503 Busy\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n";
  const std::string own = "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 2\r\n\r\nok";
  std::string answer = first;
  RawServer server(io, [&](int, const std::string&) { return answer; });
  const auto exchange = [&](const std::string& id) {
    HttpRequest request = Get(server.url());
    request.headers = {{"X-Id", id}};
    request.id_header = "x-id";
    return Exchange(io, client, request);
  };
  REQUIRE(exchange("1").status == 503);
  SUBCASE("whole") { answer = first + own; }
  SUBCASE("cut off within its head") { answer = first.substr(0, 29) + own; }
  SUBCASE("alone") { answer = first; }
  const HttpAnswer second = exchange("2");
  CHECK(second.end == HttpEnd::kBroken);
  CHECK(second.error == "answer to another request");
  answer = own;
  CHECK(exchange("2").body == "ok");
  CHECK(server.connections() == 2);
  answer = kOk;
  CHECK(exchange("3").end == HttpEnd::kAnswered);
}

TEST_CASE("callbacks may start and cancel exchanges; a destroyed client calls no callback") {
  asio::io_context io;
  auto client = std::make_unique<HttpClient>(io);
  RawServer server(io, [](int, const std::string& request) {
    return request.find(" /hang") == std::string::npos
               ? std::string(kOk)
               : std::string("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx");
  });
  const auto fail = [](const HttpAnswer&) { FAIL("called"); };
  const auto hanging = client->Start(Get(server.url() + "/hang"), true, fail);
  bool ended = false;
  client->Start(Get(server.url()), true, [&](const HttpAnswer&) {
    client->Cancel(hanging);
    client->Start(Get(server.url()), true, [&](const HttpAnswer&) { ended = true; });
  });
  CHECK(RunUntil(io, [&] { return ended; }));
  client->Start(Get(server.url() + "/hang"), true, fail);
  client->Start(Get("http://bad host/"), true, fail);
  RunFor(io, milliseconds(0));
  client.reset();
  RunFor(io, milliseconds(20));
}

TEST_CASE("the platform client reads pages, appends and host lists") {
  asio::io_context io;
  HttpClient http(io);
  ServerAnswer answer;
  ServerRequest seen;
  HttpServer server(io, {}, [&](ServerRequest request, const HttpServer::Respond& respond) {
    seen = std::move(request);
    respond(answer);
  });
  REQUIRE(server.Open());
  PlatformClient platform(http, "127.0.0.1:" + std::to_string(server.port()),
                          std::chrono::seconds(5));
  const auto read = [&] {
    std::optional<Result<LogPage>> page;
    platform.Read("config", Offset(7), milliseconds(250),
                  [&](const Result<LogPage>& got) { page = got; });
    REQUIRE(RunUntil(io, [&] { return page.has_value(); }));
    return *page;
  };
  answer.body =
      R"({"first":5,"next":9,"records":[{"offset":7,"data":"a"},{"offset":8,"data":"b"}]})";
  const Result<LogPage> page = read();
  REQUIRE(page);
  CHECK(page.value().first == Offset(5));
  CHECK(page.value().records.at(1).data == "b");
  CHECK(seen.path + "?" + seen.query == "/log/config?from=7&wait_ms=250");
  for (const char* body :
       {"", "[]", R"({"first":1,"next":2})", R"({"first":3,"next":2,"records":[]})",
        R"({"first":1,"next":2,"records":[{"offset":2,"data":"x"}]})",
        R"({"first":1,"next":3,"records":[{"offset":2,"data":"x"},{"offset":1,"data":"x"}]})",
        R"({"first":-1,"next":2,"records":[]})",
        R"({"first":1,"next":2,"records":[{"data":1}]})"}) {
    answer.body = body;
    CHECK(read().error().code == ErrorCode::kCorrupt);
  }
  answer.status = 503;
  CHECK(read().error().code == ErrorCode::kUnavailable);

  const auto append = [&] {
    std::optional<Result<Offset>> offset;
    platform.Append("config", "\x01 data", [&](const Result<Offset>& got) { offset = got; });
    REQUIRE(RunUntil(io, [&] { return offset.has_value(); }));
    return *offset;
  };
  answer.status = 413;
  CHECK(append().error().code == ErrorCode::kTooLarge);
  answer = {.status = 200, .content_type = "", .headers = {}, .body = R"({"offset":12})"};
  CHECK(append().value() == Offset(12));
  CHECK(seen.body == "\x01 data");

  using Hosts = Result<std::optional<HostList>>;
  const auto hosts = [&](const char* data_centre) {
    std::optional<Hosts> list;
    platform.Hosts(HostName("uio a"), DataCentreName(data_centre),
                   [&](const Hosts& got) { list = got; });
    REQUIRE(RunUntil(io, [&] { return list.has_value(); }));
    return *list;
  };
  answer.headers = {{"ETag", "\"v1\""}};
  answer.body =
      R"({"entry_hosts":[{"name":"h","dc":"d","http":"1:1","peer":"1:2","leaving":true}],)"
      R"("backend_servers":[{"name":"s","service":"r","dc":"d","address":"1:3","slots":4,)"
      R"("connections":200,"cold":true}]})";
  const Hosts list = hosts("uio-a");
  REQUIRE(list);
  CHECK(list.value()->entry_hosts.at(0).leaving);
  CHECK(list.value()->backend_servers.at(0).slots == 4);
  CHECK(list.value()->backend_servers.at(0).cold);
  CHECK(seen.query == "viewer=uio%20a&dc=uio-a");
  answer.status = 304;
  CHECK(!hosts("uio-a").value().has_value());
  CHECK(HeaderOf(seen, "if-none-match") == "\"v1\"");
  CHECK(hosts("").has_value());
  CHECK(HeaderOf(seen, "if-none-match").empty());
  answer.status = 200;
  answer.body = R"({"entry_hosts":[{"name":""}],"backend_servers":[]})";
  CHECK(hosts("uio-a").error().code == ErrorCode::kCorrupt);
}

}  // namespace mulberry
