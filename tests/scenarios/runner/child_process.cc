#include "scenarios/runner/child_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <utility>

namespace mulberry::scenario {
namespace {

constexpr int kExecFailed = 127;

[[noreturn]] void RunChild(std::vector<char*> arguments, const std::string& log) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int file = open(log.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
  dup2(file, STDOUT_FILENO);
  dup2(file, STDERR_FILENO);
  close_range(STDERR_FILENO + 1, ~0U, 0);
  execv(arguments[0], arguments.data());
  _exit(kExecFailed);
}

int StatusOf(int wait_status) {
  return WIFEXITED(wait_status) ? WEXITSTATUS(wait_status) : -WTERMSIG(wait_status);
}

}  // namespace

ChildProcess::~ChildProcess() { Kill(); }

ChildProcess::ChildProcess(ChildProcess&& other) noexcept
    : pid_(std::exchange(other.pid_, -1)), exit_status_(other.exit_status_) {}

ChildProcess& ChildProcess::operator=(ChildProcess&& other) noexcept {
  Kill();
  pid_ = std::exchange(other.pid_, -1);
  exit_status_ = other.exit_status_;
  return *this;
}

bool ChildProcess::Start(const std::vector<std::string>& command, const std::string& log) {
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (const std::string& argument : command) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  exit_status_.reset();
  pid_ = fork();
  if (pid_ == 0) {
    RunChild(std::move(arguments), log);
  }
  return pid_ > 0;
}

void ChildProcess::Signal(int signal) {
  if (Running()) {
    kill(pid_, signal);
  }
}

void ChildProcess::Kill() {
  if (!Running()) {
    return;
  }
  kill(pid_, SIGKILL);
  int status = 0;
  waitpid(pid_, &status, 0);
  exit_status_ = StatusOf(status);
  pid_ = -1;
}

bool ChildProcess::Running() {
  if (pid_ <= 0) {
    return false;
  }
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) != pid_) {
    return true;
  }
  exit_status_ = StatusOf(status);
  pid_ = -1;
  return false;
}

std::size_t ChildProcess::PeakKilobytes() const {
  std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmHWM:")) return std::stoul(line.substr(6));
  }
  return 0;
}

}  // namespace mulberry::scenario
