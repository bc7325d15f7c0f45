#include "libconfig/change_publisher.h"

#include <doctest/doctest.h>

#include "fake_log.h"

namespace mulberry::testing {
namespace {

/// A log with injected failures. Each read and each wait advances the time by one tick.
class FaultyLog : public ConfigLog {
 public:
  Result<void> ReadToEnd() override {
    if (++elapsed_ticks >= reads_fail_from_tick && elapsed_ticks < reads_fail_to_tick) {
      return Fail(ErrorCode::kUnavailable, "outage");
    }
    for (const auto& record :
         log.Read(Offset(state_machine_.state().applied.value() + 1)).records) {
      state_machine_.Apply(record.offset, record.data);
    }
    return boost::outcome_v2::success();
  }

  Result<Offset> Append(const std::string& record) override {
    ++appends;
    if (!competing_record.empty()) log.Append(std::exchange(competing_record, ""));
    if (failing_appends > 0) {
      --failing_appends;
      return Fail(ErrorCode::kUnavailable, "outage");
    }
    const Offset offset = log.Append(record);
    if (lost_responses == 0) return offset;
    --lost_responses;
    return Fail(ErrorCode::kTimeout, "no answer");
  }

  void WaitBeforeRetry() override { ++elapsed_ticks; }
  bool DeadlineExceeded() const override { return elapsed_ticks > 20; }
  const ConfigStateMachine& state_machine() const override { return state_machine_; }

  FakeLog log;
  std::string competing_record;  ///< Appended immediately before the next append.
  int failing_appends = 0;
  int lost_responses = 0;
  int reads_fail_from_tick = 1000;
  int reads_fail_to_tick = 1000;
  int appends = 0;
  int elapsed_ticks = 0;

 private:
  ConfigStateMachine state_machine_;
};

PublishReport PublishClass(FaultyLog& log, int latency_ms = 50) {
  return ChangePublisher(log).Publish(
      [&](const ConfigState&) -> Result<Change> { return MakeClass("mine", "x", 0, latency_ms); });
}

TEST_CASE("a change is accepted with its offset as version") {
  FaultyLog log;
  log.log.Append(EncodeRecord(MakeClass("c1", "x", 0)));
  const PublishReport report = PublishClass(log);
  CHECK(report.code == PublishCode::kAccepted);
  CHECK(report.version == Offset(2));
  CHECK(log.appends == 1);
}

TEST_CASE("after a lost append response the change is accepted only once") {
  FaultyLog log;
  log.lost_responses = 1;
  CHECK(PublishClass(log).code == PublishCode::kAccepted);
  CHECK(log.appends == 1);
  FaultyLog unreadable;
  unreadable.lost_responses = 2;
  unreadable.reads_fail_from_tick = 2;
  unreadable.reads_fail_to_tick = 6;
  const PublishReport report = PublishClass(unreadable);
  CHECK(report.code == PublishCode::kAccepted);
  CHECK(report.version == Offset(1));
  CHECK(unreadable.appends == 3);
  CHECK(unreadable.log.records.size() == 3);
}

TEST_CASE("a rejected change reports the version and author of the conflicting change") {
  FaultyLog log;
  log.competing_record = EncodeRecord(MakeClass("theirs", "x", 0));
  const PublishReport report = PublishClass(log);
  CHECK(report.code == PublishCode::kRejected);
  CHECK(report.conflict.change == ChangeId("theirs"));
  CHECK(report.conflict.offset == Offset(1));
  CHECK(report.conflict.author == "ana");
}

TEST_CASE("an outage gives unreachable before the append and unknown after it") {
  FaultyLog before;
  before.reads_fail_from_tick = 0;
  CHECK(PublishClass(before).code == PublishCode::kUnreachable);
  CHECK(before.appends == 0);
  FaultyLog after;
  after.reads_fail_from_tick = 2;
  const PublishReport report = PublishClass(after);
  CHECK(report.code == PublishCode::kUnknown);
  CHECK(report.change == ChangeId("mine"));
  FaultyLog always_failing;
  always_failing.failing_appends = 1000;
  CHECK(PublishClass(always_failing).code == PublishCode::kUnknown);
  FaultyLog recovering;
  recovering.failing_appends = 3;
  CHECK(PublishClass(recovering).code == PublishCode::kAccepted);
}

TEST_CASE("an invalid change is rejected before it is appended") {
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
