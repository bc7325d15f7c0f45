#include "librollout/order.h"

namespace mulberry::rollout {

const char* StateName(State state) {
  switch (state) {
    case State::kRunning:
      return "running";
    case State::kCompleted:
      return "completed";
    case State::kRolledBack:
      return "rolled_back";
  }
  return "unknown";
}

}  // namespace mulberry::rollout
