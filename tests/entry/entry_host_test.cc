#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "libentry/entry.h"

namespace mulberry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

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
  SingleHostFixture() : host_(Options(), observer_, now_) {
    CollectActions([&](EntryActions& actions) { host_.Start(now_, actions); });
    AppendClass("lookup", true);
    HostList list;
    list.entry_hosts = {{HostName("a1"), DataCentreName("a"), "http-a1", "peer-a1", false},
                        {HostName("b1"), DataCentreName("b"), "http-b1", "peer-b1", false}};
    for (const char* name : {"s1", "s2"}) {
      list.backend_servers.push_back({ServerName(name), ServiceName("svc"), DataCentreName("a"),
                                      std::string("addr-") + name, 2, 10, false, false});
    }
    CollectActions([&](EntryActions& actions) { host_.OnHostList(list, now_, actions); });
    RunFor(seconds(8));
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
      AdvanceClock(milliseconds(10));
      if (reading_ && log_up) {
        AnswerRead();
      }
      CollectActions([&](EntryActions& actions) { host_.Tick(now_, actions); });
    }
  }

  /// Advances time without running timers, as for a paused process.
  void AdvanceClock(Duration time) {
    now_.mono += time;
    now_.wall += std::chrono::duration_cast<milliseconds>(time);
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
    item.latency_target = milliseconds(100);
    Append(ItemKind::kClass, name, item);
  }

  void SetDataCentreOut(bool out) {
    DataCentreItem item;
    item.name = DataCentreName("a");
    item.out = out;
    Append(ItemKind::kDataCentre, "a", item);
  }

  void SendRequest(std::uint64_t id, const std::string& class_name = "lookup") {
    CallerRequest call;
    call.id = RequestId(id);
    call.class_name = ClassName(class_name);
    call.method = "GET";
    call.path = "/slots";
    CollectActions([&](EntryActions& actions) { host_.OnCaller(std::move(call), now_, actions); });
  }

  void SendReply(DispatchId dispatch) {
    ServerReply reply;
    reply.report = {dispatch, DispatchResult::kAnswered, StartId(7), false};
    reply.status = 200;
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
  Instant now_{TimePoint(seconds(100)), WallTime(seconds(1'000'000))};
  std::vector<std::string> log_;
  bool reading_ = false;
  EntryHost host_;
};

}  // namespace

TEST_CASE("a request is sent to a server and the answer is returned to the caller") {
  SingleHostFixture fixture;
  fixture.SendRequest(1);
  const auto sent = fixture.TakeActions<SendToServer>();
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].path == "/slots");
  CHECK(sent[0].deadline > fixture.now().wall);
  fixture.SendReply(sent[0].dispatch);
  const auto answers = fixture.TakeActions<AnswerCaller>();
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].answer.outcome == RunOutcome::kAnswered);
  CHECK(answers[0].answer.body == "ok");
}

TEST_CASE("a data centre that is taken out receives no new or queued requests") {
  SingleHostFixture fixture;
  for (std::uint64_t id = 1; id <= 20; ++id) {
    fixture.SendRequest(id);
  }
  const auto before = fixture.TakeActions<SendToServer>();
  CHECK(before.size() < 20);
  fixture.SetDataCentreOut(true);
  fixture.RunFor(milliseconds(100));
  CHECK(fixture.TakeActions<SendToServer>().empty());
  const auto refused = fixture.TakeActions<AnswerCaller>();
  CHECK(refused.size() == 20 - before.size());
  CHECK(refused[0].answer.outcome == RunOutcome::kNotRun);
  for (const SendToServer& sent : before) {
    fixture.SendReply(sent.dispatch);
  }
  CHECK(fixture.TakeActions<AnswerCaller>().size() == before.size());
  CHECK(fixture.TakeActions<SendToServer>().empty());
  fixture.SetDataCentreOut(false);
  fixture.RunFor(milliseconds(100));
  fixture.SendRequest(100);
  CHECK(fixture.TakeActions<SendToServer>().size() == 1);
}

TEST_CASE("a host that has not read the configuration log for 3 seconds takes no new work") {
  SingleHostFixture fixture;
  fixture.RunFor(seconds(3), false);
  fixture.SendRequest(1);
  CHECK(fixture.TakeActions<SendToServer>().empty());
  const auto answers = fixture.TakeActions<AnswerCaller>();
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].answer.reason == "config_stale");
  fixture.RunFor(milliseconds(50));
  fixture.SendRequest(2);
  CHECK(fixture.TakeActions<SendToServer>().size() == 1);
}

TEST_CASE("a host that was paused sends nothing before it has read the configuration again") {
  SingleHostFixture fixture;
  for (std::uint64_t id = 1; id <= 20; ++id) {
    fixture.SendRequest(id);
  }
  const auto before = fixture.TakeActions<SendToServer>();
  REQUIRE(!before.empty());
  fixture.SetDataCentreOut(true);
  fixture.AdvanceClock(seconds(4));
  fixture.SendReply(before[0].dispatch);
  CHECK(fixture.TakeActions<SendToServer>().empty());
}

TEST_CASE("a gained and a released lease are reported once") {
  SingleHostFixture fixture;
  CHECK(fixture.observer().leases.front() == "svc reduced");
  CHECK(fixture.observer().leases.back() == "svc full");
  const std::size_t reported = fixture.observer().leases.size();
  fixture.RunFor(seconds(2));
  CHECK(fixture.observer().leases.size() == reported);
  fixture.CollectActions(
      [&](EntryActions& actions) { fixture.host().BeginLeaving(fixture.now(), actions); });
  fixture.RunFor(milliseconds(100));
  CHECK(fixture.observer().leases.size() == reported + 1);
  CHECK(fixture.observer().leases.back() == "svc none");
}

TEST_CASE("a non-idempotent request without a valid ticket is refused and was not run") {
  SingleHostFixture fixture;
  fixture.AppendClass("booking", false);
  fixture.RunFor(milliseconds(100));
  fixture.SendRequest(1, "booking");
  const auto answers = fixture.TakeActions<AnswerCaller>();
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].answer.reason == "ticket_missing");
  CHECK(answers[0].answer.outcome == RunOutcome::kNotRun);
  CHECK(fixture.TakeActions<SendToServer>().empty());
}

TEST_CASE("an address request fails for an unknown class or too few claim holders") {
  SingleHostFixture fixture;
  fixture.AppendClass("booking", false);
  fixture.RunFor(milliseconds(100));
  const auto request_addresses = [&](const char* name) {
    return fixture.host().Addresses(ClassName(name), DataCentreName(), fixture.now());
  };
  CHECK(request_addresses("lookup").value().addresses.front() == "http-a1");
  CHECK(request_addresses("nothing").error().code == ErrorCode::kNotFound);
  CHECK(request_addresses("booking").error().message == "no_claim_holders");
}

TEST_CASE(
    "a leaving host answers its pending requests, leaves the address list and is then drained") {
  SingleHostFixture fixture;
  fixture.SendRequest(1);
  const auto sent = fixture.TakeActions<SendToServer>();
  REQUIRE(sent.size() == 1);
  fixture.CollectActions(
      [&](EntryActions& actions) { fixture.host().BeginLeaving(fixture.now(), actions); });
  CHECK(!fixture.host().Addresses(ClassName("lookup"), DataCentreName(), fixture.now()));
  fixture.RunFor(seconds(3));
  CHECK(!fixture.host().Drained(fixture.now().mono));
  fixture.SendReply(sent[0].dispatch);
  CHECK(fixture.TakeActions<AnswerCaller>().size() == 1);
  fixture.RunFor(milliseconds(100));
  CHECK(fixture.host().Drained(fixture.now().mono));
}

TEST_CASE("a leaving host closes when kept addresses have expired, also while it is busy") {
  SingleHostFixture fixture;
  const Duration serving = SingleHostFixture::Options().address_ttl + milliseconds(250);
  fixture.SendRequest(1);
  const auto sent = fixture.TakeActions<SendToServer>();
  REQUIRE(sent.size() == 1);
  fixture.CollectActions(
      [&](EntryActions& actions) { fixture.host().BeginLeaving(fixture.now(), actions); });
  const auto step = [&](std::size_t open_connections) {
    return fixture.host().NextLeavingStep(open_connections, fixture.now().mono);
  };
  fixture.RunFor(serving - milliseconds(10));
  CHECK(step(0) == LeavingStep::kServe);
  fixture.RunFor(milliseconds(10));
  CHECK(step(1) == LeavingStep::kCloseIdle);
  CHECK(step(0) == LeavingStep::kCloseIdle);
  fixture.SendReply(sent[0].dispatch);
  fixture.RunFor(milliseconds(100));
  CHECK(step(1) == LeavingStep::kCloseIdle);
  CHECK(step(0) == LeavingStep::kExit);
}

/// The sender may not have heard that the host leaves, and goes on sending.
TEST_CASE("a leaving host returns forwarded requests at once and does not wait for them") {
  SingleHostFixture fixture;
  fixture.CollectActions(
      [&](EntryActions& actions) { fixture.host().BeginLeaving(fixture.now(), actions); });
  std::size_t returned = 0;
  for (std::uint64_t i = 0; i < 300; ++i) {
    fixture.RunFor(milliseconds(10));
    ForwardRequest forward;
    forward.id = RequestId(i + 1);
    forward.class_name = ClassName("lookup");
    forward.data_centre = DataCentreName("a");
    forward.method = "GET";
    forward.path = "/slots";
    forward.time_left = seconds(2);
    forward.deadline = fixture.now().wall + seconds(2);
    const PeerEnvelope envelope{{HostName("b1"), StartId(2)}, forward};
    fixture.CollectActions(
        [&](EntryActions& actions) { fixture.host().OnPeer(envelope, fixture.now(), actions); });
    for (const SendPeer& send : fixture.TakeActions<SendPeer>()) {
      const auto* answer = std::get_if<ForwardAnswer>(&send.message);
      if (answer != nullptr && answer->outcome == RunOutcome::kNotRun && answer->not_owner) {
        ++returned;
      }
    }
  }
  CHECK(returned == 300);
  CHECK(fixture.TakeActions<SendToServer>().empty());
  CHECK(fixture.host().NextLeavingStep(0, fixture.now().mono) == LeavingStep::kExit);
}

}  // namespace mulberry
