#pragma once

/// Public header of librollout: rollouts of versions of a service, and what limits them.
#include "librollout/coordinator.h"   // IWYU pragma: export
#include "librollout/evidence.h"      // IWYU pragma: export
#include "librollout/host_rollout.h"  // IWYU pragma: export
#include "librollout/in_force.h"      // IWYU pragma: export
#include "librollout/order.h"         // IWYU pragma: export
#include "librollout/state.h"         // IWYU pragma: export
