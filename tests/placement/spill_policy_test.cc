#include <doctest/doctest.h>

#include "libplacement/placement.h"

namespace mulberry::placement {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A policy with 2 ms between data centres and a price of 100 ms for 1 MiB.
struct Fixture {
  bool Ask() {
    now += milliseconds(10);
    return policy.Allows(inputs, now);
  }
  bool AskFor(Duration time) {
    bool last = false;
    for (const TimePoint end = now + time; now < end;) last = Ask();
    return last;
  }

  SpillPolicy policy{{.one_way = milliseconds(2), .price_ms_per_mib = 100}, 0};
  SpillInputs inputs{.here = milliseconds(200),
                     .there = milliseconds(60),
                     .spare = 8,
                     .senders = 4,
                     .bytes = 4096};
  TimePoint now{seconds(100)};
};

TEST_CASE_FIXTURE(Fixture, "a short wait sends nothing away; a lasting one does until it is over") {
  CHECK_FALSE(Ask());
  inputs.here = milliseconds(60);
  CHECK_FALSE(AskFor(seconds(1)));
  inputs.here = milliseconds(200);
  CHECK(AskFor(milliseconds(100)));
  // Reports that differ for a moment do not stop it.
  inputs.here = milliseconds(40);
  AskFor(milliseconds(200));
  CHECK(policy.active());
  AskFor(milliseconds(200));
  CHECK_FALSE(policy.active());
}

TEST_CASE_FIXTURE(Fixture, "a large download stays where a lookup leaves") {
  CHECK(AskFor(milliseconds(100)));
  inputs.bytes = 4 << 20;
  CHECK_FALSE(Ask());
  // Without a usable server here the price does not matter.
  inputs.here = Duration::max();
  CHECK(Ask());
}

TEST_CASE("all senders together add at most what the other side can spare") {
  for (const double spare : {0.5, 3.0, 10.0}) {
    double sum = 0;
    constexpr int kRounds = 50;
    for (int sender = 0; sender < 6; ++sender) {
      Fixture one;
      one.policy = SpillPolicy({}, sender / 6.0);
      one.inputs.spare = spare;
      one.inputs.senders = 6;
      REQUIRE_FALSE(one.AskFor(milliseconds(40)));
      for (int round = 0; round < kRounds; ++round) {
        one.now += milliseconds(100);
        one.inputs.in_flight = 0;
        while (one.policy.Allows(one.inputs, one.now)) ++one.inputs.in_flight;
        sum += one.inputs.in_flight;
      }
    }
    CAPTURE(spare);
    CHECK(sum / kRounds <= spare + 0.2);
    CHECK(sum / kRounds >= spare * 0.8);
  }
}

TEST_CASE_FIXTURE(Fixture, "old news and servers that have too many allow nothing new") {
  CHECK(AskFor(milliseconds(100)));
  inputs.in_flight = 4;
  SUBCASE("old news") { inputs.news_age = milliseconds(400); }
  SUBCASE("too many") { inputs.spare = -1; }
  CHECK_FALSE(AskFor(milliseconds(200)));
  inputs.in_flight = 0;
  // A request whose answer brings news.
  CHECK(AskFor(milliseconds(110)) == (inputs.news_age >= milliseconds(400)));
}

}  // namespace
}  // namespace mulberry::placement
