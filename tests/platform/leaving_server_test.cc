#include <doctest/doctest.h>

#include <string>

#include "node_fixture.h"

namespace mulberry::platform {
namespace {

using gateway::RunFor;
using gateway::RunUntil;
using std::chrono::milliseconds;

/// The only server of service `s`, whose entries the test writes, leaves.
struct LeavingServerFixture : NodeFixture {
  LeavingServerFixture() : leaving(io, "i-3", "s"), address(Open(leaving)) {
    store.Put("keyed.servers", "i-1", std::nullopt);
  }

  /// Sends requests to all nodes for `rounds` times 50 ms.
  void CheckGetsNoRequests(int rounds) {
    const TimePoint since = MonotonicClock::now();
    for (int i = 0; i < rounds; ++i) {
      for (const auto& node : settings) {
        CAPTURE(node.host);
        CHECK(Get(node.callers, "/read/x").starts_with("HTTP/1.1 503"));
      }
      RunFor(io, milliseconds(50));
    }
    CHECK(leaving.last_arrival() < since);
  }

  FakeBackendServer leaving;
  std::string address;
};

/// An entry of a server of service `s` that started at this second.
std::string EntryOfLifetime(const std::string& address, const std::string& state, int second,
                            int sequence = 1) {
  std::string entry = EntryText("s", address, state);
  entry.replace(entry.find("\"Seq\":1"), 7, "\"Seq\":" + std::to_string(sequence));
  return entry.replace(entry.find("1700000000123"), 13, "170000000" + std::to_string(second));
}

TEST_CASE_FIXTURE(LeavingServerFixture,
                  "a late entry of an earlier lifetime does not end a server's draining") {
  AddNode();
  AddNode();
  store.Put("keyed.servers", "i-3", EntryOfLifetime(address, "ready", 1000));
  REQUIRE(RunUntil(io, [&] { return IsReady(0) && IsReady(1); }));
  store.Put("keyed.servers", "i-3", EntryOfLifetime(address, "ready", 2000));
  RunFor(io, milliseconds(500));
  store.Put("keyed.servers", "i-3", EntryOfLifetime(address, "draining", 2000));
  RunFor(io, milliseconds(900));
  store.Put("keyed.servers", "i-3", EntryOfLifetime(address, "ready", 1000, 2));
  CheckGetsNoRequests(20);
}

TEST_CASE_FIXTURE(
    LeavingServerFixture,
    "a server whose clock was set back between two starts is not used once it leaves") {
  AddNode();
  AddNode();
  store.Put("keyed.servers", "i-3", EntryOfLifetime(address, "ready", 2000));
  REQUIRE(RunUntil(io, [&] { return IsReady(0) && IsReady(1); }));
  store.Put("keyed.servers", "i-3", EntryOfLifetime(address, "ready", 1000));
  RunFor(io, milliseconds(500));
  store.Put("keyed.servers", "i-3", EntryOfLifetime(address, "draining", 1000));
  RunFor(io, milliseconds(900));
  CheckGetsNoRequests(10);
}

TEST_CASE_FIXTURE(LeavingServerFixture,
                  "a late entry does not bring back a server that was removed") {
  AddNode();
  AddNode();
  store.Put("keyed.servers", "i-3", EntryOfLifetime(address, "ready", 1000));
  REQUIRE(RunUntil(io, [&] { return IsReady(0) && IsReady(1); }));
  // After its start, a node waits for entries that may have lapsed.
  RunFor(io, milliseconds(3000));
  store.Put("keyed.servers", "i-3", EntryOfLifetime(address, "ready", 1000, 2));
  RunFor(io, milliseconds(900));
  store.Put("keyed.servers", "i-3", std::nullopt);
  RunFor(io, milliseconds(900));
  store.Put("keyed.servers", "i-3", EntryOfLifetime(address, "ready", 1000, 3));
  CheckGetsNoRequests(20);
}

TEST_CASE_FIXTURE(
    LeavingServerFixture,
    "a late entry of an unknown lifetime does not undo what a server has said in a response") {
  store.Put("keyed.servers", "i-3", EntryOfLifetime(address, "ready", 2000));
  AddNode();
  REQUIRE(RunUntil(io, [&] { return IsReady(0); }));
  leaving.SetExtraHeaders("Server-Leaving: 1\r\n");
  CHECK(Get(settings[0].callers, "/read/x").starts_with("HTTP/1.1 200"));
  const TimePoint passed_on = MonotonicClock::now();
  // Health checks would tell it again.
  leaving.SetExtraHeaders("");
  store.Put("keyed.servers", "i-3", EntryOfLifetime(address, "ready", 1000));
  // Until a new lifetime would be warm.
  for (int i = 0; i < 45; ++i) {
    RunFor(io, milliseconds(100));
    CHECK(Get(settings[0].callers, "/read/x").starts_with("HTTP/1.1 503"));
  }
  CHECK(leaving.last_arrival() < passed_on);
}

TEST_CASE_FIXTURE(LeavingServerFixture,
                  "a node that started after a late entry of a server learns that it is leaving") {
  for (int i = 0; i < 3; ++i) AddNode();
  store.Put("keyed.servers", "i-3", EntryOfLifetime(address, "ready", 1000, 5));
  REQUIRE(RunUntil(io, [&] { return IsReady(0) && IsReady(1) && IsReady(2); }));
  store.Put("keyed.servers", "i-3", EntryOfLifetime(address, "ready", 2000, 1));
  RunFor(io, milliseconds(500));
  store.Put("keyed.servers", "i-3", EntryOfLifetime(address, "draining", 2000, 2));
  RunFor(io, milliseconds(500));
  store.Put("keyed.servers", "i-3", EntryOfLifetime(address, "ready", 1000, 6));
  AddNode();
  REQUIRE(RunUntil(io, [&] { return IsReady(3); }));
  RunFor(io, milliseconds(1000));
  store.Put("keyed.servers", "i-3", EntryOfLifetime(address, "draining", 2000, 3));
  RunFor(io, milliseconds(800));
  CheckGetsNoRequests(5);
}

}  // namespace
}  // namespace mulberry::platform
