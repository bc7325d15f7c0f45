#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <variant>

#include "libconfig/config.h"
#include "libentry/entry.h"
#include "libtransport/transport.h"
#include "mulberryd/metrics_observer.h"

namespace mulberry {

/// The process of one entry host: executes the actions that EntryHost returns on the network
/// transports, and passes network events to EntryHost. Runs on the io_context's thread; only the
/// metrics endpoint has threads of its own.
class EntryNode {
 public:
  /// Precondition: `settings` are valid.
  EntryNode(asio::io_context& io, const Settings& settings, StartId start);
  ~EntryNode();
  EntryNode(const EntryNode&) = delete;
  EntryNode& operator=(const EntryNode&) = delete;

  /// Starts the supervised parts of the process.
  void Start();

  /// Starts a graceful shutdown: serves callers until the addresses they hold have expired, then
  /// closes the port and idle connections, and stops the io_context when each request that has
  /// arrived is answered and its answer written. A second call stops the io_context immediately.
  void Stop();

 private:
  static constexpr Duration kPartCheckInterval = std::chrono::milliseconds(100);
  static constexpr std::uint64_t kPartChecksPerMetricsPublish = 10;
  struct PendingCall {
    HttpServer::Respond respond;
    std::uint64_t connection = 0;
  };

  static Instant Now();
  template <class Event>
  void HandleEvent(Event event);
  void Execute(EntryActions& actions);
  void ArmTickTimer(TimePoint due);
  void OnTickTimer();
  void ContinueStop();
  void Exit();
  void OnHttpRequest(ServerRequest request, HttpServer::Respond respond);
  void OnCall(ServerRequest request, HttpServer::Respond respond);
  void OnConnectionClosed(std::uint64_t connection);
  ServerAnswer StatusAnswer() const;
  void StartConfigReader();
  void PollHostList();
  void OnHostListFetched(const Result<std::optional<HostList>>& hosts);
  Result<void> OpenHttpServer();
  void CheckPartsAndPublishMetrics();
  std::unique_ptr<Supervisor> MakeSupervisor();

  void ExecuteAction(SendPeer& action);
  void ExecuteAction(SendToServer& action);
  void ExecuteAction(CancelSend& action);
  void ExecuteAction(ProbeServer& action);
  void ExecuteAction(AnswerCaller& action);
  void ExecuteAction(ReadLog& action);
  void ExecuteAction(AppendRecord& action);
  void OnServerAnswer(DispatchId dispatch, HttpAnswer answer);
  void OnProbeAnswer(const ServerName& server, const HttpAnswer& answer);

  asio::io_context& io_;
  Settings settings_;
  Metrics metrics_;
  MetricsObserver metrics_observer_;
  EntryHost host_;
  /// For the answers of backend servers.
  MemoryBudget answer_memory_;
  HttpClient http_client_;
  PlatformClient platform_client_;
  PeerSocket peer_socket_;
  std::unique_ptr<HttpServer> http_server_;
  std::unique_ptr<Supervisor> supervisor_;
  asio::steady_timer tick_timer_;
  asio::steady_timer exit_timer_;
  asio::steady_timer host_list_timer_;
  asio::steady_timer part_check_timer_;
  TimePoint tick_due_ = TimePoint::max();
  std::uint64_t next_request_ = 1;
  std::unordered_map<RequestId, PendingCall> pending_calls_;
  std::unordered_map<std::uint64_t, std::unordered_set<std::uint64_t>> requests_by_connection_;
  std::unordered_map<DispatchId, HttpClient::Handle> server_requests_;
  std::uint64_t part_check_count_ = 0;
  bool stopping_ = false;
  bool exiting_ = false;
};

}  // namespace mulberry
