#include "entry_hosts.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <utility>

#include "libconfig/config.h"
#include "transport/loopback.h"

namespace mulberry {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kHosts = 2;
std::string Program(const std::string& name) { return std::string(MULBERRY_BINARY_DIR "/") + name; }

std::string LocalAddress(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

std::string ClassRecord() {
  ClassItem item;
  item.name = ClassName("lookup");
  item.service = ServiceName("svc");
  item.idempotent = true;
  item.latency_target = milliseconds(1000);
  Change change;
  change.id = ChangeId("c1");
  change.author = "test";
  change.at = std::chrono::time_point_cast<milliseconds>(std::chrono::system_clock::now());
  change.kind = ItemKind::kClass;
  change.item = "lookup";
  change.value = item;
  return EncodeChange(change).value();
}

std::string MakeFolder() {
  std::string folder = (std::filesystem::temp_directory_path() / "entry_hosts_XXXXXX").string();
  REQUIRE(mkdtemp(folder.data()) != nullptr);
  return folder;
}

}  // namespace

CountingServer::CountingServer(asio::io_context& io, std::uint16_t port)
    : io_(io),
      server_(
          io,
          [port] {
            HttpServerOptions options;
            options.port = port;
            return options;
          }(),
          [this](const ServerRequest& request, const HttpServer::Respond& respond) {
            Handle(request, respond);
          }) {
  REQUIRE(server_.Open());
}

void CountingServer::Handle(const ServerRequest& request, const HttpServer::Respond& respond) {
  ServerAnswer answer;
  answer.headers = {{"X-Start-Id", "1"}};
  if (request.path == "/load") {
    answer.body = nlohmann::json{
        {"start_id", 1},
        {"uptime_ms", 60'000},
        {"in_flight", 0},
        {"slots", 64},
        {"state",
         "warm"}}.dump();
    return respond(std::move(answer));
  }
  ++started_;
  if (const std::string status = QueryOf(request, "status"); !status.empty()) {
    answer.status = std::stoi(status);
  }
  const std::string other_id = QueryOf(request, "other_id");
  if (!other_id.empty()) {
    answer.status = 503;
    answer.headers.insert(answer.headers.end(), {{"X-Not-Run", "1"}, {"X-Request-Id", other_id}});
  }
  answer.body = std::string(std::strtoul(QueryOf(request, "bytes").c_str(), nullptr, 10), 'x');
  const milliseconds work(std::strtoul(QueryOf(request, "work_ms").c_str(), nullptr, 10));
  auto timer = std::make_shared<asio::steady_timer>(io_, work);
  timer->async_wait([this, timer, answer, respond](const asio::error_code&) {
    ++ended_;
    respond(answer);
  });
}

EntryHosts::EntryHosts() : folder_(MakeFolder()) {
  const std::uint16_t server_port = ports_.Next();
  server_ = std::make_unique<CountingServer>(io_, server_port);
  for (std::size_t i = 0; i < kHosts; ++i) {
    Host host;
    host.name = "a-" + std::to_string(i + 1);
    host.caller_port = ports_.Next();
    host.peer_port = ports_.Next();
    hosts_.push_back(std::move(host));
  }
  StartPlatform();
  for (const Host& host : hosts_) {
    host_list_["entry_hosts"].push_back({{"name", host.name},
                                         {"dc", "a"},
                                         {"http", LocalAddress(host.caller_port)},
                                         {"peer", LocalAddress(host.peer_port)}});
  }
  AddServer("s-1", LocalAddress(server_port), 64);
  Post(std::string("/log/") + kConfigStream, ClassRecord());
  for (Host& host : hosts_) StartHost(host);
  for (std::size_t i = 0; i < kHosts; ++i) {
    const auto answers = [&] {
      return Exchange(io_, client_, Get(UrlOf(i, milliseconds(0)))).status == 200;
    };
    REQUIRE(RunUntil(io_, answers));
  }
}

EntryHosts::~EntryHosts() {
  for (Host& host : hosts_) host.process.Kill();
  platform_.Kill();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void EntryHosts::StartPlatform() {
  platform_port_ = ports_.Next();
  REQUIRE(platform_.Start({Program("standin_platform"), "--port", std::to_string(platform_port_)},
                          folder_ + "/platform.log"));
  const std::string url = "http://" + LocalAddress(platform_port_) + "/hosts";
  REQUIRE(RunUntil(io_, [&] { return Exchange(io_, client_, Get(url)).status == 200; }));
}

void EntryHosts::StartHost(Host& host) {
  const std::string file = folder_ + "/" + host.name + ".ini";
  std::ofstream(file) << "[host]\nname = " << host.name << "\ndata_centre = a\nip = 127.0.0.1"
                      << "\ncaller_port = " << host.caller_port
                      << "\npeer_port = " << host.peer_port << "\nmetrics_port = " << ports_.Next()
                      << "\n[platform]\naddress = " << LocalAddress(platform_port_)
                      << "\nhost_list_interval_ms = 100"
                      << "\n[fleet]\nticket_secret = 0123456789abcdef"
                      << "\nheartbeat_interval_ms = 50\nlease_time_ms = 500"
                      << "\naddress_ttl_ms = " << kAddressTtl.count()
                      << "\n[limits]\nhead_timeout_ms = " << kHeadTimeout.count()
                      << "\nanswer_memory_bytes = " << kAnswerMemory
                      << "\ndefault_deadline_ms = 2000\nmax_deadline_ms = 3000"
                      << "\n[policy]\ncold_slots = 64\n";
  REQUIRE(host.process.Start({Program("mulberryd"), "--config", file},
                             folder_ + "/" + host.name + ".log"));
}

void EntryHosts::AddServer(const std::string& name, const std::string& address, int slots) {
  host_list_["backend_servers"].push_back({{"name", name},
                                           {"service", "svc"},
                                           {"dc", "a"},
                                           {"address", address},
                                           {"slots", slots},
                                           {"connections", 200}});
  Post("/admin/hosts", host_list_.dump());
}

void EntryHosts::Post(const std::string& path, const std::string& body) {
  const std::string url = "http://" + LocalAddress(platform_port_) + path;
  REQUIRE(Exchange(io_, client_, mulberry::Post(url, body), false).status == 200);
}

std::string EntryHosts::RequestHead(milliseconds work, std::size_t bytes) {
  return "GET /v1/call/lookup/x?work_ms=" + std::to_string(work.count()) +
         "&bytes=" + std::to_string(bytes) + " HTTP/1.1\r\nHost: a\r\n";
}

std::string EntryHosts::UrlOf(std::size_t host, milliseconds work) const {
  return "http://" + LocalAddress(port(host)) +
         "/v1/call/lookup/x?work_ms=" + std::to_string(work.count());
}

bool EntryHosts::WaitForEnd(std::size_t host, milliseconds limit) {
  return RunUntil(
      io_, [&] { return !process(host).Running(); }, limit);
}

SteadyCallers::SteadyCallers(EntryHosts& hosts, std::size_t host, std::size_t callers,
                             milliseconds work)
    : hosts_(hosts), url_(hosts.UrlOf(host, work)) {
  for (std::size_t i = 0; i < callers; ++i) Send();
}

void SteadyCallers::Send() {
  const TimePoint sent = MonotonicClock::now();
  hosts_.client().Start(Get(url_), false, [this, sent](const HttpAnswer& answer) {
    const std::string reason = HeaderOf(answer, "mulberry-reason");
    if (!reason.empty()) {
      reasons_ += reason + " after " +
                  std::to_string(ToMilliseconds(MonotonicClock::now() - sent)) + " ms; ";
    }
    if (answer.end == HttpEnd::kConnectRefused) {
      ++refused_;
      return;
    }
    if (answer.end == HttpEnd::kAnswered) {
      ++answered_;
    } else {
      ++cut_;
    }
    Send();
  });
}

}  // namespace mulberry
