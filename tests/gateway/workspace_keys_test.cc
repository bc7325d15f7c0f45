#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "key_fixture.h"
#include "libgateway/peer_channel.h"

namespace mulberry::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against keys that servers could keep or log, and callers that pose as another workspace.
TEST_CASE_FIXTURE(KeyFixture, "key and name headers never reach a server, in any spelling") {
  std::string path = "/write/1";
  std::string key = "aUTHORIZATION: bEARER k1\r\n";
  SUBCASE("with a key") {}
  SUBCASE("on an open route") { path = "/open/1"; }
  SUBCASE("on an open route with two keys") {
    path = "/open/1";
    key += "Authorization: Basic k1\r\n";
  }
  SendRequest("POST", path,
              key +
                  "Workspace: evil\r\nWORKSPACE: evil\r\nworkspace: evil\r\n"
                  "Connection: Workspace, authorization, keep-alive\r\nX-End: 2\r\n"
                  "Trailer: Workspace\r\nTransfer-Encoding: chunked\r\n");
  caller.Write("3\r\nabc\r\n0\r\nWorkspace: evil\r\nAuthorization: Bearer k1\r\n\r\n");
  const auto at = NextServerConnection();
  REQUIRE(RunUntil(io, [&] { return at->received.ends_with("abc"); }));
  const std::string received = LowerCase(at->received);
  CHECK(received.find("evil") == std::string::npos);
  CHECK(received.find("authorization") == std::string::npos);
  CHECK(received.find("k1") == std::string::npos);
  CHECK(received.find("x-end: 2") != std::string::npos);
  CHECK(Count(received, "\r\nworkspace: ") == (path == "/open/1" ? 0 : 1));
  CHECK(Count(received, "\r\nworkspace: acme\r\n") == (path == "/open/1" ? 0 : 1));
}

// Guards against a change for deployments that have no workspaces.
TEST_CASE_FIXTURE(ForwarderFixture, "without workspaces all headers are forwarded as before") {
  SendRequest("GET", "/read/1", "Authorization: Basic abc\r\nWorkspace: mine\r\n");
  const auto at = NextServerConnection();
  CHECK(at->received.find("Authorization: Basic abc\r\n") != std::string::npos);
  CHECK(at->received.find("Workspace: mine\r\n") != std::string::npos);
}

// Guards against credentials of one request that count for the next one on its connection.
TEST_CASE_FIXTURE(KeyFixture, "each request on a kept or pipelined connection is checked") {
  SUBCASE("pipelined") {
    SendRequest("GET", "/read/1", kKey);
    SendRequest("GET", "/read/2");
    SendRequest("GET", "/read/3", "Authorization: Bearer k3\r\n");
    NextServerConnection()->Write(Answer(200, "one"));
  }
  SUBCASE("kept") {
    SendRequest("GET", "/read/1", kKey);
    NextServerConnection()->Write(Answer(200, "one"));
    WaitForText("one");
    SendRequest("GET", "/read/2");
    WaitForText("HTTP/1.1 401 ");
    SendRequest("GET", "/read/3", "Authorization: Bearer k3\r\n");
  }
  WaitForText("HTTP/1.1 401 Unauthorized");
  const auto third = [&]() -> std::shared_ptr<ScriptedServer::Connection> {
    for (ScriptedServer* scripted : {&first, &second}) {
      for (const auto& connection : scripted->connections) {
        if (connection->received.find("/read/3") != std::string::npos) return connection;
      }
    }
    return nullptr;
  };
  REQUIRE(RunUntil(io, [&] { return third() != nullptr; }));
  CHECK(third()->received.find("Workspace: other") != std::string::npos);
  third()->Write(Answer(200, "three"));
  WaitForText("three");
  CHECK(Count(caller.received, "HTTP/1.1 401") == 1);
  for (ScriptedServer* scripted : {&first, &second}) {
    for (const auto& connection : scripted->connections) {
      CHECK(connection->received.find("/read/2") == std::string::npos);
    }
  }
}

// Guards against a final answer to a caller whose key is good, and against service without a key.
TEST_CASE_FIXTURE(KeyFixture, "credentials without a workspace get 401 with a recent proof only") {
  std::string header;
  SUBCASE("missing") {}
  SUBCASE("empty") { header = "Authorization: Bearer \r\n"; }
  SUBCASE("unknown") { header = "Authorization: Bearer nobody\r\n"; }
  SUBCASE("another case") { header = "Authorization: Bearer K1\r\n"; }
  SUBCASE("twice") { header = std::string(kKey) + kKey; }
  SUBCASE("too long") { header = "Authorization: Bearer " + std::string(5000, 'k') + "\r\n"; }
  SUBCASE("another scheme") { header = "Authorization: Basic k1\r\n"; }
  SendRequest("GET", "/read/1", header);
  WaitForText("HTTP/1.1 401 ");
  CHECK(caller.received.find("WWW-Authenticate: Bearer") != std::string::npos);
  caller.received.clear();
  LoseProof();
  Prove(milliseconds(1100));
  SendRequest("GET", "/read/1", header);
  WaitForText("HTTP/1.1 503 ");
  CHECK(caller.received.find("Retry-After: ") != std::string::npos);
  CHECK(RequestsAtServers() == 0);
}

// Guards against a 401 for a key that was added a moment ago.
TEST_CASE_FIXTURE(KeyFixture,
                  "a request with an unknown key is served if its key arrives meanwhile") {
  SendRequest("GET", "/read/1", "Authorization: Bearer new\r\n");
  REQUIRE(RunUntil(io, [&] { return forwarder.calls() == 1; }));
  UseConfig(3, {{"acme", {"new"}}});
  NextServerConnection()->Write(Answer(200, "served"));
  WaitForText("served");
}

// Guards against requests with revoked keys at a host that cannot know of the revocation.
TEST_CASE_FIXTURE(KeyFixture,
                  "without a proof, keyed requests are refused and open routes served") {
  LoseProof();
  SUBCASE("none") {}
  SUBCASE("one that has lapsed") { Prove(milliseconds(4500)); }
  const TimePoint before = MonotonicClock::now();
  SendRequest("GET", "/read/1", kKey);
  WaitForText("HTTP/1.1 503 ");
  CHECK(MonotonicClock::now() - before < milliseconds(200));
  CHECK(caller.received.find("Retry-After: ") != std::string::npos);
  CHECK(RequestsAtServers() == 0);
  SendRequest("GET", "/open/1", kKey);
  NextServerConnection()->Write(Answer(200, "open"));
  WaitForText("open");
}

// Guards against refusals that an answer of another host would have spared.
TEST_CASE_FIXTURE(KeyFixture, "a request is held while a proof is on its way, and only then") {
  LoseProof();
  int asked = 0;
  bool expects_answer = true;
  forwarder.key_gate().SetAskCallback([&](TimePoint) {
    ++asked;
    return expects_answer;
  });
  SUBCASE("it arrives") {
    SendRequest("GET", "/read/1", kKey);
    REQUIRE(RunUntil(io, [&] { return asked > 0; }));
    RunFor(io, milliseconds(5));
    CHECK(RequestsAtServers() == 0);
    Prove();
    NextServerConnection()->Write(Answer(200, "served"));
    WaitForText("served");
  }
  SUBCASE("it does not arrive") {
    SendRequest("GET", "/read/1", kKey);
    WaitForText("HTTP/1.1 503 ");
    CHECK(forwarder.calls() == 0);
    Prove();
    RunFor(io, milliseconds(20));
    CHECK(RequestsAtServers() == 0);
  }
  SUBCASE("the caller leaves") {
    SendRequest("GET", "/read/1", kKey);
    REQUIRE(RunUntil(io, [&] { return asked > 0; }));
    caller.Close();
    REQUIRE(RunUntil(io, [&] { return forwarder.calls() == 0; }));
    Prove();
    RunFor(io, milliseconds(20));
    CHECK(RequestsAtServers() == 0);
  }
  SUBCASE("the last question was not answered") {
    expects_answer = false;
    SendRequest("GET", "/read/1", kKey);
    WaitForText("HTTP/1.1 503 ");
    CHECK(asked == 1);
  }
}

// Guards against a check at arrival only: a request may wait longer than the rest of the bound.
TEST_CASE_FIXTURE(QueueFixture, "a key or proof that is lost while a request waits in the queue") {
  const std::size_t sent = RequestsSent();
  REQUIRE(sent > 0);
  REQUIRE(forwarder.calls() == sent + 1);
  bool is_served = false;
  SUBCASE("the key is taken away") { UseConfig(3, {{"acme", {"k2"}}}); }
  SUBCASE("the workspace is taken away") { UseConfig(3, {{"other", {"k3"}}}); }
  SUBCASE("the proof lapses") { LoseProof(); }
  SUBCASE("neither") { is_served = true; }
  FreeServer();
  if (is_served) {
    CHECK(RequestsSent() == sent + 1);
    return;
  }
  CHECK(RequestsSent() == sent);
  CHECK(waiting->received.starts_with("HTTP/1.1 503 "));
  CHECK(waiting->received.find("Retry-After: ") != std::string::npos);
}

// Guards against a queue in which the route alone decides.
TEST_CASE_FIXTURE(QueueFixture, "the priority of the workspace precedes that of the route") {
  Config next = FirstConfig();
  next.version = ConfigVersion(3);
  for (const auto& [name, key, priority] :
       {std::tuple("acme", "k1", 4), std::tuple("urgent", "k9", 0)}) {
    next.workspaces.push_back(MakeWorkspace(name, {key}));
    next.workspaces.back().priority = priority;
  }
  for (Route& route : next.routes) route.priority = 2;
  REQUIRE(config.Update(std::move(next)));
  waiting->Close();
  RunFor(io, milliseconds(10));
  // Neither has the route's own priority, and the later one comes first.
  for (const char* key : {"k1", "k9"}) {
    callers.push_back(std::make_unique<TestCaller>(io));
    callers.back()->Connect(port);
    callers.back()->Write(std::string("POST /write/last-") + key +
                          " HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer " + key +
                          "\r\nContent-Length: 0\r\n\r\n");
    RunFor(io, milliseconds(5));
  }
  const auto was_sent = [&](const std::string& path) {
    return std::any_of(first.connections.begin(), first.connections.end(),
                       [&](const auto& connection) {
                         return connection->received.find(path) != std::string::npos;
                       });
  };
  FreeServer();
  CHECK_FALSE(was_sent("/write/last-k1"));
  CHECK(was_sent("/write/last-k9"));
}

// Guards against a further send under a key that was taken away after the first one.
TEST_CASE_FIXTURE(KeyFixture, "there is no retry and no hedge under a key that was taken away") {
  std::string status = "HTTP/1.1 503 ";
  SUBCASE("not run, then revoked") {
    SendRequest("POST", "/write/1", std::string(kKey) + "Content-Length: 0\r\n");
    const auto at = NextServerConnection();
    UseConfig(3, {{"other", {"k3"}}});
    at->Write("HTTP/1.1 503 Busy\r\nId: 7\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
  }
  SUBCASE("not run, then without a proof") {
    SendRequest("POST", "/write/1", std::string(kKey) + "Content-Length: 0\r\n");
    const auto at = NextServerConnection();
    LoseProof();
    at->Write("HTTP/1.1 503 Busy\r\nId: 7\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
  }
  SUBCASE("may have run, then revoked") {
    status = "HTTP/1.1 502 ";
    SendRequest("GET", "/read/1", kKey);
    const auto at = NextServerConnection();
    UseConfig(3, {{"other", {"k3"}}});
    at->Close();
  }
  SUBCASE("slow, then revoked") {
    status = "HTTP/1.1 200 ";
    SendRequest("GET", "/read/1", kKey);
    const auto at = NextServerConnection();
    UseConfig(3, {{"other", {"k3"}}});
    RunFor(io, milliseconds(200));
    at->Write(Answer(200, "slow"));
  }
  WaitForText(status);
  CHECK(RequestsAtServers() == 1);
}

// Guards against the key of a call in work when a configuration ends the use of keys.
TEST_CASE_FIXTURE(KeyFixture, "a key is dropped even if the next configuration has no workspaces") {
  SendRequest("POST", "/write/1", std::string(kKey) + "Content-Length: 0\r\n");
  const auto at = NextServerConnection();
  UseConfig(3, {});
  at->Write("HTTP/1.1 503 Busy\r\nId: 7\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
  const auto again = NextServerConnection();
  CHECK(again->received.find("k1") == std::string::npos);
}

// Guards against a configuration whose keys different hosts could read differently.
TEST_CASE_FIXTURE(KeyFixture, "a configuration in which two workspaces have one key is refused") {
  Config next = FirstConfig();
  next.version = ConfigVersion(3);
  next.workspaces.push_back(MakeWorkspace("a", {"same"}));
  next.workspaces.push_back(MakeWorkspace("b", {"same"}));
  CHECK_FALSE(config.Update(std::move(next)));
  CHECK(config.version() == ConfigVersion(2));
  CHECK(config.keys().Find("k1") != nullptr);
}

// Guards against a proof that is lost or changed on its way, and against fields in datagrams of
// deployments without workspaces.
TEST_CASE("questions and answers survive encoding, and are absent otherwise") {
  PeerMessage message;
  message.heartbeat.record = {HostName("a"), DataCentreName("here"), "127.0.0.1:1"};
  message.heartbeat.caller_address = "127.0.0.1:2";
  const std::string plain = EncodePeerMessage(message);
  message.proof_query = 0;
  message.proof_answer = ProofAnswerMessage{1ULL << 60U, StartId(5), milliseconds(1500)};
  const auto decoded = DecodePeerMessage(EncodePeerMessage(message));
  REQUIRE(decoded);
  CHECK(decoded.value().proof_query == 0);
  REQUIRE(decoded.value().proof_answer);
  CHECK(decoded.value().proof_answer->stamp == 1ULL << 60U);
  CHECK(decoded.value().proof_answer->start == StartId(5));
  CHECK(decoded.value().proof_answer->age == milliseconds(1500));
  const auto without = DecodePeerMessage(plain);
  REQUIRE(without);
  CHECK_FALSE(without.value().proof_query);
  CHECK_FALSE(without.value().proof_answer);
}

// Guards against hosts that ask a host that has no path to the store first.
TEST_CASE("proofs are asked for at the hosts that reach the store, by rank") {
  FleetOptions options;
  options.self = {HostName("a"), DataCentreName("here"), "127.0.0.1:1", 500};
  FleetView fleet(options);
  const TimePoint now = MonotonicClock::now();
  for (const auto& [name, capacity, reaches] :
       {std::tuple("b", 900.0, false), std::tuple("c", 700.0, true),
        std::tuple("d", 300.0, true)}) {
    HostHeartbeat heartbeat;
    heartbeat.record = {HostName(name), DataCentreName("here"), std::string(name) + ":1", capacity};
    heartbeat.store_reachable = reaches;
    fleet.OnHeartbeat(heartbeat, now);
  }
  fleet.SetOwnState(true, false, true);
  CHECK_FALSE(fleet.FindProofSources(now).self_is_first);
  CHECK(fleet.FindProofSources(now).peers == std::vector<std::string>{"c:1", "d:1", "b:1"});
  // All others have fallen silent.
  CHECK(fleet.FindProofSources(now + seconds(10)).self_is_first);
  CHECK(fleet.FindProofSources(now + seconds(10)).peers.empty());
}

}  // namespace
}  // namespace mulberry::gateway
