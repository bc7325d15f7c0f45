#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <set>
#include <unordered_map>
#include <utility>

#include "libgateway/types.h"

namespace mulberry::gateway {

/// The due times of many calls on one timer of the system. Only for the thread that runs the
/// io_context, which must outlive it.
class CallTimers {
 public:
  using Due = std::function<void(CallId, TimePoint now)>;

  /// `due` is called once for each time that was set and has come.
  CallTimers(asio::io_context& io, Due due);

  /// Sets a call's due time, in place of an earlier one.
  void Set(CallId call, TimePoint due);
  void Cancel(CallId call);

 private:
  void Arm();
  void OnTimer();

  Due due_;
  std::unordered_map<CallId, TimePoint> due_of_;
  std::set<std::pair<TimePoint, CallId>> order_;
  asio::steady_timer timer_;
  TimePoint armed_ = TimePoint::max();
};

}  // namespace mulberry::gateway
