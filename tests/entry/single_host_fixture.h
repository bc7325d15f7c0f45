#pragma once

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "libentry/entry.h"

namespace mulberry {

/// Counts answers and records the reasons of refusals.
class CountingObserver : public EntryObserver {
 public:
  void OnAnswered(const ClassName&, Duration) override { ++answered; }
  void OnRefused(const ClassName&, const std::string& reason) override {
    refused.push_back(reason);
  }
  void OnRetry(const ClassName&, const std::string&) override {}
  void OnForward(const ClassName&, const std::string&) override {}
  void OnProbe(const ServiceName&) override {}
  void OnClaim(const std::string&) override {}
  void OnLeaseChange(const GroupName& group, const std::string&,
                     const std::string& after) override {
    leases.push_back(group.service.str() + " " + after);
  }

  int answered = 0;
  std::vector<std::string> refused;
  std::vector<std::string> leases;
};

/// One entry host, alone in its data centre and without a connection to the host of the other data
/// centre. The test simulates the platform and the backend servers.
class SingleHostFixture {
 public:
  SingleHostFixture() : SingleHostFixture({"a"}) {}
  /// Each of the data centres has two servers.
  explicit SingleHostFixture(const std::vector<std::string>& server_data_centres)
      : host_(Options(), observer_, now_) {
    CollectActions([&](EntryActions& actions) { host_.Start(now_, actions); });
    AppendClass("lookup", true);
    HostList list;
    list.entry_hosts = {{HostName("a1"), DataCentreName("a"), "http-a1", "peer-a1", false},
                        {HostName("b1"), DataCentreName("b"), "http-b1", "peer-b1", false}};
    for (const std::string& data_centre : server_data_centres) {
      for (const char* suffix : {"1", "2"}) {
        const std::string name = (data_centre == "a" ? "s" : data_centre) + suffix;
        list.backend_servers.push_back({ServerName(name), ServiceName("svc"),
                                        DataCentreName(data_centre), "addr-" + name, 2, 10, false,
                                        false});
      }
    }
    CollectActions([&](EntryActions& actions) { host_.OnHostList(list, now_, actions); });
    RunFor(std::chrono::seconds(8));
  }

  static EntryOptions Options() {
    EntryOptions options;
    options.self = {{HostName("a1"), StartId(1)}, DataCentreName("a"), "http-a1", "peer-a1"};
    options.ticket_secret = "0123456789abcdef";
    return options;
  }

  template <class Event>
  void CollectActions(Event event) {
    EntryActions actions;
    event(actions);
    for (EntryAction& action : actions) {
      if (std::holds_alternative<ReadLog>(action)) {
        reading_ = true;
      } else {
        collected_actions.push_back(std::move(action));
      }
    }
  }

  /// Advances time in steps of 10 ms and runs due timers. Log reads are answered if `log_up`.
  void RunFor(Duration time, bool log_up = true) {
    for (const TimePoint end = now_.mono + time; now_.mono < end;) {
      AdvanceClock(std::chrono::milliseconds(10));
      if (reading_ && log_up) {
        AnswerRead();
      }
      CollectActions([&](EntryActions& actions) { host_.Tick(now_, actions); });
    }
  }

  /// Advances time without running timers, as for a paused process.
  void AdvanceClock(Duration time) {
    now_.mono += time;
    now_.wall += std::chrono::duration_cast<std::chrono::milliseconds>(time);
  }

  void AnswerRead() {
    reading_ = false;
    LogPage page;
    page.first = Offset(1);
    page.next = Offset(log_.size() + 1);
    for (std::size_t i = host_.config().applied.value(); i < log_.size(); ++i) {
      page.records.push_back({Offset(i + 1), log_[i]});
    }
    CollectActions([&](EntryActions& actions) { host_.OnLogPage(page, now_, actions); });
  }

  void AppendClass(const std::string& name, bool idempotent) {
    ClassItem item;
    item.name = ClassName(name);
    item.service = ServiceName("svc");
    item.idempotent = idempotent;
    item.latency_target = std::chrono::milliseconds(100);
    Append(ItemKind::kClass, name, item);
  }

  void SetDataCentreOut(bool out) {
    DataCentreItem item;
    item.name = DataCentreName("a");
    item.out = out;
    Append(ItemKind::kDataCentre, "a", item);
  }

  void SendRequest(std::uint64_t id, const std::string& class_name = "lookup",
                   const std::string& ticket = "") {
    CallerRequest call;
    call.id = RequestId(id);
    call.class_name = ClassName(class_name);
    call.method = "GET";
    call.path = "/slots";
    call.ticket = ticket;
    CollectActions([&](EntryActions& actions) { host_.OnCaller(std::move(call), now_, actions); });
  }

  void SendReply(DispatchId dispatch, DispatchResult result = DispatchResult::kAnswered) {
    ServerReply reply;
    reply.report = {dispatch, result, StartId(7), false};
    reply.status = result == DispatchResult::kShed ? 503 : 200;
    reply.body = "ok";
    CollectActions(
        [&](EntryActions& actions) { host_.OnServerReply(std::move(reply), now_, actions); });
  }

  /// Removes the actions of one type from `collected_actions` and returns them.
  template <class Action>
  std::vector<Action> TakeActions() {
    std::vector<Action> taken;
    std::erase_if(collected_actions, [&](EntryAction& action) {
      auto* found = std::get_if<Action>(&action);
      if (found != nullptr) {
        taken.push_back(std::move(*found));
      }
      return found != nullptr;
    });
    return taken;
  }

  EntryHost& host() { return host_; }
  const CountingObserver& observer() const { return observer_; }
  Instant now() const { return now_; }

  std::vector<EntryAction> collected_actions;

 private:
  template <class Item>
  void Append(ItemKind kind, const std::string& name, const Item& item) {
    Change change;
    change.id = ChangeId("c" + std::to_string(log_.size()));
    change.author = "test";
    change.at = now_.wall;
    change.kind = kind;
    change.item = name;
    change.base = Offset(log_.size());
    change.value = item;
    log_.push_back(EncodeChange(change).value());
  }

  CountingObserver observer_;
  Instant now_{TimePoint(std::chrono::seconds(100)), WallTime(std::chrono::seconds(1'000'000))};
  std::vector<std::string> log_;
  bool reading_ = false;
  EntryHost host_;
};

}  // namespace mulberry
