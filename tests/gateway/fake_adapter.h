#pragma once

#include <optional>
#include <string>
#include <vector>

#include "libgateway/http_message.h"
#include "libgateway/platform_adapter.h"

namespace mulberry::gateway {

/// An adapter for a fictitious platform with short header names. It never reads a store.
class FakeAdapter : public PlatformAdapter {
 public:
  const HeaderNames& headers() const override { return names_; }
  StoreCall ReadNewest(Topic, const std::string&) const override { return {}; }
  StoreCall ReadRecords(Topic, Offset, Duration) const override { return {}; }
  StoreCall PutHost(const HostRecord&) const override { return {}; }
  StoreCall PutRolloutStatus(const rollout::Status&, Offset) const override { return {}; }
  Result<NewestPage> ParseNewest(std::string_view) const override { return NewestPage(); }
  Result<RecordPage> ParseRecords(std::string_view, Offset from) const override {
    return RecordPage{{}, from};
  }
  std::optional<StoreEra> ParseStoreEra(const HeaderList&) const override { return std::nullopt; }
  bool IsExpired(int) const override { return false; }
  bool IsConflict(int) const override { return false; }
  Result<OperatorUpdate> ParseOperatorRecord(const TopicRecord&) const override {
    return OperatorUpdate(UnknownUpdate());
  }
  Result<ServerEntry> ParseServer(const TopicRecord&) const override { return ServerEntry(); }
  Result<HostRecord> ParseHost(const TopicRecord&) const override { return HostRecord(); }
  Result<rollout::Status> ParseRolloutStatus(const TopicRecord&) const override {
    return rollout::Status();
  }
  std::optional<LoadReport> ParseLoad(std::string_view) const override { return std::nullopt; }
  HealthReport ParseHealth(int, const HeaderList&) const override { return {}; }
  bool IsRefusal(int status) const override {
    return status == 400 || status == 421 || status == 429 || status == 503;
  }
  bool IsMisdirected(int status) const override { return status == 421; }
  bool IsReadinessRequest(std::string_view) const override { return false; }
  std::optional<AddressQuery> ParseAddressQuery(std::string_view) const override {
    return std::nullopt;
  }
  std::string WriteAddresses(const std::vector<std::string>&, Duration) const override {
    return "";
  }

 private:
  HeaderNames names_{.request_id = "Id",
                     .time_left = "Left",
                     .target_server = "Target",
                     .not_run = "Not-Run",
                     .server_signature = "Signature",
                     .load = "Load",
                     .leaving = "Leaving",
                     .workspace = "Workspace"};
};

}  // namespace mulberry::gateway
