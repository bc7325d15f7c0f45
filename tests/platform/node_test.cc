#include <doctest/doctest.h>
#include <spdlog/spdlog.h>

#include <asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "node_fixture.h"

namespace mulberry::platform {
namespace {

using gateway::GatewayNode;
using gateway::GatewaySettings;
using gateway::RunFor;
using gateway::RunUntil;
using gateway::TestCaller;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE_FIXTURE(NodeFixture, "a node is ready and serves requests once it has read the store") {
  AddNode();
  CHECK_FALSE(IsReady(0));
  CHECK(RunUntil(io, [&] { return IsReady(0); }));
  CHECK(Advertises(0, 0));
  const std::string response = Get(settings[0].callers, "/read/x");
  CHECK(response.starts_with("HTTP/1.1 200"));
  CHECK(response.find("X-Response-Signature: i-1.") != std::string::npos);
  CHECK(Get(settings[0].callers, "/else/x").starts_with("HTTP/1.1 404"));
}

TEST_CASE_FIXTURE(
    NodeFixture,
    "a node that can't read the store rejects requests until soon after the store recovers") {
  store.SetMode(StoreMode::kUnavailable);
  AddNode();
  RunFor(io, milliseconds(1500));
  CHECK_FALSE(IsReady(0));
  CHECK(Get(settings[0].callers, "/read/x").starts_with("HTTP/1.1 503"));
  store.SetMode(StoreMode::kServing);
  const TimePoint recovered_at = MonotonicClock::now();
  CHECK(RunUntil(io, [&] { return IsReady(0); }));
  CHECK(MonotonicClock::now() - recovered_at < seconds(2));
}

TEST_CASE_FIXTURE(NodeFixture,
                  "odd entries of another writer don't keep requests from sound servers") {
  AddNode();
  AddNode();
  REQUIRE(RunUntil(io, [&] { return IsReady(0) && IsReady(1); }));
  REQUIRE(Get(settings[0].callers, "/read/x").starts_with("HTTP/1.1 200"));
  FakeBackendServer third_server(io, "i-3", "s");
  for (const std::string address : {"127.0.0.1:99999", "127.0.0.1:0", "127.0.0.1", "host:80"}) {
    store.Put("keyed.servers", "odd-" + address, EntryText("s", address));
    store.Put("keyed.servers", "i-1", EntryText("s", address));
  }
  std::string restarted = EntryText("elsewhere", "127.0.0.1:1");
  restarted.replace(restarted.find("1700000000123"), 13, "1700000009999");
  store.Put("keyed.servers", "i-1", restarted);
  store.Put("keyed.servers", "nested", std::string(100'000, '['));
  store.Put("keyed.servers", "long", EntryText("s", std::string(12'000, '1')));
  store.Put("keyed.servers", "i-3", EntryText("s", Open(third_server)));
  CHECK(RunUntil(
      io, [&] { return Get(settings[0].callers, "/read/x").find("i-3.") != std::string::npos; }));
  for (int i = 0; i < 20; ++i) {
    for (const auto& node : settings) {
      CHECK(Get(node.callers, "/read/x").starts_with("HTTP/1.1 200"));
    }
  }
  AddNode();
  REQUIRE(RunUntil(io, [&] { return IsReady(2); }));
  for (int i = 0; i < 20; ++i) {
    CHECK(Get(settings[2].callers, "/read/x").starts_with("HTTP/1.1 200"));
  }
}

TEST_CASE_FIXTURE(NodeFixture,
                  "a server that says in a response that it is leaving gets no more requests") {
  FakeBackendServer leaving(io, "i-3", "s");
  const std::string address = Open(leaving);
  store.Put("keyed.servers", "i-1", std::nullopt);
  store.Put("keyed.servers", "i-3", EntryText("s", address));
  AddNode();
  REQUIRE(RunUntil(io, [&] { return IsReady(0); }));
  SUBCASE("in an answer") {}
  SUBCASE("in a failure") { leaving.SetMode(BackendMode::kFailing); }
  SUBCASE("in a refusal") { leaving.SetMode(BackendMode::kRefusing); }
  leaving.SetExtraHeaders("Server-Leaving: 1\r\n");
  Get(settings[0].callers, "/read/x");
  const TimePoint passed_on = MonotonicClock::now();
  leaving.SetMode(BackendMode::kServing);
  for (int i = 0; i < 10; ++i) {
    // Its entry still says that it is ready.
    if (i == 3) store.Put("keyed.servers", "i-3", EntryText("s", address));
    CHECK(Get(settings[0].callers, "/read/x").starts_with("HTTP/1.1 503"));
    RunFor(io, milliseconds(50));
  }
  CHECK(leaving.last_arrival() < passed_on);
}

TEST_CASE_FIXTURE(NodeFixture,
                  "a server that refuses with Retry-After gets no request before that time") {
  FakeBackendServer pausing(io, "i-3", "s");
  store.Put("keyed.servers", "i-3", EntryText("s", Open(pausing)));
  bool has_other = true;
  SUBCASE("others take the requests") {}
  SUBCASE("requests with nowhere to go are refused at once") {
    has_other = false;
    store.Put("keyed.servers", "i-1", std::nullopt);
  }
  AddNode();
  REQUIRE(RunUntil(io, [&] { return IsReady(0); }));
  pausing.SetMode(BackendMode::kRefusing);
  pausing.SetExtraHeaders("Retry-After: 1.5\r\n");
  REQUIRE(RunUntil(io, [&] {
    Get(settings[0].callers, "/read/x");
    return pausing.last_arrival() != TimePoint();
  }));
  pausing.SetMode(BackendMode::kServing);
  const TimePoint refused = MonotonicClock::now();
  while (MonotonicClock::now() - refused < milliseconds(1350)) {
    const TimePoint asked = MonotonicClock::now();
    const std::string response = Get(settings[0].callers, "/read/x");
    if (has_other) {
      CHECK(response.starts_with("HTTP/1.1 200"));
    } else {
      CHECK(response.starts_with("HTTP/1.1 503"));
      CHECK(MonotonicClock::now() - asked < milliseconds(100));
      const std::size_t header = response.find("Retry-After: ");
      REQUIRE(header != std::string::npos);
      const double seconds_left = std::stod(response.substr(header + 13));
      const Duration left = refused + milliseconds(1500) - MonotonicClock::now();
      CHECK(seconds_left > std::chrono::duration<double>(left).count() - 0.2);
      CHECK(seconds_left < std::chrono::duration<double>(left).count() + 0.2);
    }
    RunFor(io, milliseconds(20));
  }
  CHECK(pausing.last_arrival() <= refused);
  CHECK(RunUntil(io, [&] {
    Get(settings[0].callers, "/read/x");
    return pausing.last_arrival() > refused;
  }));
}

TEST_CASE_FIXTURE(NodeFixture, "a node recovers after the store has dropped responses") {
  AddNode();
  REQUIRE(RunUntil(io, [&] { return IsReady(0); }));
  store.SetMode(StoreMode::kDropsResponses);
  RunFor(io, milliseconds(1500));
  store.SetMode(StoreMode::kServing);
  store.Put("keyed.op", "config", ConfigText(2, "t"));
  const TimePoint changed = MonotonicClock::now();
  CHECK(RunUntil(
      io, [&] { return Get(settings[0].callers, "/read/x").find("i-2.") != std::string::npos; }));
  CHECK(MonotonicClock::now() - changed < seconds(3));
}

TEST_CASE_FIXTURE(NodeFixture, "a configuration change reaches nodes that do not read the store") {
  for (int i = 0; i < 4; ++i) AddNode();
  REQUIRE(RunUntil(io, [&] { return IsReady(0) && IsReady(3); }));
  RunFor(io, seconds(1));
  const std::uint64_t before = store.calls();
  store.Put("keyed.op", "config", ConfigText(2, "t"));
  RunFor(io, milliseconds(300));
  for (const GatewaySettings& node : settings) {
    CHECK(Get(node.callers, "/read/x").find("i-2.") != std::string::npos);
  }
  // Two readers, each with its waiting read, the next one, and reads of the server topic.
  CHECK(store.calls() - before <= 8);
}

TEST_CASE_FIXTURE(NodeFixture,
                  "nodes that receive updates from others make few calls to the store") {
  for (int i = 0; i < 8; ++i) AddNode();
  REQUIRE(RunUntil(io, [&] { return IsReady(0) && IsReady(7); }));
  // Per start: the write of the own record, the host list, and the newest records of two topics.
  CHECK(store.calls() <= 8 * 4);
  RunFor(io, seconds(1));
  // Until the hosts know each other, none reads on. Then two do: a first read of each topic, and in
  // the rest of the second up to four more of the server topic.
  CHECK(store.calls() <= 8 * 4 + 2 * (2 + 4));
  const std::uint64_t before = store.calls();
  RunFor(io, seconds(2));
  // Two readers, each with about 3.6 reads of the server topic and 0.5 of the operator topic per
  // second.
  CHECK(store.calls() - before <= 20);
}

TEST_CASE_FIXTURE(NodeFixture, "few nodes retry a store that rejects all calls") {
  for (int i = 0; i < 8; ++i) AddNode();
  REQUIRE(RunUntil(io, [&] { return IsReady(0) && IsReady(7); }));
  RunFor(io, seconds(1));
  store.SetMode(StoreMode::kUnavailable);
  const std::uint64_t before = store.calls();
  RunFor(io, seconds(4));
  // Each host detects it once per topic; then two hosts retry after 0.75 to 1.5 s, and the others
  // after 2 to 4 s.
  CHECK(store.calls() - before <= 8 * 2 + 2 * 2 * 5 + 6 * 2 * 2);
  store.SetMode(StoreMode::kServing);
  store.Put("keyed.op", "config", ConfigText(2, "t"));
  RunFor(io, milliseconds(1800));
  for (const GatewaySettings& node : settings) {
    CHECK(Get(node.callers, "/read/x").find("i-2.") != std::string::npos);
  }
}

TEST_CASE_FIXTURE(NodeFixture,
                  "a reader whose last read failed retries soon when others have newer records") {
  gateway::StoreClient client(io, store_address);
  int records = 0;
  gateway::StoreReader reader(
      io, client, *adapter, gateway::Topic::kOperator, {.wait = seconds(2)},
      [&](const gateway::TopicRecord&, gateway::RecordSource) { ++records; },
      [](gateway::TopicPosition) {});
  reader.Start();
  REQUIRE(RunUntil(io, [&] { return reader.complete(); }));
  reader.SetSuspended(true);
  store.SetMode(StoreMode::kUnavailable);
  reader.RequestRead();
  REQUIRE(RunUntil(io, [&] { return reader.failing(); }));
  store.SetMode(StoreMode::kServing);
  store.Put("keyed.op", "config", ConfigText(2, "t"));
  const std::uint64_t before = store.calls();
  for (int i = 0; i < 10; ++i) {
    reader.RequestRead();
    RunFor(io, milliseconds(70));
  }
  CHECK(records == 2);
  CHECK(store.calls() - before <= 3);
}

TEST_CASE_FIXTURE(NodeFixture,
                  "after a change of the store's address, nothing is sent to the old one") {
  FakeStore new_store(io);
  const std::string new_address = Open(new_store);
  gateway::StoreClient client(io, store_address);
  int responses = 0;
  const auto count_response = [&](const Result<gateway::HttpMessage>&) { ++responses; };
  client.Call(adapter->ReadRecords(gateway::Topic::kHosts, Offset(0), milliseconds(200)),
              seconds(2), count_response);
  RunFor(io, milliseconds(50));
  client.SetAddress(new_address);
  REQUIRE(RunUntil(io, [&] { return responses == 1; }));
  client.Call(adapter->ReadNewest(gateway::Topic::kHosts, ""), seconds(2), count_response);
  REQUIRE(RunUntil(io, [&] { return responses == 2; }));
  CHECK(store.calls() == 1);
  CHECK(new_store.calls() == 1);
}

TEST_CASE_FIXTURE(NodeFixture,
                  "no node sends requests to a server soon after it announces that it is leaving") {
  store.Put("keyed.servers", "i-3", EntryText("s", "127.0.0.1:1"));
  for (int i = 0; i < 3; ++i) AddNode();
  REQUIRE(RunUntil(io, [&] { return IsReady(0) && IsReady(2); }));
  RunFor(io, seconds(1));
  store.Put("keyed.servers", "i-1", EntryText("s", "127.0.0.1:1", "draining"));
  RunFor(io, std::chrono::duration_cast<milliseconds>(settings[0].leaving_bound));
  const std::size_t runs = server_one.runs().size();
  for (const GatewaySettings& node : settings) Get(node.callers, "/read/x");
  CHECK(server_one.runs().size() == runs);
}

TEST_CASE_FIXTURE(NodeFixture,
                  "a node that shuts down finishes its requests and is no longer advertised") {
  AddNode();
  AddNode();
  REQUIRE(RunUntil(io, [&] { return IsReady(0) && IsReady(1); }));
  REQUIRE(RunUntil(io, [&] { return Advertises(1, 0) && Advertises(0, 1); }));
  server_one.SetServiceTime(milliseconds(300));
  TestCaller caller(io);
  caller.Connect(settings[0].callers);
  caller.Write("GET /read/a HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: a\r\n\r\n");
  RunFor(io, milliseconds(100));
  nodes[0]->Stop();
  RunFor(io, milliseconds(50));
  CHECK_FALSE(IsReady(0));
  CHECK_FALSE(Advertises(0, 0));
  CHECK_FALSE(Advertises(1, 0));
  CHECK(Advertises(1, 1));
  // The open connection is served until its request is answered, and then closed.
  CHECK(RunUntil(io, [&] { return caller.ended; }));
  CHECK(caller.received.starts_with("HTTP/1.1 200"));
  CHECK(caller.received.find("Connection: close") != std::string::npos);
  // Callers that still use the address are served too.
  CHECK(Get(settings[0].callers, "/read/b").starts_with("HTTP/1.1 200"));
}

TEST_CASE_FIXTURE(NodeFixture, "other nodes regard a restarted node as ready") {
  AddNode();
  AddNode();
  REQUIRE(RunUntil(io, [&] { return Advertises(1, 0); }));
  const GatewaySettings first_settings = settings[0];
  nodes[0].reset();
  CHECK(RunUntil(io, [&] { return !Advertises(1, 0); }));
  const std::uint64_t calls = store.calls();
  GatewaySettings restart_settings = first_settings;
  restart_settings.first_start = false;
  nodes[0] = std::make_unique<GatewayNode>(io, restart_settings, *adapter, StartId(77));
  REQUIRE(nodes[0]->Start());
  CHECK(RunUntil(io, [&] { return Advertises(1, 0); }));
  CHECK(IsReady(0));
  CHECK(store.Keys("keyed.hosts") == 2);
  CHECK(store.calls() - calls <= 12);
}

TEST_CASE_FIXTURE(NodeFixture, "reloaded settings change the time limits and the log level") {
  GatewayNode& node = AddNode();
  REQUIRE(RunUntil(io, [&] { return IsReady(0); }));
  RunFor(io, milliseconds(500));
  GatewaySettings changed = settings[0];
  changed.leaving_bound = milliseconds(8000);
  changed.log_level = "error";
  node.Reload(changed);
  // The read that was already scheduled and the waiting read of the operator topic still come.
  RunFor(io, milliseconds(500));
  const std::uint64_t before = store.calls();
  RunFor(io, milliseconds(1500));
  CHECK(store.calls() - before <= 2);
  CHECK(spdlog::get_level() == spdlog::level::err);
  changed.log_level = "info";
  node.Reload(changed);
  CHECK(spdlog::get_level() == spdlog::level::info);
}

}  // namespace
}  // namespace mulberry::platform
