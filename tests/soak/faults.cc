#include "soak/faults.h"

#include <csignal>
#include <utility>

namespace mulberry::soak {
namespace {

using platform::BackendMode;
using platform::StoreMode;
using std::chrono::milliseconds;

void Note(const char* what, const std::string& on = "") {
  LogEvent(LogLevel::kInfo, "fault", {{"what", what}, {"on", on}});
}

}  // namespace

void Faults::Next() {
  timer_.expires_after(milliseconds(150 + Random(500)));
  timer_.async_wait([this](const asio::error_code& error) {
    if (error || healed_) return;
    Inject();
    Next();
  });
}

void Faults::Heal() {
  healed_ = true;
  timer_.cancel();
  for (const auto& end : std::exchange(ends_, {})) {
    if (*end) std::exchange(*end, nullptr)();
  }
}

void Faults::Later(milliseconds most, std::function<void()> end) {
  auto shared = std::make_shared<std::function<void()>>(std::move(end));
  ends_.push_back(shared);
  auto timer = std::make_shared<asio::steady_timer>(
      io_, milliseconds(200 + Random(static_cast<std::size_t>(most.count()))));
  timer->async_wait([timer, shared](const asio::error_code&) {
    if (*shared) std::exchange(*shared, nullptr)();
  });
}

void Faults::Inject() {
  switch (Random(8)) {
    case 0:
    case 1:
    case 2:
      HostFault();
      return;
    case 3:
      StoreFault();
      return;
    case 4: {
      Host& host = AnyHost();
      LinkFault(*host.store_link, host.name);
      return;
    }
    case 5: {
      Backend& backend = AnyBackend();
      LinkFault(*backend.link, backend.server->id());
      return;
    }
    case 6:
      BackendFault();
      return;
    default:
      OperatorChange();
  }
}

void Faults::HostFault() {
  Host& host = AnyHost();
  switch (Random(5)) {
    case 0:
      Note("pause", host.name);
      fleet_.Signal(host, SIGSTOP);
      Later(milliseconds(3000), [this, &host] { fleet_.Signal(host, SIGCONT); });
      return;
    case 1:
      Note("kill", host.name);
      fleet_.Signal(host, SIGKILL);
      return;
    case 2:
      Note("stop", host.name);
      fleet_.Signal(host, SIGTERM);
      return;
    case 3:
      Note("reload", host.name);
      fleet_.Signal(host, SIGHUP);
      return;
    default:
      if (Random(3) != 0) return;
      Note("kill_all");
      for (const auto& each : fleet_.hosts()) fleet_.Signal(*each, SIGKILL);
  }
}

void Faults::StoreFault() {
  constexpr StoreMode kModes[] = {StoreMode::kUnavailable, StoreMode::kSilent,
                                  StoreMode::kDropsResponses};
  const std::size_t mode = Random(4);
  if (mode == 3) {
    Note("store_compacted");
    fleet_.store().Compact();
    return;
  }
  Note("store_away", std::to_string(mode));
  fleet_.store().SetMode(kModes[mode]);
  Later(milliseconds(3000), [this] { fleet_.store().SetMode(StoreMode::kServing); });
}

void Faults::LinkFault(scenario::Relay& link, const std::string& name) {
  switch (Random(5)) {
    case 0:
      Note("link_cut", name);
      link.Cut();
      break;
    case 1:
      Note("link_cut_towards", name);
      link.Cut(scenario::CutSide::kTowardsTarget);
      break;
    case 2:
      Note("link_cut_from", name);
      link.Cut(scenario::CutSide::kFromTarget);
      break;
    case 3:
      Note("link_delayed", name);
      link.SetDelay(milliseconds(50 + Random(500)));
      break;
    default:
      Note("link_reset", name);
      link.Reset();
      return;
  }
  Later(milliseconds(3000), [&link] { link.Heal(); });
}

void Faults::BackendFault() {
  constexpr BackendMode kModes[] = {BackendMode::kDropsResponses, BackendMode::kFailing,
                                    BackendMode::kDisconnects};
  Backend& backend = AnyBackend();
  const std::size_t mode = Random(4);
  if (mode == 3) {
    Note("backend_leaves", backend.server->id());
    fleet_.Register(backend, "draining");
    Later(milliseconds(3000), [this, &backend] {
      fleet_.Unregister(backend);
      fleet_.Register(backend);
    });
    return;
  }
  Note("backend_bad", backend.server->id());
  backend.server->SetMode(kModes[mode]);
  Later(milliseconds(2000), [&backend] { backend.server->SetMode(BackendMode::kServing); });
}

void Faults::OperatorChange() {
  if (Random(3) != 0) {
    Note("configuration");
    fleet_.Configure(fleet_.write_service() == "alpha" ? "beta" : "alpha");
    return;
  }
  const std::string data_centre = Random(2) == 0 ? "here" : "there";
  Note("data_centre_out", data_centre);
  fleet_.SetOut(data_centre, true);
  Later(milliseconds(3000), [this, data_centre] { fleet_.SetOut(data_centre, false); });
}

}  // namespace mulberry::soak
