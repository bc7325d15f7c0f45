#pragma once

#include <curl/curl.h>

#include <asio/io_context.hpp>
#include <functional>
#include <memory>

namespace mulberry {

/// Runs libcurl's multi interface on an Asio io_context. Not thread safe: use it on the thread that
/// runs the io_context.
class CurlDriver {
 public:
  /// Called when a transfer has ended, never from within Add or Remove. The handle is still added.
  using DoneCallback = std::function<void(CURL* easy, CURLcode code)>;

  CurlDriver(asio::io_context& io, DoneCallback done);
  ~CurlDriver();
  CurlDriver(const CurlDriver&) = delete;
  CurlDriver& operator=(const CurlDriver&) = delete;

  /// Starts a transfer. Returns false if libcurl rejects it.
  bool Add(CURL* easy);

  /// Removes a transfer. The connection of an unfinished transfer is closed.
  void Remove(CURL* easy);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace mulberry
