#include <doctest/doctest.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "key_fixture.h"

namespace mulberry::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Requests that wait in the queue while configurations change the workspace of their key.
struct WorkspaceChangeFixture : FullServersFixture {
  static workspace::Workspace Make(const std::string& name, const std::string& key,
                                   std::optional<std::uint32_t> priority = std::nullopt) {
    workspace::Workspace made = MakeWorkspace(name, {key});
    made.priority = priority;
    return made;
  }
  void Use(const std::vector<workspace::Workspace>& workspaces) {
    Config next = FirstConfig();
    next.version = ConfigVersion(next_version++);
    // Requests wait long enough for all changes.
    for (Route& route : next.routes) {
      route.timeout = seconds(4);
      route.latency_target = seconds(3);
      route.priority = 2;
    }
    next.workspaces = workspaces;
    REQUIRE(config.Update(std::move(next)));
    forwarder.OnKeysChanged(MonotonicClock::now());
  }
  /// Sends one more request, which waits behind those that the servers have.
  void SendWaiting() {
    callers.push_back(std::make_unique<TestCaller>(io));
    callers.back()->Connect(port);
    callers.back()->Write("POST /write/" + std::to_string(100 + callers.size()) +
                          " HTTP/1.1\r\nHost: h.example\r\n" + kKey + "Content-Length: 0\r\n\r\n");
    RunFor(io, milliseconds(5));
  }
  /// Answers the requests at the servers one by one until all callers have a response.
  void AnswerAll() {
    std::map<const void*, std::size_t> answered;
    REQUIRE(RunUntil(io, [&] {
      for (const ScriptedServer* scripted : {&first, &second}) {
        for (const auto& connection : scripted->connections) {
          std::size_t& done = answered[connection.get()];
          if (done == Count(connection->received, "POST ")) continue;
          ++done;
          connection->Write("HTTP/1.1 200 OK\r\nSignature: s1\r\nContent-Length: 0\r\n\r\n");
          break;
        }
      }
      RunFor(io, milliseconds(2));
      forwarder.DispatchQueued();
      return forwarder.calls() == 0;
    }));
  }
  std::size_t ResponsesOf(const std::string& status) const {
    std::size_t count = 0;
    for (const auto& waiting_caller : callers) {
      count += Count(waiting_caller->received, "HTTP/1.1 " + status);
    }
    return count;
  }

  std::uint64_t next_version = 3;
};

// Guards against a queue that keeps the entry of a request whose workspace has changed, and sends
// the request again.
TEST_CASE_FIXTURE(WorkspaceChangeFixture,
                  "a request whose workspace changes in the queue runs once") {
  std::vector<std::vector<workspace::Workspace>> changes;
  SUBCASE("the key moves to another workspace") {
    Use({Make("acme", "k1"), Make("other", "k3")});
    changes = {{Make("acme", "k2"), Make("other", "k1")}};
  }
  SUBCASE("the workspace is renamed") {
    Use({Make("acme", "k1")});
    changes = {{Make("acme-2", "k1")}};
  }
  SUBCASE("the workspace gets another priority") {
    Use({Make("acme", "k1", 3)});
    changes = {{Make("acme", "k1", 1)}};
  }
  SUBCASE("the key moves to a workspace of another priority") {
    Use({Make("acme", "k1", 3), Make("other", "k3", 1)});
    changes = {{Make("acme", "k2", 3), Make("other", "k1", 1)}};
  }
  SUBCASE("the first configuration with workspaces") {
    Use({});
    changes = {{Make("acme", "k1", 1)}};
  }
  SUBCASE("the last workspace is removed") {
    Use({Make("acme", "k1", 1)});
    changes = {{}};
  }
  SUBCASE("several changes in quick succession") {
    Use({Make("acme", "k1"), Make("other", "k3")});
    changes = {{Make("acme", "k2"), Make("other", "k1")},
               {Make("acme", "k1"), Make("other", "k2")},
               {},
               {Make("third", "k1", 0)}};
  }
  FillServers();
  SendWaiting();
  SendWaiting();
  for (const auto& workspaces : changes) {
    Use(workspaces);
    forwarder.DispatchQueued();
    SendWaiting();
  }
  const std::size_t requests = callers.size();
  AnswerAll();
  RunFor(io, milliseconds(20));
  CHECK(RequestsSent() == requests);
  CHECK(ResponsesOf("200") == requests);
}

}  // namespace
}  // namespace mulberry::gateway
