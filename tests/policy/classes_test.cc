#include <doctest/doctest.h>

#include <string>

#include "harness.h"

namespace mulberry {
namespace {

/// Classes that compete for one warm server with one slot.
struct Contention {
  explicit Contention(std::vector<ClassTarget> classes,
                      DispatcherOptions options = Harness::WithShortHold())
      : h(1, 1, options) {
    h.WarmUp();
    h.dispatcher.SetClasses(std::move(classes), h.now, h.actions);
    h.Clear();
  }
  /// Answers up to `count` requests after 10 ms each. Returns their class names in order of
  /// service.
  std::string Serve(int count, const std::vector<ClassName>& names) {
    std::string order;
    for (int i = 0; i < count && !h.running.empty(); ++i) {
      const RequestId id = h.running.begin()->second.request;
      order += names[id.value()].str();
      h.Advance(10 * kMs);
      h.EndAll();
    }
    return order;
  }
  Harness h;
};

}  // namespace

TEST_CASE("the earliest due time is served first while all targets can be met") {
  Contention c({{ClassName("a"), true, 900 * kMs, 0.9}, {ClassName("b"), true, 300 * kMs, 0.9}});
  std::vector<ClassName> names(c.h.last_request + 1);
  for (const char* name : {"a", "a", "a", "b", "b", "a"}) {
    names.emplace_back(name);
    c.h.Submit(ClassName(name), std::chrono::seconds(5));
  }
  CHECK(c.Serve(6, names) == "abbaaa");
}

TEST_CASE("a flood of one class does not starve another") {
  Contention c({{ClassName("f"), true, 20 * kMs, 0.99}, {ClassName("s"), true, 400 * kMs, 0.9}});
  std::vector<ClassName> names(c.h.last_request + 1);
  std::size_t small_answered = 0;
  std::size_t small = 0;
  for (int i = 0; i < 400; ++i) {
    for (int n = 0; n < 3; ++n) c.h.Submit(ClassName("f"), 300 * kMs);
    names.resize(c.h.last_request + 1, ClassName("f"));
    if (i % 4 == 0) {
      names.emplace_back("s");
      c.h.Submit(ClassName("s"), 500 * kMs);
      ++small;
    }
    if (c.Serve(1, names) == "s") ++small_answered;
  }
  CHECK(small_answered >= small - 2);
}

TEST_CASE("in overload the class that misses its reliability target by more is served first") {
  Contention c({{ClassName("l"), true, 40 * kMs, 0.5}, {ClassName("h"), true, 40 * kMs, 0.999}});
  std::vector<ClassName> names(c.h.last_request + 1);
  int high = 0;
  int low = 0;
  for (int i = 0; i < 600; ++i) {
    for (const char* name : {"l", "h"}) {
      names.emplace_back(name);
      c.h.Submit(ClassName(name), 200 * kMs);
    }
    const std::string served = c.Serve(1, names);
    high += served == "h" ? 1 : 0;
    low += served == "l" ? 1 : 0;
  }
  CHECK(high >= low);
  CHECK(low > 200);  // The fair share of class l.
}

TEST_CASE("a full queue sheds the class with the lowest reliability target first") {
  DispatcherOptions options = Harness::WithShortHold();
  options.queue_per_slot = 6;
  Contention c({{ClassName("l"), true, 900 * kMs, 0.9}, {ClassName("h"), true, 900 * kMs, 0.99}},
               options);
  const auto submit = [&](const char* name) {
    c.h.Clear();
    const RequestId id = c.h.Submit(ClassName(name), std::chrono::seconds(5));
    const auto returned = c.h.All<ReturnToRouter>();
    if (returned.empty()) return std::string("kept");
    return std::string(returned[0].request == id ? "refused " : "shed ") +
           RefusalReasonName(returned[0].reason);
  };
  for (int i = 0; i < 7; ++i) CHECK(submit("l") == "kept");  // One is running, six are queued.
  CHECK(submit("l") == "refused queue_full");
  for (int i = 0; i < 3; ++i) CHECK(submit("h") == "shed shed_for_other_class");
  CHECK(submit("h") == "refused queue_full");  // Both classes hold their fair share of the queue.
  CHECK(submit("l") == "refused queue_full");
}

TEST_CASE("a request whose deadline cannot be met is returned immediately with the reason") {
  Harness h(1, 1);
  h.WarmUp();
  CHECK(h.dispatcher.ExpectedWait(Lookup()) == Duration::zero());
  for (int i = 0; i < 5; ++i) h.Submit();
  CHECK(h.dispatcher.ExpectedWait(Lookup()) > 40 * kMs);
  h.Submit(Lookup(), 20 * kMs);
  h.Submit(ClassName("unknown"));
  h.Submit(Lookup(), Duration::zero());
  const auto returned = h.All<ReturnToRouter>();
  REQUIRE(returned.size() == 3);
  CHECK(returned[0].reason == RefusalReason::kDeadlineUnreachable);
  CHECK(returned[1].reason == RefusalReason::kNoServer);
  CHECK(returned[2].reason == RefusalReason::kDeadlinePassed);
}

TEST_CASE("a request that expires in the queue is refused as not run, to the microsecond") {
  Harness h(1, 1);
  h.WarmUp();
  h.Submit();
  h.Submit(Lookup(), 60 * kMs);
  h.Run(60 * kMs - Duration(1));
  CHECK(h.Count<RefuseRequest>() == 0);
  h.Run(Duration(1));
  REQUIRE(h.Count<RefuseRequest>() == 1);
  CHECK(h.All<RefuseRequest>()[0].reason == RefusalReason::kDeadlinePassed);
  CHECK_FALSE(h.All<RefuseRequest>()[0].may_have_run);
}

TEST_CASE("queued requests of a removed class are refused and running ones are answered") {
  Harness h(1, 1);
  h.WarmUp();
  for (int i = 0; i < 3; ++i) h.Submit();
  h.dispatcher.SetClasses({{Reserve(), false, 200 * kMs, 0.999}}, h.now, h.actions);
  CHECK(h.Count<RefuseRequest>() == 2);
  h.EndAll();
  CHECK(h.Count<RelayAnswer>() == 1);
  CHECK(h.dispatcher.Idle());
}

TEST_CASE("dispatch ids start at the id given in the options") {
  DispatcherOptions options = Harness::WithShortHold();
  options.first_dispatch_id = 7000;
  Harness h(2, 4, options);
  h.Submit();
  h.Submit();
  CHECK(h.All<StartDispatch>()[0].dispatch == DispatchId(7000));
  CHECK(h.All<StartDispatch>()[1].dispatch == DispatchId(7001));
}

}  // namespace mulberry
