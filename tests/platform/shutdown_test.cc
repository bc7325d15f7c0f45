#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

#include "node_fixture.h"

namespace mulberry::platform {
namespace {

using gateway::RunFor;
using gateway::RunUntil;
using gateway::TestCaller;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Callers that keep their connections and the address of a node for as long as it accepts them,
/// and send the next request soon after each response.
class PersistentCallers {
 public:
  PersistentCallers(asio::io_context& io, std::string address, int count)
      : io_(io), address_(std::move(address)), callers_(static_cast<std::size_t>(count)) {}

  /// Sends a request for each caller whose last one is answered.
  void Step() {
    for (Caller& caller : callers_) {
      if (!caller.connection || caller.connection->ended) {
        EndRequest(caller);
        Connect(caller);
      }
      if (!caller.connection) continue;
      if (IsAnswered(caller)) EndRequest(caller);
      if (caller.request.empty()) Send(caller);
    }
  }

  /// Ids of the requests whose connection ended without a response, or that still wait for one.
  std::vector<std::string> Unanswered() {
    for (Caller& caller : callers_) EndRequest(caller);
    return unanswered_;
  }

 private:
  struct Caller {
    std::unique_ptr<TestCaller> connection;
    std::string request;  ///< Id of the request that waits for its response; empty for none.
  };

  static bool IsAnswered(const Caller& caller) {
    return !caller.request.empty() &&
           caller.connection->received.find("X-Request-Id: " + caller.request) != std::string::npos;
  }

  void Connect(Caller& caller) {
    caller.connection = std::make_unique<TestCaller>(io_);
    try {
      caller.connection->Connect(address_);
    } catch (const std::system_error&) {
      caller.connection.reset();
    }
  }

  void EndRequest(Caller& caller) {
    if (!caller.request.empty() && !IsAnswered(caller)) unanswered_.push_back(caller.request);
    caller.request.clear();
    if (caller.connection) caller.connection->received.clear();
  }

  void Send(Caller& caller) {
    caller.request = "p" + std::to_string(++sent_);
    caller.connection->Write(
        "GET /read/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + caller.request + "\r\n\r\n");
  }

  asio::io_context& io_;
  std::string address_;
  std::vector<Caller> callers_;
  std::vector<std::string> unanswered_;
  int sent_ = 0;
};

TEST_CASE_FIXTURE(NodeFixture,
                  "no request that a server has run is unanswered when a busy node shuts down") {
  AddNode();
  REQUIRE(RunUntil(io, [&] { return IsReady(0); }));
  server_one.SetServiceTime(milliseconds(250));
  PersistentCallers callers(io, settings[0].callers, 8);
  const TimePoint stopped_at = MonotonicClock::now() + milliseconds(500);
  bool stopping = false;
  // The node stops the io_context when it exits.
  while (!io.stopped()) {
    REQUIRE(MonotonicClock::now() - stopped_at < settings[0].grace);
    if (!stopping && MonotonicClock::now() >= stopped_at) {
      stopping = true;
      nodes[0]->Stop();
    }
    callers.Step();
    io.run_for(milliseconds(10));
  }
  io.restart();
  nodes[0].reset();
  RunFor(io, milliseconds(300));
  for (const std::string& id : callers.Unanswered()) {
    CAPTURE(id);
    CHECK(server_one.runs().count(id) == 0);
  }
}

TEST_CASE_FIXTURE(NodeFixture, "what is unfinished when a node exits gets an answer") {
  AddNode();
  settings[0].grace = seconds(1);
  nodes[0]->Reload(settings[0]);
  REQUIRE(RunUntil(io, [&] { return IsReady(0); }));
  server_one.SetMode(BackendMode::kDropsResponses);
  const auto send = [&](TestCaller& caller, const std::string& head) {
    caller.Connect(settings[0].callers);
    caller.Write(head + "Host: h.example\r\n\r\n");
  };
  TestCaller incomplete(io);
  send(incomplete, "POST /read/x HTTP/1.1\r\nContent-Length: 9\r\n");
  RunFor(io, milliseconds(50));
  nodes[0]->Stop();
  RunFor(io, milliseconds(500));
  TestCaller running(io);
  send(running, "GET /read/x HTTP/1.1\r\nX-Request-Id: a\r\n");
  RunFor(io, milliseconds(200));
  TestCaller late(io);
  send(late, "GET /read/x HTTP/1.1\r\nX-Request-Id: b\r\n");
  io.run_for(seconds(1));
  REQUIRE(io.stopped());
  io.restart();
  nodes[0].reset();
  REQUIRE(RunUntil(io, [&] { return running.ended && incomplete.ended && late.ended; }));
  CHECK(running.received.starts_with("HTTP/1.1 504"));
  CHECK(incomplete.received.starts_with("HTTP/1.1 503"));
  CHECK(late.received.starts_with("HTTP/1.1 503"));
  CHECK(server_one.runs().count("a") == 1);
  CHECK(server_one.runs().count("b") == 0);
}

}  // namespace
}  // namespace mulberry::platform
