#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "libbase/base.h"

namespace mulberry {

/// A supervised component of a process. Not thread safe.
class Component {
 public:
  virtual ~Component() = default;

  /// Name of the component in logs and status.
  virtual std::string_view name() const = 0;

  /// Starts the component. Precondition: it is stopped. Errors: the reason why it did not start.
  virtual Result<void> Start(TimePoint now) = 0;

  /// Stops the component. No effect if it is already stopped.
  virtual void Stop() = 0;

  /// Returns an error if the component has failed since it started.
  virtual Result<void> Check(TimePoint now) = 0;

  /// Returns the state for operators.
  virtual nlohmann::json Status() const { return {{"name", name()}}; }
};

/// Backoff between restarts.
struct SupervisorOptions {
  Duration first_backoff = std::chrono::milliseconds(100);
  Duration max_backoff = std::chrono::seconds(5);
  /// After running this long, a component that fails restarts with `first_backoff`.
  Duration stable_after = std::chrono::seconds(30);
};

/// Starts its components in order, restarts failed ones with exponential backoff, and stops them in
/// reverse order. A supervisor is itself a component, so supervisors can form a tree. Reads no
/// clock: the time is passed in. Not thread safe.
class Supervisor : public Component {
 public:
  Supervisor(std::string name, SupervisorOptions options);

  /// Adds a component. Precondition: the supervisor is not started.
  void Add(std::unique_ptr<Component> component);

  std::string_view name() const override { return name_; }
  /// Starts all components. Never fails: components that do not start are retried later.
  Result<void> Start(TimePoint now) override;
  void Stop() override;
  /// Checks the components and restarts those whose backoff has passed. Call regularly.
  Result<void> Check(TimePoint now) override;
  nlohmann::json Status() const override;

 private:
  enum class State { kStopped, kRunning, kBackingOff };
  struct Child {
    std::unique_ptr<Component> component;
    State state = State::kStopped;
    std::uint64_t restarts = 0;
    Duration backoff{};
    TimePoint since;
    std::string error;
  };
  void StartChild(Child& child, TimePoint now);
  void FailChild(Child& child, const Error& error, TimePoint now);
  static const char* StateName(State state);

  std::string name_;
  SupervisorOptions options_;
  std::vector<Child> children_;
};

/// A component defined by functions, for components that need no class of their own.
class FunctionComponent : public Component {
 public:
  struct Functions {
    std::function<Result<void>(TimePoint)> start;
    std::function<void()> stop;
    std::function<Result<void>(TimePoint)> check;
  };
  FunctionComponent(std::string name, Functions functions);

  std::string_view name() const override { return name_; }
  Result<void> Start(TimePoint now) override { return functions_.start(now); }
  void Stop() override { functions_.stop(); }
  Result<void> Check(TimePoint now) override;

 private:
  std::string name_;
  Functions functions_;
};

}  // namespace mulberry
