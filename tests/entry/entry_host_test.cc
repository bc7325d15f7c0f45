#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "single_host_fixture.h"

namespace mulberry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

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

// Guards against a run without a claim where a host learns sooner than others that the class of a
// request has become idempotent.
TEST_CASE("a request with a ticket is claimed although its class is idempotent by now") {
  Ticket ticket;
  for (std::size_t i = 0; i < kClaimHolders; ++i) {
    const std::string name = "b" + std::to_string(i + 1);
    ticket.holders[i] = {HostName(name), StartId(1)};
    ticket.peer_addresses[i] = "peer-" + name;
  }
  const TicketSigner signer(SingleHostFixture::Options().ticket_secret);
  for (const std::string kind : {"valid", "expired", "not a ticket"}) {
    for (const bool from_caller : {true, false}) {
      CAPTURE(kind);
      CAPTURE(from_caller);
      SingleHostFixture fixture;
      ticket.expires = fixture.now().wall + seconds(kind == "valid" ? 60 : -60);
      const std::string text = kind == "not a ticket" ? "1234" : signer.Sign(ticket);
      if (from_caller) {
        fixture.SendRequest(1, "lookup", text);
      } else {
        ForwardRequest forward;
        forward.id = RequestId(9);
        forward.class_name = ClassName("lookup");
        forward.data_centre = DataCentreName("a");
        forward.method = "GET";
        forward.path = "/slots";
        forward.time_left = seconds(1);
        forward.deadline = fixture.now().wall + seconds(1);
        forward.ticket = text;
        const PeerEnvelope envelope{{HostName("b1"), StartId(1)}, forward};
        fixture.CollectActions([&](EntryActions& actions) {
          fixture.host().OnPeer(envelope, fixture.now(), actions);
        });
      }
      CHECK(fixture.TakeActions<SendToServer>().size() == (kind == "not a ticket" ? 1 : 0));
    }
  }
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

}  // namespace
}  // namespace mulberry
