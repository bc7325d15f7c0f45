// Answers whose status line or head the standard rules out, at the client of the own interface.
#include <doctest/doctest.h>

#include "invalid_responses.h"
#include "loopback.h"

namespace mulberry {
namespace {

constexpr char kOwnLines[] = "X-Id: 7\r\nX-Start-Id: 5\r\n";

/// Exchanges with a server that answers "/sound" with a usual answer and all else with `answer`.
struct Fixture {
  HttpAnswer Send(const std::string& target, bool idempotent) {
    HttpRequest request = Post(server.url() + target, "x");
    request.headers = {{"X-Id", "7"}};
    request.id_header = "x-id";
    return Exchange(io, client, request, idempotent);
  }

  asio::io_context io;
  HttpClient client{io};
  std::string answer;
  RawServer server{io,
                   [this](int, const std::string& request) {
                     return request.find(" /sound ") == std::string::npos
                                ? answer
                                : SoundResponse(kOwnLines, "sound");
                   },
                   true};
};

void CheckNotAnswered(const std::vector<RawResponse>& answers) {
  for (const bool idempotent : {true, false}) {
    Fixture fixture;
    for (const RawResponse& invalid : answers) {
      CAPTURE(invalid.name);
      CAPTURE(idempotent);
      // The next exchange follows one whose head libcurl has kept.
      REQUIRE(fixture.Send("/sound", idempotent).end == HttpEnd::kAnswered);
      fixture.answer = invalid.bytes;
      const int before = fixture.server.requests();
      const HttpAnswer answer = fixture.Send("/run", idempotent);
      CHECK(answer.end == HttpEnd::kBroken);
      CHECK_FALSE(answer.error.empty());
      CHECK(fixture.server.requests() == before + 1);
      // A trailer comes after a sound head.
      if (invalid.name.find("trailer") != std::string::npos) continue;
      CHECK(answer.status == 0);
      CHECK(answer.headers.empty());
      CHECK(answer.body.empty());
    }
  }
}

}  // namespace

TEST_CASE("an answer with an invalid status line is not an answer") {
  CheckNotAnswered(ResponsesWithInvalidStatusLine(kOwnLines));
}

// libcurl 7.88.1 continued a header line of the answer before, which it had freed.
TEST_CASE("a head that starts with white space does not end the process") {
  for (const bool idempotent : {true, false}) {
    Fixture fixture;
    for (const char* line : {" X-A: 1", "\tX-A: 1", " folded", " : 1"}) {
      CAPTURE(line);
      REQUIRE(fixture.Send("/sound", idempotent).end == HttpEnd::kAnswered);
      fixture.answer =
          Join({"HTTP/1.1 200 OK\r\n", line, "\r\n", kOwnLines, "Content-Length: 6\r\n\r\nbroken"});
      CHECK(fixture.Send("/run", idempotent).end == HttpEnd::kBroken);
    }
  }
}

TEST_CASE("an answer with an invalid line in a head or trailer is not an answer") {
  CheckNotAnswered(ResponsesWithInvalidField(kOwnLines));
}

TEST_CASE("an answer with an invalid length is not an answer") {
  CheckNotAnswered(ResponsesWithInvalidLength(kOwnLines));
}

TEST_CASE("unusual answers that the standard allows are answers") {
  for (const bool idempotent : {true, false}) {
    Fixture fixture;
    for (const RawResponse& unusual : UnusualResponses(kOwnLines)) {
      CAPTURE(unusual.name);
      fixture.answer = unusual.bytes;
      const HttpAnswer answer = fixture.Send("/run", idempotent);
      CHECK(answer.end == HttpEnd::kAnswered);
      CHECK(answer.body == "sound");
      CHECK(HeaderOf(answer, "x-start-id") == "5");
    }
    fixture.answer =
        "HTTP/1.1 304 Not Modified\r\n" + std::string(kOwnLines) + "Content-Length: 6\r\n\r\n";
    CHECK(fixture.Send("/run", idempotent).status == 304);
    fixture.answer = "HTTP/1.1 200 OK\r\nX-Long: " + std::string(40'000, 'z') +
                     "\r\nContent-Length: 2\r\n\r\nok";
    CHECK(HeaderOf(fixture.Send("/run", idempotent), "x-long").size() == 40'000);
  }
}

}  // namespace mulberry
