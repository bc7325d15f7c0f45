#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <random>
#include <string>
#include <utility>

#include "libgateway/platform_adapter.h"
#include "libgateway/store_client.h"
#include "libgateway/topic_follower.h"

namespace mulberry::gateway {

/// Follows one topic of the store through a StoreClient. Only for the thread that runs the
/// io_context.
class StoreReader {
 public:
  /// Called after each successful read, with the offset from which on its records are all known.
  using Updated = std::function<void(Offset before)>;

  StoreReader(asio::io_context& io, StoreClient& store, const PlatformAdapter& adapter, Topic topic,
              FollowOptions options, TopicFollower::Sink sink, Updated updated);

  /// Told when the store stops answering and when it answers again, the first time included.
  using ReachabilityCallback = std::function<void(bool reachable)>;

  /// Precondition: called before Start.
  void SetReachabilityCallback(ReachabilityCallback sink) {
    reachability_callback_ = std::move(sink);
  }
  void SetInterval(Duration interval) { follower_.SetInterval(interval); }
  void Start();
  /// There are records that are missing here: reads at once instead of after the pause, or soon
  /// where the last read failed. A read that is running is left alone.
  void RequestRead();
  /// While set, the topic is not read unless RequestRead is called, but for a rare try where the
  /// store does not answer.
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
  ReachabilityCallback reachability_callback_;
};

/// Returns the name of a topic, for logs.
const char* TopicName(Topic topic);

}  // namespace mulberry::gateway
