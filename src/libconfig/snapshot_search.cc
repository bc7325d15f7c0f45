#include "libconfig/snapshot_search.h"

namespace mulberry {

namespace {

bool IsUsable(const std::optional<Snapshot>& snapshot, Offset first, Offset applied) {
  return snapshot && snapshot->as_of > applied && snapshot->as_of.value() + 1 >= first.value();
}

}  // namespace

void SnapshotSearch::Add(const Snapshot& snapshot, Offset applied) {
  if (snapshot.writer_applied == snapshot.as_of) {
    if (!newest_ || newest_->as_of < snapshot.as_of) newest_ = snapshot;
    return;
  }
  if (!bridging_ && snapshot.writer_applied >= applied) bridging_ = snapshot;
}

const Snapshot* SnapshotSearch::FindBest(Offset first, Offset applied, bool whole_log) {
  if (bridging_ && bridging_->as_of.value() + 1 < first.value()) bridging_.reset();
  if (IsUsable(newest_, first, applied)) return &*newest_;
  if (whole_log && IsUsable(bridging_, first, applied)) return &*bridging_;
  return nullptr;
}

void SnapshotSearch::Clear() {
  newest_.reset();
  bridging_.reset();
}

}  // namespace mulberry
