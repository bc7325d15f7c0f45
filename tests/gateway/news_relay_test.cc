#include "libgateway/news_relay.h"

#include <doctest/doctest.h>

#include "libgateway/topic_follower.h"

namespace mulberry::gateway {
namespace {

TopicRecord Put(const std::string& key, std::size_t bytes = 1) {
  return {key, std::string(bytes, 'v')};
}

TEST_CASE("a host that missed a datagram learns everything from the next one") {
  NewsRelay relay;
  std::size_t taken = 0;
  TopicFollower follower({}, [&](const TopicRecord&) { ++taken; });
  follower.OnNewest({{}, false, Offset(10)});
  relay.OnRead(Offset(10), Offset(12), {Put("a")});
  relay.OnRead(Offset(12), Offset(13), {Put("b")});
  const TopicNews news = relay.News({});
  CHECK(follower.OnRelayed(news.from, news.to, news.records));
  CHECK(follower.next_offset() == Offset(13));
  CHECK(taken == 2);
}

TEST_CASE("only the last reads are told, and after a gap none from before it") {
  NewsRelay relay;
  for (std::uint64_t i = 0; i < 10; ++i) relay.OnRead(Offset(i), Offset(i + 1), {Put("a")});
  CHECK(relay.News({}).from == Offset(6));
  relay.OnRead(Offset(50), Offset(52), {Put("b")});
  CHECK(relay.News({}).from == Offset(50));
  CHECK(relay.News({}).records.size() == 1);
}

TEST_CASE("what does not fit into a datagram shows as a gap") {
  NewsRelay relay;
  relay.OnRead(Offset(1), Offset(2), {Put("a", 100'000)});
  CHECK(relay.News({}).from == Offset(2));
  CHECK(relay.News({}).records.empty());
  relay.OnRead(Offset(2), Offset(3), {Put("b")});
  CHECK(relay.News({}).from == Offset(2));
  CHECK(relay.News({}).records.size() == 1);
}

}  // namespace
}  // namespace mulberry::gateway
