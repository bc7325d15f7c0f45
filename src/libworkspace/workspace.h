#pragma once

/// Public header of libworkspace: workspaces, their keys and their rate limits.
#include "libworkspace/credentials.h"      // IWYU pragma: export
#include "libworkspace/freshness_proof.h"  // IWYU pragma: export
#include "libworkspace/key_directory.h"    // IWYU pragma: export
#include "libworkspace/types.h"            // IWYU pragma: export
