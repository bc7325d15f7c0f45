#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "libgateway/http_message.h"
#include "libgateway/types.h"

namespace mulberry::gateway {

/// Names of the HTTP headers that have a meaning on a platform. Lookups ignore case.
struct HeaderNames {
  std::string request_id;
  std::string time_left;         ///< Milliseconds until the sender's deadline.
  std::string target_server;     ///< The intended server; any other one must refuse.
  std::string not_run;           ///< Present if the server did not run the request.
  std::string server_signature;  ///< Present in responses that the server itself produced.
  std::string load;              ///< A server's load report.
  std::string leaving;           ///< "1" in all responses of a server that is leaving.
  std::string workspace;         ///< Name of the caller's workspace, for the server.
};

/// Topics of the store that a gateway follows.
enum class Topic {
  kOperator,  ///< Configurations and data centre states from operators.
  kServers,   ///< Entries of the backend servers.
  kHosts,     ///< Entry hosts; each gateway writes its own record.
  kStatus,    ///< States of rollouts, for operators.
};

/// An HTTP request to the store.
struct StoreCall {
  std::string method;
  std::string target;
  std::string content_type;
  std::string body;
};

/// One record of a topic; without a value, it removes its key.
struct TopicRecord {
  std::string key;
  std::optional<std::string> value;
  Offset offset{};  ///< Position in the topic; not set in a NewestPage.
};

/// One page of the newest record of each key.
struct NewestPage {
  std::vector<TopicRecord> records;
  bool more = false;
  /// Records at or after this offset may be missing.
  Offset end;
  StoreEra era{};
};

/// Consecutive records in topic order.
struct RecordPage {
  std::vector<TopicRecord> records;
  Offset next;
  StoreEra era{};
  /// End of the topic when the store responded; more records than these may be before it.
  Offset end{};
};

/// A caller's request for the addresses of entry hosts.
struct AddressQuery {
  std::string host;
  DataCentreName data_centre;
};

/// Translates between a platform's messages and the gateway's types. Implementations only convert;
/// they make no decisions. Thread safety: any thread.
class PlatformAdapter {
 public:
  virtual ~PlatformAdapter() = default;

  virtual const HeaderNames& headers() const = 0;

  /// Builds requests to the store. `after` is the last key of the previous page, empty for the
  /// first page.
  virtual StoreCall ReadNewest(Topic topic, const std::string& after) const = 0;
  virtual StoreCall ReadRecords(Topic topic, Offset from, Duration wait) const = 0;
  virtual StoreCall PutHost(const HostRecord& record) const = 0;
  /// Takes effect only if the topic ends at `end`; see IsConflict.
  virtual StoreCall PutRolloutStatus(const rollout::Status& status, Offset end) const = 0;

  /// Decode the bodies of responses with status 200. Errors: kCorrupt with the reason.
  virtual Result<NewestPage> ParseNewest(std::string_view body) const = 0;
  virtual Result<RecordPage> ParseRecords(std::string_view body, Offset from) const = 0;
  /// The era of the store that sent a response with these headers; empty if it doesn't say.
  virtual std::optional<StoreEra> ParseStoreEra(const HeaderList& headers) const = 0;
  /// True when the status says that the requested records have been deleted by retention.
  virtual bool IsExpired(int status) const = 0;
  /// True when the status says that the condition of a write did not hold, so nothing was written.
  virtual bool IsConflict(int status) const = 0;

  /// Decode records. Errors: kCorrupt with the reason.
  virtual Result<OperatorUpdate> ParseOperatorRecord(const TopicRecord& record) const = 0;
  virtual Result<ServerEntry> ParseServer(const TopicRecord& record) const = 0;
  virtual Result<HostRecord> ParseHost(const TopicRecord& record) const = 0;
  /// Errors: kCorrupt; kNotFound for a record of another kind.
  virtual Result<rollout::Status> ParseRolloutStatus(const TopicRecord& record) const = 0;

  /// Decode parts of servers' responses; empty where absent or malformed.
  virtual std::optional<LoadReport> ParseLoad(std::string_view value) const = 0;
  virtual HealthReport ParseHealth(
      int status, const std::vector<std::pair<std::string, std::string>>& headers) const = 0;
  /// True for a status with which a server may say that it did not run the request.
  virtual bool IsRefusal(int status) const = 0;
  /// True for a status with which a server refuses a request meant for another server.
  virtual bool IsMisdirected(int status) const = 0;

  /// The platform's readiness and address requests to an entry host.
  virtual bool IsReadinessRequest(std::string_view path) const = 0;
  virtual std::optional<AddressQuery> ParseAddressQuery(std::string_view target) const = 0;
  virtual std::string WriteAddresses(const std::vector<std::string>& addresses,
                                     Duration ttl) const = 0;
};

}  // namespace mulberry::gateway
