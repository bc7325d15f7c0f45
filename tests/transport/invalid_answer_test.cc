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

}  // namespace

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

}  // namespace mulberry
