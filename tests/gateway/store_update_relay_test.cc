#include "libgateway/store_update_relay.h"

#include <doctest/doctest.h>

#include "libgateway/topic_follower.h"

namespace mulberry::gateway {
namespace {

TopicRecord Put(const std::string& key, std::uint64_t offset, std::size_t bytes = 1) {
  return {key, std::string(bytes, 'v'), Offset(offset)};
}

TopicUpdate Only(const std::vector<TopicUpdate>& pieces) {
  REQUIRE(pieces.size() == 1);
  return pieces.front();
}

TEST_CASE("a host that missed a datagram learns everything from the next one") {
  StoreUpdateRelay relay;
  std::size_t taken = 0;
  TopicFollower follower({}, [&](const TopicRecord&) { ++taken; });
  follower.OnNewest({{}, false, Offset(10)});
  relay.OnRead(Offset(10), Offset(12), {Put("a", 11)});
  relay.OnRead(Offset(12), Offset(13), {Put("b", 12)});
  TopicUpdate news = Only(relay.Updates({}));
  CHECK(follower.OnRelayed(news.from, news.to, news.records));
  CHECK(follower.next_offset() == Offset(13));
  CHECK(taken == 2);
  // What is told again is not taken again.
  relay.OnRead(Offset(13), Offset(14), {Put("c", 13)});
  news = Only(relay.Updates({}));
  CHECK(follower.OnRelayed(news.from, news.to, news.records));
  CHECK(taken == 3);
}

TEST_CASE("only the last reads are told, and after a gap none from before it") {
  StoreUpdateRelay relay;
  for (std::uint64_t i = 0; i < 10; ++i) relay.OnRead(Offset(i), Offset(i + 1), {Put("a", i)});
  CHECK(Only(relay.Updates({})).from == Offset(6));
  relay.OnRead(Offset(50), Offset(52), {Put("b", 50)});
  CHECK(Only(relay.Updates({})).from == Offset(50));
  CHECK(Only(relay.Updates({})).records.size() == 1);
}

TEST_CASE("a read with more changes than a datagram holds is told in pieces without a gap") {
  StoreUpdateRelay relay;
  std::vector<TopicRecord> changes;
  for (std::uint64_t i = 0; i < 300; ++i) changes.push_back(Put("k", 10 + 2 * i, 250));
  relay.OnRead(Offset(10), Offset(700), changes);
  const auto pieces = relay.Updates({});
  CHECK(pieces.size() > 1);
  std::size_t taken = 0;
  TopicFollower follower({}, [&](const TopicRecord&) { ++taken; });
  follower.OnNewest({{}, false, Offset(10)});
  for (const TopicUpdate& piece : pieces) {
    PeerMessage message;
    message.server_update = piece;
    CHECK(EncodePeerMessage(message).size() <= 32 * 1024);
    CHECK(follower.OnRelayed(piece.from, piece.to, piece.records));
  }
  CHECK(follower.next_offset() == Offset(700));
  CHECK(taken == 300);
}

TEST_CASE("what does not fit into a datagram shows as a gap") {
  StoreUpdateRelay relay;
  relay.OnRead(Offset(1), Offset(4), {Put("a", 1), Put("b", 2, 100'000), Put("c", 3)});
  const auto pieces = relay.Updates({});
  REQUIRE(pieces.size() == 2);
  CHECK(pieces[0].to == Offset(2));
  CHECK(pieces[1].from == Offset(3));
  TopicFollower follower({}, [](const TopicRecord&) {});
  follower.OnNewest({{}, false, Offset(1)});
  CHECK(follower.OnRelayed(pieces[0].from, pieces[0].to, pieces[0].records));
  CHECK_FALSE(follower.OnRelayed(pieces[1].from, pieces[1].to, pieces[1].records));
  CHECK(follower.next_offset() == Offset(2));
  relay.OnRead(Offset(4), Offset(5), {Put("d", 4)});
  CHECK(Only(relay.Updates({})).from == Offset(4));
}

}  // namespace
}  // namespace mulberry::gateway
