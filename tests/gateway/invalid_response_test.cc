// Responses whose status line or head the standard rules out, at all readers of the gateway.
#include <doctest/doctest.h>

#include <list>
#include <optional>
#include <utility>

#include "forwarder_fixture.h"
#include "libgateway/health_checker.h"
#include "libgateway/store_client.h"
#include "transport/invalid_responses.h"

namespace mulberry::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr ReadLimits kLimits{.max_head_bytes = 4096, .max_body_bytes = 1 << 20};
/// Header lines of a sound response to the fixture's requests.
constexpr char kOwnLines[] = "Id: 7\r\nSignature: s1\r\n";
/// Header lines of a refusal, which proves that a server has not run the request.
constexpr char kRefusalLines[] = "Id: 7\r\nNot-Run: 1\r\n";

/// Reads a response in pieces of this size until it is complete, invalid or ends.
ReadError ReadInPieces(const std::string& bytes, std::size_t piece) {
  HttpReader reader(HttpReader::Kind::kResponse, kLimits);
  for (std::size_t at = 0; at < bytes.size() && reader.error() == ReadError::kNone;) {
    at += reader.Read(std::string_view(bytes).substr(at, std::min(piece, bytes.size() - at)));
    if (!reader.complete()) continue;
    if (!IsInterimStatus(reader.message().status)) return ReadError::kNone;
    reader.Reset();
  }
  reader.ReadEnd();
  return reader.error();
}

void CheckRejected(const std::vector<RawResponse>& responses) {
  for (const RawResponse& response : responses) {
    CAPTURE(response.name);
    for (const std::size_t piece : {response.bytes.size(), std::size_t{1}, std::size_t{7}}) {
      CHECK(ReadInPieces(response.bytes, piece) != ReadError::kNone);
    }
  }
}

TEST_CASE("a response whose status line is invalid is rejected, in whatever pieces it arrives") {
  CheckRejected(ResponsesWithInvalidStatusLine(kOwnLines));
}

TEST_CASE("a response with an invalid line in a head or trailer is rejected in whatever pieces") {
  CheckRejected(ResponsesWithInvalidField(kOwnLines));
}

TEST_CASE("a response whose length is invalid is rejected, in whatever pieces it arrives") {
  CheckRejected(ResponsesWithInvalidLength(kOwnLines));
}

TEST_CASE("unusual responses that the standard allows are read") {
  for (const RawResponse& response : UnusualResponses(kOwnLines)) {
    CAPTURE(response.name);
    for (const std::size_t piece : {response.bytes.size(), std::size_t{1}, std::size_t{7}}) {
      CHECK(ReadInPieces(response.bytes, piece) == ReadError::kNone);
    }
  }
}

/// Sends a request of a caller to a server that answers with these bytes and closes, and to a sound
/// second server if it is sent again.
struct InvalidAnswer : ForwarderFixture {
  void Answer(const std::string& path, const std::string& bytes) {
    SendRequest(path.starts_with("/write") ? "POST" : "GET", path, "Content-Length: 0\r\n");
    const auto at = NextServerConnection();
    at->Write(bytes);
    RunFor(io, milliseconds(2));
    at->Close();
  }
};

TEST_CASE("an invalid response to a non-idempotent request ends it: no proof and no second send") {
  for (const char* lines : {kOwnLines, kRefusalLines}) {
    for (const RawResponse& response : InvalidResponses(lines)) {
      CAPTURE(response.name);
      CAPTURE(lines);
      InvalidAnswer fixture;
      fixture.Answer("/write/1", response.bytes);
      fixture.WaitForText("\r\n\r\n");
      CHECK(fixture.caller.received.starts_with("HTTP/1.1 502 "));
      CHECK(fixture.caller.received.find("sound") == std::string::npos);
      CHECK(fixture.caller.received.find("X-A") == std::string::npos);
      CHECK(fixture.RequestsAtServers() == 1);
    }
  }
}

TEST_CASE("an idempotent request with an invalid response is served by another server") {
  for (const RawResponse& response : InvalidResponses(kOwnLines)) {
    CAPTURE(response.name);
    InvalidAnswer fixture;
    fixture.Answer("/read/1", response.bytes);
    const auto again = fixture.NextServerConnection();
    again->Write(ForwarderFixture::Answer(200, "second"));
    fixture.WaitForText("second");
    CHECK(fixture.caller.received.starts_with("HTTP/1.1 200 Text\r\n"));
    CHECK(fixture.caller.received.find("X-A") == std::string::npos);
  }
}

TEST_CASE_FIXTURE(ForwarderFixture, "a refusal with an invalid status line is not believed") {
  SendRequest("POST", "/write/1", "Content-Length: 0\r\n");
  NextServerConnection()->Write(
      "HTTP/1.1 0503 Busy\r\nId: 7\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
  WaitForText("HTTP/1.1 502 ");
  RunFor(io, milliseconds(50));
  CHECK(RequestsAtServers() == 1);
}

// Requests that are not idempotent, because a second server is never asked for them.
TEST_CASE_FIXTURE(ForwarderFixture, "a server that goes on with invalid responses is set aside") {
  const std::string invalid =
      "HTTP/1.1 000 Text\r\n" + std::string(kOwnLines) + "Content-Length: 0\r\n\r\n";
  constexpr int kCalls = 40;
  // A server is avoided for this time, and then tried again.
  constexpr Duration kAvoidTime = milliseconds(500);
  const TimePoint start = MonotonicClock::now();
  int invalid_responses = 0;
  int failed = 0;
  int served = 0;
  std::list<TestCaller> callers;
  for (int call = 0; call < kCalls; ++call) {
    TestCaller& next = callers.emplace_back(io);
    next.Connect(port);
    next.Write("POST /write/1 HTTP/1.1\r\nHost: h.example\r\nId: 7\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(RunUntil(io, [&] {
      for (ScriptedServer* scripted : {&first, &second}) {
        for (const auto& connection : scripted->connections) {
          if (connection->received.find("\r\n\r\n") == std::string::npos) continue;
          connection->received.clear();
          const bool faulty = scripted == &first;
          if (faulty) ++invalid_responses;
          connection->Write(faulty ? invalid : Answer(200, "sound"));
        }
      }
      return next.received.find("\r\n\r\n") != std::string::npos;
    }));
    if (next.received.starts_with("HTTP/1.1 502 ")) ++failed;
    if (next.received.starts_with("HTTP/1.1 200 Text\r\n")) ++served;
  }
  CHECK(failed > 0);
  CHECK(failed == invalid_responses);
  CHECK(served == kCalls - failed);
  const auto trials = static_cast<int>((MonotonicClock::now() - start) / kAvoidTime);
  CHECK(failed <= static_cast<int>(HealthLimits().consecutive_connection_failures) + trials);
}

/// Counts the health responses that were believed.
class CountingAdapter : public FakeAdapter {
 public:
  HealthReport ParseHealth(int, const HeaderList&) const override {
    ++parsed;
    HealthReport report;
    report.id = ServerName("a");
    return report;
  }
  mutable int parsed = 0;
};

/// One health check of server "a".
struct HealthCheckFixture {
  HealthCheckFixture() : server(io), pool({.data_centre = DataCentreName("here")}) {
    pool.SetServices({{search_service, {.name = search_service, .health_path = "/health"}}});
    ServerEntry entry;
    entry.id = ServerName("a");
    entry.service = search_service;
    entry.address = server.address();
    entry.data_centre = DataCentreName("here");
    entry.slots = 4;
    pool.Put(entry, MonotonicClock::now());
    // Only the servers of services that are in use are checked.
    pool.Select({search_service, {}, true, false}, MonotonicClock::now());
  }

  void Answer(const std::string& bytes) {
    checker.Tick({.index = 0, .count = 1}, MonotonicClock::now());
    REQUIRE(RunUntil(io, [&] {
      return !server.connections.empty() && !server.connections.back()->received.empty();
    }));
    server.connections.back()->Write(bytes);
    RunFor(io, milliseconds(2));
    server.connections.back()->Close();
    RunFor(io, milliseconds(2));
  }

  asio::io_context io;
  ScriptedServer server;
  CountingAdapter adapter;
  ServerPool pool;
  GatewayMetrics metrics;
  HealthChecker checker{io, adapter, pool, metrics};
};

TEST_CASE("nothing in an invalid response to a health check is believed") {
  HealthCheckFixture sound;
  sound.Answer(SoundResponse("", ""));
  CHECK(sound.adapter.parsed == 1);
  for (const RawResponse& response : InvalidResponses("Load: 1,0,4\r\n")) {
    CAPTURE(response.name);
    HealthCheckFixture invalid;
    invalid.Answer(response.bytes);
    CHECK(invalid.adapter.parsed == 0);
    CHECK(invalid.checker.TakeReported().empty());
  }
}

TEST_CASE("an invalid response of the store is an error") {
  for (const RawResponse& response : InvalidResponses("Store-Era: 9\r\n")) {
    CAPTURE(response.name);
    asio::io_context io;
    ScriptedServer server(io);
    StoreClient client(io, server.address());
    StoreCall call;
    call.method = "GET";
    call.target = "/log-read";
    std::optional<Result<HttpMessage>> result;
    client.Call(call, seconds(2),
                [&](Result<HttpMessage> received) { result.emplace(std::move(received)); });
    REQUIRE(RunUntil(io, [&] {
      return !server.connections.empty() && !server.connections.back()->received.empty();
    }));
    server.connections.back()->Write(response.bytes);
    RunFor(io, milliseconds(2));
    server.connections.back()->Close();
    REQUIRE(RunUntil(io, [&] { return result.has_value(); }));
    CHECK_FALSE(result->has_value());
  }
}

}  // namespace
}  // namespace mulberry::gateway
