#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <random>

#include "libgateway/platform_adapter.h"
#include "libgateway/store_client.h"
#include "libgateway/store_reader.h"

namespace mulberry::gateway {

/// Writes this host into the store's list of entry hosts and reads the list. Of two hosts that
/// start at the same time, the one that reads later sees the other, and tells it by a datagram.
/// Only for the thread that runs the io_context.
class HostList {
 public:
  using Found = std::function<void(const HostRecord&)>;

  HostList(asio::io_context& io, StoreClient& store, const PlatformAdapter& adapter,
           HostRecord self, Found found);

  /// `first_start`: the whole system starts for the first time, so that this host is not in the
  /// list; otherwise the list is read first, and written only where it lacks this host.
  void Start(bool first_start);

  /// True once the list has been read and this host is in it.
  bool complete() const { return written_ && reader_.complete(); }

 private:
  void OnRecord(const TopicRecord& record);
  void OnRead();
  void Write();
  void OnWritten(const Result<HttpMessage>& answer);

  StoreClient& store_;
  const PlatformAdapter& adapter_;
  HostRecord self_;
  Found found_;
  StoreReader reader_;
  asio::steady_timer retry_timer_;
  std::minstd_rand random_{std::random_device{}()};
  bool reading_ = false;
  bool written_ = false;
  bool writing_ = false;
};

}  // namespace mulberry::gateway
