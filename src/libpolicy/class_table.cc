#include "libpolicy/class_table.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mulberry {
namespace {

constexpr double kInTimeRatioSmoothing = 1.0 / 64;
constexpr double kSlotTimeDecaySeconds = 0.5;
// Nearly all answers arrive within this many medians of their class.
constexpr int kInTimeMedians = 2;
// A class that misses its reliability target by more than this serves the requests that can still
// be answered in time first.
constexpr double kInTimeFirstShortfall = 0.05;

double RecentSlotTime(const ClassState& state, TimePoint now) {
  const std::chrono::duration<double> age = now - state.recent_slot_time_at;
  return state.recent_slot_time * std::exp(-age.count() / kSlotTimeDecaySeconds);
}

double ReliabilityShortfall(const ClassState& state) {
  return std::max(0.0, state.target.reliability_target - state.in_time_ratio);
}

}  // namespace

void ClassTable::SetClasses(std::vector<ClassTarget> classes, double retry_budget_ratio) {
  for (const auto& state : classes_) state->removed = true;
  for (ClassTarget& target : classes) {
    const auto same = [&](const auto& state) { return state->target.name == target.name; };
    const auto known = std::find_if(classes_.begin(), classes_.end(), same);
    if (known == classes_.end()) {
      classes_.push_back(std::make_unique<ClassState>(std::move(target), retry_budget_ratio));
      continue;
    }
    (*known)->target = std::move(target);
    (*known)->removed = false;
  }
}

ClassState* ClassTable::Find(const ClassName& name) const {
  for (const auto& state : classes_) {
    if (!state->removed && state->target.name == name) return state.get();
  }
  return nullptr;
}

Request* ClassTable::Next(TimePoint now) {
  ClassState* earliest = EarliestDueClass();
  if (earliest == nullptr) return nullptr;
  Request* first = earliest->queue.First();
  if (now + earliest->latency.Median() <= first->due) return first;
  ClassState* chosen = HighestPriorityClass(now);
  // Requests that are already late cannot improve the in-time ratio of a class below its target, so
  // those that can still be answered in time are served first.
  if (ReliabilityShortfall(*chosen) > kInTimeFirstShortfall) {
    Request* in_time =
        chosen->queue.FirstAtOrAfter(now + kInTimeMedians * chosen->latency.Median());
    if (in_time != nullptr) return in_time;
  }
  return chosen->queue.First();
}

void ClassTable::Enqueue(Request& request) {
  request.class_state->queue.Add(request.due, request.id.value(), &request);
  ++queued_;
}

void ClassTable::Dequeue(Request& request) {
  request.class_state->queue.Remove(request.due, request.id.value());
  --queued_;
}

ClassState* ClassTable::ChooseClassToShed(ClassState& arriving_class, std::size_t max_queued) {
  const auto length = [&](const ClassState& state) {
    return state.queue.size() + (&state == &arriving_class ? 1 : 0);
  };
  const auto backlogged = static_cast<std::size_t>(std::count_if(
      classes_.begin(), classes_.end(), [&](const auto& state) { return length(*state) > 0; }));
  const std::size_t fair_length = max_queued / std::max<std::size_t>(1, backlogged);
  ClassState* shed_class = nullptr;
  for (const auto& state : classes_) {
    if (length(*state) <= fair_length || state->queue.empty()) continue;
    if (shed_class == nullptr ||
        std::pair(state->target.reliability_target, length(*shed_class)) <
            std::pair(shed_class->target.reliability_target, length(*state))) {
      shed_class = state.get();
    }
  }
  return shed_class == nullptr ? &arriving_class : shed_class;
}

void ClassTable::OnDispatch(ClassState& class_state, Duration service_time, TimePoint now) {
  class_state.recent_slot_time =
      RecentSlotTime(class_state, now) + std::chrono::duration<double>(service_time).count();
  class_state.recent_slot_time_at = now;
}

void ClassTable::OnEnd(ClassState& class_state, bool in_time) {
  class_state.in_time_ratio +=
      kInTimeRatioSmoothing * ((in_time ? 1.0 : 0.0) - class_state.in_time_ratio);
}

std::size_t ClassTable::BackloggedCount() const {
  return static_cast<std::size_t>(std::count_if(
      classes_.begin(), classes_.end(), [](const auto& state) { return !state->queue.empty(); }));
}

double ClassTable::FairShare(const ClassState& class_state) const {
  const std::size_t others = BackloggedCount() - (class_state.queue.empty() ? 0 : 1);
  return 1.0 / static_cast<double>(others + 1);
}

ClassState* ClassTable::EarliestDueClass() const {
  ClassState* earliest = nullptr;
  for (const auto& state : classes_) {
    if (state->queue.empty()) continue;
    if (earliest == nullptr || state->queue.FirstTime() < earliest->queue.FirstTime()) {
      earliest = state.get();
    }
  }
  return earliest;
}

/// Returns the class to serve first when not all targets can be met. Precondition: a request is
/// queued.
ClassState* ClassTable::HighestPriorityClass(TimePoint now) const {
  double total = 0;
  for (const auto& state : classes_) total += RecentSlotTime(*state, now);
  const auto rank = [&](const ClassState& state) {
    return std::tuple(!UnderFairShare(state, total, now), -ReliabilityShortfall(state),
                      state.queue.FirstTime());
  };
  ClassState* best = nullptr;
  for (const auto& state : classes_) {
    if (state->queue.empty()) continue;
    if (best == nullptr || rank(*state) < rank(*best)) best = state.get();
  }
  return best;
}

bool ClassTable::UnderFairShare(const ClassState& class_state, double total, TimePoint now) const {
  return RecentSlotTime(class_state, now) < total * FairShare(class_state);
}

}  // namespace mulberry
