#pragma once

/// Public header of libplacement: what is learnt of full servers, how many
/// may be ejected, and when requests go to other data centres.
#include "libplacement/capacity_estimate.h"  // IWYU pragma: export
#include "libplacement/ejection_budget.h"    // IWYU pragma: export
#include "libplacement/silence_tracker.h"    // IWYU pragma: export
#include "libplacement/spill_policy.h"       // IWYU pragma: export
