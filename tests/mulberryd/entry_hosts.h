#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "libtransport/transport.h"
#include "scenarios/runner/child_process.h"
#include "scenarios/runner/port_block.h"

namespace mulberry {

/// Backend server in the test's process. It counts what it ran, and works on each request for the
/// time that the query parameter `work_ms` says; `bytes` is the size of the answer's body, `status`
/// its status. With `other_id`, the answer is the refusal of the request with that id.
class CountingServer {
 public:
  CountingServer(asio::io_context& io, std::uint16_t port);

  /// Number of requests that started to run and that ended.
  std::size_t started() const { return started_; }
  std::size_t ended() const { return ended_; }

 private:
  void Handle(const ServerRequest& request, const HttpServer::Respond& respond);

  asio::io_context& io_;
  std::size_t started_ = 0;
  std::size_t ended_ = 0;
  HttpServer server_;
};

/// Two processes `mulberryd --config` of one data centre, the stand-in of the platform and a
/// backend server of class "lookup", which is idempotent. Addresses are valid for kAddressTtl.
class EntryHosts {
 public:
  static constexpr std::chrono::milliseconds kAddressTtl{300};
  static constexpr std::chrono::milliseconds kHeadTimeout{1500};

  /// Setting `answer_memory_bytes`.
  static constexpr std::size_t kAnswerMemory = 16 * 1024 * 1024;

  /// Returns after every host has answered a request of a caller.
  EntryHosts();
  ~EntryHosts();
  EntryHosts(const EntryHosts&) = delete;
  EntryHosts& operator=(const EntryHosts&) = delete;

  asio::io_context& io() { return io_; }
  HttpClient& client() { return client_; }
  CountingServer& server() { return *server_; }
  std::uint16_t port(std::size_t host) const { return hosts_[host].caller_port; }
  scenario::ChildProcess& process(std::size_t host) { return hosts_[host].process; }
  scenario::ChildProcess& platform() { return platform_; }

  /// Lists a further backend server of class "lookup". `address` is "ip:port".
  void AddServer(const std::string& name, const std::string& address, int slots);

  /// Returns the head of a request of class "lookup" without its last line end.
  static std::string RequestHead(std::chrono::milliseconds work, std::size_t bytes = 0);
  std::string UrlOf(std::size_t host, std::chrono::milliseconds work) const;

  /// Runs the io_context until the host has ended; false when it still runs after `limit`.
  bool WaitForEnd(std::size_t host, std::chrono::milliseconds limit);

 private:
  struct Host {
    std::string name;
    std::uint16_t caller_port = 0;
    std::uint16_t peer_port = 0;
    scenario::ChildProcess process;
  };

  void StartPlatform();
  void StartHost(Host& host);
  void Post(const std::string& path, const std::string& body);

  std::string folder_;
  asio::io_context io_;
  scenario::PortBlock ports_{io_};
  HttpClient client_{io_};
  std::unique_ptr<CountingServer> server_;
  std::uint16_t platform_port_ = 0;
  scenario::ChildProcess platform_;
  std::vector<Host> hosts_;
  nlohmann::json host_list_;
};

/// Callers that go on sending to one host, each its next request when the last one has ended, until
/// the host refuses the connection.
class SteadyCallers {
 public:
  SteadyCallers(EntryHosts& hosts, std::size_t host, std::size_t callers,
                std::chrono::milliseconds work);

  std::size_t answered() const { return answered_; }
  /// Requests of which a part may have been sent and that got no answer.
  std::size_t cut() const { return cut_; }
  /// Reasons of answers that are not a server's, with the time since the request was sent.
  const std::string& reasons() const { return reasons_; }
  /// Callers whose connection was refused.
  std::size_t refused() const { return refused_; }

 private:
  void Send();

  EntryHosts& hosts_;
  std::string url_;
  std::size_t answered_ = 0;
  std::size_t cut_ = 0;
  std::size_t refused_ = 0;
  std::string reasons_;
};

}  // namespace mulberry
