#include <doctest/doctest.h>

#include "single_host_fixture.h"

namespace mulberry {
namespace {

using std::chrono::milliseconds;

TEST_CASE("a request whose forward was lost is not reported as not run when servers refuse it") {
  SingleHostFixture fixture({"a", "b"});
  std::uint64_t last_id = 0;
  std::vector<SendPeer> forwards;
  const auto take_forwards = [&] {
    for (SendPeer& send : fixture.TakeActions<SendPeer>()) {
      if (std::holds_alternative<ForwardRequest>(send.message)) forwards.push_back(std::move(send));
    }
  };
  fixture.TakeActions<SendPeer>();
  while (forwards.empty() && last_id < 200) {
    fixture.SendRequest(++last_id);
    take_forwards();
  }
  REQUIRE(forwards.size() == 1);
  for (const SendToServer& sent : fixture.TakeActions<SendToServer>()) {
    fixture.SendReply(sent.dispatch);
  }
  bool answered = false;
  for (int i = 0; i < 300 && !answered; ++i) {
    fixture.RunFor(milliseconds(10));
    for (const SendToServer& sent : fixture.TakeActions<SendToServer>()) {
      fixture.SendReply(sent.dispatch, i < 30 ? DispatchResult::kAnswered : DispatchResult::kShed);
    }
    for (const AnswerCaller& answer : fixture.TakeActions<AnswerCaller>()) {
      if (answer.request != RequestId(last_id)) continue;
      answered = true;
      CHECK(answer.answer.outcome == RunOutcome::kMayHaveRun);
      CHECK(answer.answer.status == 504);
    }
  }
  CHECK(answered);
}

}  // namespace
}  // namespace mulberry
