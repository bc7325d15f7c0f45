#include "libgateway/server_history.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <utility>

namespace mulberry::gateway {
namespace {

ServerEntry Entry(std::uint64_t sequence, bool leaving = false, std::int64_t started_at_ms = 100) {
  ServerEntry entry;
  entry.id = ServerName("a");
  entry.leaving = leaving;
  entry.sequence = sequence;
  entry.started_at_ms = started_at_ms;
  return entry;
}

struct Fixture {
  bool Log(const ServerEntry& entry, std::uint64_t era = 1) {
    return history.Accept(entry, RecordSource::kLog, StoreEra(era), now).has_value();
  }
  bool Newest(const ServerEntry& entry, std::uint64_t era) {
    return history.Accept(entry, RecordSource::kNewest, StoreEra(era), now).has_value();
  }
  /// The state that an entry leaves: whether the server may be used, and in which lifetime.
  std::optional<std::pair<bool, std::int64_t>> Held(const ServerEntry& entry) {
    const auto held = history.Accept(entry, RecordSource::kLog, StoreEra(1), now);
    if (!held) return std::nullopt;
    return std::pair(!held->leaving, held->started_at_ms);
  }
  void Wait(int milliseconds) { now += std::chrono::milliseconds(milliseconds); }
  void Remove(std::uint64_t era = 1) { history.OnRemoved(ServerName("a"), StoreEra(era), now); }
  ServerHistory history{4, std::chrono::milliseconds(1500)};
  TimePoint now = TimePoint(std::chrono::seconds(100));
};

TEST_CASE_FIXTURE(Fixture, "a server that serves may have any entry") {
  CHECK(Log(Entry(5)));
  CHECK(Newest(Entry(3), 2));
  CHECK(Log(Entry(4), 2));
}

TEST_CASE_FIXTURE(Fixture, "a server that is leaving stays leaving unless it writes anew") {
  CHECK(Log(Entry(5)));
  CHECK(Log(Entry(6, true)));
  CHECK_FALSE(Newest(Entry(5), 2));
  CHECK_FALSE(Newest(Entry(6), 2));
  CHECK_FALSE(Log(Entry(5), 2));
  CHECK(Newest(Entry(4, true), 2));
}

TEST_CASE_FIXTURE(Fixture, "a higher sequence number brings a leaving server back") {
  CHECK(Log(Entry(6, true)));
  SUBCASE("in the log") { CHECK(Log(Entry(7), 2)); }
  SUBCASE("among the newest records") { CHECK(Newest(Entry(7), 2)); }
}

TEST_CASE_FIXTURE(Fixture, "a removed server stays removed until it writes again") {
  CHECK(Log(Entry(5)));
  // It lapsed.
  Wait(5000);
  Remove();
  // The last sequence number before the removal is not known to hosts that don't read the store.
  CHECK_FALSE(Newest(Entry(9), 2));
  CHECK_FALSE(Newest(Entry(9), 3));
  CHECK(Log(Entry(10), 3));
  CHECK(Newest(Entry(9), 4));
}

TEST_CASE_FIXTURE(Fixture, "without a restore, the newest records hold") {
  CHECK(Log(Entry(5)));
  Wait(5000);
  Remove();
  CHECK(Newest(Entry(6), 1));
}

TEST_CASE_FIXTURE(Fixture, "a server that started again is another one") {
  CHECK(Log(Entry(5, true)));
  // It must go on writing: one entry may be a late one of a lifetime before.
  CHECK_FALSE(Log(Entry(1, false, 200)));
  Wait(1500);
  CHECK_FALSE(Log(Entry(2, false, 200)));
  Wait(1500);
  CHECK(Log(Entry(3, false, 200)));
  // The entry of its earlier start.
  CHECK_FALSE(Newest(Entry(9, false, 100), 2));
  Remove(2);
  CHECK_FALSE(Newest(Entry(1, false, 300), 3));
  Wait(1500);
  CHECK_FALSE(Log(Entry(2, false, 300), 3));
  Wait(1500);
  CHECK(Log(Entry(3, false, 300), 3));
}

TEST_CASE_FIXTURE(Fixture, "a late entry of an earlier lifetime does not replace a later one") {
  CHECK(Log(Entry(5)));
  CHECK(Log(Entry(1, false, 200)));
  now += std::chrono::seconds(3);
  SUBCASE("that serves") {}
  SUBCASE("that is leaving") { CHECK(Log(Entry(2, true, 200))); }
  SUBCASE("that was removed") { Remove(); }
  now += std::chrono::seconds(6);
  CHECK_FALSE(Log(Entry(6, false, 100)));
  CHECK_FALSE(Newest(Entry(6, false, 100), 1));
  CHECK(Log(Entry(3, true, 200)));
}

TEST_CASE_FIXTURE(Fixture, "a server whose clock was set back is used again after its restart") {
  CHECK(Log(Entry(5)));
  now += std::chrono::seconds(5);
  Remove();
  CHECK_FALSE(Log(Entry(1, false, 50)));
  now += std::chrono::seconds(11);
  CHECK(Log(Entry(8, false, 50)));
}

TEST_CASE_FIXTURE(Fixture,
                  "a server whose clock was set back between two starts is heard at once") {
  CHECK(Log(Entry(5, false, 200)));
  Wait(500);
  CHECK(Held(Entry(1, false, 100)) == std::pair(true, std::int64_t{100}));
  Wait(1500);
  SUBCASE("its report that it is leaving") {}
  SUBCASE("also after a late entry of the lifetime before") {
    CHECK_FALSE(Log(Entry(6, false, 200)));
  }
  CHECK(Held(Entry(2, true, 100)) == std::pair(false, std::int64_t{100}));
  for (int i = 0; i < 5; ++i) {
    Wait(1500);
    CHECK_FALSE(Log(Entry(7 + i, false, 200)));
    CHECK(Log(Entry(3 + i, true, 100)));
  }
}

/// Start times of a lifetime before that of 200, by a clock that was or was not set back since.
constexpr std::int64_t kFormerStarts[] = {100, 300};

TEST_CASE("a late entry of an unknown lifetime does not bring a leaving server back") {
  for (const std::int64_t former : kFormerStarts) {
    CAPTURE(former);
    Fixture leaving;
    CHECK(leaving.Log(Entry(3, true, 200)));
    for (int i = 0; i < 3; ++i) {
      CHECK_FALSE(leaving.Log(Entry(6 + i, false, former)));
      leaving.Wait(1000);
      CHECK(leaving.Log(Entry(4 + i, true, 200)));
      leaving.Wait(500);
    }
    Fixture removed;
    CHECK(removed.Log(Entry(3, false, 200)));
    removed.Remove();
    CHECK_FALSE(removed.Log(Entry(6, false, former)));
    removed.Wait(500);
    CHECK_FALSE(removed.Log(Entry(7, false, former)));
  }
}

TEST_CASE("a first entry of a former lifetime that comes late does not speak for the present one") {
  for (const std::int64_t former : kFormerStarts) {
    CAPTURE(former);
    Fixture goes_on;
    Fixture leaves;
    for (Fixture* fixture : {&goes_on, &leaves}) {
      CHECK(fixture->Log(Entry(4, false, 200)));
      CHECK(fixture->Log(Entry(5, false, 200)));
      fixture->Wait(500);
      // It may as well be a new lifetime.
      CHECK(fixture->Held(Entry(1, false, former)) == std::pair(true, former));
      fixture->Wait(1000);
    }
    CHECK_FALSE(goes_on.Held(Entry(6, false, 200)));
    goes_on.Wait(1500);
    CHECK_FALSE(goes_on.Held(Entry(7, false, 200)));
    goes_on.Wait(1500);
    CHECK(goes_on.Held(Entry(8, false, 200)) == std::pair(true, std::int64_t{200}));
    CHECK_FALSE(goes_on.Held(Entry(2, true, former)));

    // A second late one.
    CHECK(leaves.Log(Entry(2, false, former)));
    CHECK(leaves.Held(Entry(6, true, 200)) == std::pair(false, former));
    leaves.Wait(1500);
    CHECK(leaves.Held(Entry(7, true, 200)) == std::pair(false, former));
    leaves.Wait(1500);
    CHECK(leaves.Held(Entry(8, true, 200)) == std::pair(false, std::int64_t{200}));
  }
}

TEST_CASE_FIXTURE(Fixture, "a late entry does not bring back a server that left while it wrote") {
  CHECK(Log(Entry(5)));
  Wait(2500);
  Remove();
  CHECK_FALSE(Log(Entry(6)));
  Wait(500);
  CHECK_FALSE(Log(Entry(6)));
  CHECK_FALSE(Log(Entry(7)));
  Wait(1500);
  // It is alive after all.
  CHECK(Log(Entry(8)));
}

TEST_CASE_FIXTURE(Fixture, "a late report of a former lifetime that it is leaving is ignored") {
  CHECK(Log(Entry(5, false, 200)));
  CHECK(Log(Entry(1, false, 100)));
  Wait(1500);
  CHECK(Log(Entry(2, false, 100)));
  Wait(1500);
  CHECK(Log(Entry(3, false, 100)));
  CHECK_FALSE(Log(Entry(6, true, 200)));
  Wait(1500);
  CHECK_FALSE(Log(Entry(7, true, 200)));
}

TEST_CASE_FIXTURE(Fixture, "a lifetime that alone goes on writing holds in the end") {
  CHECK(Log(Entry(5, false, 200)));
  CHECK(Log(Entry(1, false, 100)));
  CHECK(Log(Entry(2, false, 100)));
  Wait(9000);
  CHECK_FALSE(Log(Entry(6, false, 200)));
  Wait(1500);
  CHECK(Log(Entry(7, false, 200)));
}

TEST_CASE_FIXTURE(Fixture, "a server does not change its service within a lifetime") {
  CHECK(Log(Entry(4)));
  CHECK(Log(Entry(5)));
  ServerEntry moved = Entry(6);
  moved.service = ServiceName("another");
  CHECK_FALSE(Log(moved));
  CHECK_FALSE(Newest(moved, 2));
  Remove(2);
  CHECK_FALSE(Log(moved, 2));
  moved.started_at_ms = 200;
  CHECK_FALSE(Log(moved, 2));
  Wait(3000);
  moved.sequence = 7;
  CHECK(Log(moved, 2));
}

TEST_CASE_FIXTURE(Fixture,
                  "another writer's entry that was read first does not lock the server out") {
  ServerEntry odd = Entry(9);
  odd.service = ServiceName("another");
  CHECK(Newest(odd, 1));
  CHECK(Log(Entry(4)));
  CHECK(Log(Entry(5)));
  CHECK_FALSE(Log(odd));
}

TEST_CASE_FIXTURE(Fixture, "only a number of removed servers is remembered") {
  for (int i = 0; i < 10; ++i) {
    ServerEntry entry = Entry(1);
    entry.id = ServerName("s" + std::to_string(i));
    CHECK(Log(entry));
    history.OnRemoved(entry.id, StoreEra(1), now);
  }
  CHECK(history.size() == 4);
  CHECK(Log(Entry(1)));
  CHECK(history.size() == 5);
}

}  // namespace
}  // namespace mulberry::gateway
