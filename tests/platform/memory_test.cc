#include <doctest/doctest.h>

#include <array>
#include <asio/write.hpp>
#include <filesystem>
#include <fstream>
#include <string>

#include "node_fixture.h"
#include "scenarios/runner/child_process.h"

namespace mulberry::platform {
namespace {

using gateway::FreePort;
using gateway::RunFor;
using gateway::RunUntil;
using gateway::TestCaller;
using std::chrono::milliseconds;

constexpr std::size_t kMemoryMb = 160;

/// A server that answers each request with a body that doesn't end.
class EndlessServer {
 public:
  explicit EndlessServer(asio::io_context& io)
      : io_(io),
        acceptor_(io, {asio::ip::make_address_v4("127.0.0.1"), 0}),
        chunk_("3f00\r\n" + std::string(0x3f00, 'z') + "\r\n") {
    Accept();
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

 private:
  struct Connection {
    explicit Connection(asio::ip::tcp::socket accepted) : socket(std::move(accepted)) {}
    asio::ip::tcp::socket socket;
    std::array<char, 4096> buffer{};
  };
  using Pointer = std::shared_ptr<Connection>;

  void Accept() {
    acceptor_.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
      if (error) return;
      Answer(std::make_shared<Connection>(std::move(socket)));
      Accept();
    });
  }
  void Answer(const Pointer& connection) {
    connection->socket.async_read_some(
        asio::buffer(connection->buffer),
        [this, connection](const asio::error_code& error, std::size_t bytes) {
          if (error) return;
          const std::string request(connection->buffer.data(), bytes);
          const std::size_t id = request.find("X-Request-Id: ");
          if (id == std::string::npos) return AnswerHealthCheck(connection);
          asio::error_code ignored;
          asio::write(
              connection->socket,
              asio::buffer("HTTP/1.1 200 OK\r\n" + request.substr(id, request.find('\r', id) - id) +
                           "\r\nX-Response-Signature: s\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n" +
                           chunk_),
              ignored);
          // The first chunk, read alone, decides at which sizes the buffer of the body grows.
          auto timer = std::make_shared<asio::steady_timer>(io_, milliseconds(20));
          timer->async_wait(
              [this, connection, timer](const asio::error_code&) { WriteOn(connection); });
        });
  }
  void AnswerHealthCheck(const Pointer& connection) {
    asio::error_code ignored;
    asio::write(connection->socket,
                asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")), ignored);
    Answer(connection);
  }
  void WriteOn(const Pointer& connection) {
    asio::async_write(connection->socket, asio::buffer(chunk_),
                      [this, connection](const asio::error_code& error, std::size_t) {
                        if (!error) WriteOn(connection);
                      });
  }

  asio::io_context& io_;
  asio::ip::tcp::acceptor acceptor_;
  std::string chunk_;
};

/// The most memory that a process has held, in kilobytes.
std::size_t PeakKilobytes(pid_t process) {
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmHWM:")) return std::stoul(line.substr(6));
  }
  return 0;
}

TEST_CASE_FIXTURE(NodeFixture,
                  "responses without an end do not exceed the memory of a small host") {
  EndlessServer endless(io);
  store.Put("keyed.servers", "i-1", std::nullopt);
  // An unsafe request gets one server, so one body grows at a time.
  std::string config = ConfigText(2, "s");
  store.Put("keyed.op", "config", config.replace(config.find("\"safe\""), 6, "\"unsafe\""));
  for (int i = 0; i < 12; ++i) {
    store.Put("keyed.servers", "e-" + std::to_string(i), EntryText("s", endless.address()));
  }
  const std::string front = "127.0.0.1:" + std::to_string(FreePort());
  const std::string readiness = "127.0.0.1:" + std::to_string(FreePort());
  std::string directory = (std::filesystem::temp_directory_path() / "memory-XXXXXX").string();
  REQUIRE(mkdtemp(directory.data()) != nullptr);
  std::ofstream(directory + "/settings.ini")
      << "[host]\nname = a\ndata_centre = here\nip = 127.0.0.1\nmemory_mb = " << kMemoryMb
      << "\n[listen]\ncallers = " << front << "\nreadiness = " << readiness
      << "\ndirectory = 127.0.0.1:" << FreePort() << "\npeer_port = " << FreePort()
      << "\nmetrics_port = " << FreePort() << "\n[store]\naddress = " << store_address << "\n";
  scenario::ChildProcess process;
  REQUIRE(
      process.Start({MULBERRY_BINARY_DIR "/mulberryd", "--gateway=" + directory + "/settings.ini"},
                    directory + "/log"));
  const auto is_ready = [&] {
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
  };
  REQUIRE(RunUntil(io, is_ready));
  for (int round = 0; round < 10; ++round) {
    std::vector<std::unique_ptr<TestCaller>> callers;
    for (int i = 0; i < 3; ++i) {
      callers.push_back(std::make_unique<TestCaller>(io));
      callers.back()->Connect(front);
      callers.back()->Write("GET /read/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: q" +
                            std::to_string(round) + "-" + std::to_string(i) + "\r\n\r\n");
      RunFor(io, milliseconds(15 + 11 * round % 40));
    }
    // The last body can fill what the others, which end earlier, have left behind.
    callers[0]->Close();
    RunFor(io, milliseconds(20));
    callers[1]->Close();
    CHECK(RunUntil(io, [&] { return callers[2]->received.starts_with("HTTP/1.1 50"); }));
  }
  CHECK(process.Running());
  const std::size_t peak = PeakKilobytes(process.pid());
  MESSAGE("peak: " << peak << " KB");
  CHECK(peak > 0);
  CHECK(peak <= kMemoryMb * 1024);
  process.Kill();
  std::filesystem::remove_all(directory);
}

}  // namespace
}  // namespace mulberry::platform
