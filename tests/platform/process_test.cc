#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <string>
#include <thread>

#include "scenarios/runner/child_process.h"

namespace mulberry::platform {
namespace {

constexpr char kSettings[] = R"([host]
name = a
data_centre = here
ip = 127.0.0.1
[listen]
callers = 127.0.0.1:1001
readiness = 127.0.0.1:1002
directory = 127.0.0.1:1003
peer_port = 1004
metrics_port = 1005
[store]
address = 127.0.0.1:1006
)";

TEST_CASE("SIGHUP while the settings are being read does not terminate the process") {
  std::string directory = (std::filesystem::temp_directory_path() / "process-XXXXXX").string();
  REQUIRE(mkdtemp(directory.data()) != nullptr);
  const std::string file = directory + "/settings.ini";
  REQUIRE(mkfifo(file.c_str(), 0600) == 0);
  scenario::ChildProcess process;
  REQUIRE(process.Start({MULBERRY_BINARY_DIR "/mulberryd", "--gateway=" + file, "--check"},
                        directory + "/log"));
  // Blocks until the program has opened the file for reading.
  const int fifo = open(file.c_str(), O_WRONLY | O_CLOEXEC);
  REQUIRE(fifo >= 0);
  process.Signal(SIGHUP);
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  CHECK(process.Running());
  const std::string text = kSettings;
  std::signal(SIGPIPE, SIG_IGN);
  const bool written = write(fifo, text.data(), text.size()) == static_cast<ssize_t>(text.size());
  CHECK(written);
  close(fifo);
  for (int i = 0; i < 100 && process.Running(); ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  CHECK(process.exit_status() == 0);
  std::filesystem::remove_all(directory);
}

}  // namespace
}  // namespace mulberry::platform
