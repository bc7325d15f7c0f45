#include <doctest/doctest.h>

#include <string>

#include "forwarder_fixture.h"

namespace mulberry::gateway {
namespace {

using std::chrono::milliseconds;

/// Waits for the second arrival of a request at the server and returns its connection.
std::shared_ptr<ScriptedServer::Connection> SecondArrival(asio::io_context& io,
                                                          const ScriptedServer& server,
                                                          const std::string& request_line) {
  std::shared_ptr<ScriptedServer::Connection> last;
  REQUIRE(RunUntil(io, [&] {
    int arrivals = 0;
    for (const auto& connection : server.connections) {
      for (std::size_t at = connection->received.find(request_line); at != std::string::npos;
           at = connection->received.find(request_line, at + 1)) {
        ++arrivals;
        last = connection;
      }
    }
    return arrivals == 2;
  }));
  return last;
}

TEST_CASE_FIXTURE(ForwarderFixture,
                  "a repeated refusal does not answer a second attempt at the same address") {
  pool.Remove(ServerName("b"));
  AddServer("b", first.address());
  SendRequest("POST", "/write/1", "Content-Length: 0\r\n");
  const auto at = NextServerConnection();
  std::string refusal;
  SUBCASE("misdirected") { refusal = "HTTP/1.1 421 Other\r\nId: 7\r\nContent-Length: 0\r\n\r\n"; }
  SUBCASE("shed") {
    refusal = "HTTP/1.1 503 Busy\r\nId: 7\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
  }
  at->Write(refusal);
  const auto again = SecondArrival(io, first, "POST /write/1 ");
  at->Write(refusal);
  RunFor(io, milliseconds(20));
  again->Write(Answer(200, "done"));
  WaitForText("HTTP/1.1 ");
  CHECK(caller.received.starts_with("HTTP/1.1 200 "));
}

TEST_CASE_FIXTURE(ForwarderFixture,
                  "a status by which a server promises nothing reaches no caller as a promise") {
  pool.Remove(ServerName("b"));
  for (const char* path : {"/read/1", "/write/1"}) {
    for (const int status : {408, 421, 429, 503}) {
      CAPTURE(path);
      CAPTURE(status);
      // A server that has not failed before, so that it is not ejected.
      pool.Remove(ServerName("a"));
      AddServer("a", first.address());
      caller.received.clear();
      SendRequest("POST", path, "Content-Length: 0\r\n");
      NextServerConnection()->Write(Answer(status, "ran", "Connection: close\r\n"));
      WaitForText("HTTP/1.1 502 ");
      CHECK(caller.received.find("ran") == std::string::npos);
    }
  }
}

TEST_CASE_FIXTURE(ForwarderFixture,
                  "a request of a route that becomes non-idempotent gets no promise once it ran") {
  SendRequest("GET", "/read/1");
  const auto at = NextServerConnection();
  Config changed = FirstConfig();
  changed.version = ConfigVersion(2);
  for (Route& route : changed.routes) route.idempotent = false;
  REQUIRE(config.Update(std::move(changed)));
  SUBCASE("its server fails and the other one refuses") {
    at->Reset();
    NextServerConnection()->Write(
        "HTTP/1.1 503 Busy\r\nId: 7\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
  }
  SUBCASE("its server fails and no other one is left") {
    pool.Remove(ServerName("a"));
    pool.Remove(ServerName("b"));
    at->Reset();
  }
  SUBCASE("its server's own status is 503") { at->Write(Answer(503, "")); }
  SUBCASE("the host stops") { forwarder.FailAll(MonotonicClock::now()); }
  WaitForText("HTTP/1.1 ");
  RunFor(io, milliseconds(20));
  CHECK(caller.received.starts_with("HTTP/1.1 50"));
  CHECK_FALSE(caller.received.starts_with("HTTP/1.1 503"));
}

}  // namespace
}  // namespace mulberry::gateway
