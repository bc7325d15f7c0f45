#include <doctest/doctest.h>

#include "harness.h"

namespace mulberry {

TEST_CASE("a request is assigned to a server only when a slot is free") {
  Harness h(1, 2);
  h.WarmUp();
  for (int i = 0; i < 3; ++i) h.Submit();
  CHECK(h.Count<StartDispatch>() == 2);
  CHECK(h.dispatcher.Stats().queued == 1);
  h.End(h.All<StartDispatch>()[0].dispatch);
  CHECK(h.Count<StartDispatch>() == 3);
  CHECK_FALSE(h.dispatcher.Idle());
  h.EndAll();
  CHECK(h.Count<RelayAnswer>() == 3);
  CHECK(h.dispatcher.Idle());
}

TEST_CASE("the share restricts the limits and nothing is dispatched after the lease has ended") {
  Harness h;
  h.WarmUp();
  h.SetLimitShare(LimitShare::kReduced);
  CHECK(h.Limit() == 2);
  h.SetLimitShare(LimitShare::kWarm, 50 * kMs);
  CHECK(h.Limit() == 4);
  h.Advance(50 * kMs);
  CHECK(h.Limit() == 0);
  h.Submit();
  CHECK(h.dispatcher.ExpectedWait(Lookup()) == Duration::max());
  CHECK(h.Count<StartDispatch>() == 0);
  h.SetLimitShare(LimitShare::kFull);
  CHECK(h.Count<StartDispatch>() == 1);
  h.SetLimitShare(LimitShare::kNone);
  h.Submit(Lookup(), 30 * kMs);
  h.Run(30 * kMs);
  REQUIRE(h.Count<RefuseRequest>() == 1);
  CHECK(h.All<RefuseRequest>()[0].reason == RefusalReason::kNotOwner);
  CHECK_FALSE(h.All<RefuseRequest>()[0].may_have_run);
}

TEST_CASE("a cold server's limit rises only with both answers and time") {
  Harness h;
  h.infos[0].announced_cold = true;
  h.SetServers();
  CHECK(h.StateName() == "cold");
  for (int i = 0; i < 12; ++i) h.Submit();
  CHECK(h.running.size() == 1);
  for (int i = 0; i < 8; ++i) h.EndAll();
  CHECK(h.Limit() == 1);
  h.Run(250 * kMs);
  CHECK(h.Limit() == 2);
  CHECK(h.running.size() == 2);
  h.Run(600 * kMs);
  CHECK(h.Limit() == 2);
  h.EndAll(DispatchResult::kShed);
  CHECK(h.Limit() == 1);
}

TEST_CASE("a cold server gets no requests while another owner may send requests to it") {
  Harness h(2);
  h.WarmUp();
  h.infos[0].announced_cold = true;
  h.SetServers();
  for (const LimitShare share : {LimitShare::kReduced, LimitShare::kWarm}) {
    h.SetLimitShare(share);
    CHECK(h.Limit(0) == 0);
    CHECK(h.Limit(1) > 0);
  }
  h.infos[1].announced_cold = true;
  h.SetServers();
  h.Submit();
  REQUIRE(h.Count<ReturnToRouter>() == 1);
  CHECK(h.All<ReturnToRouter>()[0].reason == RefusalReason::kNoServer);
}

TEST_CASE(
    "another start id makes a server cold and late answers of the former start do not count") {
  Harness h;
  h.WarmUp();
  for (int i = 0; i < 3; ++i) h.Submit();
  const auto attempts = h.All<StartDispatch>();
  h.running[attempts[0].dispatch.value()].start = 999;
  h.End(attempts[0].dispatch);
  CHECK(h.StateName() == "cold");
  CHECK(h.State(0).start == StartId(999));
  h.End(attempts[1].dispatch);
  CHECK(h.StateName() == "cold");
  CHECK(h.State(0).start == StartId(999));
  CHECK(h.Limit() == 1);
}

TEST_CASE(
    "after a lost connection a server gets one request at a time until its start id is confirmed") {
  for (const auto result :
       {DispatchResult::kBroken, DispatchResult::kConnectRefused, DispatchResult::kNotSent}) {
    Harness h;
    h.WarmUp();
    for (int i = 0; i < 2; ++i) h.Submit(Reserve());
    const auto attempts = h.All<StartDispatch>();
    h.End(attempts[0].dispatch, result, true);
    CHECK(h.StateName() == "unverified");
    CHECK(h.Limit() == 1);
    h.End(attempts[1].dispatch);  // Began before the failure, so it confirms nothing.
    CHECK(h.StateName() == "unverified");
    SUBCASE("same start") {
      h.Submit();
      h.EndAll();
      CHECK(h.StateName() == "warm");
      CHECK(h.Limit() == 4);
    }
    SUBCASE("new start") {
      h.starts[0] = 555;
      h.Submit();
      h.EndAll();
      CHECK(h.StateName() == "cold");
      CHECK(h.Limit() == 1);
    }
  }
}

TEST_CASE("an idle period, a new lease and a return to the list make a server unverified") {
  Harness h;
  h.WarmUp();
  SUBCASE("idle") {
    h.Advance(std::chrono::seconds(31));
    for (int i = 0; i < 3; ++i) h.Submit();
  }
  SUBCASE("new lease") {
    h.dispatcher.MarkAllUnverified(h.now);
    for (int i = 0; i < 3; ++i) h.Submit();
  }
  SUBCASE("return") {
    const auto infos = h.infos;
    h.infos.clear();
    h.SetServers();
    h.infos = infos;
    h.SetServers();
    for (int i = 0; i < 3; ++i) h.Submit();
  }
  CHECK(h.running.size() == 1);
  h.EndAll();
  CHECK(h.running.size() == 2);
  CHECK(h.Limit() == 4);
}

TEST_CASE("a starting server keeps its first limit for cold_hold, whatever it answers") {
  Harness h(1, 4, {});
  for (int i = 0; i < 190; ++i) {
    h.Submit();
    h.Run(10 * kMs);
    CHECK(h.running.size() <= 1);
    h.EndAll();
  }
  CHECK(h.Limit() == 1);
  h.Run(200 * kMs);
  h.Submit();
  CHECK(h.Limit() == 2);
}

TEST_CASE("the former owner's handover applies after one answer with the same start id") {
  Harness h;
  bool warm = true;
  SUBCASE("warm, same start") {}
  SUBCASE("warm, another start") { h.starts[0] = 999; }
  SUBCASE("cold") { warm = false; }
  const bool same = h.starts[0] == 100;
  h.dispatcher.ApplyHandovers({{h.infos[0].name, StartId(100), warm}}, h.now);
  h.SetLimitShare(LimitShare::kReduced);
  CHECK(h.Limit() == (warm ? 1 : 0));
  h.SetLimitShare(LimitShare::kFull);
  for (int i = 0; i < 6; ++i) h.Submit();
  CHECK(h.running.size() == 1);
  h.EndAll();
  CHECK(h.Limit() == (warm && same ? 4 : 1));
  const auto known = h.dispatcher.Handovers();
  REQUIRE(known.size() == 1);
  CHECK(known[0].warm == (warm && same));
  CHECK(known[0].start == StartId(h.starts[0]));
}

TEST_CASE("a server known to be cold gets requests under kWarm once its cold time is over") {
  Harness h(1, 4, {});
  h.dispatcher.ApplyHandovers({{h.infos[0].name, StartId(100), false}}, h.now);
  h.SetLimitShare(LimitShare::kWarm);
  h.Submit();
  CHECK(h.running.empty());
  h.Run(2100 * kMs);
  h.Submit();
  CHECK(h.running.size() == 1);
}

TEST_CASE("a load endpoint can lower a limit but not raise it") {
  Harness h;
  h.infos[0].announced_cold = true;
  h.SetServers();
  h.Probe(0, {{}, true, StartId(100), false, false, 0});
  CHECK(h.Limit() == 1);
  Harness warm;
  warm.WarmUp();
  SUBCASE("reports cold") { warm.Probe(0, {{}, true, StartId(100), true, false, 0}); }
  SUBCASE("another start") { warm.Probe(0, {{}, true, StartId(101), false, false, 0}); }
  CHECK(warm.StateName() == "cold");
  CHECK(warm.Limit() == 1);
}

TEST_CASE("a load endpoint that reports draining cannot take the last server out of service") {
  Harness h(2);
  h.WarmUp();
  for (int i = 0; i < 2; ++i) h.Probe(i, {{}, true, StartId(), false, true, 0});
  CHECK(h.StateName(0) == "leaving");
  CHECK(h.StateName(1) == "warm");
  h.Advance(std::chrono::seconds(5));
  h.Submit();
  CHECK(h.StateName(0) == "warm");
}

TEST_CASE("a leaving server gets no new requests and its attempts continue") {
  Harness h(2);
  h.WarmUp();
  for (int i = 0; i < 8; ++i) h.Submit();
  h.infos[0].leaving = true;
  h.SetServers();
  CHECK(h.StateName(0) == "leaving");
  h.Clear();
  h.EndAll();
  CHECK(h.Count<RelayAnswer>() == 8);
  for (int i = 0; i < 6; ++i) h.Submit();
  for (const auto& start : h.All<StartDispatch>()) CHECK(start.server.str() == "s1");
  h.infos[1].leaving = true;
  h.SetServers();
  CHECK(h.Count<ReturnToRouter>() == 2);
}

TEST_CASE("probes stay within their rate and a pause allows only one") {
  Harness h(8);
  h.Run(std::chrono::seconds(10));
  CHECK(h.Count<StartProbe>() >= 5);
  CHECK(h.Count<StartProbe>() <= 10);
  h.Clear();
  h.Advance(std::chrono::minutes(5));
  for (int i = 0; i < 5; ++i) h.dispatcher.Tick(h.now, h.actions);
  CHECK(h.Count<StartProbe>() == 1);
  h.Clear();
  h.SetLimitShare(LimitShare::kWarm);
  h.Run(std::chrono::seconds(60));
  CHECK(h.Count<StartProbe>() == 0);
  h.SetLimitShare(LimitShare::kFull);
  h.dispatcher.Tick(h.now, h.actions);
  CHECK(h.Count<StartProbe>() == 0);
}

}  // namespace mulberry
