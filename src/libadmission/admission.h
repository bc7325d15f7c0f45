#pragma once

/// Public header of libadmission: which requests wait for a server, in which order, and what those
/// that are refused are told.
#include "libadmission/call_queue.h"     // IWYU pragma: export
#include "libadmission/dispatch_rate.h"  // IWYU pragma: export
#include "libadmission/fair_shares.h"    // IWYU pragma: export
#include "libadmission/wait_policy.h"    // IWYU pragma: export
