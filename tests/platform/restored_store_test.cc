#include <doctest/doctest.h>

#include <chrono>
#include <optional>
#include <string>

#include "node_fixture.h"

namespace mulberry::platform {
namespace {

using gateway::RunFor;
using gateway::RunUntil;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// The time in which operators and servers write again what a restored store lacks, and some more.
constexpr milliseconds kWrittenAgainBy(2800);

/// Service `s` has only server i-3, whose entry a test can write.
struct RestoredStoreFixture : NodeFixture {
  RestoredStoreFixture() : server_three(io, "i-3", "s"), address_three(Open(server_three)) {
    store.Put("keyed.servers", "i-1", std::nullopt);
    PutServerThree("ready", 1);
  }

  /// Adds nodes and waits until they are ready and have settled who reads the store.
  void StartNodes(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) AddNode();
    REQUIRE(RunUntil(io, [&] { return IsReady(0) && IsReady(count - 1); }));
    RunFor(io, seconds(1));
  }

  void PutServerThree(const std::string& state, int sequence) {
    std::string entry = EntryText("s", address_three, state);
    const std::string field = R"("Seq":1)";
    entry.replace(entry.find(field), field.size(), R"("Seq":)" + std::to_string(sequence));
    store.Put("keyed.servers", "i-3", entry);
  }

  /// Sends a request to each node; returns how many were answered by the server.
  std::size_t AnsweredBy(const std::string& server) {
    std::size_t answered = 0;
    for (const gateway::GatewaySettings& node : settings) {
      const std::string response = Get(node.callers, "/read/x");
      if (response.find("Signature: " + server + ".") != std::string::npos) ++answered;
    }
    return answered;
  }

  FakeBackendServer server_three;
  std::string address_three;
};

TEST_CASE_FIXTURE(RestoredStoreFixture,
                  "a configuration at an offset that is given out again reaches all nodes") {
  store.SaveCopy();
  StartNodes(4);
  store.Put("keyed.op", "config", ConfigText(2, "s"));
  store.Put("keyed.op", "config", ConfigText(3, "s"));
  RunFor(io, milliseconds(300));
  store.Restore();
  RunFor(io, milliseconds(500));
  store.Put("keyed.op", "config", ConfigText(4, "t"));
  RunFor(io, milliseconds(500));
  CHECK(AnsweredBy("i-2") == 4);
}

TEST_CASE_FIXTURE(RestoredStoreFixture,
                  "a restored topic that has grown past the old offsets is read from the start") {
  store.SaveCopy();
  StartNodes(4);
  store.Put("keyed.op", "config", ConfigText(2, "s"));
  store.Put("keyed.op", "config", ConfigText(3, "s"));
  RunFor(io, milliseconds(300));
  store.SetMode(StoreMode::kUnavailable);
  RunFor(io, milliseconds(500));
  store.Restore();
  store.Put("keyed.op", "config", ConfigText(4, "t"));
  for (int i = 0; i < 6; ++i) store.Put("keyed.op", "evacuate/elsewhere", "1");
  store.SetMode(StoreMode::kServing);
  RunFor(io, milliseconds(2500));
  CHECK(AnsweredBy("i-2") == 4);
}

TEST_CASE_FIXTURE(RestoredStoreFixture, "two restores in a row, during an outage") {
  store.SaveCopy();
  StartNodes(4);
  store.Put("keyed.op", "config", ConfigText(2, "s"));
  RunFor(io, milliseconds(300));
  store.Restore();
  RunFor(io, milliseconds(100));
  store.Put("keyed.op", "config", ConfigText(3, "s"));
  store.SetMode(StoreMode::kUnavailable);
  RunFor(io, milliseconds(400));
  store.Restore();
  store.Put("keyed.op", "config", ConfigText(4, "t"));
  store.SetMode(StoreMode::kServing);
  RunFor(io, milliseconds(2500));
  CHECK(AnsweredBy("i-2") == 4);
}

TEST_CASE_FIXTURE(RestoredStoreFixture,
                  "all nodes keep the configuration that a restored store lacks") {
  store.SaveCopy();
  StartNodes(3);
  store.Put("keyed.op", "config", ConfigText(2, "t"));
  RunFor(io, milliseconds(300));
  store.Restore();
  RunFor(io, seconds(1));
  for (std::size_t i = 0; i < 3; ++i) CHECK(IsReady(i));
  CHECK(AnsweredBy("i-2") == 3);
  SUBCASE("a node that starts afterwards gets it from the others") {
    AddNode();
    REQUIRE(RunUntil(io, [&] { return IsReady(3); }));
    RunFor(io, seconds(1));
    CHECK(AnsweredBy("i-2") == 4);
  }
}

TEST_CASE_FIXTURE(RestoredStoreFixture,
                  "a copy does not bring back a server that has announced that it is leaving") {
  store.SaveCopy();
  StartNodes(4);
  PutServerThree("draining", 2);
  RunFor(io, milliseconds(600));
  REQUIRE(AnsweredBy("i-3") == 0);
  store.Restore();
  for (int i = 0; i < 5; ++i) {
    RunFor(io, milliseconds(300));
    CHECK(AnsweredBy("i-3") == 0);
  }
  // Written again as it was before.
  PutServerThree("ready", 1);
  RunFor(io, milliseconds(500));
  CHECK(AnsweredBy("i-3") == 0);
  PutServerThree("ready", 3);
  RunFor(io, milliseconds(600));
  CHECK(AnsweredBy("i-3") == 4);
}

TEST_CASE_FIXTURE(RestoredStoreFixture, "a copy does not bring back a server that was removed") {
  store.SaveCopy();
  StartNodes(4);
  // It lapses after three intervals of silence.
  RunFor(io, kWrittenAgainBy + seconds(1));
  store.Put("keyed.servers", "i-3", std::nullopt);
  RunFor(io, milliseconds(600));
  REQUIRE(AnsweredBy("i-3") == 0);
  store.Restore();
  for (int i = 0; i < 5; ++i) {
    RunFor(io, milliseconds(300));
    CHECK(AnsweredBy("i-3") == 0);
  }
  PutServerThree("ready", 2);
  RunFor(io, milliseconds(600));
  CHECK(AnsweredBy("i-3") == 4);
}

TEST_CASE_FIXTURE(RestoredStoreFixture,
                  "a server that a restored store lacks is kept for a while") {
  store.Put("keyed.servers", "i-3", std::nullopt);
  store.SaveCopy();
  PutServerThree("ready", 1);
  StartNodes(4);
  RunFor(io, kWrittenAgainBy);
  store.Restore();
  RunFor(io, milliseconds(1500));
  CHECK(AnsweredBy("i-3") == 4);
  SUBCASE("it is written again") {
    PutServerThree("ready", 2);
    RunFor(io, kWrittenAgainBy);
    CHECK(AnsweredBy("i-3") == 4);
  }
  SUBCASE("it is not written again") {
    RunFor(io, kWrittenAgainBy);
    CHECK(AnsweredBy("i-3") == 0);
  }
}

TEST_CASE_FIXTURE(
    RestoredStoreFixture,
    "a data centre that is out stays out for a while if a restored store lacks that") {
  store.SaveCopy();
  StartNodes(4);
  store.Put("keyed.op", "evacuate/here", "1");
  RunFor(io, milliseconds(400));
  REQUIRE(AnsweredBy("i-3") == 0);
  store.Restore();
  for (int i = 0; i < 5; ++i) {
    RunFor(io, milliseconds(300));
    CHECK(AnsweredBy("i-3") == 0);
  }
  SUBCASE("it is written again") {
    store.Put("keyed.op", "evacuate/here", "1");
    RunFor(io, kWrittenAgainBy);
    CHECK(AnsweredBy("i-3") == 0);
  }
  SUBCASE("it is not written again") {
    RunFor(io, kWrittenAgainBy + milliseconds(1000));
    CHECK(AnsweredBy("i-3") > 0);
  }
}

TEST_CASE_FIXTURE(RestoredStoreFixture, "nodes write their own records again") {
  store.SaveCopy();
  StartNodes(3);
  REQUIRE(store.Keys("keyed.hosts") == 3);
  store.Restore();
  CHECK(store.Keys("keyed.hosts") == 0);
  RunFor(io, milliseconds(2500));
  CHECK(store.Keys("keyed.hosts") == 3);
}

TEST_CASE_FIXTURE(RestoredStoreFixture, "a restore costs each node one read of each topic") {
  StartNodes(8);
  store.SaveCopy();
  store.Put("keyed.op", "config", ConfigText(2, "t"));
  RunFor(io, milliseconds(300));
  const std::uint64_t before = store.calls();
  store.Restore();
  RunFor(io, seconds(2));
  // Besides, two readers go on, see "make few calls to the store" in node_test.cc.
  CHECK(store.calls() - before <= 8 * 3 + 24);
  CHECK(AnsweredBy("i-2") == 8);
}

}  // namespace
}  // namespace mulberry::platform
