#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>

#include "libgateway/platform_adapter.h"
#include "libgateway/store_client.h"

namespace mulberry::gateway {

/// Reads and writes the states of rollouts in the store. Writes are conditional on the end of the
/// topic as last read, so of two hosts that write at the same time one fails and reads what the
/// other has written. Only for the thread that runs the io_context.
class RolloutStatusLog {
 public:
  /// Receives each state that the store is known to hold: all of them after a read, one after a
  /// write.
  using RecordedCallback = std::function<void(const rollout::Status&)>;

  RolloutStatusLog(StoreClient& store, const PlatformAdapter& adapter, RecordedCallback callback);

  /// Reads the topic unless its states are known, then writes the first of `wanted` that it lacks.
  /// Call a few times a second; makes at most one call at a time.
  void Tick(const std::deque<rollout::Status>& wanted, TimePoint now);
  /// Returns true if the store has been restored: what was known is void.
  bool OnEra(StoreEra era);
  /// The topic has been read, and nothing suggests that another host has written since.
  bool known() const { return known_; }
  /// The state of the service in the store; null if it has none or the topic has not been read.
  const rollout::Status* Find(const ServiceName& service) const;

 private:
  void Read(TimePoint now);
  void Write(const rollout::Status& status, TimePoint now);
  void OnNewest(const Result<HttpMessage>& response);
  void OnWritten(const rollout::Status& status, const Result<HttpMessage>& response);
  /// Returns false if the response is of another era than the known one, or failed.
  bool AcceptResponse(const char* call, const Result<HttpMessage>& response);

  StoreClient& store_;
  const PlatformAdapter& adapter_;
  RecordedCallback callback_;
  std::map<ServiceName, rollout::Status> statuses_;
  std::map<ServiceName, rollout::Status> page_statuses_;  ///< Of a read that goes on.
  std::string page_after_;
  Offset end_;
  StoreEra era_;
  bool known_ = false;
  bool call_pending_ = false;
  TimePoint next_call_at_;
  Duration pause_{};
};

}  // namespace mulberry::gateway
