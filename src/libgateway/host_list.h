#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <random>

#include "libgateway/platform_adapter.h"
#include "libgateway/store_client.h"
#include "libgateway/store_reader.h"

namespace mulberry::gateway {

/// Adds this host to the store's list of entry hosts and reads the list. If two hosts start at the
/// same time, the one that reads later finds the other and contacts it by a datagram. Only for the
/// thread that runs the io_context.
class HostList {
 public:
  using HostFoundCallback = std::function<void(const HostRecord&)>;

  HostList(asio::io_context& io, StoreClient& store, const PlatformAdapter& adapter,
           HostRecord self, HostFoundCallback host_found, StoreReader::EraCallback era_callback);

  /// `first_start`: the whole system starts for the first time, so this host is not in the list
  /// yet. Otherwise the list is read first, and this host is added only if it is missing.
  void Start(bool first_start);

  /// The store is in this era. A restored store may lack this host's record; the list is read
  /// again, and the record is written if it is missing.
  void OnEra(StoreEra era);

  /// True once the list has been read and contained this host.
  bool complete() const { return announced_ && reader_.complete(); }

 private:
  void OnRecord(const TopicRecord& record);
  void OnRead();
  void Write();
  void OnWritten(const Result<HttpMessage>& response);

  StoreClient& store_;
  const PlatformAdapter& adapter_;
  HostRecord self_;
  HostFoundCallback host_found_;
  StoreReader reader_;
  asio::steady_timer retry_timer_;
  std::minstd_rand random_{std::random_device{}()};
  bool reading_started_ = false;
  StoreEra era_;
  bool announced_ = false;
  /// The list contains this host, as far as is known.
  bool written_ = false;
  bool writing_ = false;
};

}  // namespace mulberry::gateway
