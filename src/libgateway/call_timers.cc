#include "libgateway/call_timers.h"

#include <algorithm>

namespace mulberry::gateway {

CallTimers::CallTimers(asio::io_context& io, Callback callback)
    : callback_(std::move(callback)), timer_(io) {}

void CallTimers::Set(CallId call, TimePoint due) {
  const auto [entry, is_new] = due_times_.try_emplace(call, due);
  if (!is_new) {
    if (entry->second == due) return;
    order_.erase({entry->second, call});
    entry->second = due;
  }
  order_.emplace(due, call);
  Arm();
}

void CallTimers::Cancel(CallId call) {
  const auto entry = due_times_.find(call);
  if (entry == due_times_.end()) return;
  order_.erase({entry->second, call});
  due_times_.erase(entry);
}

void CallTimers::Arm() {
  if (order_.empty()) return;
  const TimePoint due = order_.begin()->first;
  if (due >= armed_for_) return;
  armed_for_ = due;
  timer_.expires_after(std::max(Duration::zero(), Duration(due - MonotonicClock::now())));
  timer_.async_wait([this](const asio::error_code& error) {
    if (!error) OnTimer();
  });
}

void CallTimers::OnTimer() {
  armed_for_ = TimePoint::max();
  const TimePoint now = MonotonicClock::now();
  while (!order_.empty() && order_.begin()->first <= now) {
    const CallId call = order_.begin()->second;
    Cancel(call);
    callback_(call, now);
  }
  Arm();
}

}  // namespace mulberry::gateway
