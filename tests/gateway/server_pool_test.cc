#include "libgateway/server_pool.h"

#include <doctest/doctest.h>

#include <map>

namespace mulberry::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceName search_service("search");
const std::set<ServerName> no_servers;
const DataCentreName local_data_centre("here");
const DataCentreName remote_data_centre("there");

ServerEntry Entry(const std::string& id, const DataCentreName& data_centre = local_data_centre) {
  ServerEntry entry;
  entry.id = ServerName(id);
  entry.service = search_service;
  entry.address = "127.0.0.1:80";
  entry.data_centre = data_centre;
  entry.slots = 4;
  entry.started_at_ms = 1;
  return entry;
}

/// A pool with one service whose servers handle 10 requests per second while cold, for 3 s.
struct Fixture {
  Fixture() : pool({.data_centre = local_data_centre, .cold_overage = 1.5, .cold_slack = 5}) {
    pool.SetServices({{search_service,
                       {.name = search_service,
                        .health_path = "/health",
                        .cold_time = seconds(3),
                        .cold_rate = 10}}});
    pool.SetColdShare(0.4);
  }

  std::optional<ServerName> SelectedServer(const std::set<ServerName>& tried = {}) {
    const auto choice = pool.Select({search_service, tried, true, false}, now);
    const auto* chosen = std::get_if<Selection>(&choice);
    return chosen == nullptr ? std::nullopt : std::optional(chosen->id);
  }

  /// Sends as many requests as the pool allows in one second, each answered immediately.
  std::map<ServerName, int> SendForOneSecond() {
    std::map<ServerName, int> sent;
    for (int i = 0; i < 500; ++i) {
      now += milliseconds(2);
      const auto id = SelectedServer();
      if (!id) continue;
      ++sent[*id];
      pool.OnEnd(*id, AttemptOutcome::kAnswered, pool.OnSent(*id, now), now);
    }
    return sent;
  }

  ServerPool pool;
  TimePoint now = TimePoint(seconds(100));
};

TEST_CASE_FIXTURE(Fixture, "requests go to the server that reports a fast machine") {
  pool.Put(Entry("slow"), now);
  pool.Put(Entry("fast"), now);
  pool.OnLoadReport(ServerName("slow"), {.running = 0, .slots = 4, .slowness = 5}, now);
  pool.OnLoadReport(ServerName("fast"), {.running = 1, .slots = 4, .slowness = 1}, now);
  for (int i = 0; i < 20; ++i) CHECK(SelectedServer() == ServerName("fast"));
  CHECK(SelectedServer({ServerName("fast")}) == ServerName("slow"));
}

TEST_CASE_FIXTURE(Fixture, "a full server is not selected, and when all are full none is") {
  pool.Put(Entry("a"), now);
  pool.Put(Entry("b"), now);
  pool.OnLoadReport(ServerName("a"), {.running = 4, .waiting = 2, .slots = 4}, now);
  CHECK(SelectedServer() == ServerName("b"));
  pool.OnLoadReport(ServerName("b"), {.running = 4, .waiting = 2, .slots = 4}, now);
  CHECK(std::get<NoServerReason>(pool.Select({search_service, no_servers, true, false}, now)) ==
        NoServerReason::kAllBusy);
}

TEST_CASE_FIXTURE(Fixture, "the local data centre is preferred unless its servers are busy") {
  pool.Put(Entry("near"), now);
  pool.Put(Entry("far", remote_data_centre), now);
  CHECK(SelectedServer() == ServerName("near"));
  pool.OnLoadReport(ServerName("near"), {.running = 4, .waiting = 2, .slots = 4}, now);
  CHECK(SelectedServer() == ServerName("far"));
}

TEST_CASE_FIXTURE(Fixture,
                  "a leaving server and a data centre that is out of service get no requests") {
  pool.Put(Entry("a"), now);
  pool.Put(Entry("b", remote_data_centre), now);
  ServerEntry leaving = Entry("a");
  leaving.leaving = true;
  CHECK(pool.Put(leaving, now));
  CHECK(SelectedServer() == ServerName("b"));
  pool.SetDataCentreOut(remote_data_centre, true, now);
  CHECK(std::get<NoServerReason>(pool.Select({search_service, no_servers, true, false}, now)) ==
        NoServerReason::kNoServer);
}

TEST_CASE_FIXTURE(Fixture, "a cold server gets at most this host's share of its limit") {
  ServerEntry cold = Entry("cold");
  cold.cold_time_left = seconds(3);
  pool.Put(cold, now);
  // 40 % of 10 * 1.5 + 5 requests.
  CHECK(SendForOneSecond()[ServerName("cold")] <= 8);
  now += seconds(4);
  CHECK(SendForOneSecond()[ServerName("cold")] > 100);
}

TEST_CASE_FIXTURE(Fixture, "a cold server of another data centre gets no requests") {
  ServerEntry cold = Entry("cold", remote_data_centre);
  cold.cold_time_left = seconds(3);
  pool.Put(cold, now);
  CHECK(SendForOneSecond().empty());
}

TEST_CASE_FIXTURE(Fixture,
                  "a server is cold after a restart under its id, after its data centre's "
                  "return, and when it comes back from an outage") {
  pool.Put(Entry("a"), now);
  const ServerName id("a");
  CHECK(pool.StateName(id, now) == "warm");
  SUBCASE("restart") {
    ServerEntry restarted = Entry("a");
    restarted.started_at_ms = 2;
    pool.Put(restarted, now);
  }
  SUBCASE("data centre back") {
    pool.SetDataCentreOut(local_data_centre, true, now);
    pool.SetDataCentreOut(local_data_centre, false, now);
  }
  SUBCASE("unreachable, then answering") {
    pool.OnEnd(id, AttemptOutcome::kConnectFailed, pool.OnSent(id, now), now);
    pool.OnEnd(id, AttemptOutcome::kAnswered, pool.OnSent(id, now), now);
  }
  SUBCASE("stated by the server") { pool.OnColdTimeLeft(id, seconds(2), now); }
  CHECK(pool.StateName(id, now) == "cold");
}

TEST_CASE_FIXTURE(Fixture, "a server that has announced its leaving is not used again") {
  pool.Put(Entry("a"), now);
  pool.OnLeavingAnnounced(ServerName("a"));
  CHECK_FALSE(SelectedServer().has_value());
  SUBCASE("its entry says ready") {}
  SUBCASE("its entry lapses and comes back") { pool.Remove(ServerName("a")); }
  pool.Put(Entry("a"), now);
  CHECK_FALSE(SelectedServer().has_value());
  ServerEntry restarted = Entry("a");
  restarted.started_at_ms = 2;
  pool.Put(restarted, now);
  CHECK(SelectedServer() == ServerName("a"));
}

TEST_CASE_FIXTURE(Fixture,
                  "a server that asks for a pause gets neither requests nor health checks") {
  pool.Put(Entry("a"), now);
  pool.Put(Entry("b"), now);
  const HealthCheckShare all{.index = 0, .count = 1, .max_age = milliseconds(60)};
  pool.OnPauseRequested(ServerName("a"), seconds(2), now);
  pool.OnPauseRequested(ServerName("a"), milliseconds(100), now);
  now += milliseconds(1900);
  CHECK(SelectedServer() == ServerName("b"));
  CHECK(pool.DueHealthChecks(all, now).size() == 1);
  const auto choice = pool.Select({search_service, {ServerName("b")}, true, false}, now);
  CHECK(std::get<NoServerReason>(choice) == NoServerReason::kAllPaused);
  CHECK(pool.FirstPauseEnd(search_service, now) == now + milliseconds(100));
  now += milliseconds(100);
  CHECK(SelectedServer({ServerName("b")}) == ServerName("a"));
  pool.OnPauseRequested(ServerName("a"), std::chrono::hours(24 * 365), now);
  now += std::chrono::minutes(6);
  CHECK(SelectedServer({ServerName("b")}) == ServerName("a"));
}

TEST_CASE_FIXTURE(Fixture, "ejected servers return to a service without idempotent requests") {
  for (const std::string id : {"a", "b"}) {
    pool.Put(Entry(id), now);
    for (int i = 0; i < 2; ++i) {
      pool.OnEnd(ServerName(id), AttemptOutcome::kConnectFailed, pool.OnSent(ServerName(id), now),
                 now);
    }
    REQUIRE(pool.StateName(ServerName(id), now) == "ejected");
  }
  const TimePoint ejected_at = now;
  while (now < ejected_at + seconds(5)) {
    now += milliseconds(50);
    for (const std::string tried : {"a", "b"}) {
      const auto choice = pool.Select({search_service, {ServerName(tried)}, false, false}, now);
      const auto* chosen = std::get_if<Selection>(&choice);
      if (chosen == nullptr) continue;
      // A trial for which an idempotent request may still come is left to it.
      CHECK(now - ejected_at >= seconds(1));
      pool.OnEnd(chosen->id, AttemptOutcome::kAnswered, pool.OnSent(chosen->id, now), now);
    }
  }
  CHECK(pool.StateName(ServerName("a"), now) == "warm");
  CHECK(pool.StateName(ServerName("b"), now) == "warm");
}

/// Ends one request at the server.
void End(Fixture& fixture, const std::string& id, AttemptOutcome end) {
  const ServerName name(id);
  fixture.pool.OnEnd(name, end, fixture.pool.OnSent(name, fixture.now), fixture.now);
}

TEST_CASE_FIXTURE(Fixture, "lost connections and silence leave two thirds of a service in use") {
  bool silent = false;
  SUBCASE("lost connections") {}
  SUBCASE("silence") { silent = true; }
  int ejected = 0;
  for (int i = 0; i < 6; ++i) {
    pool.Put(Entry("s" + std::to_string(i)), now);
    End(*this, "s" + std::to_string(i), AttemptOutcome::kAnswered);
  }
  now += milliseconds(300);
  for (int i = 0; i < 6; ++i) {
    const std::string id = "s" + std::to_string(i);
    for (int j = 0; j < 3; ++j) {
      if (silent) {
        pool.OnHealthCheckEnd(ServerName(id), false, now);
      } else {
        End(*this, id, AttemptOutcome::kBroken);
      }
    }
    if (pool.StateName(ServerName(id), now) == "ejected") ++ejected;
  }
  CHECK(ejected == 2);
  CHECK(SelectedServer().has_value());
}

TEST_CASE_FIXTURE(Fixture, "servers that nothing has been heard of for a second are all ejected") {
  for (const std::string id : {"a", "b"}) {
    pool.Put(Entry(id), now);
    End(*this, id, AttemptOutcome::kAnswered);
  }
  now += milliseconds(300);
  for (int i = 0; i < 2; ++i) pool.OnHealthCheckEnd(ServerName("a"), false, now);
  CHECK(pool.StateName(ServerName("a"), now) == "warm");
  // It is avoided while another one has room, and used when none has.
  for (int i = 0; i < 10; ++i) CHECK(SelectedServer() == ServerName("b"));
  CHECK(SelectedServer({ServerName("b")}) == ServerName("a"));
  now += seconds(1);
  for (const std::string id : {"a", "b"}) {
    for (int i = 0; i < 2; ++i) pool.OnHealthCheckEnd(ServerName(id), false, now);
    CHECK(pool.StateName(ServerName(id), now) == "ejected");
  }
  CHECK_FALSE(SelectedServer().has_value());
}

TEST_CASE_FIXTURE(Fixture, "the least bad ejected server is used when nothing else is left") {
  for (const std::string id : {"a", "b", "c"}) pool.Put(Entry(id), now);
  for (int i = 0; i < 2; ++i) {
    End(*this, "a", AttemptOutcome::kBroken);
    End(*this, "b", AttemptOutcome::kConnectFailed);
  }
  CHECK(SelectedServer() == ServerName("c"));
  pool.Remove(ServerName("c"));
  CHECK(SelectedServer() == ServerName("a"));
  CHECK_FALSE(SelectedServer({ServerName("a")}).has_value());
  End(*this, "a", AttemptOutcome::kAnswered);
  CHECK(pool.StateName(ServerName("a"), now) == "warm");
}

TEST_CASE_FIXTURE(Fixture,
                  "health checks are due for servers with an old load report, each from one host") {
  for (int i = 0; i < 20; ++i) pool.Put(Entry("s" + std::to_string(i)), now);
  pool.Put(Entry("far", remote_data_centre), now);
  const HealthCheckShare first{.index = 0, .count = 2, .max_age = milliseconds(60)};
  const HealthCheckShare second{.index = 1, .count = 2, .max_age = milliseconds(60)};
  CHECK(pool.DueHealthChecks(first, now).empty());
  (void)SelectedServer();
  const auto of_first = pool.DueHealthChecks(first, now);
  const auto of_second = pool.DueHealthChecks(second, now);
  CHECK(of_first.size() + of_second.size() == 20);
  const ServerName fresh = of_first.front().id;
  pool.OnLoadReport(fresh, {.slots = 4}, now);
  CHECK(pool.DueHealthChecks(first, now).size() + 1 == of_first.size());
  CHECK(pool.DueHealthChecks({}, now).empty());
}

}  // namespace
}  // namespace mulberry::gateway
