#include "libgateway/catch_up_policy.h"

namespace mulberry::gateway {
namespace {

/// Time in which an update that was sent before the heartbeat still arrives.
constexpr Duration kUpdateDelay = std::chrono::milliseconds(50);
/// Pause between two questions to other hosts.
constexpr Duration kAskInterval = std::chrono::milliseconds(150);
/// Time for other hosts to answer before the store is read.
constexpr Duration kReadStoreAfter = std::chrono::milliseconds(250);

}  // namespace

CatchUp CatchUpPolicy::OnPeerState(const OperatorState& own, const OperatorState& theirs,
                                   TimePoint now) {
  CatchUp next;
  const bool lacks_records = theirs.position > own.position;
  if (!lacks_records && theirs.version <= own.version) return next;
  if (!missing_since_ || own_ != own) {
    own_ = own;
    missing_since_ = now;
    asked_at_.reset();
  }
  const Duration missing_for = now - *missing_since_;
  if (missing_for < kUpdateDelay) return next;
  next.read_store = lacks_records && missing_for >= kReadStoreAfter;
  if (asked_at_ && now - *asked_at_ < kAskInterval) return next;
  asked_at_ = now;
  next.ask_peer = true;
  return next;
}

}  // namespace mulberry::gateway
