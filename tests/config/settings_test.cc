#include "libconfig/settings.h"

#include <doctest/doctest.h>

#include <filesystem>

namespace mulberry {
namespace {

constexpr char kRequiredSettings[] = R"([host]
name = uio-a-1
data_centre = uio-a
ip = 127.0.0.1
caller_port = 7101
peer_port = 7201
metrics_port = 7401
[platform]
address = 127.0.0.1:7001
[fleet]
ticket_secret = 0123456789abcdef
)";

std::string ErrorOf(const std::string& extra) {
  const auto settings = ParseSettings(kRequiredSettings + extra, "host.ini");
  return settings ? "" : settings.error().message;
}

TEST_CASE("the required keys are sufficient, and optional keys are parsed") {
  CHECK(ErrorOf("") == "");
  const auto settings = ParseSettings(std::string(kRequiredSettings) + R"(lease_time_ms = 900
[limits]
max_body_bytes = 2048 ; inline comment
[policy]
retry_budget = 0.25
[routing]
naive = true
[log]
level = debug
)",
                                      "host.ini");
  REQUIRE(settings);
  CHECK(settings.value().host == HostName("uio-a-1"));
  CHECK(settings.value().lease_time == std::chrono::milliseconds(900));
  CHECK(settings.value().max_body_bytes == 2048);
  CHECK(settings.value().retry_budget == 0.25);
  CHECK(settings.value().naive);
}

TEST_CASE("each error names the line, section, key, value, range and unit") {
  CHECK(ErrorOf("[limits]\nmax_depth = 0\n") ==
        "host.ini:13 [limits] max_depth = 0: must be 1 to 32 (calls)");
  CHECK(ErrorOf("heartbeat_interval_ms = 1s\n") ==
        "host.ini:12 [fleet] heartbeat_interval_ms = 1s: must be 10 to 10000 (milliseconds)");
  CHECK(ErrorOf("heartbeat_interval_ms = 400\n") ==
        "host.ini:0 [fleet] lease_time_ms = 1000: must be at least 3 times heartbeat_interval_ms = "
        "400 (milliseconds)");
  CHECK(ErrorOf("lease_time_ms = 749\n") ==
        "host.ini:12 [fleet] lease_time_ms = 749: must be at least 3 times heartbeat_interval_ms = "
        "250 (milliseconds)");
  CHECK(ErrorOf("[limits]\ndefault_deadline_ms = 9000\n") ==
        "host.ini:13 [limits] default_deadline_ms = 9000: must be at most max_deadline_ms = 5000 "
        "(milliseconds)");
  CHECK(ErrorOf("[unknown]\na = b\n") == "host.ini:12 [unknown]: unknown section");
  CHECK(ErrorOf("[empty]\n") == "host.ini:12 [empty]: unknown section");
  CHECK(ErrorOf("colour = red\n") == "host.ini:12 [fleet] colour = red: unknown key");
  CHECK(ErrorOf("[host]\nip = 127.0.0.1\n") ==
        "host.ini:13 [host] ip = 127.0.0.1: duplicate of line 4");
  CHECK(ErrorOf("no equals sign\n") == "host.ini:12: must be [section], key = value or a comment");
  CHECK(ErrorOf("; " + std::string(300, 'x') + "\n") ==
        "host.ini:12: line must be 190 bytes at most");
  CHECK(ParseSettings("\xef\xbb\xbf" + std::string(kRequiredSettings), "f").has_value());
  CHECK(ErrorOf("[limits\nwrong\n") ==
        "host.ini:12: must be [section], key = value or a comment\n"
        "host.ini:13: must be [section], key = value or a comment");
}

TEST_CASE("all errors are reported, and a secret is not shown") {
  std::string text = kRequiredSettings;
  const auto replace = [&](const std::string& from, const std::string& to) {
    text.replace(text.find(from), from.size(), to);
  };
  replace("peer_port = 7201", "peer_port = 7101");
  replace("ip = 127.0.0.1", "ip = localhost");
  replace("address = 127.0.0.1:7001", "address = 127.0.0.1");
  replace("0123456789abcdef", "short-one");
  replace("name = uio-a-1\n", "");
  const std::string message = ParseSettings(text, "f").error().message;
  CHECK(
      message ==
      "f:0 [host] name: required key is missing\n"
      "f:3 [host] ip = localhost: must be an IPv4 address such as 10.0.0.1\n"
      "f:5 [host] peer_port = 7101: must differ from caller_port\n"
      "f:8 [platform] address = 127.0.0.1: must be an IPv4 address and port such as 10.0.0.1:8080\n"
      "f:10 [fleet] ticket_secret = (hidden): must be 16 to 128 bytes");
  for (const char* ip : {"1.2.3", "1.2.3.4.5", "256.1.1.1", "01.2.3.4", "1.2.3.", "::1", ""}) {
    std::string bad = kRequiredSettings;
    bad.replace(bad.find("ip = 127.0.0.1"), 14, std::string("ip = ") + ip);
    CHECK_FALSE_MESSAGE(ParseSettings(bad, "f"), ip);
  }
}

TEST_CASE("the example settings are valid") {
  int files = 0;
  const std::filesystem::path examples = std::string(MULBERRY_SOURCE_DIR) + "/examples";
  for (const auto& entry : std::filesystem::recursive_directory_iterator(examples)) {
    if (entry.path().extension() != ".ini") continue;
    const auto settings = LoadSettings(entry.path());
    CHECK_MESSAGE(settings.has_value(), (settings ? "" : settings.error().message));
    ++files;
  }
  CHECK(files == 7);
  CHECK(LoadSettings("absent.ini").error().code == ErrorCode::kNotFound);
}

}  // namespace
}  // namespace mulberry
