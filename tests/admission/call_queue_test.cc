#include <doctest/doctest.h>

#include "libadmission/admission.h"

namespace mulberry::admission {
namespace {

using std::chrono::milliseconds;

const TimePoint start_time(std::chrono::seconds(10));
constexpr Duration kServiceTime = milliseconds(10);
constexpr Duration kTarget = milliseconds(200);
constexpr Duration kTimeout = milliseconds(800);

QueuedCall CallOf(std::uint64_t id, const char* workspace, TimePoint arrived = start_time) {
  return {CallId(id), 1,      arrived + kTarget, arrived + kTimeout, WorkspaceName(workspace),
          arrived,    arrived};
}

/// A queue whose servers have taken 100 calls of the workspace "large" in the last 200 ms.
CallQueue BusyQueue() {
  CallQueue queue;
  queue.SetFairShares(true);
  for (std::uint64_t i = 0; i < 100; ++i) {
    const TimePoint at = start_time - milliseconds(2 * i);
    queue.OnArrival(CallOf(1000 + i, "large", at), at);
    queue.OnDispatch(CallOf(1000 + i, "large", at), at);
  }
  return queue;
}

bool Enqueue(CallQueue& queue, const QueuedCall& call, TimePoint now) {
  queue.OnArrival(call, now);
  return queue.TryEnqueue(call, kServiceTime, now);
}

// Guards against a workspace that sends much and takes all places before others come.
TEST_CASE("a workspace that was served more comes after one that was served less") {
  CallQueue queue = BusyQueue();
  REQUIRE(Enqueue(queue, CallOf(1, "large"), start_time));
  REQUIRE(Enqueue(queue, CallOf(2, "small", start_time + milliseconds(1)), start_time));
  CHECK(queue.Next(kServiceTime, start_time).id == CallId(2));
  queue.SetFairShares(false);
  CHECK(queue.Next(kServiceTime, start_time).id == CallId(1));
}

// Guards against callers that repeat at once and overtake those that waited as told.
TEST_CASE("within a workspace the request that was first sent earlier comes first") {
  CallQueue queue = BusyQueue();
  REQUIRE(Enqueue(queue, CallOf(1, "large"), start_time));
  QueuedCall returned = CallOf(2, "large", start_time + milliseconds(1));
  returned.first_arrived = start_time - milliseconds(100);
  REQUIRE(Enqueue(queue, returned, start_time));
  CHECK(queue.Next(kServiceTime, start_time).id == CallId(2));
}

// Guards against late refusals: a call is refused within an eighth of its target or kept.
TEST_CASE("a waiting call is reviewed at an eighth of its target and then kept to its deadline") {
  CallQueue queue = BusyQueue();
  const QueuedCall call = CallOf(1, "large");
  REQUIRE(Enqueue(queue, call, start_time));
  const TimePoint review = start_time + kTarget / 8;
  CHECK(queue.FailTime(call, kServiceTime, start_time) == review);
  CHECK(queue.ShouldKeep(call, kServiceTime, review));
  CHECK(queue.FailTime(call, kServiceTime, review) > start_time + kTimeout - kServiceTime);
  for (std::uint64_t i = 2; i < 102; ++i) Enqueue(queue, CallOf(i, "small"), start_time);
  CHECK(!queue.ShouldKeep(call, kServiceTime, review));
}

// Guards against an entry that stays behind in one of the queue's orders and is returned again.
TEST_CASE("a call that is removed is gone from both orders, whatever becomes of its workspace") {
  CallQueue queue = BusyQueue();
  REQUIRE(Enqueue(queue, CallOf(1, "small"), start_time));
  REQUIRE(Enqueue(queue, CallOf(2, "large"), start_time));
  queue.Remove(CallId(1));
  queue.Remove(CallId(1));
  for (const bool fair : {true, false}) {
    queue.SetFairShares(fair);
    CHECK(queue.size() == 1);
    CHECK(queue.Next(kServiceTime, start_time).id == CallId(2));
  }
  queue.Remove(CallId(2));
  CHECK(queue.empty());
}

}  // namespace
}  // namespace mulberry::admission
