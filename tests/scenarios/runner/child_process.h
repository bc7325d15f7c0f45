#pragma once

#include <sys/types.h>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace mulberry::scenario {

/// A process of the fleet under test. It dies with the runner. Not thread safe.
class ChildProcess {
 public:
  ChildProcess() = default;
  ~ChildProcess();
  ChildProcess(ChildProcess&& other) noexcept;
  ChildProcess& operator=(ChildProcess&& other) noexcept;

  /// Starts a program whose output is appended to `log`. Returns false when it can't be started.
  /// Precondition: not running.
  bool Start(const std::vector<std::string>& command, const std::string& log);

  /// Sends a signal; nothing when it has ended.
  void Signal(int signal);

  /// Kills it and waits for its end.
  void Kill();

  /// True until its end has been seen.
  bool Running();

  /// Process id, -1 when its end has been seen.
  pid_t pid() const { return pid_; }

  /// The most memory that it has held, in kilobytes; zero when it has ended.
  std::size_t PeakKilobytes() const;

  /// Exit status, or minus the signal that ended it; nothing before it has ended.
  std::optional<int> exit_status() const { return exit_status_; }

 private:
  pid_t pid_ = -1;
  std::optional<int> exit_status_;
};

}  // namespace mulberry::scenario
