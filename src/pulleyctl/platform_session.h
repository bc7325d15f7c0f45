#pragma once

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "libtransport/transport.h"

namespace mulberry {

/// Carries the calls of one command out one after the other. Only for one thread.
class PlatformSession : public ConfigLog {
 public:
  /// The whole command should end within `timeout`.
  PlatformSession(const std::string& address, Duration timeout);

  Result<void> ReadToEnd() override;
  Result<Offset> Append(const std::string& record) override;
  void WaitBeforeRetry() override;
  bool DeadlineExceeded() const override;
  const ConfigStateMachine& state_machine() const override { return follower_.state_machine(); }

  /// Reads the platform's list with the servers of all data centres.
  Result<HostList> Hosts();

  /// Asks each address for its /v1/status at once; an answer that is not JSON counts as an error.
  std::vector<Result<std::string>> Statuses(const std::vector<std::string>& addresses);

 private:
  /// Runs the io_context until `done`.
  void RunUntil(const std::function<bool()>& done);
  /// Starts a call with a callback and waits for it.
  template <class T>
  Result<T> Await(const std::function<void(std::function<void(Result<T>)>)>& start);
  /// Feeds one page to the follower.
  Result<void> ReadPage();

  asio::io_context io_;
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  HttpClient http_;
  TimePoint end_;
  Duration call_timeout_;
  PlatformClient platform_;
  ConfigFollower follower_;
  std::optional<Offset> read_from_;
  HostList hosts_;  ///< As read last; the platform does not repeat it unchanged.
};

}  // namespace mulberry
