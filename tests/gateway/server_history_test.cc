#include "libgateway/server_history.h"

#include <doctest/doctest.h>

#include <string>

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
    return history.Accept(entry, RecordSource::kLog, StoreEra(era), now);
  }
  bool Newest(const ServerEntry& entry, std::uint64_t era) {
    return history.Accept(entry, RecordSource::kNewest, StoreEra(era), now);
  }
  void Remove(std::uint64_t era = 1) { history.OnRemoved(ServerName("a"), StoreEra(era), now); }
  ServerHistory history{4};
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
  Remove();
  // The last sequence number before the removal is not known to hosts that don't read the store.
  CHECK_FALSE(Newest(Entry(9), 2));
  CHECK_FALSE(Newest(Entry(9), 3));
  CHECK(Log(Entry(10), 3));
  CHECK(Newest(Entry(9), 4));
}

TEST_CASE_FIXTURE(Fixture, "without a restore, the newest records hold") {
  CHECK(Log(Entry(5)));
  Remove();
  CHECK(Newest(Entry(6), 1));
}

TEST_CASE_FIXTURE(Fixture, "a server that started again is another one") {
  CHECK(Log(Entry(5, true)));
  CHECK(Log(Entry(1, false, 200)));
  // The entry of its earlier start.
  CHECK_FALSE(Newest(Entry(9, false, 100), 2));
  Remove(2);
  CHECK(Newest(Entry(1, false, 300), 3));
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
