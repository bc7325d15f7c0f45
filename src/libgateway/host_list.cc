#include "libgateway/host_list.h"

#include <utility>

namespace mulberry::gateway {
namespace {

/// A store that is up answers in milliseconds; one that is slow may take a second.
constexpr Duration kWriteTimeout = std::chrono::milliseconds(1500);
/// Pause after a failed write, random within half of it, so that hosts spread.
constexpr Duration kWritePause = std::chrono::milliseconds(1000);
/// The list changes rarely, and datagrams tell of new hosts.
constexpr Duration kReadInterval = std::chrono::seconds(60);
constexpr int kStatusOk = 200;

}  // namespace

HostList::HostList(asio::io_context& io, StoreClient& store, const PlatformAdapter& adapter,
                   HostRecord self, Found found)
    : store_(store),
      adapter_(adapter),
      self_(std::move(self)),
      found_(std::move(found)),
      reader_(
          io, store, adapter, Topic::kHosts, {.interval = kReadInterval},
          [this](const TopicRecord& record) { OnRecord(record); }, [this](Offset) { OnRead(); }),
      retry_timer_(io) {}

void HostList::Start(bool first_start) {
  if (first_start) {
    Write();
    return;
  }
  reading_ = true;
  reader_.Start();
}

void HostList::OnRecord(const TopicRecord& record) {
  if (!record.value) return;
  const auto host = adapter_.ParseHost(record);
  if (!host) {
    LogEvent(LogLevel::kWarning, "host_record_unusable",
             {{"key", record.key}, {"error", host.error().message}});
    return;
  }
  if (host.value() == self_) written_ = true;
  found_(host.value());
}

void HostList::OnRead() {
  if (!written_) Write();
}

void HostList::Write() {
  if (writing_) return;
  writing_ = true;
  store_.Call(adapter_.PutHost(self_), kWriteTimeout,
              [this](const Result<HttpMessage>& answer) { OnWritten(answer); });
}

void HostList::OnWritten(const Result<HttpMessage>& answer) {
  writing_ = false;
  if (answer && answer.value().status == kStatusOk) {
    written_ = true;
    LogEvent(LogLevel::kInfo, "host_announced", {{"host", self_.host.str()}});
    // What others wrote meanwhile is read from where the list was read before.
    if (std::exchange(reading_, true)) {
      reader_.RequestRead();
    } else {
      reader_.Start();
    }
    return;
  }
  LogEvent(LogLevel::kWarning, "announce_failed",
           {{"error",
             answer ? "status " + std::to_string(answer.value().status) : answer.error().message}});
  const double random = std::uniform_real_distribution<double>(0.5, 1)(random_);
  retry_timer_.expires_after(
      Duration(static_cast<std::int64_t>(static_cast<double>(kWritePause.count()) * random)));
  retry_timer_.async_wait([this](const asio::error_code& error) {
    if (!error && !written_) Write();
  });
}

}  // namespace mulberry::gateway
