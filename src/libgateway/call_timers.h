#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <set>
#include <unordered_map>
#include <utility>

#include "libgateway/types.h"

namespace mulberry::gateway {

/// Timers of many calls, run by one system timer. Only for the thread that runs the io_context,
/// which must outlive this object.
class CallTimers {
 public:
  using Callback = std::function<void(CallId, TimePoint now)>;

  /// `callback` is called once for each timer that expires.
  CallTimers(asio::io_context& io, Callback callback);

  /// Sets a call's timer and replaces an earlier one.
  void Set(CallId call, TimePoint due);
  void Cancel(CallId call);

 private:
  void Arm();
  void OnTimer();

  Callback callback_;
  std::unordered_map<CallId, TimePoint> due_times_;
  std::set<std::pair<TimePoint, CallId>> order_;
  asio::steady_timer timer_;
  TimePoint armed_for_ = TimePoint::max();
};

}  // namespace mulberry::gateway
