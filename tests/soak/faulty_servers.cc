#include "soak/faulty_servers.h"

namespace mulberry::soak {
namespace {

using platform::BackendMode;
using std::chrono::milliseconds;

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
  for (const auto& backend : fleet_.backends()) {
    if (backend->server->mode() == BackendMode::kRepeatsRefusal) {
      backend->server->SetMode(BackendMode::kServing);
    }
  }
  Backend& backend = *fleet_.backends()[Random(fleet_.backends().size())];
  if (backend.server->mode() != BackendMode::kServing) return;
  LogEvent(LogLevel::kInfo, "fault", {{"what", "repeats_refusal"}, {"on", backend.server->id()}});
  backend.server->SetMode(BackendMode::kRepeatsRefusal);
}

void FaultyServers::Heal() {
  healed_ = true;
  timer_.cancel();
  for (const auto& backend : fleet_.backends()) {
    if (backend->server->mode() == BackendMode::kRepeatsRefusal) {
      backend->server->SetMode(BackendMode::kServing);
    }
  }
}

}  // namespace mulberry::soak
