#include "soak/faulty_servers.h"

namespace mulberry::soak {
namespace {

using platform::BackendMode;
using std::chrono::milliseconds;

/// Entries of another writer that name no server to use.
constexpr const char* kOddEntries[] = {
    R"({"Service":"beta","Address":"127.0.0.1:99999","Zone":"here","Version":"v1","Slots":8,"State":"ready","WarmupLeftMs":0,"Seq":9})",
    R"({"Service":"alpha","Address":"127.0.0.1:9","Zone":"here","Slots":8,"State":"ready"})",
    R"({"Service":"alpha","Address":"127.0.0.1:9","Zone":"here","Version":"v1","Slots":8,"State":"resting","WarmupLeftMs":0,"Seq":9})",
    R"([[[[[[[[[[[[)",
};

}  // namespace

void FaultyServers::Next() {
  timer_.expires_after(milliseconds(200 + Random(600)));
  timer_.async_wait([this](const asio::error_code& error) {
    if (error || healed_) return;
    Inject();
    Next();
  });
}

void FaultyServers::Inject() {
  EndFault();
  faulty_ = fleet_.backends()[Random(fleet_.backends().size())].get();
  platform::FakeBackendServer& server = *faulty_->server;
  const std::size_t fault = Random(3);
  LogEvent(LogLevel::kInfo, "fault",
           {{"what", "server_" + std::to_string(fault)}, {"on", server.id()}});
  if (fault == 0) {
    const char* entry = kOddEntries[Random(std::size(kOddEntries))];
    fleet_.store().Put("keyed.servers", server.id(), entry);
    return;
  }
  if (server.mode() != BackendMode::kServing) return;
  server.SetMode(fault == 1 ? BackendMode::kRepeatsRefusal : BackendMode::kRefusing);
  if (fault == 2) server.SetExtraHeaders("Retry-After: 0.4\r\n");
}

void FaultyServers::EndFault() {
  if (faulty_ == nullptr) return;
  platform::FakeBackendServer& server = *faulty_->server;
  if (server.mode() == BackendMode::kRepeatsRefusal || server.mode() == BackendMode::kRefusing) {
    server.SetMode(BackendMode::kServing);
  }
  server.SetExtraHeaders("");
  fleet_.WriteAgain(*faulty_);
  faulty_ = nullptr;
}

void FaultyServers::Heal() {
  healed_ = true;
  timer_.cancel();
  EndFault();
}

}  // namespace mulberry::soak
