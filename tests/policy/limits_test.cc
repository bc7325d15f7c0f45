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

TEST_CASE("a timeout of an attempt that had little time does not keep a cold server cold") {
  Harness h(1, 4, {});
  bool short_deadline = true;
  SUBCASE("less time than the latency target") {}
  SUBCASE("more time than the latency target") { short_deadline = false; }
  const Duration deadline = (short_deadline ? 20 : 500) * kMs;
  for (int i = 0; i < 20; ++i) {
    for (int answered = 0; answered < 2; ++answered) {
      h.Submit();
      h.Run(10 * kMs);
      h.EndAll();
    }
    h.Submit(Lookup(), deadline, true);
    h.Run(deadline - 1 * kMs);
    h.EndAll(DispatchResult::kTimedOut);
    h.Run(520 * kMs - deadline);
  }
  h.Submit();
  CHECK(h.Limit() == (short_deadline ? 4 : 1));
}

TEST_CASE("the former owner's handover applies after one answer with the same start id") {
  Harness h;
  bool warm = true;
  SUBCASE("warm, same start") {}
  SUBCASE("warm, another start") { h.starts[0] = 999; }
  SUBCASE("cold") { warm = false; }
  const bool same = h.starts[0] == 100;
  h.dispatcher.ApplyHandovers({{h.infos[0].name, StartId(100), warm, 1, h.now + 2000 * kMs}},
                              h.now);
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

TEST_CASE("a new owner continues the cold ramp where the former owner was") {
  Harness former(1, 4, {});
  std::uint32_t limit = 1;
  Duration cold_left = 1000 * kMs;
  SUBCASE("within the first hold") { former.Run(1000 * kMs); }
  SUBCASE("later in the ramp") {
    former.Run(2000 * kMs);
    limit = 3;
    cold_left = Duration::zero();
  }
  former.Submit();
  former.EndAll();
  const TimePoint cold_until = former.now + cold_left;
  Harness next(1, 4, {});
  next.now = former.now;
  next.dispatcher.ApplyHandovers({{next.infos[0].name, StartId(100), false, limit, cold_until}},
                                 next.now);
  next.SetLimitShare(LimitShare::kFull);
  const auto answer = [&](int count) {
    for (int i = 0; i < count; ++i) {
      next.Submit();
      next.EndAll();
    }
  };
  // The first answer shows that the server has not started again.
  answer(1);
  CHECK(next.Limit() == limit);
  next.Run(cold_left + 250 * kMs);
  answer(8);
  CHECK(next.Limit() == limit + 1);
  const auto handovers = next.dispatcher.Handovers();
  REQUIRE(handovers.size() == 1);
  CHECK((handovers[0].warm || handovers[0].limit == 2));
}

TEST_CASE("one late answer does not end a step of the cold ramp, two in a row do") {
  Harness h(1, 4, {});
  const auto answer = [&](Duration time) {
    h.Submit();
    h.Run(time);
    h.EndAll();
  };
  answer(10 * kMs);
  h.Run(2000 * kMs);
  for (int i = 0; i < 7; ++i) answer(10 * kMs);
  answer(150 * kMs);
  bool one = true;
  SUBCASE("one") {}
  SUBCASE("two") {
    one = false;
    answer(150 * kMs);
  }
  answer(10 * kMs);
  CHECK(h.Limit() == (one ? 2 : 1));
}

TEST_CASE("an overload within the ramp does not make a server wait for cold_hold again") {
  Harness h(1, 4, {});
  const auto answer = [&](int count) {
    for (int i = 0; i < count; ++i) {
      h.Submit();
      h.EndAll();
    }
  };
  answer(1);
  SUBCASE("while the limit is the lowest") {
    h.Run(1700 * kMs);
    for (int i = 0; i < 2; ++i) {
      h.Submit();
      h.Run(150 * kMs);
      h.EndAll();
    }
  }
  SUBCASE("after the limit has risen") {
    h.Run(2100 * kMs);
    answer(8);
    CHECK(h.Limit() == 2);
    h.Submit(Lookup(), 1000 * kMs, true);
    h.EndAll(DispatchResult::kShed);
  }
  CHECK(h.Limit() == 1);
  h.Run(260 * kMs);
  answer(8);
  CHECK(h.Limit() == 2);
}

TEST_CASE("a server known to be cold gets requests under kWarm once its cold time is over") {
  Harness h(1, 4, {});
  h.dispatcher.ApplyHandovers({{h.infos[0].name, StartId(100), false, 1, h.now + 2000 * kMs}},
                              h.now);
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
