#include "libgateway/store_update_relay.h"

#include <doctest/doctest.h>

#include "libgateway/topic_follower.h"

namespace mulberry::gateway {
namespace {

TopicRecord Put(const std::string& key, std::uint64_t offset, std::size_t bytes = 1) {
  return {key, std::string(bytes, 'v'), Offset(offset)};
}

TopicUpdate SingleUpdate(const std::vector<TopicUpdate>& updates) {
  REQUIRE(updates.size() == 1);
  return updates.front();
}

TEST_CASE("a host that missed a datagram gets all changes from the next one") {
  StoreUpdateRelay relay;
  std::size_t taken = 0;
  TopicFollower follower({}, [&](const TopicRecord&) { ++taken; });
  follower.OnNewest({{}, false, Offset(10)});
  relay.OnRead(Offset(10), Offset(12), {Put("a", 11)});
  relay.OnRead(Offset(12), Offset(13), {Put("b", 12)});
  TopicUpdate update = SingleUpdate(relay.Updates({}));
  CHECK(follower.OnRelayed(update.from, update.to, update.records));
  CHECK(follower.next_offset() == Offset(13));
  CHECK(taken == 2);
  // Repeated records are not applied again.
  relay.OnRead(Offset(13), Offset(14), {Put("c", 13)});
  update = SingleUpdate(relay.Updates({}));
  CHECK(follower.OnRelayed(update.from, update.to, update.records));
  CHECK(taken == 3);
}

TEST_CASE("an update holds only the last reads, and none from before a gap") {
  StoreUpdateRelay relay;
  for (std::uint64_t i = 0; i < 10; ++i) relay.OnRead(Offset(i), Offset(i + 1), {Put("a", i)});
  CHECK(SingleUpdate(relay.Updates({})).from == Offset(6));
  relay.OnRead(Offset(50), Offset(52), {Put("b", 50)});
  CHECK(SingleUpdate(relay.Updates({})).from == Offset(50));
  CHECK(SingleUpdate(relay.Updates({})).records.size() == 1);
}

TEST_CASE("reads without records do not push earlier changes out of the updates") {
  StoreUpdateRelay relay;
  relay.OnRead(Offset(5), Offset(5), {});
  relay.OnRead(Offset(5), Offset(6), {Put("a", 5)});
  for (int i = 0; i < 10; ++i) relay.OnRead(Offset(6), Offset(6), {});
  relay.OnRead(Offset(6), Offset(7), {Put("b", 6)});
  const TopicUpdate update = SingleUpdate(relay.Updates({}));
  CHECK(update.from == Offset(5));
  CHECK(update.records.size() == 2);
}

TEST_CASE("a gap shows in the next update, also before there are further records") {
  StoreUpdateRelay relay;
  relay.OnRead(Offset(5), Offset(6), {Put("a", 5)});
  // The records up to 50 have expired; the newest ones were read instead.
  relay.OnRead(Offset(50), Offset(50), {});
  const TopicUpdate update = SingleUpdate(relay.Updates({}));
  CHECK(update.from == Offset(50));
  TopicFollower follower({}, [](const TopicRecord&) {});
  follower.OnNewest({{}, false, Offset(6)});
  CHECK_FALSE(follower.OnRelayed(update.from, update.to, update.records));
}

TEST_CASE("a read that is too large for a datagram is split without a gap") {
  StoreUpdateRelay relay;
  std::vector<TopicRecord> changes;
  for (std::uint64_t i = 0; i < 300; ++i) changes.push_back(Put("k", 10 + 2 * i, 250));
  relay.OnRead(Offset(10), Offset(700), changes);
  const auto updates = relay.Updates({});
  CHECK(updates.size() > 1);
  std::size_t taken = 0;
  TopicFollower follower({}, [&](const TopicRecord&) { ++taken; });
  follower.OnNewest({{}, false, Offset(10)});
  for (const TopicUpdate& update : updates) {
    PeerMessage message;
    message.server_update = update;
    CHECK(EncodePeerMessage(message).size() <= 32 * 1024);
    CHECK(follower.OnRelayed(update.from, update.to, update.records));
  }
  CHECK(follower.next_offset() == Offset(700));
  CHECK(taken == 300);
}

TEST_CASE("a record that is too large for a datagram leaves a gap") {
  StoreUpdateRelay relay;
  relay.OnRead(Offset(1), Offset(4), {Put("a", 1), Put("b", 2, 100'000), Put("c", 3)});
  const auto updates = relay.Updates({});
  REQUIRE(updates.size() == 2);
  CHECK(updates[0].to == Offset(2));
  CHECK(updates[1].from == Offset(3));
  TopicFollower follower({}, [](const TopicRecord&) {});
  follower.OnNewest({{}, false, Offset(1)});
  CHECK(follower.OnRelayed(updates[0].from, updates[0].to, updates[0].records));
  CHECK_FALSE(follower.OnRelayed(updates[1].from, updates[1].to, updates[1].records));
  CHECK(follower.next_offset() == Offset(2));
  relay.OnRead(Offset(4), Offset(5), {Put("d", 4)});
  CHECK(SingleUpdate(relay.Updates({})).from == Offset(4));
}

}  // namespace
}  // namespace mulberry::gateway
