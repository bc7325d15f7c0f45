#include <doctest/doctest.h>

#include "harness.h"

namespace mulberry {
namespace {

constexpr int kRequestsPerRound = 13;

/// Ends every attempt on the first `failing` servers with `result` and answers the others. Each
/// round of 1 ms submits more requests than three servers have slots, so that the fourth is used.
void RunRequests(Harness& h, int failing, int rounds, DispatchResult result,
                 const ClassName& name = Lookup()) {
  for (int i = 0; i < rounds * kRequestsPerRound; ++i) {
    h.Submit(name);
    if ((i + 1) % kRequestsPerRound != 0) continue;
    h.Advance(kMs);
    while (!h.running.empty()) {
      const auto [dispatch, attempt] = *h.running.begin();
      const bool fails = std::stoi(attempt.server.substr(1)) < failing;
      h.End(DispatchId(dispatch), fails ? result : DispatchResult::kAnswered);
    }
  }
}

int CountAttempts(const Harness& h, const std::string& server) {
  int count = 0;
  for (const auto& start : h.All<StartDispatch>()) count += start.server.str() == server ? 1 : 0;
  return count;
}

}  // namespace

TEST_CASE("a server that fails fast is ejected and readmitted after a single trial") {
  for (const auto result : {DispatchResult::kServerError, DispatchResult::kConnectRefused}) {
    DispatcherOptions options = Harness::WithShortHold();
    options.probes_per_second = 0;
    Harness h(4, 4, options);
    h.WarmUp();
    RunRequests(h, 1, 200, result, Reserve());
    CHECK(h.StateName(0) == "ejected");
    CHECK(CountAttempts(h, "s0") <= 7);
    h.Clear();
    h.Run(500 * kMs);
    RunRequests(h, 1, 50, result);
    CHECK(CountAttempts(h, "s0") == 1);
    h.Run(500 * kMs);
    h.Clear();
    RunRequests(h, 1, 50, result);
    CHECK(CountAttempts(h, "s0") == 0);  // The backoff has doubled.
    h.Run(1000 * kMs);
    RunRequests(h, 0, 100, result);
    CHECK(h.StateName(0) == "warm");
  }
}

TEST_CASE("errors from every server eject none, unreachable servers are ejected up to half") {
  Harness errors(4);
  errors.WarmUp();
  RunRequests(errors, 4, 200, DispatchResult::kServerError);
  for (int i = 0; i < 4; ++i) CHECK(errors.StateName(i) == "warm");

  DispatcherOptions options = Harness::WithShortHold();
  options.probes_per_second = 0;
  Harness h(4, 4, options);
  h.WarmUp();
  RunRequests(h, 4, 60, DispatchResult::kConnectRefused);
  int ejected = 0;
  for (int i = 0; i < 4; ++i) ejected += h.StateName(i) == "ejected" ? 1 : 0;
  CHECK(ejected == 2);
  h.Clear();
  for (int i = 0; i < 20; ++i) h.Submit(Reserve());
  CHECK(h.running.size() == 2);  // One at each server that is not ejected.
  CHECK(h.Count<ReturnToRouter>() == 18);
  CHECK(h.All<ReturnToRouter>()[0].reason == RefusalReason::kNoServer);
}

TEST_CASE("a probe shortens or extends an ejection") {
  Harness h(4);
  h.WarmUp();
  RunRequests(h, 1, 100, DispatchResult::kConnectRefused);
  REQUIRE(h.StateName(0) == "ejected");
  h.Probe(0, {{}, false, StartId(), false, false, 0});
  h.Advance(900 * kMs);
  CHECK(h.Limit(0) == 0);
  h.Probe(0, {{}, true, StartId(100), false, false, 0});
  CHECK(h.Limit(0) == 1);
}

TEST_CASE("retries are made only where they cannot run a request twice") {
  struct Case {
    ClassName name;
    DispatchResult result;
    bool item_no_retry;
    bool report_no_retry;
    bool retried;
    bool may_have_run;
  };
  using R = DispatchResult;
  const Case cases[] = {
      {Lookup(), R::kShed, false, false, true, false},
      {Lookup(), R::kConnectRefused, false, false, true, false},
      {Lookup(), R::kBroken, false, false, true, true},
      {Lookup(), R::kServerError, false, false, true, true},
      {Lookup(), R::kBroken, true, false, false, true},
      {Lookup(), R::kShed, true, false, false, false},
      {Lookup(), R::kShed, false, true, false, false},
      {Reserve(), R::kShed, false, false, true, false},
      {Reserve(), R::kNotSent, false, false, true, false},
      {Reserve(), R::kConnectRefused, false, false, true, false},
      {Reserve(), R::kBroken, false, false, false, true},
      {Reserve(), R::kTimedOut, false, false, false, true},
      {Reserve(), R::kCancelled, false, false, false, true},
  };
  for (const Case& c : cases) {
    CAPTURE(static_cast<int>(c.result));
    CAPTURE(c.name.str());
    Harness h(3);
    h.WarmUp();
    h.Submit(c.name, 1000 * kMs, c.item_no_retry);
    const auto first = h.All<StartDispatch>()[0];
    h.End(first.dispatch, c.result, c.report_no_retry);
    CHECK(h.Count<StartDispatch>() == (c.retried ? 2 : 1));
    if (c.retried) {
      CHECK(h.All<StartDispatch>()[1].server != first.server);
      h.EndAll(R::kBroken);
      h.Run(1000 * kMs);
    }
    if (!c.retried) {
      REQUIRE(h.Count<RefuseRequest>() == 1);
      CHECK(h.All<RefuseRequest>()[0].reason == RefusalReason::kServerFailed);
      CHECK(h.All<RefuseRequest>()[0].may_have_run == c.may_have_run);
    }
  }
}

TEST_CASE("a server error is relayed when no retry is allowed") {
  Harness h(2);
  h.WarmUp();
  h.Submit(Reserve());
  h.EndAll(DispatchResult::kServerError);
  CHECK(h.Count<RelayAnswer>() == 1);
  CHECK(h.Count<StartDispatch>() == 1);
}

TEST_CASE("a request that may have run stays marked after later attempts that did not run") {
  Harness h(3);
  h.WarmUp();
  h.Submit();
  h.EndAll(DispatchResult::kBroken);
  h.EndAll(DispatchResult::kShed);
  h.EndAll(DispatchResult::kShed);
  REQUIRE(h.Count<RefuseRequest>() == 1);
  CHECK(h.All<RefuseRequest>()[0].reason == RefusalReason::kAttemptsExhausted);
  CHECK(h.All<RefuseRequest>()[0].may_have_run);
}

TEST_CASE("the retry budget limits retries to a ratio of first attempts") {
  Harness h(8);
  h.WarmUp();
  const auto before = h.dispatcher.Stats();
  for (int i = 0; i < 400; ++i) {
    h.Submit();
    h.Advance(kMs);
    while (!h.running.empty()) {
      h.EndAll(i % 2 == 0 ? DispatchResult::kShed : DispatchResult::kAnswered);
    }
  }
  const auto after = h.dispatcher.Stats();
  CHECK(after.retries - before.retries <= 43);
  CHECK(after.retries - before.retries >= 30);
  bool spent = false;
  for (const auto& r : h.All<RefuseRequest>()) {
    spent = spent || r.reason == RefusalReason::kRetryBudgetSpent;
  }
  CHECK(spent);
}

TEST_CASE(
    "a hedge starts after the usual latency, the first answer is relayed, the other cancelled") {
  Harness h(2);
  h.WarmUp();
  h.Submit();
  const auto first = h.All<StartDispatch>()[0];
  h.Run(9 * kMs);
  CHECK(h.Count<StartDispatch>() == 1);
  h.Run(20 * kMs);
  REQUIRE(h.Count<StartDispatch>() == 2);
  const auto second = h.All<StartDispatch>()[1];
  CHECK(second.server != first.server);
  CHECK(second.retry == RetryReason::kHedge);
  h.End(second.dispatch);
  REQUIRE(h.Count<RelayAnswer>() == 1);
  CHECK(h.All<RelayAnswer>()[0].dispatch == second.dispatch);
  CHECK(h.All<CancelDispatch>()[0].dispatch == first.dispatch);
  CHECK(h.dispatcher.Stats().in_flight == 1);  // Occupies its slot until its end is reported.
  h.End(first.dispatch);
  CHECK(h.Count<RelayAnswer>() == 1);
  CHECK(h.dispatcher.Idle());
}

TEST_CASE("no hedge for non-idempotent classes, no-retry requests, or while requests are queued") {
  Harness h(2, 1);
  h.WarmUp();
  SUBCASE("non-idempotent") { h.Submit(Reserve()); }
  SUBCASE("no retry") { h.Submit(Lookup(), 1000 * kMs, true); }
  SUBCASE("no free server") {
    h.Submit();
    h.Submit();
  }
  SUBCASE("group draining") {
    h.Submit();
    h.dispatcher.SetDraining(true, h.now, h.actions);
  }
  const auto started = h.Count<StartDispatch>();
  h.Run(500 * kMs);
  CHECK(h.Count<StartDispatch>() == started);
}

TEST_CASE("a server with an overdue attempt is avoided while others have free slots") {
  Harness h(2, 4);
  h.WarmUp();
  h.Submit(Reserve());
  const std::string slow = h.running.begin()->second.server;
  h.Run(60 * kMs);
  h.Clear();
  for (int i = 0; i < 4; ++i) h.Submit(Reserve());
  for (const auto& start : h.All<StartDispatch>()) CHECK(start.server.str() != slow);
  CHECK(h.Count<StartDispatch>() == 4);
  // Only the slow server has free slots: requests wait briefly for the other one, then use them.
  for (int i = 0; i < 8; ++i) h.Submit(Reserve());
  h.Run(50 * kMs);
  CHECK(h.running.size() == 8);
}

TEST_CASE("a draining group returns or refuses queued requests and starts no attempts") {
  Harness h(2, 1);
  h.WarmUp();
  for (int i = 0; i < 3; ++i) h.Submit();
  const auto starts = h.All<StartDispatch>();
  h.End(starts[0].dispatch, DispatchResult::kBroken);  // Queued for a retry on the other server.
  h.Clear();
  h.dispatcher.SetDraining(true, h.now, h.actions);
  h.End(starts[1].dispatch, DispatchResult::kShed);
  h.Submit();
  h.EndAll(DispatchResult::kAnswered);
  CHECK(h.Count<StartDispatch>() == 0);
  for (const auto& r : h.All<ReturnToRouter>()) CHECK(r.reason == RefusalReason::kLeaving);
  for (const auto& r : h.All<RefuseRequest>()) CHECK(r.reason == RefusalReason::kLeaving);
  CHECK(h.dispatcher.Idle());
  h.dispatcher.SetDraining(false, h.now, h.actions);
  h.Submit();
  CHECK(h.Count<StartDispatch>() == 1);
}

TEST_CASE("a disconnected caller ends its request; a non-idempotent attempt continues") {
  Harness h;
  h.WarmUp();
  h.dispatcher.Cancel(h.Submit(), h.now, h.actions);
  CHECK(h.Count<CancelDispatch>() == 1);
  h.dispatcher.Cancel(h.Submit(Reserve()), h.now, h.actions);
  CHECK(h.Count<CancelDispatch>() == 1);
  for (const auto& r : h.All<RefuseRequest>()) {
    CHECK(r.reason == RefusalReason::kCancelled);
    CHECK(r.may_have_run);
  }
  CHECK(h.dispatcher.Stats().in_flight == 2);
  h.EndAll();
  CHECK(h.Count<RelayAnswer>() == 0);
  CHECK(h.dispatcher.Idle());
}

// Guards against a second run of a request whose class is declared idempotent while it runs.
TEST_CASE("a request that must not run twice stays so when its class becomes idempotent") {
  enum class Change { kBeforeSubmit, kWhileRunning, kWhileRunningAfterRemoval };
  const std::vector<ClassTarget> all_idempotent = {{Lookup(), true, 100 * kMs, 0.99},
                                                   {Reserve(), true, 200 * kMs, 0.999}};
  for (const bool server_fails : {false, true}) {
    for (const Change change :
         {Change::kBeforeSubmit, Change::kWhileRunning, Change::kWhileRunningAfterRemoval}) {
      CAPTURE(server_fails);
      CAPTURE(static_cast<int>(change));
      Harness h(2);
      h.WarmUp();
      if (change == Change::kBeforeSubmit) h.SetClasses(all_idempotent);
      h.Submit(Reserve(), 1000 * kMs, false, change != Change::kBeforeSubmit);
      if (change == Change::kWhileRunningAfterRemoval) {
        h.SetClasses({{Lookup(), true, 100 * kMs, 0.99}});
      }
      h.SetClasses(all_idempotent);
      h.Run(400 * kMs);
      CHECK(h.Count<StartDispatch>() == 1);
      h.EndAll(server_fails ? DispatchResult::kServerError : DispatchResult::kBroken);
      CHECK(h.Count<StartDispatch>() == 1);
      CHECK(h.Count<RelayAnswer>() == (server_fails ? 1 : 0));
      CHECK(h.Count<RefuseRequest>() == (server_fails ? 0 : 1));
    }
  }
}

}  // namespace mulberry
