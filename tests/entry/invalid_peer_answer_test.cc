// Answers that another entry host passes on although no server may send their status. An older
// version of the program does so.
#include <doctest/doctest.h>

#include <optional>

#include "single_host_fixture.h"

namespace mulberry {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kInvalidStatuses[] = {0, 1, 99, 100, 103, 199, 600, 999, 65'736, 1U << 31};

/// Sends requests until one is forwarded to the other host, and answers that forward.
class ForwardFixture {
 public:
  ForwardFixture() : fixture_({"a", "b"}) {}

  /// Returns the answer that the caller gets.
  std::optional<CallerAnswer> AnswerForward(std::uint32_t status) {
    const ForwardRequest forward = NextForward();
    ForwardAnswer answer;
    answer.id = forward.id;
    answer.outcome = RunOutcome::kAnswered;
    answer.status = status;
    answer.body = "from the other host";
    answer.server = "b1";
    const PeerEnvelope envelope{{HostName("b1"), StartId(2)}, answer};
    fixture_.TakeActions<AnswerCaller>();
    fixture_.CollectActions(
        [&](EntryActions& actions) { fixture_.host().OnPeer(envelope, fixture_.now(), actions); });
    for (const AnswerCaller& sent : fixture_.TakeActions<AnswerCaller>()) {
      if (sent.request == RequestId(last_id_)) return sent.answer;
    }
    return std::nullopt;
  }

 private:
  ForwardRequest NextForward() {
    while (last_id_ < 1000) {
      fixture_.SendRequest(++last_id_);
      for (const SendPeer& send : fixture_.TakeActions<SendPeer>()) {
        if (const auto* forward = std::get_if<ForwardRequest>(&send.message)) return *forward;
      }
    }
    FAIL("no request was forwarded");
    return {};
  }

  SingleHostFixture fixture_;
  std::uint64_t last_id_ = 0;
};

TEST_CASE("an answer of another host with an invalid status is not passed on") {
  for (const std::uint32_t status : kInvalidStatuses) {
    CAPTURE(status);
    ForwardFixture forwards;
    const auto answer = forwards.AnswerForward(status);
    REQUIRE(answer.has_value());
    CHECK(answer->outcome == RunOutcome::kMayHaveRun);
    CHECK(answer->status == 504);
    CHECK(answer->reason == "server_failed");
    CHECK(answer->body.empty());
  }
}

TEST_CASE("an answer of another host with any other status is passed on") {
  for (const std::uint32_t status : {200U, 299U, 304U, 404U, 429U, 503U, 599U}) {
    CAPTURE(status);
    ForwardFixture forwards;
    const auto answer = forwards.AnswerForward(status);
    REQUIRE(answer.has_value());
    CHECK(answer->outcome == RunOutcome::kAnswered);
    CHECK(answer->status == static_cast<int>(status));
    CHECK(answer->body == "from the other host");
  }
}

}  // namespace
}  // namespace mulberry
