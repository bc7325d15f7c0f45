#include "libgateway/http_reader.h"

#include <doctest/doctest.h>

#include "allocation_counter.h"

namespace mulberry::gateway {
namespace {

constexpr ReadLimits kLimits{.max_head_bytes = 512, .max_body_bytes = 64};

ReadError ErrorOf(HttpReader::Kind kind, const std::string& bytes) {
  HttpReader reader(kind, kLimits);
  reader.Read(bytes);
  return reader.error();
}

ReadError RequestError(const std::string& bytes) {
  return ErrorOf(HttpReader::Kind::kRequest, bytes);
}

ReadError ResponseError(const std::string& bytes) {
  return ErrorOf(HttpReader::Kind::kResponse, bytes);
}

TEST_CASE(
    "a request parses the same byte by byte as in one piece, and later bytes are not consumed") {
  const std::string bytes =
      "POST /a/b?c=1 HTTP/1.1\r\nHost: h\r\nX-Id:  7 \r\nContent-Length: 5\r\n\r\nhello";
  HttpReader reader(HttpReader::Kind::kRequest, kLimits);
  SUBCASE("one piece") { CHECK(reader.Read(bytes + "GET / HTTP/1.1\r\n") == bytes.size()); }
  SUBCASE("byte by byte") {
    for (const char c : bytes) CHECK(reader.Read({&c, 1}) == 1);
  }
  REQUIRE(reader.complete());
  CHECK(reader.message().method == "POST");
  CHECK(reader.message().target == "/a/b?c=1");
  CHECK(*FindHeader(reader.message().headers, "x-id") == "7");
  CHECK(reader.message().body == "hello");
  CHECK(reader.message().keep_alive);
}

TEST_CASE("chunks are joined and trailers are dropped") {
  HttpReader reader(HttpReader::Kind::kRequest, kLimits);
  reader.Read(
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=1\r\nde\r\n"
      "0\r\nX-Trailer: 1\r\n\r\n");
  REQUIRE(reader.complete());
  CHECK(reader.message().body == "abcde");
  CHECK(FindHeader(reader.message().headers, "x-trailer") == nullptr);
}

TEST_CASE("messages that other parsers may interpret differently are rejected") {
  CHECK(RequestError("GET / HTTP/1.1\r\nHost: h\r\nContent-Length : 5\r\n\r\n") ==
        ReadError::kMalformed);
  CHECK(RequestError("GET / HTTP/1.1\r\nHost: h\r\nX: a\r\n folded\r\n\r\n") ==
        ReadError::kMalformed);
  CHECK(RequestError("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n") == ReadError::kMalformed);
  CHECK(RequestError("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                     "Content-Length: 4\r\n\r\n") == ReadError::kMalformed);
  CHECK(RequestError("GET / HTTP/1.1\r\nHost: h\r\nHost: g\r\n\r\n") == ReadError::kMalformed);
  CHECK(RequestError("GET / HTTP/1.1\r\nHost: h\r\nX: a\x01z\r\n\r\n") == ReadError::kMalformed);
  CHECK(RequestError("not http at all\r\n\r\n") == ReadError::kMalformed);
}

TEST_CASE("folded lines are found behind empty lines before a message") {
  CHECK(RequestError("\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n") ==
        ReadError::kMalformed);
  CHECK(ResponseError("\n\nHTTP/1.1 200 OK\r\nX: a\r\n b\r\nContent-Length: 0\r\n\r\n") ==
        ReadError::kMalformed);
  CHECK(RequestError("\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\nX: a\r\n\r\n") == ReadError::kNone);
}

TEST_CASE("a CR that ends no line is rejected in a head, and is a usual byte in a body") {
  CHECK(RequestError("GET / HTTP/1.1\rXHost: h\r\n\r\n") == ReadError::kMalformed);
  CHECK(RequestError("GET / HTTP/1.1\r\nHost: h\rX: 1\r\n\r\n") == ReadError::kMalformed);
  CHECK(RequestError("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\rXb") ==
        ReadError::kMalformed);
  CHECK(ResponseError("HTTP/1.1 200 OK\rXContent-Length: 1\r\n\r\nb") == ReadError::kMalformed);
  CHECK(ResponseError("HTTP/1.1 200 OK\r\nX: 1\rContent-Length: 1\r\n\r\nb") ==
        ReadError::kMalformed);
  CHECK(ResponseError("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\rXb") == ReadError::kMalformed);
  CHECK(ResponseError("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\na\rb") == ReadError::kNone);
  CHECK(RequestError("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n\rab") ==
        ReadError::kNone);
}

TEST_CASE("too large heads and bodies have their own errors") {
  CHECK(RequestError("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(600, 'a') + "\r\n\r\n") ==
        ReadError::kHeadTooLarge);
  CHECK(RequestError("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n") ==
        ReadError::kBodyTooLarge);
  CHECK(RequestError("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n41\r\n" +
                     std::string(65, 'a')) == ReadError::kBodyTooLarge);
}

TEST_CASE("a body that grows takes no more memory than its budget") {
  constexpr std::size_t kBudget = 24 << 20;
  // Allocations are rounded up, and the reader has some of its own.
  constexpr std::size_t kSlack = 1 << 20;
  for (const std::size_t piece : {1000U, 16'000U, 30'000U, 64'000U}) {
    CAPTURE(piece);
    MemoryBudget memory(kBudget);
    HttpReader reader(HttpReader::Kind::kResponse, {.max_body_bytes = 64 << 20, .memory = &memory});
    const std::string body(piece, 'z');
    const AllocationCounter allocations;
    reader.Read("HTTP/1.1 200 OK\r\n\r\n");
    std::size_t most_beyond = 0;
    while (reader.error() == ReadError::kNone) {
      reader.Read(body);
      most_beyond =
          std::max(most_beyond, allocations.held() - std::min(allocations.held(), memory.used()));
    }
    CHECK(reader.error() == ReadError::kMemoryFull);
    CHECK(reader.message().body.size() > kBudget / 2 - kSlack);
    CHECK(most_beyond <= kSlack);
    CHECK(allocations.peak() <= kBudget + kSlack);
  }
}

TEST_CASE("a head of many short lines takes no more memory than its budget") {
  constexpr std::size_t kSlack = 8 << 10;
  for (const std::string line :
       {"a:1\r\n", "name: value\r\n", "a-long-name-of-a-header: and a value\r\n"}) {
    CAPTURE(line);
    MemoryBudget memory(1 << 20);
    const AllocationCounter allocations;
    HttpReader reader(HttpReader::Kind::kRequest, {.max_head_bytes = 64 << 10, .memory = &memory});
    reader.Read("GET / HTTP/1.1\r\n");
    std::size_t most_beyond = 0;
    while (reader.error() == ReadError::kNone) {
      reader.Read(line);
      most_beyond =
          std::max(most_beyond, allocations.held() - std::min(allocations.held(), memory.used()));
    }
    CHECK(most_beyond <= kSlack);
    CHECK(allocations.peak() <= (1 << 20) + kSlack);
  }
}

TEST_CASE("a response without a length is complete when the connection closes in order") {
  HttpReader reader(HttpReader::Kind::kResponse, kLimits);
  reader.Read("HTTP/1.1 200 OK\r\nX: 1\r\n\r\npart");
  CHECK_FALSE(reader.complete());
  reader.ReadEnd();
  CHECK(reader.complete());
  CHECK(reader.message().ends_with_connection);
  CHECK(reader.message().body == "part");

  HttpReader cut(HttpReader::Kind::kResponse, kLimits);
  cut.Read("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart");
  cut.ReadEnd();
  CHECK_FALSE(cut.complete());
  CHECK(cut.error() == ReadError::kMalformed);
}

TEST_CASE("Retry-After is a number of seconds and nothing else") {
  CHECK(ParseRetryAfter("0") == Duration::zero());
  CHECK(ParseRetryAfter("1.5") == std::chrono::milliseconds(1500));
  CHECK(ParseRetryAfter("99999999999999999999") == std::chrono::seconds(1'000'000'000));
  for (const char* value :
       {"", "-1", "nan", "inf", "1e3", "soon", "1 s", "1;", "Sat, 05 Dec 2026 07:00:00 GMT"}) {
    CAPTURE(value);
    CHECK_FALSE(ParseRetryAfter(value).has_value());
  }
}

TEST_CASE("the response to HEAD has no body regardless of its length header") {
  HttpReader reader(HttpReader::Kind::kResponse, kLimits);
  reader.ExpectNoBody(true);
  reader.Read("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n");
  CHECK(reader.complete());
}

}  // namespace
}  // namespace mulberry::gateway
