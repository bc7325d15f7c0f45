#include "soak/workspace_changes.h"

#include <optional>
#include <string>

namespace mulberry::soak {
namespace {

using std::chrono::milliseconds;

/// More than the servers of a service have slots.
constexpr std::size_t kBurst = 150;
constexpr std::size_t kMostChanges = 4;
constexpr std::size_t kNames = 3;
constexpr std::size_t kPriorities = 3;
constexpr milliseconds kLeastPause{500};
constexpr std::size_t kMostPauseMs = 2000;
constexpr std::size_t kMostTimeBetweenMs = 150;

}  // namespace

void WorkspaceChanges::After(milliseconds time, void (WorkspaceChanges::*next)()) {
  timer_.expires_after(time);
  timer_.async_wait([this, next](const asio::error_code& error) {
    if (!error) (this->*next)();
  });
}

void WorkspaceChanges::Wait() {
  changes_left_ = 1 + Random(kMostChanges);
  After(kLeastPause + milliseconds(Random(kMostPauseMs)), &WorkspaceChanges::Change);
}

void WorkspaceChanges::Change() {
  callers_.Burst(kBurst / kMostChanges);
  std::optional<Workspace> workspace;
  if (Random(kNames + 1) != 0) {
    workspace = {"workspace-" + std::to_string(Random(kNames)), Random(kPriorities)};
  }
  LogEvent(LogLevel::kInfo, "fault",
           {{"what", "workspace"}, {"on", workspace ? workspace->name : ""}});
  fleet_.ConfigureWorkspace(workspace);
  if (--changes_left_ == 0) return Wait();
  After(milliseconds(Random(kMostTimeBetweenMs)), &WorkspaceChanges::Change);
}

}  // namespace mulberry::soak
