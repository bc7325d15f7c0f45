#include "libconfig/change_publisher.h"

#include <doctest/doctest.h>

#include "fake_log.h"

namespace mulberry::testing {
namespace {

/// A log that fails as the test says; each call uses up one tick.
class FaultyLog : public ConfigLog {
 public:
  Result<void> ReadToEnd() override {
    if (++tick >= reads_fail_from && tick < reads_fail_to) {
      return Fail(ErrorCode::kUnavailable, "outage");
    }
    for (const auto& record : log.Read(Offset(fold_.state().applied.value() + 1)).records) {
      fold_.Apply(record.offset, record.data);
    }
    return boost::outcome_v2::success();
  }

  Result<Offset> Append(const std::string& record) override {
    ++appends;
    if (!rival.empty()) log.Append(std::exchange(rival, ""));
    if (refuse_appends > 0) {
      --refuse_appends;
      return Fail(ErrorCode::kUnavailable, "outage");
    }
    const Offset offset = log.Append(record);
    if (lose_answers == 0) return offset;
    --lose_answers;
    return Fail(ErrorCode::kTimeout, "no answer");
  }

  void WaitBeforeRetry() override { ++tick; }
  bool DeadlineExceeded() const override { return tick > 20; }
  const ConfigStateMachine& state_machine() const override { return fold_; }

  FakeLog log;
  std::string rival;  ///< Appended just before the next append.
  int refuse_appends = 0;
  int lose_answers = 0;
  int reads_fail_from = 1000;
  int reads_fail_to = 1000;
  int appends = 0;
  int tick = 0;

 private:
  ConfigStateMachine fold_;
};

PublishReport PublishClass(FaultyLog& log, int latency_ms = 50) {
  return ChangePublisher(log).Publish(
      [&](const ConfigState&) -> Result<Change> { return MakeClass("mine", "x", 0, latency_ms); });
}

TEST_CASE("a change is accepted with its offset as version") {
  FaultyLog log;
  log.log.Append(Encoded(MakeClass("c1", "x", 0)));
  const PublishReport report = PublishClass(log);
  CHECK(report.code == PublishCode::kAccepted);
  CHECK(report.version == Offset(2));
  CHECK(log.appends == 1);
}

TEST_CASE("a lost answer is met by the same change id and accepted once") {
  FaultyLog log;
  log.lose_answers = 1;
  CHECK(PublishClass(log).code == PublishCode::kAccepted);
  CHECK(log.appends == 1);
  FaultyLog blind;
  blind.lose_answers = 2;
  blind.reads_fail_from = 2;
  blind.reads_fail_to = 6;
  const PublishReport report = PublishClass(blind);
  CHECK(report.code == PublishCode::kAccepted);
  CHECK(report.version == Offset(1));
  CHECK(blind.appends == 3);
  CHECK(blind.log.all.size() == 3);
}

TEST_CASE("the loser of a race is told the rival's version and author") {
  FaultyLog log;
  log.rival = Encoded(MakeClass("theirs", "x", 0));
  const PublishReport report = PublishClass(log);
  CHECK(report.code == PublishCode::kRejected);
  CHECK(report.conflict.change == ChangeId("theirs"));
  CHECK(report.conflict.offset == Offset(1));
  CHECK(report.conflict.author == "ana");
}

TEST_CASE("an outage is unreachable before the append and unknown after it") {
  FaultyLog before;
  before.reads_fail_from = 0;
  CHECK(PublishClass(before).code == PublishCode::kUnreachable);
  CHECK(before.appends == 0);
  FaultyLog after;
  after.reads_fail_from = 2;
  const PublishReport report = PublishClass(after);
  CHECK(report.code == PublishCode::kUnknown);
  CHECK(report.change == ChangeId("mine"));
  FaultyLog never;
  never.refuse_appends = 1000;
  CHECK(PublishClass(never).code == PublishCode::kUnknown);
  FaultyLog later;
  later.refuse_appends = 3;
  CHECK(PublishClass(later).code == PublishCode::kAccepted);
}

TEST_CASE("a change that is wrong is refused before it is appended") {
  FaultyLog log;
  const PublishReport report = PublishClass(log, 0);
  CHECK(report.code == PublishCode::kInvalid);
  CHECK(report.message == "latency_ms = 0: must be 1 to 60000 (milliseconds)");
  const PublishReport refused = ChangePublisher(log).Publish(
      [](const ConfigState&) { return Fail(ErrorCode::kConflict, "last data centre"); });
  CHECK(refused.code == PublishCode::kInvalid);
  CHECK(log.appends == 0);
}

}  // namespace
}  // namespace mulberry::testing
