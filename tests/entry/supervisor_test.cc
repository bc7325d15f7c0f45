#include <doctest/doctest.h>

#include <memory>

#include "libentry/entry.h"

namespace mulberry {
namespace {

/// A component that fails to start `failures` times.
class FailingComponent : public Component {
 public:
  FailingComponent(int failures, int* starts) : failures_(failures), starts_(starts) {}
  std::string_view name() const override { return "failing"; }
  Result<void> Start(TimePoint) override {
    ++*starts_;
    if (failures_-- > 0) {
      return Fail(ErrorCode::kUnavailable, "port in use");
    }
    return boost::outcome_v2::success();
  }
  void Stop() override {}
  Result<void> Check(TimePoint) override { return boost::outcome_v2::success(); }

 private:
  int failures_;
  int* starts_;
};

}  // namespace

TEST_CASE("a failed component is restarted with a growing backoff") {
  int starts = 0;
  Supervisor supervisor("root", {});
  supervisor.Add(std::make_unique<FailingComponent>(2, &starts));
  TimePoint now;
  CHECK(supervisor.Start(now));
  CHECK(starts == 1);
  CHECK(supervisor.Check(now + std::chrono::milliseconds(99)));
  CHECK(starts == 1);
  CHECK(supervisor.Check(now + std::chrono::milliseconds(100)));
  CHECK(starts == 2);
  CHECK(supervisor.Check(now + std::chrono::milliseconds(299)));
  CHECK(starts == 2);
  CHECK(supervisor.Status()["parts"][0]["state"] == "backing_off");
  CHECK(supervisor.Check(now + std::chrono::milliseconds(300)));
  CHECK(starts == 3);
  CHECK(supervisor.Status()["parts"][0]["state"] == "running");
  CHECK(supervisor.Status()["parts"][0]["restarts"] == 2);
}

}  // namespace mulberry
