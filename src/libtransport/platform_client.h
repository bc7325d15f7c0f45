#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "libconfig/config.h"
#include "libfleet/fleet.h"
#include "libtransport/http_client.h"

namespace mulberry {

/// Client for the platform's log and host list (docs/protocols.md). Each callback is called once,
/// asynchronously, unless the HttpClient is destroyed first. Not thread safe: use it on the
/// io_context's thread.
class PlatformClient {
 public:
  /// `address` is "ip:port"; `timeout` applies to one call; for Read it is added to `wait`.
  PlatformClient(HttpClient& http, std::string address, Duration timeout);

  /// Reads records starting at `from`. If there are none, the platform waits up to `wait` for new
  /// ones before it answers (long poll).
  /// Errors: kUnavailable, kTimeout, kCorrupt.
  void Read(const std::string& stream, Offset from, Duration wait,
            std::function<void(Result<LogPage>)> done);

  /// Appends a record. After kUnavailable or kTimeout the record may or may not have been appended;
  /// after kTooLarge it has not.
  void Append(const std::string& stream, std::string data,
              std::function<void(Result<Offset>)> done);

  /// Reads the host list: all entry hosts, and the backend servers of one data centre (of all data
  /// centres when `data_centre` is empty). `viewer` is the name of the requesting host. Calls
  /// done(nullopt) if the list has not changed since the last call.
  void Hosts(const HostName& viewer, const DataCentreName& data_centre,
             std::function<void(Result<std::optional<HostList>>)> done);

 private:
  /// URL and ETag of the last host list read, for conditional requests.
  struct LastHostList {
    std::string url;
    std::string etag;
  };

  HttpClient& http_;
  std::string address_;
  Duration timeout_;
  std::shared_ptr<LastHostList> last_host_list_;
};

/// Stream that holds the configuration.
inline constexpr const char* kConfigStream = "config";

}  // namespace mulberry
