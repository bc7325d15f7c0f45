#include "libgateway/store_update_relay.h"

#include <doctest/doctest.h>

#include "libgateway/peer_channel.h"
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
  TopicFollower follower({}, [&](const TopicRecord&, RecordSource) { ++taken; });
  follower.OnNewest({{}, false, Offset(10), StoreEra(1)});
  relay.OnRead({StoreEra(1), Offset(10)}, Offset(12), {Put("a", 11)});
  relay.OnRead({StoreEra(1), Offset(12)}, Offset(13), {Put("b", 12)});
  TopicUpdate update = SingleUpdate(relay.Updates({}));
  CHECK(follower.OnRelayed(update));
  CHECK(follower.position().offset == Offset(13));
  CHECK(taken == 2);
  // Repeated records are not applied again.
  relay.OnRead({StoreEra(1), Offset(13)}, Offset(14), {Put("c", 13)});
  update = SingleUpdate(relay.Updates({}));
  CHECK(follower.OnRelayed(update));
  CHECK(taken == 3);
}

TEST_CASE("an update holds only the last reads, and none from before a gap") {
  StoreUpdateRelay relay;
  for (std::uint64_t i = 0; i < 10; ++i) {
    relay.OnRead({StoreEra(1), Offset(i)}, Offset(i + 1), {Put("a", i)});
  }
  CHECK(SingleUpdate(relay.Updates({})).from == Offset(6));
  relay.OnRead({StoreEra(1), Offset(50)}, Offset(52), {Put("b", 50)});
  CHECK(SingleUpdate(relay.Updates({})).from == Offset(50));
  CHECK(SingleUpdate(relay.Updates({})).records.size() == 1);
}

TEST_CASE("reads without records do not push earlier changes out of the updates") {
  StoreUpdateRelay relay;
  relay.OnRead({StoreEra(1), Offset(5)}, Offset(5), {});
  relay.OnRead({StoreEra(1), Offset(5)}, Offset(6), {Put("a", 5)});
  for (int i = 0; i < 10; ++i) relay.OnRead({StoreEra(1), Offset(6)}, Offset(6), {});
  relay.OnRead({StoreEra(1), Offset(6)}, Offset(7), {Put("b", 6)});
  const TopicUpdate update = SingleUpdate(relay.Updates({}));
  CHECK(update.from == Offset(5));
  CHECK(update.records.size() == 2);
}

TEST_CASE("a gap shows in the next update, also before there are further records") {
  StoreUpdateRelay relay;
  relay.OnRead({StoreEra(1), Offset(5)}, Offset(6), {Put("a", 5)});
  // The records up to 50 have expired; the newest ones were read instead.
  relay.OnRead({StoreEra(1), Offset(50)}, Offset(50), {});
  const TopicUpdate update = SingleUpdate(relay.Updates({}));
  CHECK(update.from == Offset(50));
  TopicFollower follower({}, [](const TopicRecord&, RecordSource) {});
  follower.OnNewest({{}, false, Offset(6), StoreEra(1)});
  CHECK_FALSE(follower.OnRelayed(update));
}

TEST_CASE("a read that is too large for a datagram is split without a gap") {
  StoreUpdateRelay relay;
  std::vector<TopicRecord> changes;
  for (std::uint64_t i = 0; i < 300; ++i) changes.push_back(Put("k", 10 + 2 * i, 250));
  relay.OnRead({StoreEra(1), Offset(10)}, Offset(700), changes);
  const auto updates = relay.Updates({});
  CHECK(updates.size() > 1);
  std::size_t taken = 0;
  TopicFollower follower({}, [&](const TopicRecord&, RecordSource) { ++taken; });
  follower.OnNewest({{}, false, Offset(10), StoreEra(1)});
  for (const TopicUpdate& update : updates) {
    PeerMessage message;
    message.server_update = update;
    CHECK(EncodePeerMessage(message).size() <= 32 * 1024);
    CHECK(follower.OnRelayed(update));
  }
  CHECK(follower.position().offset == Offset(700));
  CHECK(taken == 300);
}

TEST_CASE("a record that is too large for a datagram leaves a gap") {
  StoreUpdateRelay relay;
  relay.OnRead({StoreEra(1), Offset(1)}, Offset(4),
               {Put("a", 1), Put("b", 2, 100'000), Put("c", 3)});
  const auto updates = relay.Updates({});
  REQUIRE(updates.size() == 2);
  CHECK(updates[0].to == Offset(2));
  CHECK(updates[1].from == Offset(3));
  TopicFollower follower({}, [](const TopicRecord&, RecordSource) {});
  follower.OnNewest({{}, false, Offset(1), StoreEra(1)});
  CHECK(follower.OnRelayed(updates[0]));
  CHECK_FALSE(follower.OnRelayed(updates[1]));
  CHECK(follower.position().offset == Offset(2));
  relay.OnRead({StoreEra(1), Offset(4)}, Offset(5), {Put("d", 4)});
  CHECK(SingleUpdate(relay.Updates({})).from == Offset(4));
}

TEST_CASE("reads of two eras do not go together, though the offsets follow each other") {
  StoreUpdateRelay relay;
  relay.OnRead({StoreEra(1), Offset(5)}, Offset(6), {Put("a", 5)});
  relay.OnRead({StoreEra(2), Offset(6)}, Offset(7), {Put("b", 6)});
  const TopicUpdate update = SingleUpdate(relay.Updates({}));
  CHECK(update.era == StoreEra(2));
  CHECK(update.from == Offset(6));
  CHECK(update.records.size() == 1);
  relay.OnRead({StoreEra(3), Offset(7)}, Offset(7), {});
  CHECK(SingleUpdate(relay.Updates({})).era == StoreEra(3));
  CHECK(SingleUpdate(relay.Updates({})).records.empty());
}

TEST_CASE("a datagram carries the era of an update, of the sender and its configuration") {
  PeerMessage message;
  message.heartbeat.record = {HostName("h"), DataCentreName("d"), "127.0.0.1:1"};
  message.heartbeat.caller_address = "127.0.0.1:2";
  message.heartbeat.operator_position = {StoreEra(3), Offset(8)};
  message.server_update = TopicUpdate{Offset(4), Offset(6), {}, {Put("a", 5)}, StoreEra(7)};
  message.config_record = TopicRecord{"config", "{}", Offset(0)};
  const auto decoded = DecodePeerMessage(EncodePeerMessage(message));
  REQUIRE(decoded);
  CHECK(decoded.value().heartbeat.operator_position == TopicPosition{StoreEra(3), Offset(8)});
  REQUIRE(decoded.value().server_update);
  CHECK(decoded.value().server_update->era == StoreEra(7));
  CHECK(decoded.value().server_update->records.front().offset == Offset(5));
  REQUIRE(decoded.value().config_record);
  CHECK(decoded.value().config_record->key == "config");
  CHECK(decoded.value().config_record->value == "{}");
}

}  // namespace
}  // namespace mulberry::gateway
