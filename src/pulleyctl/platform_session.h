#pragma once

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "libtransport/transport.h"

namespace mulberry {

/// Blocking client of the platform and the entry hosts for one command; its calls run one after the
/// other. Not thread safe.
class PlatformSession : public ConfigLog {
 public:
  /// The whole command should end within `timeout`; a call in progress may exceed it.
  PlatformSession(const std::string& address, Duration timeout);

  Result<void> ReadToEnd() override;
  Result<Offset> Append(const std::string& record) override;
  void WaitBeforeRetry() override;
  bool DeadlineExceeded() const override;
  const ConfigStateMachine& state_machine() const override { return follower_.state_machine(); }

  /// Fetches the platform's host list, with the servers of all data centres.
  Result<HostList> FetchHostList();

  /// Fetches /v1/status from all addresses concurrently and returns the bodies, unparsed, in the
  /// order of the addresses. A failed request or a status other than 200 gives kUnavailable.
  std::vector<Result<std::string>> FetchStatusBodies(const std::vector<std::string>& addresses);

 private:
  /// Runs the io_context until `done`.
  void RunUntil(const std::function<bool()>& done);
  /// Starts an asynchronous call and waits for its result.
  template <class T>
  Result<T> Await(const std::function<void(std::function<void(Result<T>)>)>& start);
  /// Reads one page of the log and passes it to the follower.
  Result<void> ReadPage();

  asio::io_context io_;
  asio::executor_work_guard<asio::io_context::executor_type> work_guard_;
  HttpClient http_;
  TimePoint deadline_;
  Duration call_timeout_;
  PlatformClient platform_;
  ConfigFollower follower_;
  std::optional<Offset> next_read_offset_;
  HostList host_list_;  ///< As last read; the platform does not resend an unchanged list.
};

}  // namespace mulberry
