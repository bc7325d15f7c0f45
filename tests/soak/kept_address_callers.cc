#include "soak/kept_address_callers.h"

namespace mulberry::soak {
namespace {

/// Shorter than the time a request takes, so that the host is never idle.
constexpr std::chrono::milliseconds kInterval{40};
/// So many that some make their second request only seconds after the first.
constexpr std::size_t kCallers = 60;

}  // namespace

KeptAddressCallers::KeptAddressCallers(asio::io_context& io, Callers& callers, Host& host,
                                       std::uint64_t seed)
    : io_(io),
      callers_(callers),
      host_(host),
      pid_(host.process.pid()),
      peer_(asio::ip::make_address(host.ip), host.callers),
      random_(seed),
      timer_(io),
      links_(kCallers) {}

void KeptAddressCallers::Tick() {
  if (ended()) return;
  std::shared_ptr<Connection>& link = links_[random_() % kCallers];
  if (!link || !link->reusable()) {
    link = std::make_shared<Connection>(
        io_, peer_, gateway::ReadLimits{.max_head_bytes = 16 * 1024, .max_body_bytes = 1024 * 1024},
        nullptr);
  }
  callers_.SendOn(link, host_.address(), "k", [] {});
  timer_.expires_after(kInterval);
  timer_.async_wait([this](const asio::error_code& error) {
    if (!error) Tick();
  });
}

}  // namespace mulberry::soak
