#include "libgateway/topic_follower.h"

#include <doctest/doctest.h>

#include <map>
#include <vector>

namespace mulberry::gateway {
namespace {

TopicRecord Put(const std::string& key, const std::string& value, std::uint64_t offset = 0) {
  return {key, value, Offset(offset)};
}
TopicRecord Removed(const std::string& key, std::uint64_t offset) {
  return {key, std::nullopt, Offset(offset)};
}

/// Applies the records that the follower delivers to a map.
struct Fixture {
  Fixture()
      : follower({.interval = std::chrono::milliseconds(700)},
                 [this](const TopicRecord& record, RecordSource source) {
                   sources.push_back(source);
                   if (record.value) {
                     state[record.key] = *record.value;
                   } else {
                     state.erase(record.key);
                   }
                 }) {}

  std::map<std::string, std::string> state;
  std::vector<RecordSource> sources;
  TopicFollower follower;
};

TEST_CASE_FIXTURE(Fixture,
                  "the newest records are read page by page, then the records written meanwhile") {
  CHECK(std::get<FollowNewest>(follower.Next()).after.empty());
  follower.OnNewest({{Put("a", "1")}, true, Offset(5)});
  CHECK(std::get<FollowNewest>(follower.Next()).after == "a");
  CHECK_FALSE(follower.complete());
  follower.OnNewest({{Put("b", "1")}, false, Offset(9)});
  CHECK(follower.complete());
  CHECK(std::holds_alternative<FollowPause>(follower.Next()));
  follower.OnPauseOver();
  CHECK(std::get<FollowRecords>(follower.Next()).from == Offset(5));
  follower.OnRecords({{Put("a", "2", 5), Removed("b", 6)}, Offset(7)});
  CHECK(state == std::map<std::string, std::string>{{"a", "2"}});
  CHECK(std::holds_alternative<FollowPause>(follower.Next()));
}

TEST_CASE_FIXTURE(Fixture, "a key that is missing after a gap counts as removed") {
  follower.OnNewest({{Put("a", "1"), Put("b", "1")}, false, Offset(2)});
  follower.OnRecords({{Put("c", "1", 2)}, Offset(3)});
  follower.OnExpired();
  CHECK(std::holds_alternative<FollowPause>(follower.Next()));
  follower.OnPauseOver();
  CHECK(std::holds_alternative<FollowNewest>(follower.Next()));
  follower.OnNewest({{Put("b", "2")}, false, Offset(40)});
  CHECK(state == std::map<std::string, std::string>{{"b", "2"}});
  follower.OnPauseOver();
  CHECK(std::get<FollowRecords>(follower.Next()).from == Offset(40));
}

TEST_CASE_FIXTURE(Fixture, "relayed records are applied when no earlier ones are missing") {
  follower.OnNewest({{}, false, Offset(5)});
  CHECK(follower.OnRelayed({Offset(5), Offset(8), {}, {Put("a", "1", 6)}}));
  CHECK(follower.position().offset == Offset(8));
  CHECK(follower.OnRelayed({Offset(6), Offset(8), {}, {Put("a", "old", 7)}}));
  CHECK(state["a"] == "1");
  CHECK_FALSE(follower.OnRelayed({Offset(9), Offset(12), {}, {Put("a", "3", 10)}}));
  CHECK(follower.position().offset == Offset(8));
}

TEST_CASE_FIXTURE(Fixture, "records already relayed by another host are not applied again") {
  follower.OnNewest({{}, false, Offset(5)});
  CHECK(follower.OnRelayed({Offset(5), Offset(8), {}, {Put("a", "1", 5), Put("a", "2", 7)}}));
  // The response to a read that was sent earlier.
  follower.OnRecords({{Put("a", "1", 5)}, Offset(6)});
  CHECK(state["a"] == "2");
  CHECK(follower.position().offset == Offset(8));
}

TEST_CASE_FIXTURE(Fixture, "a failed read is retried after a randomised pause") {
  follower.OnFailed(0, false);
  const Duration least = std::get<FollowPause>(follower.Next()).wait;
  follower.OnNewest({{}, false, Offset(5)});
  follower.OnFailed(1, false);
  const Duration most = std::get<FollowPause>(follower.Next()).wait;
  CHECK(least > Duration::zero());
  CHECK(most > least);
}

TEST_CASE_FIXTURE(Fixture,
                  "the pause grows with consecutive failures, and is longest while others read") {
  const FollowOptions options;
  Duration pause{};
  for (int i = 0; i < 6; ++i) {
    follower.OnFailed(1, false);
    const Duration next = std::get<FollowPause>(follower.Next()).wait;
    CHECK(next >= pause);
    CHECK(next <= options.max_retry_pause);
    pause = next;
  }
  CHECK(pause == options.max_retry_pause);
  follower.OnFailed(1, true);
  CHECK(std::get<FollowPause>(follower.Next()).wait == options.suspended_retry_pause);
  follower.OnPauseOver();
  follower.OnNewest({{}, false, Offset(5)});
  follower.OnFailed(1, false);
  CHECK(std::get<FollowPause>(follower.Next()).wait == options.retry_pause);
}

TEST_CASE_FIXTURE(Fixture,
                  "a newer era voids the position, and the newest records are read again") {
  follower.OnNewest({{Put("a", "1"), Put("b", "1")}, false, Offset(50), StoreEra(1)});
  CHECK(follower.position() == TopicPosition{StoreEra(1), Offset(50)});
  follower.OnPauseOver();
  sources.clear();
  // The offsets of the new era have grown past the position.
  follower.OnRecords({{Put("a", "of the new era", 50)}, Offset(51), StoreEra(2)});
  CHECK(sources.empty());
  CHECK(std::holds_alternative<FollowNewest>(follower.Next()));
  // Others go on learning the position that this host has reached.
  CHECK(follower.position() == TopicPosition{StoreEra(1), Offset(50)});
  CHECK(follower.complete());
  CHECK_FALSE(follower.up_to_date());
  follower.OnNewest({{Put("a", "0")}, false, Offset(40), StoreEra(2)});
  CHECK(sources == std::vector{RecordSource::kNewest, RecordSource::kMissing});
  CHECK(follower.position() == TopicPosition{StoreEra(2), Offset(40)});
  follower.OnPauseOver();
  CHECK(std::get<FollowRecords>(follower.Next()).from == Offset(40));
}

TEST_CASE_FIXTURE(Fixture, "an era that another host knows has the newest records read") {
  follower.OnNewest({{}, false, Offset(5), StoreEra(3)});
  CHECK_FALSE(follower.OnEra(StoreEra(3)));
  CHECK_FALSE(follower.OnEra(StoreEra(2)));
  CHECK(std::holds_alternative<FollowPause>(follower.Next()));
  CHECK(follower.OnEra(StoreEra(4)));
  CHECK(std::holds_alternative<FollowNewest>(follower.Next()));
}

TEST_CASE_FIXTURE(Fixture, "a response of an older era is ignored, and read again after a pause") {
  follower.OnNewest({{}, false, Offset(5), StoreEra(1)});
  follower.OnEra(StoreEra(2));
  follower.OnNewest({{Put("a", "1")}, false, Offset(9), StoreEra(1)});
  CHECK(state.empty());
  CHECK(std::holds_alternative<FollowPause>(follower.Next()));
  follower.OnPauseOver();
  CHECK(std::holds_alternative<FollowNewest>(follower.Next()));
  follower.OnNewest({{}, false, Offset(4), StoreEra(2)});
  follower.OnPauseOver();
  follower.OnRecords({{Put("a", "1", 5)}, Offset(6), StoreEra(1)});
  CHECK(state.empty());
  CHECK(follower.position() == TopicPosition{StoreEra(2), Offset(4)});
}

TEST_CASE_FIXTURE(Fixture, "pages of two eras do not go together") {
  follower.OnNewest({{Put("a", "1")}, true, Offset(5), StoreEra(1)});
  CHECK(std::get<FollowNewest>(follower.Next()).after == "a");
  follower.OnNewest({{Put("b", "1")}, false, Offset(5), StoreEra(2)});
  CHECK_FALSE(follower.complete());
  CHECK(std::get<FollowNewest>(follower.Next()).after.empty());
  follower.OnNewest({{Put("c", "1")}, false, Offset(3), StoreEra(2)});
  CHECK(follower.complete());
  CHECK(follower.position() == TopicPosition{StoreEra(2), Offset(3)});
}

TEST_CASE_FIXTURE(Fixture, "relayed records of an older era are ignored") {
  follower.OnNewest({{}, false, Offset(5), StoreEra(2)});
  CHECK(follower.OnRelayed({Offset(50), Offset(60), {}, {Put("a", "1", 55)}, StoreEra(1)}));
  CHECK(state.empty());
  CHECK(follower.position() == TopicPosition{StoreEra(2), Offset(5)});
}

TEST_CASE_FIXTURE(Fixture, "relayed records of a newer era are applied once and in order") {
  follower.OnNewest({{}, false, Offset(50), StoreEra(1)});
  CHECK(follower.applied_position() == TopicPosition{StoreEra(1), Offset(50)});
  CHECK(follower.OnRelayed({Offset(30), Offset(32), {}, {Put("a", "1", 31)}, StoreEra(2)}));
  CHECK(follower.applied_position() == TopicPosition{StoreEra(2), Offset(32)});
  CHECK(follower.OnRelayed({Offset(32), Offset(33), {}, {Put("a", "2", 32)}, StoreEra(2)}));
  sources.clear();
  CHECK(follower.OnRelayed({Offset(30), Offset(32), {}, {Put("a", "1", 31)}, StoreEra(2)}));
  CHECK(sources.empty());
  CHECK(state["a"] == "2");
  CHECK(follower.OnRelayed({Offset(3), Offset(5), {}, {Put("a", "3", 4)}, StoreEra(3)}));
  CHECK(state["a"] == "3");
}

TEST_CASE_FIXTURE(Fixture, "a key of a page that was read before a restore is found missing") {
  follower.OnNewest({{Put("a", "1")}, true, Offset(5), StoreEra(1)});
  follower.OnNewest({{Put("b", "1")}, false, Offset(5), StoreEra(2)});
  follower.OnNewest({{Put("b", "1")}, false, Offset(3), StoreEra(2)});
  CHECK(state.count("a") == 0);
  CHECK(state["b"] == "1");
}

TEST_CASE_FIXTURE(Fixture,
                  "relayed records of a newer era are applied without moving the position") {
  follower.OnNewest({{}, false, Offset(50), StoreEra(1)});
  CHECK(follower.OnRelayed({Offset(30), Offset(32), {}, {Put("a", "1", 31)}, StoreEra(2)}));
  CHECK(state["a"] == "1");
  CHECK(follower.position() == TopicPosition{StoreEra(1), Offset(50)});
  CHECK(std::holds_alternative<FollowNewest>(follower.Next()));
  // Read before the record was written.
  sources.clear();
  follower.OnNewest({{}, false, Offset(31), StoreEra(2)});
  CHECK(sources == std::vector{RecordSource::kMissing});
  CHECK(follower.OnRelayed({Offset(30), Offset(32), {}, {Put("a", "1", 31)}, StoreEra(2)}));
  CHECK(state["a"] == "1");
  CHECK(follower.position() == TopicPosition{StoreEra(2), Offset(32)});
}

}  // namespace
}  // namespace mulberry::gateway
