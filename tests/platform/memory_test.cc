#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "node_fixture.h"
#include "scenarios/runner/child_process.h"
#include "transport/endless_server.h"

namespace mulberry::platform {
namespace {

using gateway::FreePort;
using gateway::RunFor;
using gateway::RunUntil;
using gateway::TestCaller;
using std::chrono::milliseconds;

constexpr std::size_t kMemoryMb = 160;

/// The process of a small host with 12 servers that answer with `answer` after the status line and
/// the id.
struct SmallHostFixture : NodeFixture {
  SmallHostFixture()
      : endless(io, [this](const std::string& request) -> EndlessServer::Answer {
          const std::size_t id = request.find("X-Request-Id: ");
          if (id == std::string::npos) {
            return {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "", {}};
          }
          const std::string head = "HTTP/1.1 200 OK\r\n" +
                                   request.substr(id, request.find('\r', id) - id) +
                                   "\r\nX-Response-Signature: s\r\n";
          return {(with_head ? head : "") + answer.first, answer.piece, answer.pause};
        }) {}
  ~SmallHostFixture() {
    process.Kill();
    std::filesystem::remove_all(directory);
  }

  /// Starts the process with a route of this type, and waits until it is ready.
  void Start(const std::string& route_type) {
    store.Put("keyed.servers", "i-1", std::nullopt);
    std::string config = ConfigText(2, "s");
    store.Put("keyed.op", "config",
              config.replace(config.find("\"safe\""), 6, "\"" + route_type + "\""));
    for (int i = 0; i < 12; ++i) {
      store.Put("keyed.servers", "e-" + std::to_string(i), EntryText("s", endless.address()));
    }
    const std::string readiness = "127.0.0.1:" + std::to_string(FreePort());
    directory = (std::filesystem::temp_directory_path() / "memory-XXXXXX").string();
    REQUIRE(mkdtemp(directory.data()) != nullptr);
    std::ofstream(directory + "/settings.ini")
        << "[host]\nname = a\ndata_centre = here\nip = 127.0.0.1\nmemory_mb = " << kMemoryMb
        << "\n[listen]\ncallers = " << front << "\nreadiness = " << readiness
        << "\ndirectory = 127.0.0.1:" << FreePort() << "\npeer_port = " << FreePort()
        << "\nmetrics_port = " << FreePort() << "\n[store]\naddress = " << store_address << "\n";
    REQUIRE(process.Start(
        {MULBERRY_BINARY_DIR "/mulberryd", "--gateway=" + directory + "/settings.ini"},
        directory + "/log"));
    REQUIRE(RunUntil(io, [&] {
      TestCaller caller(io);
      try {
        caller.Connect(readiness);
      } catch (const std::system_error&) {
        RunFor(io, milliseconds(20));
        return false;
      }
      caller.Write("GET /readiness HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
      RunUntil(io, [&] { return caller.ended; });
      return caller.received.starts_with("HTTP/1.1 200");
    }));
  }
  std::unique_ptr<TestCaller> Send(const std::string& id) {
    auto caller = std::make_unique<TestCaller>(io);
    caller->Connect(front);
    caller->Write("GET /read/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id + "\r\n\r\n");
    return caller;
  }
  void CheckMemory() {
    CHECK(process.Running());
    const std::size_t peak = process.PeakKilobytes();
    MESSAGE("peak: " << peak << " KB");
    CHECK(peak > 0);
    CHECK(peak <= kMemoryMb * 1024);
  }

  EndlessServer::Answer answer;
  bool with_head = true;
  EndlessServer endless;
  std::string front = "127.0.0.1:" + std::to_string(FreePort());
  std::string directory;
  scenario::ChildProcess process;
};

TEST_CASE_FIXTURE(SmallHostFixture,
                  "responses without an end do not exceed the memory of a small host") {
  // The first chunk, read alone, decides at which sizes the buffer of the body grows.
  answer.piece = "3f00\r\n" + std::string(0x3f00, 'z') + "\r\n";
  answer.first = "Transfer-Encoding: chunked\r\n\r\n" + answer.piece;
  answer.pause = milliseconds(20);
  // An unsafe request gets one server, so one body grows at a time.
  Start("unsafe");
  for (int round = 0; round < 10; ++round) {
    std::vector<std::unique_ptr<TestCaller>> callers;
    for (int i = 0; i < 3; ++i) {
      callers.push_back(Send("q" + std::to_string(round) + "-" + std::to_string(i)));
      RunFor(io, milliseconds(15 + 11 * round % 40));
    }
    // The last body can fill what the others, which end earlier, have left behind.
    callers[0]->Close();
    RunFor(io, milliseconds(20));
    callers[1]->Close();
    CHECK(RunUntil(io, [&] { return callers[2]->received.starts_with("HTTP/1.1 50"); }));
  }
  CheckMemory();
}

// Guards against heads and other parts of a response that count against no limit.
TEST_CASE_FIXTURE(SmallHostFixture,
                  "heads and trailers without an end do not exceed the memory of a small host") {
  SUBCASE("short header lines") {
    for (int i = 0; i < 1000; ++i) answer.piece += "a:\r\n";
  }
  SUBCASE("a header line") {
    answer.first = "A: ";
    answer.piece = std::string(16 * 1024, 'z');
  }
  SUBCASE("interim responses") {
    with_head = false;
    for (int i = 0; i < 100; ++i) answer.piece += "HTTP/1.1 103 Early Hints\r\nA: 1\r\n\r\n";
  }
  SUBCASE("trailers") {
    answer.first = "Transfer-Encoding: chunked\r\n\r\n1\r\nz\r\n0\r\n";
    for (int i = 0; i < 1000; ++i) answer.piece += "a: b\r\n";
  }
  SUBCASE("a chunk extension") {
    answer.first = "Transfer-Encoding: chunked\r\n\r\n1;";
    answer.piece = std::string(16 * 1024, 'z');
  }
  SUBCASE("a body without a length") {
    answer.first = "\r\n";
    answer.piece = std::string(16 * 1024, 'z');
  }
  SUBCASE("no response at all") {
    with_head = false;
    answer.piece = std::string(16 * 1024, 'z');
  }
  Start("safe");
  std::vector<std::unique_ptr<TestCaller>> callers;
  for (int i = 0; i < 200; ++i) {
    callers.push_back(Send("q" + std::to_string(i)));
    RunFor(io, milliseconds(2));
  }
  for (const auto& caller : callers) {
    CHECK(RunUntil(io, [&] { return caller->received.starts_with("HTTP/1.1 50"); }));
  }
  CHECK(endless.begun() > 12);
  CheckMemory();
}

}  // namespace
}  // namespace mulberry::platform
