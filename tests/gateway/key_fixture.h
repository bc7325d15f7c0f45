#pragma once

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "forwarder_fixture.h"

namespace mulberry::gateway {

inline workspace::Workspace MakeWorkspace(const std::string& name,
                                          const std::vector<std::string>& keys) {
  workspace::Workspace made;
  made.name = WorkspaceName(name);
  made.keys = keys;
  return made;
}

/// A forwarder whose configuration has two workspaces, and an open route beside the other two.
struct KeyFixture : ForwarderFixture {
  KeyFixture() {
    forwarder.key_gate().SetLimits({.strict = true, .bound = std::chrono::seconds(5)});
    UseConfig(2, {{"acme", {"k1", "k2"}}, {"other", {"k3"}}});
    Prove();
  }

  using Keys = std::vector<std::pair<std::string, std::vector<std::string>>>;
  void UseConfig(std::uint64_t version, const Keys& workspaces) {
    Config next = FirstConfig();
    next.version = ConfigVersion(version);
    Route open = next.routes.front();
    open.name = "open";
    open.path_prefix = "/open/";
    open.open = true;
    next.routes.push_back(open);
    for (const auto& [name, keys] : workspaces) {
      next.workspaces.push_back(MakeWorkspace(name, keys));
    }
    REQUIRE(config.Update(std::move(next)));
    forwarder.OnKeysChanged(MonotonicClock::now());
  }
  /// The configuration is known to have been the newest `age` ago.
  void Prove(Duration age = Duration::zero()) {
    forwarder.key_gate().proof().OnOwnRead(MonotonicClock::now() - age);
    forwarder.OnKeysChanged(MonotonicClock::now());
  }
  /// The proof has lapsed, as after a suspension.
  void LoseProof() { forwarder.key_gate().proof() = workspace::FreshnessProof(); }

  static std::size_t Count(const std::string& text, const std::string& part) {
    std::size_t count = 0;
    for (std::size_t at = 0; (at = text.find(part, at)) != std::string::npos; ++at) ++count;
    return count;
  }
};

inline constexpr char kKey[] = "Authorization: Bearer k1\r\n";

/// Fills the servers with requests, each on its own connection.
struct FullServersFixture : KeyFixture {
  /// Sends requests until one waits in the queue.
  void FillServers() {
    for (int i = 0; i < 40 && forwarder.calls() == RequestsSent(); ++i) {
      callers.push_back(std::make_unique<TestCaller>(io));
      callers.back()->Connect(port);
      callers.back()->Write("POST /write/" + std::to_string(i) +
                            " HTTP/1.1\r\nHost: h.example\r\n" + kKey +
                            "Content-Length: 0\r\n\r\n");
      RunFor(io, std::chrono::milliseconds(5));
    }
    waiting = callers.back().get();
  }
  std::size_t RequestsSent() const {
    std::size_t count = 0;
    for (const ScriptedServer* scripted : {&first, &second}) {
      for (const auto& connection : scripted->connections) {
        count += Count(connection->received, "POST ");
      }
    }
    return count;
  }
  void FreeServer() {
    first.connections.front()->Write(
        "HTTP/1.1 200 OK\r\nSignature: s1\r\nContent-Length: 4\r\n\r\nfree");
    RunFor(io, std::chrono::milliseconds(20));
    forwarder.DispatchQueued();
    RunFor(io, std::chrono::milliseconds(20));
  }

  std::vector<std::unique_ptr<TestCaller>> callers;
  TestCaller* waiting = nullptr;
};

/// One full server, and one request that waits in the queue.
struct QueueFixture : FullServersFixture {
  QueueFixture() {
    pool.Remove(ServerName("b"));
    FillServers();
  }
};

}  // namespace mulberry::gateway
