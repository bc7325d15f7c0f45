#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
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
  /// Called after each read that succeeded, with the newest records once all pages of them are
  /// read. All records from position `before` on have been delivered.
  using UpdateCallback = std::function<void(TopicPosition before)>;

  StoreReader(asio::io_context& io, StoreClient& store, const PlatformAdapter& adapter, Topic topic,
              FollowOptions options, TopicFollower::Sink sink, UpdateCallback update_callback);

  /// Called when the store stops responding and when it responds again, including the first
  /// response.
  using ReachabilityCallback = std::function<void(bool reachable)>;

  /// Precondition: called before Start.
  void SetReachabilityCallback(ReachabilityCallback callback) {
    reachability_callback_ = std::move(callback);
  }
  /// Called before the first response of a newer era is applied.
  using EraCallback = std::function<void(StoreEra era)>;
  /// Precondition: called before Start.
  void SetEraCallback(EraCallback callback) { era_callback_ = std::move(callback); }
  /// Called after each read whose response, now applied, reached the end of the topic: all records
  /// that were in the topic at `sent` are known here.
  using EndCallback = std::function<void(TimePoint sent)>;
  /// Precondition: called before Start.
  void SetEndCallback(EndCallback callback) { end_callback_ = std::move(callback); }
  void SetInterval(Duration interval) { follower_.SetInterval(interval); }
  void Start();
  /// Call when records are known to be missing here. Reads at once instead of after the pause, or
  /// soon if the last read failed. A running read is not interrupted.
  void RequestRead();
  /// Reads once without waiting for a record, beside a running read. Does nothing while such a read
  /// is running or was sent a moment ago, while the newest records are not known, or while the
  /// store does not respond: it is then read without waiting anyway.
  void ReadBeside();
  /// While set, the topic is read only after RequestRead; if the store does not respond, rare
  /// retries continue.
  void SetSuspended(bool suspended);

  /// The store is in this era. If it was restored, the running read is abandoned and the newest
  /// records are read again, at a random moment within `spread`.
  void OnEra(StoreEra era, Duration spread);
  /// Applies records that another host has read; if earlier ones are missing here, reads the store.
  /// Precondition: OnEra was called with the update's era.
  void OnRelayed(const TopicUpdate& update);

  bool complete() const { return follower_.complete(); }
  TopicPosition position() const { return follower_.position(); }
  TopicPosition applied_position() const { return follower_.applied_position(); }
  /// The newest known era of the store.
  StoreEra era() const { return follower_.era(); }
  bool failing() const { return failing_; }

 private:
  void RunNextStep();
  void ReadNow();
  void OnResponse(const FollowStep& step, Result<HttpMessage> response, TimePoint sent);
  void OnResponseBeside(const FollowRecords& step, StoreEra era,
                        const Result<HttpMessage>& response, TimePoint sent);
  bool AcceptEra(const FollowStep& step, const HttpMessage& response);
  Result<void> ApplyResponse(const FollowStep& step, const HttpMessage& response);
  void OnReadSucceeded(const FollowStep& step, TopicPosition before, TimePoint sent);
  void LogIgnoredUpdate(const TopicUpdate& update) const;
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
  /// Number of the last call; responses to earlier ones are ignored.
  std::uint64_t last_call_ = 0;
  bool beside_pending_ = false;
  TimePoint beside_sent_;
  bool read_requested_ = false;
  bool suspended_ = false;
  /// Records are known to be missing here, and the last read failed.
  bool records_missing_ = false;
  bool failing_ = false;
  bool has_responded_ = false;
  ReachabilityCallback reachability_callback_;
  EraCallback era_callback_;
  EndCallback end_callback_;
  /// When the read of the first page of the newest records was sent.
  TimePoint first_page_sent_;
  /// The last response reached the end of the topic.
  bool reached_end_ = false;
};

/// Returns the name of a topic for log lines.
const char* TopicName(Topic topic);

}  // namespace mulberry::gateway
