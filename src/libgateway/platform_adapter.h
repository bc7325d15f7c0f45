#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "libgateway/types.h"

namespace mulberry::gateway {

/// Headers that a platform gives a meaning, in lower case for reading.
struct HeaderNames {
  std::string request_id;
  std::string time_left;         ///< Milliseconds that the sender still waits.
  std::string target_server;     ///< The server that is meant; another one must refuse.
  std::string not_run;           ///< Present where the server did not run the request.
  std::string server_signature;  ///< Present in a server's own answers.
  std::string load;              ///< A server's load report.
};

/// The store's topics that a gateway follows.
enum class Topic {
  kOperator,  ///< What operators state.
  kServers,   ///< Entries of backend servers.
  kHosts,     ///< Entry hosts, written by this program.
};

/// An HTTP call to the store.
struct StoreCall {
  std::string method;
  std::string target;
  std::string content_type;
  std::string body;
};

/// One record of a topic; without a value its key has been removed.
struct TopicRecord {
  std::string key;
  std::optional<std::string> value;
  Offset offset{};  ///< Place in the topic; not set in a NewestPage.
};

/// Some of the newest records of a topic.
struct NewestPage {
  std::vector<TopicRecord> records;
  bool more = false;
  /// Records from this offset on are not all contained.
  Offset end;
};

/// Records in order.
struct RecordPage {
  std::vector<TopicRecord> records;
  Offset next;
};

/// A caller's question which addresses to use.
struct AddressQuery {
  std::string host;
  DataCentreName data_centre;
};

/// Translates between a platform's messages and this program's types. Implementations decide
/// nothing. Thread safety: any thread.
class PlatformAdapter {
 public:
  virtual ~PlatformAdapter() = default;

  virtual const HeaderNames& headers() const = 0;

  /// Calls of the store. `after` is the last key of the page before, empty for the first page.
  virtual StoreCall ReadNewest(Topic topic, const std::string& after) const = 0;
  virtual StoreCall ReadRecords(Topic topic, Offset from, Duration wait) const = 0;
  virtual StoreCall PutHost(const HostRecord& record) const = 0;

  /// Decode the bodies of answers with status 200. Errors: kCorrupt with what is wrong.
  virtual Result<NewestPage> ParseNewest(std::string_view body) const = 0;
  virtual Result<RecordPage> ParseRecords(std::string_view body, Offset from) const = 0;
  /// True when the asked records have been deleted.
  virtual bool IsExpired(int status) const = 0;

  /// Decode records. Errors: kCorrupt with what is wrong.
  virtual Result<OperatorUpdate> ParseOperatorRecord(const TopicRecord& record) const = 0;
  virtual Result<ServerEntry> ParseServer(const TopicRecord& record) const = 0;
  virtual Result<HostRecord> ParseHost(const TopicRecord& record) const = 0;

  /// Decode parts of servers' answers; empty where absent or malformed.
  virtual std::optional<LoadReport> ParseLoad(std::string_view value) const = 0;
  virtual HealthReport ParseHealth(
      int status, const std::vector<std::pair<std::string, std::string>>& headers) const = 0;
  /// Statuses by which a server that was not meant refuses a request.
  virtual bool IsMisdirected(int status) const = 0;

  /// The platform's questions to an entry host.
  virtual bool IsReadinessRequest(std::string_view path) const = 0;
  virtual std::optional<AddressQuery> ParseAddressQuery(std::string_view target) const = 0;
  virtual std::string WriteAddresses(const std::vector<std::string>& addresses,
                                     Duration ttl) const = 0;
};

}  // namespace mulberry::gateway
