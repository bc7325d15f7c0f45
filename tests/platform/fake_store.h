#pragma once

#include <absl/strings/escaping.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "libbase/base.h"
#include "libgateway/caller_server.h"
#include "platform/topic_log_format.h"

namespace mulberry::platform {

/// How a fake store handles calls.
enum class StoreMode {
  kServing,
  kUnavailable,    ///< Responds with status 503 and does nothing.
  kSilent,         ///< Does nothing and never responds.
  kDropsResponses  ///< Executes the call and never responds.
};

/// The platform's metadata store on loopback, with keyed topics of one partition. Only for the
/// thread that runs the io_context.
class FakeStore : public gateway::CallerEvents {
 public:
  explicit FakeStore(asio::io_context& io) : io_(io), server_(io, *this, nullptr) {
    gateway::CallerLimits limits;
    limits.idle_timeout = std::chrono::hours(1);
    server_.SetLimits(limits);
  }

  Result<void> Open(const std::string& ip, std::uint16_t port) { return server_.Open(ip, port); }

  void SetMode(StoreMode mode) { mode_ = mode; }
  std::uint64_t calls() const { return calls_; }

  /// Appends a record; a record without a value removes the key.
  void Put(const std::string& name, const std::string& key, std::optional<std::string> value) {
    Topic& topic = topics_[name];
    if (value) {
      topic.newest[key] = {*value, topic.End()};
    } else {
      topic.newest.erase(key);
    }
    topic.records.push_back(EncodeRecord(key, value.value_or("")));
    WakeReaders(name);
  }

  /// Deletes all records except the newest of each key.
  void Compact() {
    for (auto& [name, topic] : topics_) {
      topic.first += topic.records.size();
      topic.records.clear();
    }
  }

  /// Keeps a copy of all topics for Restore; an earlier copy is dropped.
  void SaveCopy() { copy_ = topics_; }

  /// Comes back from the copy, or empty if none was saved. What was written since is gone, and its
  /// offsets are given out again. The era rises by one. Waiting reads get what the copy holds.
  void Restore() {
    topics_ = copy_;
    ++era_;
    const auto waiting_reads = waiting_reads_;
    for (const auto& [exchange, read] : waiting_reads) {
      if (mode_ == StoreMode::kServing) RespondToRead(exchange, read);
    }
  }
  std::uint64_t era() const { return era_; }
  /// The offset that the next record of the topic gets.
  std::uint64_t End(const std::string& name) { return topics_[name].End(); }

  /// The newest value of a key, empty without one.
  std::string Value(const std::string& name, const std::string& key) {
    const auto found = topics_[name].newest.find(key);
    return found == topics_[name].newest.end() ? "" : found->second.value;
  }

  std::size_t Keys(const std::string& name) { return topics_[name].newest.size(); }

  void OnRequest(gateway::ExchangeId exchange, gateway::HttpMessage request, TimePoint) override {
    ++calls_;
    if (mode_ == StoreMode::kUnavailable) {
      Respond(exchange, 503, "");
      return;
    }
    if (mode_ == StoreMode::kSilent) return;
    if (mode_ == StoreMode::kDropsResponses) dropped_responses_.insert(exchange);
    const std::string path = request.target.substr(0, request.target.find('?'));
    const std::string topic = QueryField(request.target, "Topic");
    if (path == "/log-append") {
      OnAppend(exchange, topic, QueryField(request.target, "At"), request.body.Text());
    } else if (path == "/log-newest") {
      OnNewest(exchange, topic);
    } else if (path == "/log-read") {
      OnRead(exchange, topic, request.target);
    } else {
      Respond(exchange, 404, "");
    }
  }

  void OnDisconnected(gateway::ExchangeId exchange) override { waiting_reads_.erase(exchange); }
  void OnMemoryFull(gateway::ExchangeId, const gateway::HttpMessage&) override {}

 private:
  struct Newest {
    std::string value;
    std::uint64_t offset = 0;
  };
  struct Topic {
    std::uint64_t first = 0;
    std::vector<std::string> records;  ///< Encoded.
    std::map<std::string, Newest> newest;
    std::uint64_t End() const { return first + records.size(); }
  };
  struct WaitingRead {
    std::string topic;
    std::uint64_t from = 0;
  };

  static std::string QueryField(std::string_view target, const std::string& name) {
    for (const std::string_view field : Split(target.substr(target.find('?') + 1), '&')) {
      if (field.starts_with(name + "=")) return std::string(field.substr(name.size() + 1));
    }
    return "";
  }

  static std::string BigEndian(std::uint64_t number) {
    std::string out;
    for (int shift = 56; shift >= 0; shift -= 8) out += static_cast<char>(number >> shift & 0xffU);
    return out;
  }

  void Respond(gateway::ExchangeId exchange, int status, const std::string& body) {
    if (dropped_responses_.erase(exchange) > 0) return;
    server_.Respond(
        exchange,
        "HTTP/1.1 " + std::to_string(status) + " -\r\nStore-Era: " + std::to_string(era_) + "\r\n",
        body);
  }

  /// `at`: if not empty, the append takes effect only if the topic ends there.
  void OnAppend(gateway::ExchangeId exchange, const std::string& topic, const std::string& at,
                const std::string& body) {
    if (!at.empty() && std::stoull(at) != topics_[topic].End()) {
      Respond(exchange, 412, "");
      return;
    }
    const auto page = DecodeRecords(std::string(16, '\0') + body, Offset(0));
    if (!page) {
      Respond(exchange, 400, "");
      return;
    }
    for (const gateway::TopicRecord& record : page.value().records) {
      Put(topic, record.key, record.value);
    }
    Respond(exchange, 200, "{}");
  }

  void OnNewest(gateway::ExchangeId exchange, const std::string& name) {
    const Topic& topic = topics_[name];
    nlohmann::json items = nlohmann::json::array();
    for (const auto& [key, newest] : topic.newest) {
      std::string encoded;
      absl::Base64Escape(newest.value, &encoded);
      items.push_back({{"Key", key}, {"Value", encoded}, {"Offset", newest.offset}});
    }
    const nlohmann::json body = {{"items", items}, {"More", false}, {"End", topic.End()}};
    Respond(exchange, 200, body.dump());
  }

  void OnRead(gateway::ExchangeId exchange, const std::string& name, const std::string& target) {
    const std::uint64_t from = std::stoull("0" + QueryField(target, "From"));
    const std::uint64_t wait_ms = std::stoull("0" + QueryField(target, "WaitMs"));
    const Topic& topic = topics_[name];
    if (from == topic.End() && wait_ms > 0) {
      waiting_reads_[exchange] = {name, from};
      auto timer = std::make_shared<asio::steady_timer>(io_, std::chrono::milliseconds(wait_ms));
      timer->async_wait([this, timer, exchange](const asio::error_code&) {
        const auto found = waiting_reads_.find(exchange);
        if (found != waiting_reads_.end()) RespondToRead(exchange, WaitingRead(found->second));
      });
      return;
    }
    RespondToRead(exchange, {name, from});
  }

  void RespondToRead(gateway::ExchangeId exchange, const WaitingRead& read) {
    waiting_reads_.erase(exchange);
    const Topic& topic = topics_[read.topic];
    if (read.from < topic.first || read.from > topic.End()) {
      Respond(exchange, 410, "{\"First\":" + std::to_string(topic.first) + "}");
      return;
    }
    std::string body = BigEndian(topic.End()) + BigEndian(topic.first);
    for (std::uint64_t i = read.from - topic.first; i < topic.records.size(); ++i) {
      body += topic.records[i];
    }
    Respond(exchange, 200, body);
  }

  void WakeReaders(const std::string& topic) {
    const auto waiting_reads = waiting_reads_;
    for (const auto& [exchange, read] : waiting_reads) {
      if (read.topic == topic && mode_ == StoreMode::kServing) RespondToRead(exchange, read);
    }
  }

  asio::io_context& io_;
  StoreMode mode_ = StoreMode::kServing;
  std::uint64_t calls_ = 0;
  std::uint64_t era_ = 1;
  std::map<std::string, Topic> topics_;
  std::map<std::string, Topic> copy_;
  std::map<gateway::ExchangeId, WaitingRead> waiting_reads_;
  std::set<gateway::ExchangeId> dropped_responses_;
  gateway::CallerServer server_;
};

}  // namespace mulberry::platform
