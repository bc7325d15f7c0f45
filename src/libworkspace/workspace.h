#pragma once

/// Public header of libworkspace: workspaces, their keys and their rate limits.
#include "libworkspace/bucket_set.h"       // IWYU pragma: export
#include "libworkspace/cap_limiter.h"      // IWYU pragma: export
#include "libworkspace/cap_shares.h"       // IWYU pragma: export
#include "libworkspace/cap_types.h"        // IWYU pragma: export
#include "libworkspace/credentials.h"      // IWYU pragma: export
#include "libworkspace/freshness_proof.h"  // IWYU pragma: export
#include "libworkspace/key_directory.h"    // IWYU pragma: export
#include "libworkspace/token_bucket.h"     // IWYU pragma: export
#include "libworkspace/token_lender.h"     // IWYU pragma: export
#include "libworkspace/types.h"            // IWYU pragma: export
