#include "soak/store_restores.h"

#include <algorithm>

namespace mulberry::soak {
namespace {

using platform::StoreMode;

/// Age of a copy at the store's return, and how long the store is away before.
constexpr std::size_t kLeastAgeMs = 1000;
constexpr std::size_t kMostAgeMs = 9000;
constexpr std::size_t kMostAwayMs = 2000;
/// Time in which all is written again.
constexpr std::size_t kWriteMs = 2000;

}  // namespace

void StoreRestores::After(Milliseconds time, void (StoreRestores::*next)()) {
  timer_.expires_after(time);
  timer_.async_wait([this, next](const asio::error_code& error) {
    if (!error && !healed_) (this->*next)();
  });
}

void StoreRestores::Copy() {
  fleet_.SaveCopy();
  restore_is_due_ = true;
  const Milliseconds age(kLeastAgeMs + Random(kMostAgeMs - kLeastAgeMs));
  away_ = std::min(age, Milliseconds(Random(kMostAwayMs)));
  half_time_ = (age - away_) / 2;
  After(half_time_, &StoreRestores::Change);
}

/// The more the operator has written since the copy, the further the offsets go back.
void StoreRestores::Change() {
  for (std::size_t i = Random(4); i > 0; --i) {
    fleet_.Configure(fleet_.write_service() == "alpha" ? "beta" : "alpha");
  }
  After(half_time_, &StoreRestores::GoAway);
}

void StoreRestores::GoAway() {
  LogEvent(LogLevel::kInfo, "fault", {{"what", "store_away_to_restore"}});
  fleet_.store().SetMode(Random(2) == 0 ? StoreMode::kUnavailable : StoreMode::kSilent);
  After(away_, &StoreRestores::Return);
}

void StoreRestores::Return() {
  LogEvent(LogLevel::kInfo, "fault", {{"what", "store_restored"}});
  restore_is_due_ = false;
  fleet_.store().Restore();
  fleet_.store().SetMode(StoreMode::kServing);
  writes_.emplace_back([this] { fleet_.WriteOperatorAgain(); });
  for (const auto& backend : fleet_.backends()) {
    writes_.emplace_back([this, written = backend.get()] { fleet_.WriteAgain(*written); });
  }
  std::shuffle(writes_.begin(), writes_.end(), random_);
  most_pause_ms_ = kWriteMs / writes_.size();
  After(Milliseconds(Random(most_pause_ms_)), &StoreRestores::WriteNext);
}

void StoreRestores::WriteNext() {
  writes_.back()();
  writes_.pop_back();
  if (writes_.empty()) {
    After(Milliseconds(Random(1000)), &StoreRestores::Copy);
  } else {
    After(Milliseconds(Random(most_pause_ms_)), &StoreRestores::WriteNext);
  }
}

void StoreRestores::Heal() {
  healed_ = true;
  if (restore_is_due_) Return();
  for (const auto& write : writes_) write();
  writes_.clear();
  timer_.cancel();
}

}  // namespace mulberry::soak
