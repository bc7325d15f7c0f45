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

/// Reads one topic of the store and follows its changes through a StoreClient. Only for the thread
/// that runs the io_context.
class StoreReader {
 public:
  /// Called after each successful read. All records from offset `before` on have been delivered.
  using UpdateCallback = std::function<void(Offset before)>;

  StoreReader(asio::io_context& io, StoreClient& store, const PlatformAdapter& adapter, Topic topic,
              FollowOptions options, TopicFollower::Sink sink, UpdateCallback update_callback);

  /// Called when the store stops responding and when it responds again, including the first
  /// response.
  using ReachabilityCallback = std::function<void(bool reachable)>;

  /// Precondition: called before Start.
  void SetReachabilityCallback(ReachabilityCallback callback) {
    reachability_callback_ = std::move(callback);
  }
  void SetInterval(Duration interval) { follower_.SetInterval(interval); }
  void Start();
  /// Call when records are known to be missing here. Reads at once instead of after the pause, or
  /// soon if the last read failed. A running read is not interrupted.
  void RequestRead();
  /// While set, the topic is read only after RequestRead; if the store does not respond, rare
  /// retries continue.
  void SetSuspended(bool suspended);

  /// Applies records that another host has read; if earlier ones are missing here, reads the store.
  void OnRelayed(Offset from, Offset to, const std::vector<TopicRecord>& records);

  bool complete() const { return follower_.complete(); }
  Offset next_offset() const { return follower_.next_offset(); }
  bool failing() const { return failing_; }

 private:
  void RunNextStep();
  void ReadNow();
  void OnResponse(const FollowStep& step, Result<HttpMessage> response);
  Result<void> ApplyResponse(const FollowStep& step, const HttpMessage& response);
  void OnReadFailed(const std::string& reason);

  StoreClient& store_;
  const PlatformAdapter& adapter_;
  Topic topic_;
  FollowOptions options_;
  TopicFollower follower_;
  UpdateCallback update_callback_;
  asio::steady_timer timer_;
  std::minstd_rand random_{std::random_device{}()};
  bool call_pending_ = false;
  bool read_requested_ = false;
  bool suspended_ = false;
  /// Records are known to be missing here, and the last read failed.
  bool records_missing_ = false;
  bool failing_ = false;
  bool has_responded_ = false;
  /// As the last response stated it.
  StoreEra era_;
  ReachabilityCallback reachability_callback_;
};

/// Returns the name of a topic for log lines.
const char* TopicName(Topic topic);

}  // namespace mulberry::gateway
