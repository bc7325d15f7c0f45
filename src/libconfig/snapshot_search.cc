#include "libconfig/snapshot_search.h"

namespace mulberry {

namespace {

bool Usable(const std::optional<Snapshot>& snapshot, Offset first, Offset applied) {
  return snapshot && snapshot->as_of > applied && snapshot->as_of.value() + 1 >= first.value();
}

}  // namespace

void SnapshotSearch::Add(const Snapshot& snapshot, Offset applied) {
  if (snapshot.writer_applied == snapshot.as_of) {
    if (!highest_ || highest_->as_of < snapshot.as_of) highest_ = snapshot;
    return;
  }
  if (!stand_in_ && snapshot.writer_applied >= applied) stand_in_ = snapshot;
}

const Snapshot* SnapshotSearch::Best(Offset first, Offset applied, bool whole_log) {
  if (stand_in_ && stand_in_->as_of.value() + 1 < first.value()) stand_in_.reset();
  if (Usable(highest_, first, applied)) return &*highest_;
  if (whole_log && Usable(stand_in_, first, applied)) return &*stand_in_;
  return nullptr;
}

void SnapshotSearch::Clear() {
  highest_.reset();
  stand_in_.reset();
}

}  // namespace mulberry
