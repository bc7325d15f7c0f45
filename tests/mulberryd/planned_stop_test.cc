// Planned stops of the process: what callers see who still use its address and their connections.
#include <doctest/doctest.h>

#include <asio/read.hpp>
#include <asio/write.hpp>
#include <csignal>
#include <memory>
#include <vector>

#include "entry_hosts.h"
#include "transport/loopback.h"

namespace mulberry {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kStopped = 0;
constexpr std::size_t kCallers = 30;
/// From the signal until a host closes its port: the addresses' time to live and 250 ms.
constexpr milliseconds kServing = EntryHosts::kAddressTtl + milliseconds(250);
/// Bound for the end of a process that has nothing left to answer. Its metrics endpoint takes up to
/// 2 s to stop.
constexpr milliseconds kEndLimit{4000};

std::size_t CountOf(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

}  // namespace

TEST_CASE("a host that stops ends while callers go on sending to its address") {
  EntryHosts hosts;
  SteadyCallers callers(hosts, kStopped, 4, milliseconds(60));
  RunFor(hosts.io(), milliseconds(300));
  hosts.process(kStopped).Signal(SIGTERM);
  const bool ended = hosts.WaitForEnd(kStopped, kServing + kEndLimit);
  CAPTURE(callers.reasons());
  CHECK(ended);
  RunFor(hosts.io(), milliseconds(200));
  CHECK(hosts.process(kStopped).exit_status() == 0);
  CHECK(callers.answered() > 10);
  CHECK(callers.cut() == 0);
  CHECK(callers.refused() == 4);
}

TEST_CASE("a request that a kept connection brings at the end of a stop runs only if answered") {
  // The moment between two requests at which the host may end differs from run to run.
  SUBCASE("first run") {}
  SUBCASE("second run") {}
  SUBCASE("third run") {}
  EntryHosts hosts;
  std::vector<std::unique_ptr<RawCaller>> callers;
  callers.reserve(kCallers);
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<RawCaller>(hosts.io(), hosts.port(kStopped)));
  }
  RunFor(hosts.io(), milliseconds(50));
  const std::size_t before = hosts.server().started();
  hosts.process(kStopped).Signal(SIGTERM);
  RunFor(hosts.io(), kServing - milliseconds(30));
  for (const auto& caller : callers) {
    caller->Write(EntryHosts::RequestHead(milliseconds(0)) + "\r\n");
    RunFor(hosts.io(), milliseconds(6));
  }
  CHECK(hosts.WaitForEnd(kStopped, kEndLimit));
  std::size_t answered = 0;
  for (const auto& caller : callers) {
    caller->WaitForClose();
    answered += CountOf(caller->received(), "HTTP/1.1 200");
  }
  CHECK(answered > 0);
  CHECK(hosts.server().started() - before == answered);
}

TEST_CASE("an answer that its caller reads slowly is whole after a stop") {
  EntryHosts hosts;
  constexpr std::size_t kBytes = 4'000'000;
  asio::ip::tcp::socket caller(hosts.io());
  caller.open(asio::ip::tcp::v4());
  caller.set_option(asio::socket_base::receive_buffer_size(4096));
  caller.connect(Loopback(hosts.port(kStopped)));
  const std::string request = EntryHosts::RequestHead(milliseconds(0), kBytes) + "\r\n";
  asio::write(caller, asio::buffer(request));
  REQUIRE(RunUntil(hosts.io(), [&] { return hosts.server().ended() >= 3; }));
  RunFor(hosts.io(), milliseconds(100));
  hosts.process(kStopped).Signal(SIGTERM);
  RunFor(hosts.io(), kServing + milliseconds(300));
  std::string received(2 * kBytes, '\0');
  asio::error_code error;
  received.resize(asio::read(caller, asio::buffer(received), error));
  CHECK(received.size() > kBytes);
  CHECK(hosts.WaitForEnd(kStopped, kEndLimit));
}

TEST_CASE("a request of which a part has arrived is read and answered during a stop") {
  EntryHosts hosts;
  RawCaller caller(hosts.io(), hosts.port(kStopped));
  caller.Write(EntryHosts::RequestHead(milliseconds(10)));
  RunFor(hosts.io(), milliseconds(50));
  hosts.process(kStopped).Signal(SIGTERM);
  RunFor(hosts.io(), kServing + milliseconds(300));
  caller.Write("\r\n");
  CHECK(caller.WaitForText("HTTP/1.1 200"));
  CHECK(hosts.WaitForEnd(kStopped, kEndLimit));
}

TEST_CASE("a request that never becomes whole does not keep a host that stops from ending") {
  EntryHosts hosts;
  RawCaller caller(hosts.io(), hosts.port(kStopped));
  caller.Write(EntryHosts::RequestHead(milliseconds(10)));
  RunFor(hosts.io(), milliseconds(50));
  hosts.process(kStopped).Signal(SIGTERM);
  CHECK(caller.WaitForText("HTTP/1.1 408"));
  CHECK(hosts.WaitForEnd(kStopped, kEndLimit));
}

TEST_CASE("each of several requests that a connection sent at once is answered during a stop") {
  EntryHosts hosts;
  RawCaller caller(hosts.io(), hosts.port(kStopped));
  hosts.process(kStopped).Signal(SIGTERM);
  RunFor(hosts.io(), milliseconds(100));
  const std::size_t before = hosts.server().started();
  caller.Write(EntryHosts::RequestHead(milliseconds(50)) + "\r\n" +
               EntryHosts::RequestHead(milliseconds(200)) + "\r\n" +
               "GET /v1/addresses?class=lookup HTTP/1.1\r\nHost: a\r\n\r\n");
  caller.WaitForClose();
  CHECK(hosts.server().started() - before == 2);
  CHECK(CountOf(caller.received(), "HTTP/1.1 200") == 3);
}

TEST_CASE("a host that stops while the log and the other hosts are away ends and cuts nothing") {
  EntryHosts hosts;
  SteadyCallers callers(hosts, kStopped, 4, milliseconds(60));
  RunFor(hosts.io(), milliseconds(300));
  hosts.platform().Kill();
  hosts.process(1).Kill();
  RunFor(hosts.io(), milliseconds(100));
  hosts.process(kStopped).Signal(SIGTERM);
  // A request that no host can take waits until its deadline of 2 s.
  CHECK(hosts.WaitForEnd(kStopped, kServing + milliseconds(2000) + kEndLimit));
  RunFor(hosts.io(), milliseconds(200));
  CHECK(callers.cut() == 0);
  CHECK(callers.refused() == 4);
}

}  // namespace mulberry
