#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

#include "forwarder_fixture.h"
#include "libgateway/cap_gate.h"

namespace mulberry::gateway {
namespace {

using std::chrono::milliseconds;
using workspace::CapDecision;

/// Gives out a number of tokens; without one, it has calls wait or be refused.
class FakeGate : public CapGate {
 public:
  void OnArrival(const WorkspaceName&) override { ++arrivals; }
  CapDecision Decide(const WorkspaceName& workspace) override {
    CHECK(workspace == WorkspaceName("w"));
    if (tokens > 0) return {};
    return {without_token, milliseconds(730)};
  }
  bool Take(const WorkspaceName&) override { return tokens > 0 && tokens-- > 0; }
  void Wait(const WorkspaceName&, CallId call) override { waiting.push_back(call); }
  void OnRefused(const WorkspaceName&, Duration) override { ++refused; }

  int tokens = 0;
  CapDecision::Step without_token = CapDecision::Step::kRefuse;
  std::vector<CallId> waiting;
  int arrivals = 0;
  int refused = 0;
};

struct CapsFixture : ForwarderFixture {
  CapsFixture() {
    Config with_workspace = FirstConfig();
    with_workspace.version = ConfigVersion(2);
    with_workspace.workspaces = {{WorkspaceName("w"), {"key-1"}, {}, 10, 10}};
    REQUIRE(config.Update(std::move(with_workspace)));
    forwarder.SetCaps(&gate);
  }
  void SendKeyed(const std::string& method, const std::string& path) {
    SendRequest(method, path, "Authorization: Bearer key-1\r\n");
  }
  FakeGate gate;
};

/// Guards against requests over the cap that reach a server or are held.
TEST_CASE_FIXTURE(CapsFixture, "a request without a token gets 429 with Retry-After at once") {
  SendKeyed("GET", "/read/x");
  WaitForText("HTTP/1.1 429 Too Many Requests");
  WaitForText("Retry-After: 0.730");
  CHECK(RequestsAtServers() == 0);
  CHECK(gate.arrivals == 1);
  CHECK(gate.refused == 1);
}

/// Guards against a request that is refused although a lender grants it a token.
TEST_CASE_FIXTURE(CapsFixture, "a request waits for a token, which each attempt takes one of") {
  gate.without_token = CapDecision::Step::kWait;
  SendKeyed("GET", "/read/x");
  REQUIRE(RunUntil(io, [&] { return gate.waiting.size() == 1; }));
  RunFor(io, milliseconds(20));
  CHECK(RequestsAtServers() == 0);
  SUBCASE("it comes") {
    gate.tokens = 2;
    forwarder.OnCapWait(gate.waiting.front(), false);
    const auto connection = NextServerConnection();
    CHECK(gate.tokens == 1);
    connection->Write(Answer(200, "done"));
    WaitForText("HTTP/1.1 200");
    CHECK(gate.tokens == 1);
  }
  SUBCASE("it doesn't come in time") {
    forwarder.OnCapWait(gate.waiting.front(), true);
    WaitForText("HTTP/1.1 429");
    WaitForText("Retry-After: 0.050");
    CHECK(RequestsAtServers() == 0);
  }
  SUBCASE("the caller leaves") {
    caller.Close();
    CHECK(RunUntil(io, [&] { return forwarder.calls() == 0; }));
    gate.tokens = 1;
    forwarder.OnCapWait(gate.waiting.front(), false);
    RunFor(io, milliseconds(20));
    CHECK(RequestsAtServers() == 0);
    CHECK(gate.tokens == 1);
  }
}

/// Guards against a 429, a promise that the request has not run, after an attempt that may have
/// run.
TEST_CASE_FIXTURE(CapsFixture, "a retry without a token ends with a status that is true") {
  gate.tokens = 1;
  SendKeyed("GET", "/read/x");
  const auto connection = NextServerConnection();
  SUBCASE("the attempt may have run") {
    connection->Close();
    WaitForText("HTTP/1.1 502");
  }
  SUBCASE("the server's own failure is relayed") {
    connection->Write(Answer(500, "failed"));
    WaitForText("HTTP/1.1 500");
  }
  SUBCASE("the attempt has certainly not run") {
    // A refusal has no signature.
    connection->Write("HTTP/1.1 503 -\r\nId: 7\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
    WaitForText("HTTP/1.1 429");
  }
  CHECK(RequestsAtServers() == 1);
}

/// Guards against hedges beyond the cap.
TEST_CASE_FIXTURE(CapsFixture,
                  "a hedge without a token is not sent, and the first attempt goes on") {
  gate.tokens = 1;
  SUBCASE("refused") {}
  SUBCASE("others wait") { gate.without_token = CapDecision::Step::kWait; }
  SendKeyed("GET", "/read/x");
  const auto connection = NextServerConnection();
  RunFor(io, milliseconds(200));
  CHECK(RequestsAtServers() == 1);
  CHECK(gate.waiting.empty());
  CHECK(gate.refused == 0);
  connection->Write(Answer(200, "done"));
  WaitForText("HTTP/1.1 200");
}

/// Guards against two ways to a send at once: the hedge timer of an earlier attempt, and the token.
TEST_CASE_FIXTURE(CapsFixture, "a retry that waits for a token is sent once when the token comes") {
  gate.tokens = 1;
  gate.without_token = CapDecision::Step::kWait;
  SendKeyed("GET", "/read/x");
  NextServerConnection()->Close();
  REQUIRE(RunUntil(io, [&] { return gate.waiting.size() == 1; }));
  gate.tokens = 5;
  RunFor(io, milliseconds(150));
  CHECK(RequestsAtServers() == 1);
  forwarder.OnCapWait(gate.waiting.front(), false);
  const auto connection = NextServerConnection();
  // A second message about the token, as after a change of the limits, changes nothing.
  forwarder.OnCapWait(gate.waiting.front(), true);
  RunFor(io, milliseconds(20));
  CHECK(RequestsAtServers() == 2);
  CHECK(gate.tokens == 4);
  connection->Write(Answer(200, "done"));
  WaitForText("HTTP/1.1 200");
}

}  // namespace
}  // namespace mulberry::gateway
