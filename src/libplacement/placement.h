#pragma once

/// Public header of libplacement: what is learnt of full servers, and how many may be ejected.
#include "libplacement/capacity_estimate.h"  // IWYU pragma: export
#include "libplacement/ejection_budget.h"    // IWYU pragma: export
#include "libplacement/silence_tracker.h"    // IWYU pragma: export
