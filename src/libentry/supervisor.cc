#include "libentry/supervisor.h"

#include <algorithm>
#include <utility>

namespace mulberry {

Supervisor::Supervisor(std::string name, SupervisorOptions options)
    : name_(std::move(name)), options_(options) {}

void Supervisor::Add(std::unique_ptr<Component> component) {
  Child child;
  child.component = std::move(component);
  children_.push_back(std::move(child));
}

Result<void> Supervisor::Start(TimePoint now) {
  for (Child& child : children_) {
    StartChild(child, now);
  }
  return boost::outcome_v2::success();
}

void Supervisor::Stop() {
  for (auto child = children_.rbegin(); child != children_.rend(); ++child) {
    if (child->state == State::kRunning) {
      child->component->Stop();
    }
    child->state = State::kStopped;
  }
}

void Supervisor::StartChild(Child& child, TimePoint now) {
  const auto started = child.component->Start(now);
  if (!started) {
    FailChild(child, started.error(), now);
    return;
  }
  child.state = State::kRunning;
  child.since = now;
  LogEvent(LogLevel::kInfo, "part_started", {{"part", child.component->name()}});
}

void Supervisor::FailChild(Child& child, const Error& error, TimePoint now) {
  const bool was_stable =
      child.state == State::kRunning && now - child.since >= options_.stable_after;
  const bool first = child.backoff == Duration::zero() || was_stable;
  child.backoff =
      first ? options_.first_backoff : std::min(child.backoff * 2, options_.max_backoff);
  child.state = State::kBackingOff;
  child.since = now;
  child.error = error.message;
  LogEvent(LogLevel::kError, "part_failed",
           {{"part", child.component->name()},
            {"error", error.message},
            {"retry_ms", ToMilliseconds(child.backoff)}});
}

Result<void> Supervisor::Check(TimePoint now) {
  for (Child& child : children_) {
    if (child.state == State::kRunning) {
      const auto checked = child.component->Check(now);
      if (!checked) {
        child.component->Stop();
        FailChild(child, checked.error(), now);
      }
    } else if (child.state == State::kBackingOff && now - child.since >= child.backoff) {
      child.restarts += 1;
      StartChild(child, now);
    }
  }
  return boost::outcome_v2::success();
}

const char* Supervisor::StateName(State state) {
  switch (state) {
    case State::kStopped:
      return "stopped";
    case State::kRunning:
      return "running";
    case State::kBackingOff:
      return "backing_off";
  }
  return "stopped";
}

nlohmann::json Supervisor::Status() const {
  nlohmann::json components = nlohmann::json::array();
  for (const Child& child : children_) {
    nlohmann::json status = child.component->Status();
    status["state"] = StateName(child.state);
    status["restarts"] = child.restarts;
    if (!child.error.empty()) {
      status["last_error"] = child.error;
    }
    components.push_back(std::move(status));
  }
  return {{"name", name_}, {"parts", std::move(components)}};
}

FunctionComponent::FunctionComponent(std::string name, Functions functions)
    : name_(std::move(name)), functions_(std::move(functions)) {}

Result<void> FunctionComponent::Check(TimePoint now) {
  if (!functions_.check) {
    return boost::outcome_v2::success();
  }
  return functions_.check(now);
}

}  // namespace mulberry
