#include "libgateway/host_list.h"

#include <utility>

namespace mulberry::gateway {
namespace {

/// A healthy store responds within milliseconds; a slow one may take a second.
constexpr Duration kWriteTimeout = std::chrono::milliseconds(1500);
/// Delay after a failed write; 50 to 100 % of it at random, so that the hosts do not retry
/// together.
constexpr Duration kWriteRetryDelay = std::chrono::milliseconds(1000);
/// The list changes rarely, and new hosts announce themselves by datagrams.
constexpr Duration kReadInterval = std::chrono::seconds(60);
/// After a restore, the hosts read the list at a random moment within this time.
constexpr Duration kRestoreSpread = std::chrono::seconds(1);
constexpr int kStatusOk = 200;

}  // namespace

HostList::HostList(asio::io_context& io, StoreClient& store, const PlatformAdapter& adapter,
                   HostRecord self, HostFoundCallback host_found,
                   StoreReader::EraCallback era_callback)
    : store_(store),
      adapter_(adapter),
      self_(std::move(self)),
      host_found_(std::move(host_found)),
      reader_(
          io, store, adapter, Topic::kHosts, {.interval = kReadInterval},
          [this](const TopicRecord& record, RecordSource) { OnRecord(record); },
          [this](TopicPosition) { OnRead(); }),
      retry_timer_(io) {
  reader_.SetEraCallback(std::move(era_callback));
}

void HostList::Start(bool first_start) {
  if (first_start) {
    Write();
    return;
  }
  reading_started_ = true;
  reader_.Start();
}

void HostList::OnEra(StoreEra era) {
  if (era <= era_) return;
  era_ = era;
  written_ = false;
  reader_.OnEra(era, kRestoreSpread);
}

void HostList::OnRecord(const TopicRecord& record) {
  if (!record.value) return;
  const auto host = adapter_.ParseHost(record);
  if (!host) {
    LogEvent(LogLevel::kWarning, "invalid_host_record",
             {{"key", record.key}, {"error", host.error().message}});
    return;
  }
  if (host.value() == self_) written_ = announced_ = true;
  host_found_(host.value());
}

void HostList::OnRead() {
  if (!written_) Write();
}

void HostList::Write() {
  if (writing_) return;
  writing_ = true;
  store_.Call(adapter_.PutHost(self_), kWriteTimeout,
              [this](const Result<HttpMessage>& response) { OnWritten(response); });
}

void HostList::OnWritten(const Result<HttpMessage>& response) {
  writing_ = false;
  if (response && response.value().status == kStatusOk) {
    // A write of an older era may be lost; the list, read again, will tell.
    const auto era = adapter_.ParseStoreEra(response.value().headers);
    written_ = !era || *era >= era_;
    announced_ = true;
    LogEvent(LogLevel::kInfo, "host_announced", {{"host", self_.host.str()}});
    // Reads what other hosts have written since the list was last read.
    if (std::exchange(reading_started_, true)) {
      reader_.RequestRead();
    } else {
      reader_.Start();
    }
    return;
  }
  LogEvent(LogLevel::kWarning, "announce_failed",
           {{"error", response ? "status " + std::to_string(response.value().status)
                               : response.error().message}});
  const double random = std::uniform_real_distribution<double>(0.5, 1)(random_);
  retry_timer_.expires_after(
      Duration(static_cast<std::int64_t>(static_cast<double>(kWriteRetryDelay.count()) * random)));
  retry_timer_.async_wait([this](const asio::error_code& error) {
    if (!error && !written_) Write();
  });
}

}  // namespace mulberry::gateway
