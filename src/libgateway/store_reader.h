#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>

#include "libgateway/link_pool.h"
#include "libgateway/platform_adapter.h"
#include "libgateway/topic_follower.h"

namespace mulberry::gateway {

/// Calls the store. Each call has a timeout of its own, for a connection can go silent. Only for
/// the thread that runs the io_context.
class StoreClient {
 public:
  /// The status and body of an answer, or why there is none.
  using Done = std::function<void(Result<HttpMessage>)>;

  StoreClient(asio::io_context& io, std::string address);
  ~StoreClient();
  StoreClient(const StoreClient&) = delete;
  StoreClient& operator=(const StoreClient&) = delete;

  /// `done` is called once, later, unless the client is destroyed before.
  void Call(const StoreCall& call, Duration timeout, Done done);
  /// Later calls go to this address.
  void SetAddress(std::string address) { address_ = std::move(address); }
  std::uint64_t calls() const { return calls_; }

 private:
  struct Running {
    std::shared_ptr<HttpLink> link;
    asio::steady_timer timer;
    Done done;
  };

  void OnAnswer(std::uint64_t number, LinkAnswer answer);
  void OnTimeout(std::uint64_t number);

  asio::io_context& io_;
  std::string address_;
  LinkPool links_;
  std::uint64_t calls_ = 0;
  std::map<std::uint64_t, Running> running_;  ///< By number of the call.
};

/// Follows one topic of the store through a StoreClient. Only for the thread that runs the
/// io_context.
class StoreReader {
 public:
  /// Called after each successful read, with the offset from which on its records are all known.
  using Updated = std::function<void(Offset before)>;

  StoreReader(asio::io_context& io, StoreClient& store, const PlatformAdapter& adapter, Topic topic,
              FollowOptions options, TopicFollower::Sink sink, Updated updated);

  /// Told when the store stops answering and when it answers again, the first time included.
  using ReachableSink = std::function<void(bool reachable)>;

  /// Precondition: called before Start.
  void SetReachableSink(ReachableSink sink) { reachable_sink_ = std::move(sink); }
  void SetInterval(Duration interval) { follower_.SetInterval(interval); }
  void Start();
  /// There are records that are missing here: reads at once instead of after the pause, or soon
  /// where the last read failed. A read that is running is left alone.
  void Hurry();
  /// While set, the topic is not read unless Hurry is called, but for a rare try where the store
  /// does not answer.
  void SetSuspended(bool suspended);

  /// Takes what another host has read; records that are missing here are read from the store.
  void OnRelayed(Offset from, Offset to, const std::vector<TopicRecord>& records);

  bool complete() const { return follower_.complete(); }
  Offset next_offset() const { return follower_.next_offset(); }
  bool failing() const { return failing_; }

 private:
  void Step();
  void ReadNow();
  void OnAnswer(const FollowStep& step, Result<HttpMessage> answer);
  Result<void> Take(const FollowStep& step, const HttpMessage& answer);
  void Fail(const std::string& why);

  StoreClient& store_;
  const PlatformAdapter& adapter_;
  Topic topic_;
  FollowOptions options_;
  TopicFollower follower_;
  Updated updated_;
  asio::steady_timer timer_;
  std::minstd_rand random_{std::random_device{}()};
  bool calling_ = false;
  bool hurried_ = false;
  bool suspended_ = false;
  /// There are records that this reader lacks.
  bool wanted_ = false;
  bool failing_ = false;
  bool answered_ = false;
  ReachableSink reachable_sink_;
};

/// Returns the name of a topic, for logs.
const char* TopicName(Topic topic);

}  // namespace mulberry::gateway
